package archive_test

import (
	"bytes"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// failingFS is a file system whose writes, syncs or creations fail while failing is set.
type failingFS struct {
	vfs.FS
	operation string
	err       error
	failing   atomic.Bool
}

func (f *failingFS) check(operation string) error {
	if f.failing.Load() && f.operation == operation {
		return f.err
	}
	return nil
}

func (f *failingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.check("create"); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name, category)
	return &failingFile{File: file, fs: f}, err
}

func (f *failingFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.check("create"); err != nil {
		return nil, err
	}
	file, err := f.FS.ReuseForWrite(oldName, newName, category)
	return &failingFile{File: file, fs: f}, err
}

// failingFile drops what was written since the last sync if a sync fails.
type failingFile struct {
	vfs.File
	fs              *failingFS
	written, synced int64
}

func (f *failingFile) Write(data []byte) (int, error) {
	if err := f.fs.check("write"); err != nil {
		return 0, err
	}
	count, err := f.File.Write(data)
	f.written += int64(count)
	return count, err
}

func (f *failingFile) sync(sync func() error) error {
	if err := f.fs.check("sync"); err != nil {
		_, writeErr := f.WriteAt(make([]byte, f.written-f.synced), f.synced)
		return errors.Join(err, writeErr)
	}
	f.synced = f.written
	return sync()
}

func (f *failingFile) Sync() error     { return f.sync(f.File.Sync) }
func (f *failingFile) SyncData() error { return f.sync(f.File.SyncData) }

// TestFailingDiskDoesNotEndProcess guards against a keeper that ended because a write or a
// sync failed. Writes must wait, callers must be able to tell, and what was acknowledged must
// be on disk although the system dropped what it had failed to sync.
func TestFailingDiskDoesNotEndProcess(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	for _, cause := range []struct {
		operation string
		err       error
	}{{"write", syscall.EIO}, {"write", syscall.EROFS}, {"sync", syscall.EIO}, {"create", syscall.EIO}, {"create", syscall.EMFILE}} {
		t.Run(cause.operation+" "+cause.err.Error(), func(t *testing.T) {
			memory := vfs.NewCrashableMem()
			fs := &failingFS{FS: memory, operation: cause.operation, err: cause.err}
			store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			if err := store.Store(randomRecord(0, expires)); err != nil {
				t.Fatalf("store: %v", err)
			}
			fs.failing.Store(true)
			acknowledged := make(chan error, 1)
			go func() {
				// Enough for a new log and a table.
				var err error
				for index := 1; index < recordCount && err == nil; index++ {
					if err = store.StoreNoSync(randomRecord(index, expires)); err == nil && index%100 == 0 {
						err = store.Store(randomRecord(index, expires))
					}
				}
				acknowledged <- errors.Join(err, store.Store(randomRecord(recordCount, expires)))
			}()
			for store.Writable() == nil {
				time.Sleep(time.Millisecond)
			}
			var failure *archive.WriteError
			if err := store.Writable(); !errors.As(err, &failure) || !errors.Is(err, cause.err) {
				t.Errorf("while the disk fails: got %v, want a WriteError of %v", err, cause.err)
			}
			if got, err := store.Read(randomRecord(0, expires).Key, expires); err != nil || !bytes.Equal(got, randomRecord(0, expires).Value) {
				t.Errorf("read while the disk fails: got %d bytes and %v, want the record", len(got), err)
			}
			started := time.Now()
			if err := store.Close(); !errors.As(err, &failure) || time.Since(started) > 3*time.Second {
				t.Errorf("close while the disk fails: got %v after %v, want a WriteError at once", err, time.Since(started))
			}
			fs.failing.Store(false)
			if err := <-acknowledged; err != nil {
				t.Errorf("writes that waited: got %v, want none", err)
			}
			reopened, err := archive.OpenFS(t.Context(), memory.CrashClone(vfs.CrashCloneCfg{}), "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open after the loss of power: %v", err)
			}
			if got := len(scanAll(t, reopened)); got != recordCount+1 || reopened.Damaged() {
				t.Errorf("records after a loss of power: got %d, damaged %t; want %d", got, reopened.Damaged(), recordCount+1)
			}
			if err := errors.Join(closeFully(store), closeFully(reopened)); err != nil {
				t.Errorf("close: %v", err)
			}
		})
	}
}
