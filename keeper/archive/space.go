package archive

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/wal"
	"go.uber.org/zap"
)

// writeRetryInterval is the pause before a write or sync that failed is tried again.
const writeRetryInterval = 50 * time.Millisecond

// FullError reports that the disk has no space, so that nothing was written.
type FullError struct{ since time.Time }

// Error implements error.
func (e *FullError) Error() string {
	return "the disk has had no space since " + e.since.Format(time.RFC3339Nano)
}

// Since returns when the disk became full.
func (e *FullError) Since() time.Time { return e.since }

// WriteError reports that the disk fails to write, so that nothing was written.
type WriteError struct {
	since time.Time
	err   error
}

// Error implements error.
func (e *WriteError) Error() string {
	return "the disk has not been written since " + e.since.Format(time.RFC3339Nano) + ": " + e.err.Error()
}

// Unwrap returns the first error.
func (e *WriteError) Unwrap() error { return e.err }

// waitingFS is a file system whose writes wait while the disk has no space or fails. The
// database can't go on after a write of its log or manifest has failed.
type waitingFS struct {
	vfs.FS
	logger   *zap.Logger
	reads    chan struct{} // One value for each read in progress.
	failures atomic.Int64
	failed   atomic.Pointer[WriteError] // Nil while the disk can be written.
	opened   atomic.Bool                // Set once the archive is open.
	stopOnce sync.Once
	stopped  chan struct{} // Closed after an error that the database can't survive.
	reason   error         // Set before stopped is closed.
}

func newWaitingFS(fs vfs.FS, logger *zap.Logger) *waitingFS {
	return &waitingFS{FS: fs, logger: logger, reads: make(chan struct{}, maxReads), stopped: make(chan struct{})}
}

func (fs *waitingFS) stop(reason error) {
	fs.stopOnce.Do(func() {
		fs.reason = reason
		close(fs.stopped)
	})
}

// blockIfStopped keeps a database that was abandoned from changing files, as another one
// uses them.
func (fs *waitingFS) blockIfStopped() {
	select {
	case <-fs.stopped:
		select {}
	default:
	}
}

// Remove implements vfs.FS.
func (fs *waitingFS) Remove(name string) error {
	fs.blockIfStopped()
	return fs.FS.Remove(name)
}

// waitWhile repeats an operation while isTemporary holds for its error. Before each
// repetition it calls repair until that succeeds, if it isn't nil.
func (fs *waitingFS) waitWhile(isTemporary func(error) bool, operation, repair func() error) error {
	fs.blockIfStopped()
	err := operation()
	if err == nil || !isTemporary(err) {
		return err
	}
	failure := &WriteError{since: time.Now(), err: err}
	fs.failures.Add(1)
	fs.failed.CompareAndSwap(nil, failure)
	fs.logFailure(failure)
	reminded := failure.since
	for err != nil && isTemporary(err) {
		time.Sleep(writeRetryInterval)
		fs.blockIfStopped()
		fs.failed.CompareAndSwap(nil, failure)
		if time.Since(reminded) >= reminderInterval {
			reminded = time.Now()
			fs.logFailure(failure)
		}
		if repair != nil {
			if err = repair(); err != nil {
				continue
			}
		}
		err = operation()
	}
	if ended := fs.failed.Swap(nil); ended != nil {
		fs.logger.Info("the disk can be written again", zap.Duration("failed", time.Since(ended.since)), zap.Error(err))
	}
	return err
}

func (fs *waitingFS) logFailure(failure *WriteError) {
	message := "the disk can't be written; writes are refused until it can"
	if vfs.IsNoSpaceError(failure.err) {
		message = "the disk is full; writes are refused until it has space"
	}
	fs.logger.Error(message, zap.Duration("failed", time.Since(failure.since)), zap.Error(failure.err))
}

// waitForDisk repeats an operation until it doesn't fail for a reason of the machine.
func (fs *waitingFS) waitForDisk(operation func() error) error {
	return fs.waitWhile(isErrorOfWriting, operation, nil)
}

// isErrorOfWriting reports whether an error of writing may pass. A missing directory may come
// back. No error is returned to the database that it can't survive.
func isErrorOfWriting(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EEXIST
}

