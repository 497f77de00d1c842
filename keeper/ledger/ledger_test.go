package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/wire"
)

const retention = time.Minute

func openLedger(t *testing.T, dir string) (*ledger.Ledger, *archive.Archive) {
	t.Helper()
	disk, err := archive.Open(t.Context(), dir, zap.NewNop())
	if err != nil {
		t.Fatalf("open the archive: %v", err)
	}
	l, err := ledger.Open(disk, time.Now(), zap.NewNop())
	if err != nil {
		t.Fatalf("open the ledger: %v", err)
	}
	return l, disk
}

// newReadyLedger returns an empty ledger that is ready.
func newReadyLedger(t *testing.T) *ledger.Ledger {
	t.Helper()
	l, disk := openLedger(t, t.TempDir())
	t.Cleanup(func() { _ = disk.Close() })
	if err := l.SetReady(true); err != nil {
		t.Fatalf("set ready: %v", err)
	}
	return l
}

// restartAndCopy returns a ledger that holds a copy of all records, and one that was opened again,
// by their names. It closes the given one.
func restartAndCopy(t *testing.T, dir string, l *ledger.Ledger, disk *archive.Archive) map[string]*ledger.Ledger {
	t.Helper()
	page, err := l.Page(nil, func(string) bool { return true })
	if err != nil {
		t.Fatalf("page: %v", err)
	}
	copied := newReadyLedger(t)
	if err := copied.Merge(time.Now(), page); err != nil {
		t.Fatalf("merge: %v", err)
	}
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, disk := openLedger(t, dir)
	t.Cleanup(func() { _ = disk.Close() })
	return map[string]*ledger.Ledger{"restarted keeper": reopened, "keeper with the copy": copied}
}

func newReservation(turn string, tokens int64, settled bool) *wire.Reservation {
	return &wire.Reservation{Program: "w/p", Turn: turn, Tokens: tokens, Settled: settled, ExpiresUnixMilliseconds: time.Now().Add(2 * retention).UnixMilli()}
}

func newTurn(id, previous, workspace string) *wire.Turn {
	return &wire.Turn{
		Id: id, Previous: previous, Workspace: workspace, Placement: "w/p", Input: []byte("in " + id), Output: []byte("out " + id),
		ExpiresUnixMilliseconds: time.Now().Add(retention).UnixMilli(),
	}
}

func storeTurn(t *testing.T, l *ledger.Ledger, turn *wire.Turn) {
	t.Helper()
	if err := l.Finish(time.Now(), &wire.FinishTurnRequest{Turn: turn}); err != nil {
		t.Fatalf("finish %s: %v", turn.GetId(), err)
	}
}

func beginTurn(t *testing.T, l *ledger.Ledger, id string, tokens, budget int64) wire.BeginVerdict {
	t.Helper()
	reply, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: newReservation(id, tokens, false), Budget: budget, Workspace: "w"})
	if err != nil {
		t.Fatalf("begin %s: %v", id, err)
	}
	return reply.GetVerdict()
}

// TestBudget checks the verdicts on new, repeated and settled reservations.
func TestBudget(t *testing.T) {
	l := newReadyLedger(t)
	steps := []struct {
		name string
		turn string
		want wire.BeginVerdict
	}{
		{"first", "a", wire.BeginVerdict_BEGIN_VERDICT_ADMITTED},
		{"repeated", "a", wire.BeginVerdict_BEGIN_VERDICT_ADMITTED},
		{"second", "b", wire.BeginVerdict_BEGIN_VERDICT_ADMITTED},
		{"third exceeds the budget", "c", wire.BeginVerdict_BEGIN_VERDICT_EXHAUSTED},
	}
	for _, step := range steps {
		if got := beginTurn(t, l, step.turn, 40, 100); got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
	}
	settle := &wire.FinishTurnRequest{Reservation: newReservation("a", 10, true)}
	if err := l.Finish(time.Now(), settle); err != nil {
		t.Fatalf("settle: %v", err)
	}
	if got, want := beginTurn(t, l, "c", 40, 100), wire.BeginVerdict_BEGIN_VERDICT_ADMITTED; got != want {
		t.Errorf("third after a settlement: got %s, want %s", got, want)
	}
	if got, want := beginTurn(t, l, "a", 40, 100), wire.BeginVerdict_BEGIN_VERDICT_EXHAUSTED; got != want {
		t.Errorf("settled turn repeated: got %s, want %s", got, want)
	}
}

