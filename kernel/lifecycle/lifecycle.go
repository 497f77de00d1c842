// Package lifecycle wraps the state machine library stateless so that one configured
// state machine is shared by any number of objects.
//
// The transition tables of a stateless.StateMachine take several kilobytes, which is
// too much for each call that a limpet holds. Here the transitions are configured
// once and the current state is passed in the context of each FireCtx, so that an
// object stores only its state.
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

// TransitionError reports a trigger that is not permitted in the current state.
type TransitionError struct {
	state   string
	trigger string
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("trigger %s is not permitted in state %s", e.trigger, e.state)
}

// State returns the current state.
func (e *TransitionError) State() string { return e.state }

// Trigger returns the rejected trigger.
func (e *TransitionError) Trigger() string { return e.trigger }

type stateKey struct{}

type stateHolder[S comparable] struct {
	state S
}

// Rules holds the permitted transitions of a state machine, without a current state.
// It is safe for concurrent use once it is configured.
type Rules[S, T comparable] struct {
	machine *stateless.StateMachine
}

// New returns rules without transitions.
func New[S, T comparable]() *Rules[S, T] {
	loadState := func(ctx context.Context) (stateless.State, error) {
		return ctx.Value(stateKey{}).(*stateHolder[S]).state, nil
	}
	storeState := func(ctx context.Context, state stateless.State) error {
		ctx.Value(stateKey{}).(*stateHolder[S]).state = state.(S)
		return nil
	}
	machine := stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	return &Rules[S, T]{machine: machine}
}

// Permit adds a transition: trigger changes the state from one to another.
func (r *Rules[S, T]) Permit(from S, trigger T, to S) *Rules[S, T] {
	if from == to {
		r.machine.Configure(from).PermitReentry(trigger)
		return r
	}
	r.machine.Configure(from).Permit(trigger, to)
	return r
}

// Fire returns the state after the trigger, or a *TransitionError.
func (r *Rules[S, T]) Fire(state S, trigger T) (S, error) {
	holder := &stateHolder[S]{state: state}
	ctx := context.WithValue(context.Background(), stateKey{}, holder)
	if err := r.machine.FireCtx(ctx, trigger); err != nil {
		return state, &TransitionError{state: fmt.Sprint(state), trigger: fmt.Sprint(trigger)}
	}
	return holder.state, nil
}
