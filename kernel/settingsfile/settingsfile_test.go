package settingsfile_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/settingsfile"
)

// parse accepts every file.
func parse(text []byte) (string, error) { return string(text), nil }

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("write: %v", err)
	}
}

// TestAwaitReadsWholeFile guards against a process that runs with the defaults because it
// read its settings file while that was being written: the part before is valid as well.
func TestAwaitReadsWholeFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	want := "[bounds]\ngrace = 1\nwindow = 2\n"
	parts := []string{"[bounds]\n", "[bounds]\ngrace = 1\n", want}
	write(t, path, parts[0])
	content, err := settingsfile.Await(t.Context(), path, func(text []byte) (string, error) {
		if len(parts) > 1 {
			parts = parts[1:]
			write(t, path, parts[0])
		}
		return parse(text)
	}, zap.NewNop())
	if err != nil {
		t.Fatalf("await: %v", err)
	}
	if got := content.Value(); got != want {
		t.Errorf("content: got %q, want %q", got, want)
	}
}

// TestAwaitEndsWithContext guards against a process that cannot be stopped while it waits
// for its settings file, or while the file system does not answer.
func TestAwaitEndsWithContext(t *testing.T) {
	silent := filepath.Join(t.TempDir(), "silent.toml")
	if err := syscall.Mkfifo(silent, 0o600); err != nil {
		t.Fatalf("mkfifo: %v", err)
	}
	for _, path := range []string{filepath.Join(t.TempDir(), "missing.toml"), silent} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := settingsfile.Await(ctx, path, parse, zap.NewNop()); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("await %s: got %v, want %v", filepath.Base(path), err, context.DeadlineExceeded)
		}
	}
}

// TestReaderDoesNotBlock guards against a process that can't be stopped while it parses its
// settings file, or that ends because parsing panics.
func TestReaderDoesNotBlock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write(t, path, "")
	proceed := make(chan struct{})
	slow := settingsfile.NewReader(path, func(text []byte) (string, error) {
		<-proceed
		return parse(text)
	}, zap.NewNop())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := slow.Read(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("read while parsing takes long: got %v, want %v", err, context.DeadlineExceeded)
	}
	close(proceed)
	if _, err := slow.Read(t.Context()); err != nil {
		t.Errorf("read after that: got %v, want no error", err)
	}
	faulty := settingsfile.NewReader(path, func([]byte) (string, error) { panic("fault of the decoder") }, zap.NewNop())
	if _, err := faulty.Read(t.Context()); err == nil {
		t.Error("parse that panics: got no error, want one")
	}
	write(t, path, strings.Repeat("#", 65_537))
	var tooLarge *settingsfile.TooLargeError
	if _, err := slow.Read(t.Context()); !errors.As(err, &tooLarge) {
		t.Errorf("file of more than 64 KiB: got %v, want a TooLargeError", err)
	}
}
