package ledger_test

import (
	"fmt"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"limpethall.dev/kernel/wire"
)

// highestHeap calls fn and returns the highest live heap meanwhile, beyond that before.
func highestHeap(t *testing.T, fn func()) int64 {
	t.Helper()
	live := func() int64 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}
	before, highest := live(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		fn()
	}()
	for {
		highest = max(highest, live()-before)
		select {
		case <-done:
			return highest
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestLongChainIsExtendedInBoundedMemory guards against keepers that exceed their memory because
// a turn that continues a long history has all of it read and written at once.
func TestLongChainIsExtendedInBoundedMemory(t *testing.T) {
	const length, inputBytes = 300, 400 << 10
	l := newReadyLedger(t)
	now, previous := time.Now(), ""
	store := func(id string) {
		turn := newTurn(id, previous, "w")
		turn.Input, turn.ExpiresUnixMilliseconds = make([]byte, inputBytes), now.Add(retention).UnixMilli()
		if err := l.Finish(now, &wire.FinishTurnRequest{Turn: turn}); err != nil {
			t.Errorf("finish %s: %v", id, err)
		}
		previous = id
	}
	for index := range length {
		store(fmt.Sprintf("turn-%d", index))
	}
	now = now.Add(3 * retention / 2)
	highest := highestHeap(t, func() { store("last") })
	t.Logf("%d bytes at most", highest)
	if want := int64(length * inputBytes / 2); highest > want {
		t.Errorf("memory to extend a chain of %d bytes: got %d bytes, want at most %d", length*inputBytes, highest, want)
	}
	if err := l.Expire(now.Add(retention - time.Millisecond)); err != nil {
		t.Fatalf("expire: %v", err)
	}
	if got, want := l.History(previous, "w").Verdict(), wire.FindVerdict_FIND_VERDICT_FOUND; got != want {
		t.Errorf("chain at the end of its retention: got %s, want %s", got, want)
	}
}
