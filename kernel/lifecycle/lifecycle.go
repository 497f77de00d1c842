// Package lifecycle wraps the state machine library so that one configured
// machine serves any number of objects.
//
// The library keeps a machine's rules in maps of several kilobytes; a hall has
// a machine for each open program. Here the rules are built once and the
// current state travels in the context of each firing, so an object pays only
// for its state value.
//
// # Usage
//
//	var rules = lifecycle.New[State, Trigger]().
//		Permit(Idle, Start, Running).
//		Permit(Running, Finish, Idle)
//	next, err := rules.Fire(Idle, Start)
package lifecycle

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// TransitionError reports a trigger that the current state does not allow.
type TransitionError struct {
	state   string
	trigger string
}

// Error names the state and the trigger.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s is not allowed in state %s", e.trigger, e.state)
}

// State returns the state that refused the trigger.
func (e *TransitionError) State() string { return e.state }

// Trigger returns the refused trigger.
func (e *TransitionError) Trigger() string { return e.trigger }

type slotKey struct{}

type slot[S comparable] struct {
	state S
}

// Rules is a state machine without a current state of its own. It is safe
// for concurrent use once configured.
type Rules[S, T comparable] struct {
	machine *stateless.StateMachine
}

// New returns rules that permit nothing.
func New[S, T comparable]() *Rules[S, T] {
	read := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(slotKey{}).(*slot[S]).state, nil
	}
	write := func(ctx context.Context, state stateless.State) error {
		ctx.Value(slotKey{}).(*slot[S]).state = state.(S)
		return nil
	}
	machine := stateless.NewStateMachineWithExternalStorage(read, write, stateless.FiringImmediate)
	return &Rules[S, T]{machine: machine}
}

// Permit allows trigger to move an object from one state to another.
func (r *Rules[S, T]) Permit(from S, trigger T, to S) *Rules[S, T] {
	if from == to {
		r.machine.Configure(from).PermitReentry(trigger)
		return r
	}
	r.machine.Configure(from).Permit(trigger, to)
	return r
}

// Fire returns the state that follows, or a *TransitionError.
func (r *Rules[S, T]) Fire(state S, trigger T) (S, error) {
	held := &slot[S]{state: state}
	ctx := context.WithValue(context.Background(), slotKey{}, held)
	if err := r.machine.FireCtx(ctx, trigger); err != nil {
		return state, &TransitionError{state: fmt.Sprint(state), trigger: fmt.Sprint(trigger)}
	}
	return held.state, nil
}
