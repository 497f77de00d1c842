package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/table"
)

func put(name string) []table.Edit {
	return []table.Edit{table.NewPutRow(table.NewRow(name, 1, 1, 1, 1, nil))}
}

// The outcome of one change as its operator saw it.
type outcome int

const (
	accepted outcome = iota
	raced
	unsettled
)

type changeInput struct {
	read bool
	base uint64
}

type changeOutput struct {
	outcome  outcome
	revision uint64
}

// revisions is the sequential meaning of the configuration: a change is
// accepted exactly if it was planned from the newest revision, and a read
// returns the newest one. An unsettled change may have been either.
var revisions = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
		switch {
		case in.read && out.revision == now:
			return []any{now}
		case in.read:
			return nil
		case out.outcome == accepted && in.base == now:
			return []any{now + 1}
		case out.outcome == raced && in.base != now:
			return []any{now}
		case out.outcome == unsettled && in.base == now:
			return []any{now, now + 1}
		case out.outcome == unsettled:
			return []any{now}
		default:
			return nil
		}
	},
}

// TestOperatorsRaceWhileTheStoreFails records what four operators saw and
// looks for one order of all their changes that explains it.
func TestOperatorsRaceWhileTheStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(time.Now)
		editor := configuration.NewEditor(store, time.Now)
		began := time.Now()
		var mutex sync.Mutex
		var history []porcupine.Operation
		record := func(operator int, input changeInput, call time.Duration, output changeOutput) {
			mutex.Lock()
			defer mutex.Unlock()
			end := time.Since(began)
			if output.outcome == unsettled {
				end = 24 * time.Hour // It may take effect at any later time.
			}
			history = append(history, porcupine.Operation{ClientId: operator + len(history)*100, Input: input, Call: int64(call), Output: output, Return: int64(end)})
		}
		var wait sync.WaitGroup
		for operator := range 4 {
			wait.Go(func() {
				for number := range 12 {
					time.Sleep(time.Duration(37*operator+11*number) * time.Millisecond)
					call := time.Since(began)
					current, err := editor.Load(t.Context())
					if err != nil {
						continue
					}
					record(operator, changeInput{read: true}, call, changeOutput{revision: current.Revision()})
					call = time.Since(began)
					_, err = editor.Apply(t.Context(), current.Revision(), "operator", put(fmt.Sprintf("w-%d-%d", operator, number)))
					if result, known := outcomeOf(err); known {
						record(operator, changeInput{base: current.Revision()}, call, changeOutput{outcome: result})
					}
				}
			})
		}
		for number := range 40 {
			time.Sleep(50 * time.Millisecond)
			store.SetFaults(memory.Faults{LoseAnswers: number%3 == 1, Down: number%7 == 5, DelayMilliseconds: int64(number % 4 * 20)})
		}
		store.SetFaults(memory.Faults{})
		wait.Wait()
		if got, least := len(history), 40; got < least {
			t.Fatalf("history: got %d operations, want at least %d", got, least)
		}
		if got, want := porcupine.CheckOperations(revisions.ToModel(), history), true; got != want {
			t.Errorf("history of %d operations is linearizable: got %v, want %v", len(history), got, want)
		}
	})
}

func outcomeOf(err error) (outcome, bool) {
	var race *configuration.RaceError
	var open *configuration.UnsettledError
	switch {
	case err == nil:
		return accepted, true
	case errors.As(err, &race):
		return raced, true
	case errors.As(err, &open):
		return unsettled, true
	default:
		return 0, false // The store did not answer a read; nothing was written.
	}
}

// TestFollowersReachEveryRevision follows through snapshots, gaps and outages
// and compares digests.
func TestFollowersReachEveryRevision(t *testing.T) {
	for _, changes := range []int{1, 10, 64, 65, 200} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(time.Now)
				editor := configuration.NewEditor(store, time.Now)
				ctx, cancel := context.WithCancel(t.Context())
				early := configuration.NewFollower(store, zap.NewNop())
				go func() { _ = early.Follow(ctx) }()
				var last *table.Table
				for number := range changes {
					var err error
					if last, err = editor.Apply(ctx, uint64(number), "anna", put(fmt.Sprint("w", number))); err != nil {
						t.Fatal(err)
					}
					if number%20 == 7 {
						store.SetFaults(memory.Faults{Gap: true})
						time.Sleep(time.Second)
						store.SetFaults(memory.Faults{})
					}
				}
				late := configuration.NewFollower(store, zap.NewNop())
				go func() { _ = late.Follow(ctx) }()
				time.Sleep(5 * time.Second)
				for name, follower := range map[string]*configuration.Follower{"early": early, "late": late} {
					if got, want := follower.Table().Digest(), last.Digest(); got != want {
						t.Errorf("%s follower: got revision %d, want %d", name, follower.Table().Revision(), last.Revision())
					}
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestInstallNeverLowersTheRevision(t *testing.T) {
	follower := configuration.NewFollower(memory.New(time.Now), zap.NewNop())
	tables := []*table.Table{table.New()}
	for number := range 5 {
		next, err := tables[number].Apply(table.NewChange(uint64(number+1), fmt.Sprint(number), "anna", time.Time{}, put("w")))
		if err != nil {
			t.Fatal(err)
		}
		tables = append(tables, next)
	}
	highest := uint64(0)
	for _, revision := range []int{2, 1, 0, 4, 3, 4, 5, 2} {
		installed := follower.Install(tables[revision])
		if want := uint64(revision) > highest; installed != want {
			t.Errorf("install %d after %d: got %v, want %v", revision, highest, installed, want)
		}
		highest = max(highest, uint64(revision))
		if got := follower.Table().Revision(); got != highest {
			t.Errorf("revision: got %d, want %d", got, highest)
		}
	}
}

func TestTableTooLargeChangesNothing(t *testing.T) {
	store := memory.New(time.Now)
	editor := configuration.NewEditor(store, time.Now)
	var edits []table.Edit
	for number := range 9000 {
		edits = append(edits, put(fmt.Sprint("workspace-with-a-long-name-", number))...)
	}
	_, err := editor.Apply(t.Context(), 0, "anna", edits)
	var large *configuration.TooLargeError
	if !errors.As(err, &large) {
		t.Errorf("got %v, want a TooLargeError", err)
	}
	current, err := editor.Load(t.Context())
	if err != nil || current.Revision() != 0 {
		t.Errorf("after it: got revision %d, %v, want 0", current.Revision(), err)
	}
}

var _ platform.Store = (*memory.Store)(nil)
