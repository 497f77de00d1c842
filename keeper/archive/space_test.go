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

// limitedFS is a file system without space while full is set.
type limitedFS struct {
	vfs.FS
	full atomic.Bool
}

func (fs *limitedFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if fs.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := fs.FS.Create(name, category)
	return &limitedFile{File: file, fs: fs}, err
}

func (fs *limitedFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := fs.FS.ReuseForWrite(oldName, newName, category)
	return &limitedFile{File: file, fs: fs}, err
}

// limitedFile writes only a part of its data while the file system is full.
type limitedFile struct {
	vfs.File
	fs *limitedFS
}

func (f *limitedFile) Write(data []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(data)
	}
	written, err := f.File.Write(data[:len(data)/3])
	return written, errors.Join(err, syscall.ENOSPC)
}

// TestFullDiskDoesNotEndProcess guards against a keeper that ended because its disk was
// full for some seconds. Writes must wait, callers must be able to tell, and what was
// acknowledged must be on disk once there is space again.
func TestFullDiskDoesNotEndProcess(t *testing.T) {
	memory := vfs.NewCrashableMem()
	fs := &limitedFS{FS: memory}
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	now := time.Now()
	if err := store.Store(newRecord(0, now)); err != nil {
		t.Fatalf("store: %v", err)
	}
	fs.full.Store(true)
	waiting := make(chan error, 1)
	go func() { waiting <- store.Store(newRecord(1, now)) }()
	for store.Writable() == nil {
		time.Sleep(time.Millisecond)
	}
	var full *archive.FullError
	if err := store.Writable(); !errors.As(err, &full) {
		t.Errorf("while the disk is full: got %v, want a FullError", err)
	}
	if err := store.Expire(now); !errors.As(err, &full) {
		t.Errorf("expire while the disk is full: got %v, want a FullError", err)
	}
	if _, err := store.Read(newRecord(0, now).Key, newRecord(0, now).Expires); err != nil {
		t.Errorf("read while the disk is full: got %v, want none", err)
	}
	fs.full.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("write that waited for space: got %v, want none", err)
	}
	if err := store.Store(newRecord(2, now)); err != nil {
		t.Errorf("store with space again: got %v, want none", err)
	}
	crashed := memory.CrashClone(vfs.CrashCloneCfg{})
	reopened, err := archive.OpenFS(t.Context(), crashed, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open after the power loss: %v", err)
	}
	values := scanAll(t, reopened)
	for _, index := range []int{0, 1, 2} {
		want := newRecord(index, now)
		if got := values[want.Key]; !bytes.Equal(got, want.Value) {
			t.Errorf("record %s: got %d bytes, want the %d bytes that were synced", want.Key, len(got), len(want.Value))
		}
	}
	if err := errors.Join(closeFully(store), closeFully(reopened)); err != nil {
		t.Errorf("close: %v", err)
	}
}
