package archive_test

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// TestCloseWhileInUse guards against a keeper that panics as it stops, because a call still
// uses the archive that is being closed.
func TestCloseWhileInUse(t *testing.T) {
	store, err := archive.Open(t.Context(), t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	now := time.Now()
	record := newRecord(0, now)
	if err := store.Store(record); err != nil {
		t.Fatalf("store: %v", err)
	}
	operations := map[string]func() error{
		"store": func() error { return store.Store(record) },
		"read": func() error {
			_, err := store.Read(record.Key, record.Expires)
			return err
		},
		"scan": func() error {
			_, err := store.Scan(nil, func(archive.Record) bool { return true })
			return err
		},
		"expire": func() error { return store.Expire(now.Add(-time.Hour)) },
	}
	var users sync.WaitGroup
	for name, operation := range operations {
		users.Go(func() {
			var err error
			for err == nil {
				err = operation()
			}
			var closed *archive.ClosedError
			if !errors.As(err, &closed) {
				t.Errorf("%s while the archive is closed: got %v, want a *ClosedError", name, err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
	users.Wait()
}

// closeFully closes an archive, and calls Close again only while the disk is slow. Closing goes
// on meanwhile.
func closeFully(store *archive.Archive) error {
	var slow *archive.SlowError
	err := store.Close()
	for errors.As(err, &slow) {
		err = store.Close()
	}
	return err
}

// slowFS is a file system whose syncs wait while slow is held.
type slowFS struct {
	vfs.FS
	slow sync.Mutex
}

func (f *slowFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, category)
	return &slowFile{File: file, fs: f}, err
}

type slowFile struct {
	vfs.File
	fs *slowFS
}

func (f *slowFile) Sync() error {
	f.fs.slow.Lock()
	defer f.fs.slow.Unlock()
	return f.File.Sync()
}

func (f *slowFile) SyncData() error { return f.Sync() }

// TestCloseOfSlowDisk guards against a keeper that waits for its slow disk as it is closed,
// adds goroutines with each attempt, or never lets the next one open the archive.
func TestCloseOfSlowDisk(t *testing.T) {
	fs, now := &slowFS{FS: vfs.NewMem()}, time.Now()
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	fs.slow.Lock()
	stored := make(chan error, 1)
	go func() { stored <- store.Store(newRecord(0, now)) }()
	time.Sleep(100 * time.Millisecond) // The record waits for its sync.
	var slow *archive.SlowError
	if err := store.Close(); !errors.As(err, &slow) {
		t.Errorf("close while a record waits: got %v, want a SlowError", err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := store.Read(newRecord(0, now).Key, now)
		read <- err
	}()
	var closed *archive.ClosedError
	select {
	case err := <-read:
		if !errors.As(err, &closed) {
			t.Errorf("read after close: got %v, want a ClosedError", err)
		}
	case <-time.After(time.Second):
		t.Error("read after close: still waiting, want a ClosedError at once")
	}
	goroutines := runtime.NumGoroutine()
	if err := store.Close(); !errors.As(err, &slow) {
		t.Errorf("second close while a record waits: got %v, want a SlowError", err)
	}
	if got := runtime.NumGoroutine(); got > goroutines {
		t.Errorf("goroutines after the second close: got %d, want at most %d", got, goroutines)
	}
	fs.slow.Unlock()
	if err := <-stored; err != nil {
		t.Errorf("store that waited: %v", err)
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close when the disk is quick again: got %v, want the result of closing", err)
	}
	if err := store.Close(); !errors.As(err, &closed) {
		t.Errorf("close of a closed archive: got %v, want a ClosedError", err)
	}
	next, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open after close: %v", err)
	}
	if err := closeFully(next); err != nil {
		t.Errorf("close: %v", err)
	}
}

// TestAbandonedOpeningFreesArchive guards against a keeper that waits for ever for its own
// archive: it was opened after the keeper was told to begin anew, as its disk failed.
func TestAbandonedOpeningFreesArchive(t *testing.T) {
	fs := &failingFS{FS: vfs.NewCrashableMem(), operation: "write", err: syscall.EIO}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	returned := make(chan struct{})
	load := func(store *archive.Archive) error {
		cancel()
		<-returned
		fs.failing.Store(true)
		go func() { _ = store.Store(randomRecord(0, time.Now().Add(time.Hour))) }()
		for store.Writable() == nil {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(500*time.Millisecond, func() { fs.failing.Store(false) })
		return nil
	}
	_, err := archive.OpenWith(ctx, archive.Options{FS: fs, Dir: "data", Load: load, Logger: zap.NewNop()})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("open with a context that ends: got %v, want %v", err, context.Canceled)
	}
	close(returned)
	time.Sleep(100 * time.Millisecond) // The abandoned opening goes on.
	nextCtx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	store, err := archive.OpenFS(nextCtx, fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open after an opening was abandoned: got %v, want the archive", err)
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
}
