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

// TestUnreadableTurnsAreFetched guards against turns that are reported as absent, or never
// returned again, because their records can't be read while the keeper runs, and against
// other keepers that can't copy the records which can be read.
func TestUnreadableTurnsAreFetched(t *testing.T) {
	fs := &unreadableFS{FS: vfs.NewMem()}
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
	// More than the database holds in memory.
	const count = 20
	turns := make(map[string]*wire.Turn)
	newest := ""
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
	defer func() { _ = disk.Close() }()
	fs.breakTables(t)
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
