package ledger_test

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/wire"
)

// heldFS is a file system whose syncs wait while hold is not nil.
type heldFS struct {
	vfs.FS
	hold chan chan struct{} // Holds a channel that is closed to let syncs continue.
}

func (fs *heldFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := fs.FS.Create(name, category)
	return &heldFile{File: file, fs: fs}, err
}

type heldFile struct {
	vfs.File
	fs *heldFS
}

func (f *heldFile) wait() {
	release := <-f.fs.hold
	f.fs.hold <- release
	<-release
}

func (f *heldFile) Sync() error {
	f.wait()
	return f.File.Sync()
}

func (f *heldFile) SyncData() error {
	f.wait()
	return f.File.SyncData()
}

// TestRepeatedRequestWaitsForSync guards against a turn that was acknowledged and lost: a
// repeated request found the record in memory and was answered before the first request
// had synced it.
func TestRepeatedRequestWaitsForSync(t *testing.T) {
	released := make(chan struct{})
	close(released)
	fs := &heldFS{FS: vfs.NewMem(), hold: make(chan chan struct{}, 1)}
	fs.hold <- released
	disk, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open the archive: %v", err)
	}
	defer func() { _ = disk.Close() }()
	l, err := ledger.Open(disk, time.Now(), zap.NewNop())
	if err != nil {
		t.Fatalf("open the ledger: %v", err)
	}
	if err := l.SetReady(true); err != nil {
		t.Fatalf("set ready: %v", err)
	}
	requests := []struct {
		name string
		send func() error
	}{
		{"begin", func() error {
			_, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: newReservation("a", 10, false), Budget: 100, Workspace: "w"})
			return err
		}},
		{"finish", func() error {
			return l.Finish(time.Now(), &wire.FinishTurnRequest{Turn: newTurn("a", "", "w"), Reservation: newReservation("a", 7, true)})
		}},
	}
	for _, request := range requests {
		<-fs.hold
		release := make(chan struct{})
		fs.hold <- release
		answers := make(chan error, 2)
		for range 2 {
			go func() { answers <- request.send() }()
			time.Sleep(50 * time.Millisecond)
		}
		if got, want := len(answers), 0; got != want {
			t.Errorf("%s: got %d answers before the record was synced, want none", request.name, got)
		}
		close(release)
		for range 2 {
			if err := <-answers; err != nil {
				t.Errorf("%s: got %v, want none", request.name, err)
			}
		}
	}
}

// fullFS is a file system that has no space while full is set.
type fullFS struct {
	vfs.FS
	full atomic.Bool
}

func (fs *fullFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := fs.FS.Create(name, category)
	return &fullFile{File: file, fs: fs}, err
}

type fullFile struct {
	vfs.File
	fs *fullFS
}

func (f *fullFile) Write(data []byte) (int, error) {
	if f.fs.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// TestRequestsWhileDiskIsFull guards against records that a keeper acknowledges or counts
// although it could not write them. Requests must fail at once, and the same ones must
// succeed when there is space again.
func TestRequestsWhileDiskIsFull(t *testing.T) {
	fs := &fullFS{FS: vfs.NewMem()}
	disk, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open the archive: %v", err)
	}
	defer func() { _ = disk.Close() }()
	l, err := ledger.Open(disk, time.Now(), zap.NewNop())
	if err != nil {
		t.Fatalf("open the ledger: %v", err)
	}
	if err := l.SetReady(true); err != nil {
		t.Fatalf("set ready: %v", err)
	}
	requests := map[string]func() error{
		"begin": func() error {
			_, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: newReservation("a", 10, false), Budget: 100, Workspace: "w"})
			return err
		},
		"finish": func() error { return l.Finish(time.Now(), &wire.FinishTurnRequest{Turn: newTurn("a", "", "w")}) },
		"copy":   func() error { return l.Merge(time.Now(), &wire.CopyReply{Turns: []*wire.Turn{newTurn("b", "", "w")}}) },
	}
	fs.full.Store(true)
	waiting := make(chan error, 1)
	go func() { waiting <- l.SetCopied(&wire.KeeperList{}) }()
	for disk.Writable() == nil {
		time.Sleep(time.Millisecond)
	}
	var full *archive.FullError
	for name, send := range requests {
		if err := send(); !errors.As(err, &full) {
			t.Errorf("%s while the disk is full: got %v, want a FullError", name, err)
		}
	}
	if turns, programs := l.Counts(); turns != 0 || programs != 0 {
		t.Errorf("records after refused requests: got %d turns and %d programs, want none", turns, programs)
	}
	fs.full.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("write that waited for space: got %v, want none", err)
	}
	for name, send := range requests {
		if err := send(); err != nil {
			t.Errorf("%s with space again: got %v, want none", name, err)
		}
	}
}

// TestMarksWhileDiskIsFull guards against a keeper that can't stop, as the marks that it
// stores for itself wait for a full disk.
func TestMarksWhileDiskIsFull(t *testing.T) {
	fs := &fullFS{FS: vfs.NewMem()}
	disk, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open the archive: %v", err)
	}
	defer func() { _ = disk.Close() }()
	l, err := ledger.Open(disk, time.Now(), zap.NewNop())
	if err != nil {
		t.Fatalf("open the ledger: %v", err)
	}
	fs.full.Store(true)
	waiting := make(chan error, 1)
	go func() { waiting <- disk.Store(archive.Record{Key: "waiting", Expires: time.Now().Add(time.Hour)}) }()
	for disk.Writable() == nil {
		time.Sleep(time.Millisecond)
	}
	marked := make(chan error, 2)
	go func() { marked <- l.SetReady(true) }()
	go func() { marked <- l.SetCopied(&wire.KeeperList{}) }()
	var full *archive.FullError
	for range cap(marked) {
		select {
		case err := <-marked:
			if !errors.As(err, &full) {
				t.Errorf("mark while the disk is full: got %v, want a FullError", err)
			}
		case <-time.After(2 * time.Second):
			t.Error("mark while the disk is full: still waiting, want a FullError")
		}
	}
	fs.full.Store(false)
	if err := <-waiting; err != nil {
		t.Errorf("write that waited for space: got %v, want none", err)
	}
}
