package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
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

// unreadableFS is a file system on which the tables named in broken can't be read.
type unreadableFS struct {
	vfs.FS
	broken atomic.Pointer[[]string]
}

// breakTables makes all present tables unreadable.
func (f *unreadableFS) breakTables(t *testing.T) {
	t.Helper()
	names, err := f.List("data")
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	f.broken.Store(&names)
}

func (f *unreadableFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	file, err := f.FS.Open(name, options...)
	if err != nil || !strings.HasSuffix(name, ".sst") {
		return file, err
	}
	return &unreadableFile{File: file, fs: f, name: f.PathBase(name)}, nil
}

type unreadableFile struct {
	vfs.File
	fs   *unreadableFS
	name string
}

func (f *unreadableFile) ReadAt(buffer []byte, offset int64) (int, error) {
	if broken := f.fs.broken.Load(); broken != nil && slices.Contains(*broken, f.name) {
		return 0, syscall.EIO
	}
	return f.File.ReadAt(buffer, offset)
}

// openUnreadable stores a chain of turns, more than the database holds in memory, opens the
// ledger again and makes its tables unreadable. It returns the turns by ID and the newest.
func openUnreadable(t *testing.T, fs *unreadableFS, count int) (l *ledger.Ledger, turns map[string]*wire.Turn, newest string) {
	t.Helper()
	open := func() (*ledger.Ledger, *archive.Archive) {
		t.Helper()
		disk, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
		if err != nil {
			t.Fatalf("open the archive: %v", err)
		}
		l, err := ledger.Open(disk, time.Now(), zap.NewNop())
		if err != nil {
			t.Fatalf("open the ledger: %v", err)
		}
		return l, disk
	}
	l, disk := open()
	if err := l.SetReady(true); err != nil {
		t.Fatalf("set ready: %v", err)
	}
	turns = make(map[string]*wire.Turn)
	for index := range count {
		turn := newTurn(fmt.Sprintf("turn-%d", index), newest, "w")
		turn.Input = make([]byte, 200<<10)
		_, _ = rand.NewChaCha8([32]byte{byte(index)}).Read(turn.Input)
		storeTurn(t, l, turn)
		newest, turns[turn.GetId()] = turn.GetId(), turn
	}
	if err := disk.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	l, disk = open()
	t.Cleanup(func() { _ = disk.Close() })
	fs.breakTables(t)
	return l, turns, newest
}

// TestUnreadableTurnsAreFetched guards against turns that are reported as absent, or never
// returned again, because their records can't be read while the keeper runs, and against
// other keepers that can't copy the records which can be read.
func TestUnreadableTurnsAreFetched(t *testing.T) {
	const count = 20
	l, turns, newest := openUnreadable(t, &unreadableFS{FS: vfs.NewMem()}, count)
	copied := false
	for range 2 * count {
		_, err := l.Page(nil, func(string) bool { return true })
		copied = copied || err == nil
	}
	if !copied {
		t.Error("page of the records that can be read: got an error each time")
	}
	for _, gap := range l.Gaps() {
		l.ForgetGap(gap) // No other keeper had it when it was asked.
	}
	verdict := wire.FindVerdict_FIND_VERDICT_UNCERTAIN
	for range 3 * count {
		reply, err := l.Find(newest, "w")
		if verdict = reply.GetVerdict(); err == nil && verdict == wire.FindVerdict_FIND_VERDICT_FOUND {
			break
		}
		if err == nil && verdict == wire.FindVerdict_FIND_VERDICT_ABSENT {
			t.Fatalf("turn that can't be read: got %s", verdict)
		}
		var fetched []*wire.Turn
		for _, gap := range l.Gaps() {
			fetched = append(fetched, turns[gap.Turn()])
		}
		if err := l.FillGaps(time.Now(), fetched); err != nil {
			t.Fatalf("fill gaps: %v", err)
		}
	}
	if want := wire.FindVerdict_FIND_VERDICT_FOUND; verdict != want {
		t.Errorf("turn after the unreadable ones were fetched: got %s, want %s", verdict, want)
	}
}

// TestTurnIsReadAgain guards against turns that stay unavailable because a read of their
// records failed for a moment, although no other keeper has them.
func TestTurnIsReadAgain(t *testing.T) {
	fs := &unreadableFS{FS: vfs.NewMem()}
	const count = 20
	l, _, newest := openUnreadable(t, fs, count)
	for range 2 * count {
		_, _ = l.Find(newest, "w")                            // Notes what can't be read.
		_, _ = l.Page(nil, func(string) bool { return true }) // Ends at the first such record.
	}
	if len(l.Gaps()) == 0 {
		t.Fatal("turns that can't be read: got none, want some")
	}
	fs.broken.Store(nil)
	reply, err := l.Find(newest, "w")
	if got, want := reply.GetVerdict(), wire.FindVerdict_FIND_VERDICT_FOUND; err != nil || got != want || len(reply.GetParts()) != 2*count {
		t.Errorf("turn once its disk is read again: got %s with %d parts and %v, want %s with %d", got, len(reply.GetParts()), err, want, 2*count)
	}
	if got := len(l.Gaps()); got != 0 {
		t.Errorf("missing turns once the disk is read again: got %d, want none", got)
	}
}
