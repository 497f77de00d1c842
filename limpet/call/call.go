// Package call tracks the calls submitted to a limpet and buffers the response
// frames of each.
//
// The execution of a Call is independent of the connection that submitted it.
// Readers attach at any frame offset, so a broken stream is resumed without
// running the call again. A Registry holds the calls by call ID and creates at
// most one call for each ID until its retention has passed.
//
// # Usage
//
//	registry := call.NewRegistry(call.Options{...})
//	c, created, err := registry.GetOrCreate(dispatch, now)
//	if created { /* run it: c.Start, c.Append for each frame, c.Finish */ }
//	frame, err := c.Read(ctx, offset)
package call

import (
	"context"
	"io"
	"sync"
	"time"

	"limpethall.dev/kernel/lifecycle"
	"limpethall.dev/kernel/wire"
)

// State is the lifecycle state of a call.
type State string

// The states of a call.
const (
	StateWaiting  State = "waiting"
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateRefused  State = "refused"
)

type trigger string

const (
	triggerStart  trigger = "start"
	triggerFinish trigger = "finish"
	triggerRefuse trigger = "refuse"
)

var transitions = lifecycle.New[State, trigger]().
	Permit(StateWaiting, triggerStart, StateRunning).
	Permit(StateWaiting, triggerFinish, StateFinished).
	Permit(StateWaiting, triggerRefuse, StateRefused).
	Permit(StateRunning, triggerFinish, StateFinished)

// Call is one call and the response frames received so far. It is safe for
// concurrent use.
type Call struct {
	dispatch  *wire.Dispatch
	arrivedAt time.Time

	mutex      sync.Mutex
	state      State
	frames     []*wire.Frame
	changed    chan struct{}
	readers    int
	detachedAt time.Time
	finishedAt time.Time
	cancel     context.CancelFunc
	canceled   bool
}

// New returns a call in StateWaiting.
func New(dispatch *wire.Dispatch, now time.Time) *Call {
	return &Call{dispatch: dispatch, arrivedAt: now, detachedAt: now, state: StateWaiting, changed: make(chan struct{})}
}

// ID returns the call ID.
func (c *Call) ID() string { return c.dispatch.GetCallId() }

// Dispatch returns the dispatched request.
func (c *Call) Dispatch() *wire.Dispatch { return c.dispatch }

// ArrivedAt returns when the call was submitted.
func (c *Call) ArrivedAt() time.Time { return c.arrivedAt }

// State returns the current lifecycle state.
func (c *Call) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// Start moves the call to StateRunning and records the function that cancels
// it. It reports false if the call was refused or canceled while waiting.
func (c *Call) Start(cancel context.CancelFunc) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.canceled || !c.fire(triggerStart) {
		return false
	}
	c.cancel = cancel
	return true
}

// Append adds a response frame.
func (c *Call) Append(frame *wire.Frame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.append(frame)
}

// Finish appends the final frame, an End or a Failure, and ends the call.
func (c *Call) Finish(now time.Time, final *wire.Frame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.fire(triggerFinish) {
		return
	}
	c.finishedAt = now
	c.append(final)
}

// Refuse ends a waiting call with the given final frame; it can't be started
// afterwards. It reports whether the call is refused, so false if it has
// already started.
func (c *Call) Refuse(now time.Time, final *wire.Frame) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == StateRefused {
		return true
	}
	if !c.fire(triggerRefuse) {
		return false
	}
	c.finishedAt = now
	c.append(final)
	return true
}

// Cancel stops a running call and prevents a waiting call from starting.
func (c *Call) Cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.canceled = true
	if c.cancel != nil {
		c.cancel()
	}
}

// Read returns the frame at the offset and blocks until it is available. After
// the final frame it returns io.EOF.
func (c *Call) Read(ctx context.Context, offset uint64) (*wire.Frame, error) {
	for {
		frame, changed, finished := c.peek(offset)
		if frame != nil {
			return frame, nil
		}
		if finished {
			return nil, io.EOF
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// Attach registers a reader; the returned function unregisters it.
func (c *Call) Attach() (detach func(now time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readers++
	return func(now time.Time) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.readers--
		c.detachedAt = now
	}
}

// Orphaned reports whether the call is unfinished and has had no reader for
// the timeout.
func (c *Call) Orphaned(now time.Time, timeout time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.finishedAt.IsZero() && c.readers == 0 && now.Sub(c.detachedAt) >= timeout
}

// FinishedFor reports whether at least the retention has passed since the call
// finished.
func (c *Call) FinishedFor(now time.Time, retention time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.finishedAt.IsZero() && now.Sub(c.finishedAt) >= retention
}

func (c *Call) peek(offset uint64) (*wire.Frame, <-chan struct{}, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if offset < uint64(len(c.frames)) {
		return c.frames[offset], nil, false
	}
	return nil, c.changed, !c.finishedAt.IsZero()
}

func (c *Call) append(frame *wire.Frame) {
	frame.CallId = c.ID()
	frame.Offset = uint64(len(c.frames))
	c.frames = append(c.frames, frame)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Call) fire(event trigger) bool {
	next, err := transitions.Fire(c.state, event)
	if err != nil {
		return false
	}
	c.state = next
	return true
}
