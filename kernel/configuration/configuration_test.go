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

func putWorkspace(name string) []table.Edit {
	return []table.Edit{table.NewPutRow(table.NewRow(name, 1, 1, 1, 1, nil))}
}

// outcome is the result of a change as its author observed it.
type outcome int

const (
	accepted outcome = iota
	conflicted
	undetermined
)

type operationInput struct {
	read bool
	base uint64
}

type operationOutput struct {
	outcome  outcome
	revision uint64
}

// revisionModel is the sequential specification of the configuration: a change
// is accepted if and only if it was based on the latest revision, and a read
// returns the latest one. An undetermined change may or may not have been
// accepted.
var revisionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		latest, in, out := state.(uint64), input.(operationInput), output.(operationOutput)
		switch {
		case in.read && out.revision == latest:
			return []any{latest}
		case in.read:
			return nil
		case out.outcome == accepted && in.base == latest:
			return []any{latest + 1}
		case out.outcome == conflicted && in.base != latest:
			return []any{latest}
		case out.outcome == undetermined && in.base == latest:
			return []any{latest, latest + 1}
		case out.outcome == undetermined:
			return []any{latest}
		default:
			return nil
		}
	},
}

// TestConcurrentChangesAreLinearizable runs four concurrent editors against a
// store with outages, delays and lost responses, and checks that the recorded
// history is linearizable.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(time.Now)
		editor := configuration.NewEditor(store, time.Now)
		start := time.Now()
		var mutex sync.Mutex
		var history []porcupine.Operation
		record := func(operator int, input operationInput, call time.Duration, output operationOutput) {
			mutex.Lock()
			defer mutex.Unlock()
			end := time.Since(start)
			if output.outcome == undetermined {
				end = 24 * time.Hour // The write may take effect at any later time.
			}
			history = append(history, porcupine.Operation{ClientId: operator + len(history)*100, Input: input, Call: int64(call), Output: output, Return: int64(end)})
		}
		var group sync.WaitGroup
		for operator := range 4 {
			group.Go(func() {
				for number := range 12 {
					time.Sleep(time.Duration(37*operator+11*number) * time.Millisecond)
					call := time.Since(start)
					current, err := editor.Load(t.Context())
					if err != nil {
						continue
					}
					record(operator, operationInput{read: true}, call, operationOutput{revision: current.Revision()})
					call = time.Since(start)
					_, err = editor.Apply(t.Context(), current.Revision(), "operator", putWorkspace(fmt.Sprintf("w-%d-%d", operator, number)))
					if result, ok := outcomeOf(err); ok {
						record(operator, operationInput{base: current.Revision()}, call, operationOutput{outcome: result})
					}
				}
			})
		}
		for number := range 40 {
			time.Sleep(50 * time.Millisecond)
			store.SetFaults(memory.Faults{LoseAnswers: number%3 == 1, Down: number%7 == 5, DelayMilliseconds: int64(number % 4 * 20)})
		}
		store.SetFaults(memory.Faults{})
		group.Wait()
		if got, minimum := len(history), 40; got < minimum {
			t.Fatalf("history: got %d operations, want at least %d", got, minimum)
		}
		if got, want := porcupine.CheckOperations(revisionModel.ToModel(), history), true; got != want {
			t.Errorf("history of %d operations is linearizable: got %v, want %v", len(history), got, want)
		}
	})
}

func outcomeOf(err error) (outcome, bool) {
	var conflict *configuration.RevisionConflictError
	var unknown *configuration.OutcomeUnknownError
	switch {
	case err == nil:
		return accepted, true
	case errors.As(err, &conflict):
		return conflicted, true
	case errors.As(err, &unknown):
		return undetermined, true
	default:
		return 0, false // A read failed; nothing was written.
	}
}

// TestFollowersReachLatestRevision checks that a follower that watched from the
// start, through compactions and gaps in the watch, and one that starts at the
// end both hold the table with the latest digest.
func TestFollowersReachLatestRevision(t *testing.T) {
	for _, changes := range []int{1, 10, 64, 65, 200} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New(time.Now)
				editor := configuration.NewEditor(store, time.Now)
				ctx, cancel := context.WithCancel(t.Context())
				early := configuration.NewFollower(store, zap.NewNop())
				go func() { _ = early.Run(ctx) }()
				var last *table.Table
				for number := range changes {
					var err error
					if last, err = editor.Apply(ctx, uint64(number), "anna", putWorkspace(fmt.Sprint("w", number))); err != nil {
						t.Fatal(err)
					}
					if number%20 == 7 {
						store.SetFaults(memory.Faults{Gap: true})
						time.Sleep(time.Second)
						store.SetFaults(memory.Faults{})
					}
				}
				late := configuration.NewFollower(store, zap.NewNop())
				go func() { _ = late.Run(ctx) }()
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

func TestInstallKeepsHighestRevision(t *testing.T) {
	follower := configuration.NewFollower(memory.New(time.Now), zap.NewNop())
	tables := []*table.Table{table.New()}
	for number := range 5 {
		next, err := tables[number].Apply(table.NewChange(uint64(number+1), fmt.Sprint(number), "anna", time.Time{}, putWorkspace("w")))
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

func TestOversizedTableIsRejected(t *testing.T) {
	store := memory.New(time.Now)
	editor := configuration.NewEditor(store, time.Now)
	var edits []table.Edit
	for number := range 9000 {
		edits = append(edits, putWorkspace(fmt.Sprint("workspace-with-a-long-name-", number))...)
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
