package archive_test

import (
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// onceFS fails to open a manifest once.
type onceFS struct {
	vfs.FS
	err    error
	failed atomic.Bool
}

func (f *onceFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	if strings.Contains(name, "MANIFEST") && f.failed.CompareAndSwap(false, true) {
		return nil, &os.PathError{Op: "open", Path: name, Err: f.err}
	}
	return f.FS.Open(name, options...)
}

// TestPassingErrorIsNoDamage guards against a keeper that sets intact records aside because
// the system reported an error once.
func TestPassingErrorIsNoDamage(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	for _, cause := range []syscall.Errno{syscall.EFBIG, syscall.ENOLCK, syscall.EOPNOTSUPP, syscall.ENOSYS, syscall.ECONNREFUSED, syscall.EHOSTDOWN, syscall.ENAMETOOLONG} {
		t.Run(cause.Error(), func(t *testing.T) {
			fs := &onceFS{FS: filled.CrashClone(vfs.CrashCloneCfg{}), err: cause}
			values, damaged := openDamaged(t, fs, expires)
			if !fs.failed.Load() || len(values) != recordCount || damaged {
				t.Errorf("records: got %d, damaged %t, failed once %t; want all %d of an undamaged archive", len(values), damaged, fs.failed.Load(), recordCount)
			}
		})
	}
}

// TestMissingDirectoryIsWaitedFor guards against a keeper that never writes again after its
// directory was away for a moment.
func TestMissingDirectoryIsWaitedFor(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	dir := filepath.Join(t.TempDir(), "data")
	store, err := archive.Open(t.Context(), dir, zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	if err := os.Rename(dir, dir+".away"); err != nil {
		t.Fatalf("rename: %v", err)
	}
	stored := make(chan error, 1)
	go func() {
		var err error
		for index := 0; index < recordCount && err == nil; index++ {
			err = store.StoreNoSync(randomRecord(index, expires))
		}
		stored <- err
	}()
	deadline := time.Now().Add(20 * time.Second)
	for store.Writable() == nil && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if err := os.Rename(dir+".away", dir); err != nil {
		t.Fatalf("rename back: %v", err)
	}
	select {
	case err := <-stored:
		if err != nil {
			t.Errorf("writes that waited: got %v, want none", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("writes after the directory came back: still waiting, %v", store.Writable())
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
}