// TestBudgetIsNeverExceeded runs random reservations, settlements and restarts,
// and checks that the tokens reserved and spent stay within the budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir := t.TempDir()
		l, disk := openLedger(t, dir)
		defer func() { _ = disk.Close() }()
		if err := l.SetReady(true); err != nil {
			rt.Fatalf("set ready: %v", err)
		}
		const budget, reserved = 200, 30
		used := make(map[string]int64)
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				if err := disk.Close(); err != nil {
					rt.Fatalf("close: %v", err)
				}
				l, disk = openLedger(t, dir)
				if !l.Ready() {
					rt.Fatal("ledger reopened from its disk: got not ready, want ready")
				}
			case 1, 2, 3:
				for id, tokens := range used {
					if tokens == reserved {
						used[id] = rapid.Int64Range(0, reserved-1).Draw(rt, "tokens")
						if err := l.Finish(time.Now(), &wire.FinishTurnRequest{Reservation: newReservation(id, used[id], true)}); err != nil {
							rt.Fatalf("settle: %v", err)
						}
						break
					}
				}
			default:
				id := fmt.Sprintf("turn-%d", step)
				if beginTurn(t, l, id, reserved, budget) == wire.BeginVerdict_BEGIN_VERDICT_ADMITTED {
					used[id] = reserved
				}
			}
			sum := int64(0)
			for _, tokens := range used {
				sum += tokens
			}
			if sum > budget {
				rt.Fatalf("tokens reserved and spent: got %d, want at most %d", sum, budget)
			}
		}
	})
}

// TestHistory checks which history a later turn finds, and when it finds none:
// for a turn of another workspace and for an unknown turn. If a turn's predecessor is
// missing, it finds the part after that one, which other keepers can complete.
func TestHistory(t *testing.T) {
	l := newReadyLedger(t)
	storeTurn(t, l, newTurn("a", "", "w"))
	storeTurn(t, l, newTurn("b", "a", "w"))
	storeTurn(t, l, newTurn("orphan", "never stored", "w"))
	cases := []struct {
		turn      string
		workspace string
		want      wire.FindVerdict
	}{
		{"b", "w", wire.FindVerdict_FIND_VERDICT_FOUND},
		{"b", "other", wire.FindVerdict_FIND_VERDICT_FOREIGN},
		{"c", "w", wire.FindVerdict_FIND_VERDICT_ABSENT},
		{"", "w", wire.FindVerdict_FIND_VERDICT_ABSENT},
		{"orphan", "w", wire.FindVerdict_FIND_VERDICT_PARTIAL},
		{"orphan", "other", wire.FindVerdict_FIND_VERDICT_FOREIGN},
	}
	for _, c := range cases {
		reply, err := l.Find(c.turn, c.workspace)
		if err != nil {
			t.Fatalf("find %s: %v", c.turn, err)
		}
		if got := reply.GetVerdict(); got != c.want {
			t.Errorf("turn %s for %s: got %s, want %s", c.turn, c.workspace, got, c.want)
		}
	}
	reply, err := l.Find("b", "w")
	if err != nil {
		t.Fatalf("find: %v", err)
	}
	if got, want := fmt.Sprintf("%s", reply.GetParts()), "[in a out a in b out b]"; got != want {
		t.Errorf("history: got %s, want %s", got, want)
	}
	if reply, err = l.Find("orphan", "w"); err != nil {
		t.Fatalf("find: %v", err)
	}
	if got, want := fmt.Sprintf("%s %s", reply.GetParts(), reply.GetMissing()), "[in orphan out orphan] never stored"; got != want {
		t.Errorf("part of a history and the missing turn: got %s, want %s", got, want)
	}
}

