package archive_test

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// brokenFS fails to open files whose names contain a text, and to create any in "data" if the
// text is that.
type brokenFS struct {
	vfs.FS
	name   string
	err    error
	broken atomic.Bool
}

func (f *brokenFS) check(name string) error {
	if f.broken.Load() && strings.Contains(name, f.name) {
		return &os.PathError{Op: "open", Path: name, Err: f.err}
	}
	return nil
}

func (f *brokenFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	if err := f.check(name); err != nil {
		return nil, err
	}
	return f.FS.Open(name, options...)
}

func (f *brokenFS) MkdirAll(name string, mode os.FileMode) error {
	return errors.Join(f.check(name), f.FS.MkdirAll(name, mode))
}

func (f *brokenFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.check(name); err != nil && f.name == "data" {
		return nil, err
	}
	return f.FS.Create(name, category)
}

func (f *brokenFS) Lock(name string) (io.Closer, error) {
	if err := f.check(name); err != nil {
		return nil, err
	}
	return f.FS.Lock(name)
}

// TestOpenWaitsForDisk guards against a keeper that ends, or sets its records aside, because
// its disk can't be used for a while.
func TestOpenWaitsForDisk(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	for _, cause := range []struct {
		name string
		err  error
	}{
		{"data", syscall.EACCES},
		{"data", syscall.ENOTDIR},
		{"data", syscall.EROFS},
		{"data", syscall.EIO},
		{"MANIFEST", syscall.EMFILE},
		{".sst", syscall.EACCES},
		{".log", syscall.ENFILE},
	} {
		t.Run(cause.name+" "+cause.err.Error(), func(t *testing.T) {
			fs := &brokenFS{FS: filled.CrashClone(vfs.CrashCloneCfg{}), name: cause.name, err: cause.err}
			fs.broken.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			load := func(store *archive.Archive) error {
				_, err := store.Scan(nil, func(archive.Record) bool { return true })
				return err
			}
			if _, err := archive.OpenWith(ctx, archive.Options{FS: fs, Dir: "data", Load: load, Logger: zap.NewNop()}); !errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("open of a disk that can't be used: got %v, want it to wait until %v", err, context.DeadlineExceeded)
			}
			time.AfterFunc(100*time.Millisecond, func() { fs.broken.Store(false) })
			values, damaged := openDamaged(t, fs, expires)
			if len(values) != recordCount || damaged {
				t.Errorf("records: got %d, damaged %t; want all %d of an undamaged archive", len(values), damaged, recordCount)
			}
		})
	}
}

// TestLastingReadErrorIsDamage guards against a keeper that never serves again because one of
// its files can't be read any more.
func TestLastingReadErrorIsDamage(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	files := fill(t, expires)
	synctest.Test(t, func(t *testing.T) {
		fs := &brokenFS{FS: files, name: "data/MANIFEST", err: syscall.EIO}
		fs.broken.Store(true)
		started := time.Now()
		values, damaged := openDamaged(t, fs, expires)
		if len(values) != recordCount || !damaged {
			t.Errorf("records: got %d, damaged %t; want all %d of a damaged archive", len(values), damaged, recordCount)
		}
		if took := time.Since(started); took < 5*time.Second {
			t.Errorf("archive set aside after %v of read errors, want it to wait for some seconds", took)
		}
	})
}

// TestNewerFormatIsLeftAlone guards against records that are set aside because newer software
// has stored them.
func TestNewerFormatIsLeftAlone(t *testing.T) {
	files := fill(t, time.Now().Add(time.Hour))
	file, err := files.Create("data/marker.format-version.000999.999", vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatalf("create the marker: %v", err)
	}
	_ = file.Close()
	before, _ := files.List("data")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := archive.OpenFS(ctx, files, "data", zap.NewNop()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("open of an archive in a newer format: got %v, want it to wait until %v", err, context.DeadlineExceeded)
	}
	after, _ := files.List("data")
	if got, want := len(after), len(before); got != want {
		t.Errorf("files: got %v, want those before, %v", after, before)
	}
}

// panickingFS is a file system that panics the first time it lists files.
type panickingFS struct {
	vfs.FS
	panicked atomic.Bool
}

func (f *panickingFS) List(name string) ([]string, error) {
	if !f.panicked.Swap(true) {
		panic("malformed directory")
	}
	return f.FS.List(name)
}

// TestPanicWhileOpening guards against a keeper that ends because opening its archive panics: it
// must be opened again, and find it unlocked.
func TestPanicWhileOpening(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	store, err := archive.OpenFS(ctx, &panickingFS{FS: vfs.NewMem()}, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open after a panic: %v", err)
	}
	if store.Damaged() {
		t.Error("archive after a panic: got a damaged one")
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
}