func (fs *waitingFS) openForWriting(open func() (vfs.File, error)) (vfs.File, error) {
	var file vfs.File
	err := fs.waitForDisk(func() error {
		var err error
		file, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &waitingFile{File: file, fs: fs}, nil
}

// openRewritable opens a file of which the database writes the end only, and after whose
// failed sync it can't go on.
func (fs *waitingFS) openRewritable(name string, open func() (vfs.File, error)) (vfs.File, error) {
	file, err := fs.openForWriting(open)
	base := fs.PathBase(name)
	if _, _, isLog := wal.ParseLogFilename(base); err != nil || (!isLog && !strings.HasPrefix(base, manifestPrefix)) {
		return file, err
	}
	return &rewritableFile{waitingFile: file.(*waitingFile)}, nil
}

// Create implements vfs.FS.
func (fs *waitingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openRewritable(name, func() (vfs.File, error) { return fs.FS.Create(name, category) })
}

// OpenReadWrite implements vfs.FS.
func (fs *waitingFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	return fs.openForWriting(func() (vfs.File, error) { return fs.FS.OpenReadWrite(name, category, options...) })
}

// ReuseForWrite implements vfs.FS.
func (fs *waitingFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openRewritable(newName, func() (vfs.File, error) {
		file, err := fs.FS.ReuseForWrite(oldName, newName, category)
		if errors.Is(err, syscall.ENOENT) {
			return fs.FS.Create(newName, category) // The old file may be missing for good.
		}
		return file, err
	})
}

// OpenDir implements vfs.FS. Directories are opened to sync them. An error of opening one is
// returned, as the database does so only while it is being opened.
func (fs *waitingFS) OpenDir(name string) (vfs.File, error) {
	file, err := fs.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &waitingFile{File: file, fs: fs}, nil
}

// Link implements vfs.FS.
func (fs *waitingFS) Link(oldName, newName string) error {
	return fs.waitForDisk(func() error { return fs.FS.Link(oldName, newName) })
}

// Rename implements vfs.FS.
func (fs *waitingFS) Rename(oldName, newName string) error {
	return fs.waitForDisk(func() error { return fs.FS.Rename(oldName, newName) })
}

// Unwrap implements vfs.FS.
func (fs *waitingFS) Unwrap() vfs.FS { return fs.FS }

// waitingFile is a file whose writes wait while the disk has no space or fails.
type waitingFile struct {
	vfs.File
	fs *waitingFS
}

// Write implements vfs.File. It continues after a part that was written.
func (f *waitingFile) Write(data []byte) (int, error) {
	written := 0
	err := f.fs.waitForDisk(func() error {
		count, err := f.File.Write(data[written:])
		written += count
		return err
	})
	return written, err
}

// WriteAt implements vfs.File.
func (f *waitingFile) WriteAt(data []byte, offset int64) (written int, err error) {
	err = f.fs.waitForDisk(func() error {
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

// Sync implements vfs.File. The sync of a directory or an empty file may be repeated; that of
// other files returns its error, as the system may have dropped what was written.
func (f *waitingFile) Sync() error { return f.sync(f.File.Sync) }

// SyncData implements vfs.File.
func (f *waitingFile) SyncData() error { return f.sync(f.File.SyncData) }

func (f *waitingFile) sync(sync func() error) error {
	if info, err := f.Stat(); err == nil && (info.IsDir() || info.Size() == 0) {
		return f.fs.waitForDisk(sync)
	}
	err := f.fs.waitWhile(vfs.IsNoSpaceError, sync, nil)
	if err != nil {
		f.fs.failures.Add(1)
		time.Sleep(writeRetryInterval) // The database tries a new file at once.
	}
	return err
}

// rewritableFile is a file that is written from its start to its end. It holds what has been
// written since the last sync, and writes that again after a failed sync: the system may have
// dropped it, and would then report success for the next sync.
type rewritableFile struct {
	*waitingFile
	mutex    sync.Mutex
	synced   int64
	unsynced []byte
}

// Write implements vfs.File.
func (f *rewritableFile) Write(data []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unsynced = append(f.unsynced, data...) // First, as Write may change data.
	written, err := f.waitingFile.Write(data)
	f.unsynced = f.unsynced[:len(f.unsynced)-len(data)+written]
	return written, err
}

// Sync implements vfs.File.
func (f *rewritableFile) Sync() error { return f.sync(f.File.Sync) }

// SyncData implements vfs.File.
func (f *rewritableFile) SyncData() error { return f.sync(f.File.SyncData) }

// SyncTo implements vfs.File. It only begins to write what Sync completes.
func (f *rewritableFile) SyncTo(int64) (fullSync bool, err error) { return false, nil }

func (f *rewritableFile) sync(sync func() error) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	err := f.fs.waitWhile(isErrorOfWriting, sync, func() error {
		_, err := f.File.WriteAt(f.unsynced, f.synced)
		return err
	})
	if err == nil {
		f.synced += int64(len(f.unsynced))
		f.unsynced = f.unsynced[:0]
	}
	return err
}