// TestAppendExtendsChain appends to a chain for longer than the retention of its
// first turn. The whole chain must stay readable until its newest turn expires.
func TestAppendExtendsChain(t *testing.T) {
	l := newReadyLedger(t)
	now := time.Now()
	previous := ""
	for index := range 8 {
		id := fmt.Sprintf("turn-%d", index)
		stored := newTurn(id, previous, "w")
		stored.ExpiresUnixMilliseconds = now.Add(retention).UnixMilli()
		if err := l.Finish(now, &wire.FinishTurnRequest{Turn: stored}); err != nil {
			t.Fatalf("finish: %v", err)
		}
		previous = id
		now = now.Add(retention * 2 / 3)
		if err := l.Expire(now); err != nil {
			t.Fatalf("expire: %v", err)
		}
		reply, err := l.Find(id, "w")
		if err != nil {
			t.Fatalf("find: %v", err)
		}
		if got, want := len(reply.GetParts()), 2*(index+1); got != want {
			t.Fatalf("parts of the history after %d turns: got %d, want %d", index+1, got, want)
		}
	}
	now = now.Add(10 * retention)
	if err := l.Expire(now); err != nil {
		t.Fatalf("expire: %v", err)
	}
	if turns, _ := l.Counts(); turns != 0 {
		t.Errorf("turns after their expiry: got %d, want 0", turns)
	}
}

// TestCopyToAnotherKeeper copies a ledger page by page. The target must not admit
// turns before it is marked as ready, and must then have the source's reservations
// and history.
func TestCopyToAnotherKeeper(t *testing.T) {
	source := newReadyLedger(t)
	target, disk := openLedger(t, t.TempDir())
	defer func() { _ = disk.Close() }()
	for index := range 40 {
		previous := ""
		if index > 0 {
			previous = fmt.Sprintf("turn-%d", index-1)
		}
		large := newTurn(fmt.Sprintf("turn-%d", index), previous, "w")
		large.Input = make([]byte, 50<<10)
		storeTurn(t, source, large)
	}
	beginTurn(t, source, "a", 90, 100)
	if got, want := beginTurn(t, target, "b", 90, 100), wire.BeginVerdict_BEGIN_VERDICT_NOT_READY; got != want {
		t.Errorf("before the copy: got %s, want %s", got, want)
	}
	var after []byte
	pages := 0
	for {
		page, err := source.Page(after, func(string) bool { return true })
		if err != nil {
			t.Fatalf("page: %v", err)
		}
		if err := target.Merge(time.Now(), page); err != nil {
			t.Fatalf("merge: %v", err)
		}
		pages++
		if after = page.GetNext(); len(after) == 0 {
			break
		}
	}
	if err := target.SetReady(true); err != nil {
		t.Fatalf("set ready: %v", err)
	}
	if pages < 2 {
		t.Errorf("pages: got %d, want at least 2", pages)
	}
	if got, want := beginTurn(t, target, "b", 90, 100), wire.BeginVerdict_BEGIN_VERDICT_EXHAUSTED; got != want {
		t.Errorf("after the copy: got %s, want %s", got, want)
	}
	reply, err := target.Find("turn-39", "w")
	if err != nil {
		t.Fatalf("find: %v", err)
	}
	if got, want := len(reply.GetParts()), 80; got != want {
		t.Errorf("parts of the copied history: got %d, want %d", got, want)
	}
}

// TestVersionOfStreamIsKept guards against a stream that is taken up at another software
// version because a keeper has lost the version that began it: by a restart, by the
// settlement of the reservation, or as its records are copied to another keeper.
func TestVersionOfStreamIsKept(t *testing.T) {
	dir := t.TempDir()
	l, disk := openLedger(t, dir)
	if err := l.SetReady(true); err != nil {
		t.Fatal(err)
	}
	resumedVersion := func(l *ledger.Ledger, resumes string) string {
		t.Helper()
		reply, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: newReservation("later "+resumes, 1, false), Budget: 100, Workspace: "w", Resumes: resumes})
		switch {
		case err != nil:
			t.Fatalf("begin: %v", err)
		case reply.ResumedVersion == nil:
			return "unknown"
		}
		return reply.GetResumedVersion()
	}
	for turn, version := range map[string]string{"first": "v1", "second": ""} {
		reservation := newReservation(turn, 10, false)
		reservation.ServerVersion = &version
		if _, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: reservation, Budget: 100, Workspace: "w"}); err != nil {
			t.Fatalf("begin %s: %v", turn, err)
		}
	}
	if err := l.Finish(time.Now(), &wire.FinishTurnRequest{Reservation: newReservation("first", 5, true)}); err != nil {
		t.Fatalf("settle: %v", err)
	}
	for name, l := range restartAndCopy(t, dir, l, disk) {
		for turn, want := range map[string]string{"first": "v1", "second": "", "third": "unknown"} {
			if got := resumedVersion(l, turn); got != want {
				t.Errorf("%s: version of %s: got %q, want %q", name, turn, got, want)
			}
		}
	}
}
