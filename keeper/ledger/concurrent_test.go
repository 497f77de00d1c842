package ledger_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"limpethall.dev/kernel/wire"
)

// TestTurnsAreFoundWhileTheirChainIsExtended guards against turns that can't be read, so that
// halls take the keeper for a failed one, because the index names a record that is not
// written yet.
func TestTurnsAreFoundWhileTheirChainIsExtended(t *testing.T) {
	const length, extensions = 20, 10
	l := newReadyLedger(t)
	now, previous := time.Now(), ""
	store := func(id string) {
		turn := newTurn(id, previous, "w")
		turn.Input, turn.ExpiresUnixMilliseconds = make([]byte, 50<<10), now.Add(retention).UnixMilli()
		if err := l.Finish(now, &wire.FinishTurnRequest{Turn: turn}); err != nil {
			t.Errorf("finish %s: %v", id, err)
		}
		previous = id
	}
	for index := range length {
		store(fmt.Sprintf("turn-%d", index))
	}
	last, newest := previous, fmt.Sprintf("turn-%d", length)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for _, turn := range []string{last, last, newest} {
		readers.Go(func() {
			for {
				reply, err := l.Find(turn, "w")
				if err != nil || (turn == last && reply.GetVerdict() != wire.FindVerdict_FIND_VERDICT_FOUND) {
					t.Errorf("find %s: got %s and error %v, want the history", turn, reply.GetVerdict(), err)
					return
				}
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for index := range extensions {
		now = now.Add(3 * retention / 2) // Beyond what the last extension has covered.
		store(fmt.Sprintf("turn-%d", length+index))
	}
	close(done)
	readers.Wait()
}
