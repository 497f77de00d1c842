package ratelimit_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/table"
)

// TestFirstTurnBesideRunningPrograms guards against first turns that are told that their
// workspace exceeded its limit, at a sixth of its rate, because requests of running programs
// wait for a loan of tokens at the same hall, or begin to while the first turn waits for its own.
func TestFirstTurnBesideRunningPrograms(t *testing.T) {
	const (
		rate    = 500
		running = 8 // Requests that a hall gets at once.
		rounds  = 20
		pause   = running * time.Second / (rate / 6)
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		c := newRateCluster(ctx, newStore(), 1, 40, []table.Row{table.NewRow(workspace, 1, rate, rate, 0, nil)})
		time.Sleep(5 * time.Second)
		halls := slices.DeleteFunc(slices.Clone(c.limiters), func(l *ratelimit.Limiter) bool { return l.Slices().Fraction(workspace) > 0 })
		for round := range rounds {
			// A hall that has had no requests yet asks for no more tokens than it needs.
			hall := halls[round]
			var requests sync.WaitGroup
			for range running {
				requests.Go(func() {
					if round%2 == 1 {
						time.Sleep(messageDelay)
					}
					if _, err := hall.Admit(ctx, workspace, ratelimit.RunningProgram); err != nil {
						t.Errorf("running program: got %v, want a token", err)
					}
				})
			}
			time.Sleep(messageDelay / 2)
			admission, err := hall.Admit(ctx, workspace, ratelimit.NewProgram)
			if err != nil {
				t.Errorf("first turn: got %v, want a token", err)
			}
			if got, maximum := admission.Took(), 50*time.Millisecond; got > maximum {
				t.Errorf("first turn: decided after %s, want at most %s", got, maximum)
			}
			requests.Wait()
			time.Sleep(pause)
		}
	})
}
