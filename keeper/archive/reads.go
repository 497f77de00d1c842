package archive

import "github.com/cockroachdb/pebble/v2/vfs"

// maxReads limits the reads of the disk in progress. Each keeps a thread of the process while
// the disk doesn't answer, and Go ends a process that needs more than 10,000.
const maxReads = 64

// Open implements vfs.FS. It opens files to read them.
func (fs *waitingFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	file, err := fs.FS.Open(name, options...)
	if err != nil {
		return nil, err
	}
	return &boundedFile{File: file, reads: fs.reads}, nil
}

// boundedFile is a file whose reads wait while as many as reads holds are in progress.
type boundedFile struct {
	vfs.File
	reads chan struct{}
}

// Read implements vfs.File.
func (f *boundedFile) Read(buffer []byte) (int, error) {
	f.reads <- struct{}{}
	defer func() { <-f.reads }()
	return f.File.Read(buffer)
}

// ReadAt implements vfs.File.
func (f *boundedFile) ReadAt(buffer []byte, offset int64) (int, error) {
	f.reads <- struct{}{}
	defer func() { <-f.reads }()
	return f.File.ReadAt(buffer, offset)
}
