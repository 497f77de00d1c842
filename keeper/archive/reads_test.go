package archive_test

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// lateFS is a file system whose reads return late while late is set.
type lateFS struct {
	vfs.FS
	late          atomic.Bool
	reading, most atomic.Int64
}

func (f *lateFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	file, err := f.FS.Open(name, options...)
	return &lateFile{File: file, fs: f}, err
}

type lateFile struct {
	vfs.File
	fs *lateFS
}

func (f *lateFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if f.fs.late.Load() {
		reading := f.fs.reading.Add(1)
		defer f.fs.reading.Add(-1)
		for most := f.fs.most.Load(); reading > most && !f.fs.most.CompareAndSwap(most, reading); most = f.fs.most.Load() {
		}
		time.Sleep(200 * time.Millisecond)
	}
	return f.File.ReadAt(buffer, offset)
}

// TestReadsOfSlowDiskAreBounded guards against a keeper that ends because calls that wait for its
// disk need more threads than a process may have.
func TestReadsOfSlowDiskAreBounded(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	fs := &lateFS{FS: fill(t, expires)}
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	fs.late.Store(true)
	var readers sync.WaitGroup
	for index := range recordCount {
		readers.Go(func() {
			want := randomRecord(index, expires)
			if got, err := store.Read(want.Key, expires); err != nil || !bytes.Equal(got, want.Value) {
				t.Errorf("record %d: got %d bytes and %v, want the record", index, len(got), err)
			}
		})
	}
	readers.Wait()
	if got := fs.most.Load(); got == 0 || got > 64 {
		t.Errorf("reads of the disk at once, for %d readers: got %d, want some and at most 64", recordCount, got)
	}
	fs.late.Store(false)
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
}
