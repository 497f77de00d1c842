package archive_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"limpethall.dev/keeper/archive"
)

var errUnknown = errors.New("an error of no known kind")

// endHook is called where the process would end.
type endHook struct{ ended chan struct{} }

func (h endHook) OnWrite(*zapcore.CheckedEntry, []zapcore.Field) {
	close(h.ended)
	select {}
}

// TestOpenAfterDatabaseStopped guards against a keeper that never opens its archive again
// after the database gave up while it was being opened.
func TestOpenAfterDatabaseStopped(t *testing.T) {
	fs := &failingFS{FS: vfs.NewCrashableMem(), operation: "write", err: errUnknown}
	fs.failing.Store(true)
	time.AfterFunc(500*time.Millisecond, func() { fs.failing.Store(false) })
	opened := make(chan int, 1)
	go func() {
		store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
		if err != nil || store.Damaged() {
			t.Errorf("open: got %v, want an undamaged archive", err)
			opened <- 0
			return
		}
		opened <- len(scanAll(t, store))
		_ = store.Close()
	}()
	select {
	case got := <-opened:
		if got != 0 {
			t.Errorf("records: got %d, want none", got)
		}
	case <-time.After(15 * time.Second):
		t.Error("open: still waiting, want it to open the archive again")
	}
}

// TestStoppedDatabaseEndsProcess guards against a keeper that refuses all writes for ever
// after its database gave up: a restart opens it again.
func TestStoppedDatabaseEndsProcess(t *testing.T) {
	fs := &failingFS{FS: vfs.NewCrashableMem(), operation: "write", err: errUnknown}
	hook := endHook{ended: make(chan struct{})}
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.New(zapcore.NewNopCore(), zap.WithFatalHook(hook)))
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	fs.failing.Store(true)
	stored := make(chan error, 1)
	go func() { stored <- store.Store(randomRecord(0, time.Now().Add(time.Hour))) }()
	select {
	case <-hook.ended:
	case err := <-stored:
		t.Errorf("store: got %v, want the end of the process", err)
	case <-time.After(5 * time.Second):
		t.Errorf("store: still waiting, writable %v; want the end of the process", store.Writable())
	}
}
