package archive_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// lockedFS is a file system on which another process holds all locks until it is released.
type lockedFS struct {
	vfs.FS
	released atomic.Bool
}

// Lock implements vfs.FS.
func (f *lockedFS) Lock(name string) (io.Closer, error) {
	if !f.released.Load() {
		return nil, syscall.EAGAIN
	}
	return f.FS.Lock(name)
}

// TestOpenWaitsForOtherProcess guards against a keeper that ends by itself because the
// process before it, which is still stopping, has the archive open.
func TestOpenWaitsForOtherProcess(t *testing.T) {
	fs := &lockedFS{FS: vfs.NewMem()}
	time.AfterFunc(300*time.Millisecond, func() { fs.released.Store(true) })
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open while another process has the lock: got %v, want it to wait", err)
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
	fs.released.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := archive.OpenFS(ctx, fs, "data", zap.NewNop()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("open with a context that ends: got %v, want %v", err, context.DeadlineExceeded)
	}
}
