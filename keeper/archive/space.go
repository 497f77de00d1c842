package archive

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"
)

// spaceRetryInterval is the pause before a write for which the disk had no space is
// tried again.
const spaceRetryInterval = 50 * time.Millisecond

// FullError reports that the disk has no space, so that nothing was written.
type FullError struct{ since time.Time }

// Error implements error.
func (e *FullError) Error() string {
	return "the disk has had no space since " + e.since.Format(time.RFC3339Nano)
}

// Since returns when the disk became full.
func (e *FullError) Since() time.Time { return e.since }

// waitingFS is a file system whose writes wait while the disk has no space. The database
// ends the process if a write of its log fails.
type waitingFS struct {
	vfs.FS
	logger *zap.Logger
	full   atomic.Pointer[FullError] // Nil while the disk has space.
}

// waitForSpace repeats an operation until it doesn't fail for lack of space.
func (fs *waitingFS) waitForSpace(operation func() error) error {
	err := operation()
	if !vfs.IsNoSpaceError(err) {
		return err
	}
	fullError := &FullError{since: time.Now()}
	if fs.full.CompareAndSwap(nil, fullError) {
		fs.logger.Error("the disk is full; writes are refused until it has space", zap.Error(err))
	}
	for vfs.IsNoSpaceError(err) {
		time.Sleep(spaceRetryInterval)
		err = operation()
	}
	if ended := fs.full.Swap(nil); ended != nil {
		fs.logger.Info("the disk has space again", zap.Duration("full", time.Since(ended.since)))
	}
	return err
}

func (fs *waitingFS) openForWriting(open func() (vfs.File, error)) (vfs.File, error) {
	var file vfs.File
	err := fs.waitForSpace(func() error {
		var err error
		file, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &waitingFile{File: file, fs: fs}, nil
}

// Create implements vfs.FS.
func (fs *waitingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openForWriting(func() (vfs.File, error) { return fs.FS.Create(name, category) })
}

// OpenReadWrite implements vfs.FS.
func (fs *waitingFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	return fs.openForWriting(func() (vfs.File, error) { return fs.FS.OpenReadWrite(name, category, options...) })
}

// ReuseForWrite implements vfs.FS.
func (fs *waitingFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openForWriting(func() (vfs.File, error) { return fs.FS.ReuseForWrite(oldName, newName, category) })
}

// OpenDir implements vfs.FS. Directories are opened to sync them.
func (fs *waitingFS) OpenDir(name string) (vfs.File, error) {
	return fs.openForWriting(func() (vfs.File, error) { return fs.FS.OpenDir(name) })
}

// Link implements vfs.FS.
func (fs *waitingFS) Link(oldName, newName string) error {
	return fs.waitForSpace(func() error { return fs.FS.Link(oldName, newName) })
}

// Rename implements vfs.FS.
func (fs *waitingFS) Rename(oldName, newName string) error {
	return fs.waitForSpace(func() error { return fs.FS.Rename(oldName, newName) })
}

// MkdirAll implements vfs.FS.
func (fs *waitingFS) MkdirAll(dir string, mode os.FileMode) error {
	return fs.waitForSpace(func() error { return fs.FS.MkdirAll(dir, mode) })
}

// Unwrap implements vfs.FS.
func (fs *waitingFS) Unwrap() vfs.FS { return fs.FS }

// waitingFile is a file whose writes wait while the disk has no space.
type waitingFile struct {
	vfs.File
	fs *waitingFS
}

// Write implements vfs.File. It continues after a part that was written.
func (f *waitingFile) Write(data []byte) (int, error) {
	written := 0
	err := f.fs.waitForSpace(func() error {
		count, err := f.File.Write(data[written:])
		written += count
		return err
	})
	return written, err
}

// WriteAt implements vfs.File.
func (f *waitingFile) WriteAt(data []byte, offset int64) (written int, err error) {
	err = f.fs.waitForSpace(func() error {
		count, err := f.File.WriteAt(data[written:], offset+int64(written))
		written += count
		return err
	})
	return written, err
}

// Preallocate implements vfs.File. It is only an optimization, so it never waits.
func (f *waitingFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); !vfs.IsNoSpaceError(err) {
		return err
	}
	return nil
}

// Sync implements vfs.File.
func (f *waitingFile) Sync() error { return f.fs.waitForSpace(f.File.Sync) }

// SyncData implements vfs.File.
func (f *waitingFile) SyncData() error { return f.fs.waitForSpace(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *waitingFile) SyncTo(length int64) (fullSync bool, err error) {
	err = f.fs.waitForSpace(func() error {
		fullSync, err = f.File.SyncTo(length)
		return err
	})
	return fullSync, err
}
