// Package call keeps the calls that a limpet was given, each with the frames
// of its answer.
//
// A Call runs apart from the connection that brought it: readers attach to it
// at any offset, so a broken stream is resumed without running anything
// again. A Book holds the calls by identifier and never starts one identifier
// twice.
//
// # Usage
//
//	book := call.NewBook(call.Options{...})
//	c, created, err := book.Begin(dispatch, now)
//	if created { run it, c.Append(frame)…, c.Finish(now, frame) }
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

// State is how far a call has come.
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

var rules = lifecycle.New[State, trigger]().
	Permit(StateWaiting, triggerStart, StateRunning).
	Permit(StateWaiting, triggerFinish, StateFinished).
	Permit(StateWaiting, triggerRefuse, StateRefused).
	Permit(StateRunning, triggerFinish, StateFinished)

// Call is one call with its answer so far. It is safe for concurrent use.
type Call struct {
	dispatch *wire.Dispatch
	began    time.Time

	mutex    sync.Mutex
	state    State
	frames   []*wire.Frame
	changed  chan struct{}
	readers  int
	detached time.Time
	finished time.Time
	cancel   context.CancelFunc
	stopped  bool
}

// New returns a waiting call.
func New(dispatch *wire.Dispatch, now time.Time) *Call {
	return &Call{dispatch: dispatch, began: now, detached: now, state: StateWaiting, changed: make(chan struct{})}
}

// ID returns the identifier.
func (c *Call) ID() string { return c.dispatch.GetCallId() }

// Dispatch returns what is asked for.
func (c *Call) Dispatch() *wire.Dispatch { return c.dispatch }

// Began returns when the call arrived.
func (c *Call) Began() time.Time { return c.began }

// State returns how far the call has come.
func (c *Call) State() State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

// Start marks the call as running; cancel stops it. It reports false if the
// call was refused or canceled while it waited.
func (c *Call) Start(cancel context.CancelFunc) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped || !c.fire(triggerStart) {
		return false
	}
	c.cancel = cancel
	return true
}

// Append adds a part of the answer.
func (c *Call) Append(frame *wire.Frame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.append(frame)
}

// Finish adds the last frame, an End or a Failure.
func (c *Call) Finish(now time.Time, last *wire.Frame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.fire(triggerFinish) {
		return
	}
	c.finished = now
	c.append(last)
}

// Refuse ends a call that has not started, for good, with the given frame. It
// reports false if the call has started.
func (c *Call) Refuse(now time.Time, last *wire.Frame) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == StateRefused {
		return true
	}
	if !c.fire(triggerRefuse) {
		return false
	}
	c.finished = now
	c.append(last)
	return true
}

// Cancel stops a running call and keeps a waiting one from starting.
func (c *Call) Cancel() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
	if c.cancel != nil {
		c.cancel()
	}
}

// Read returns the frame at the offset, waiting for it if need be. After the
// last frame it returns io.EOF.
func (c *Call) Read(ctx context.Context, offset uint64) (*wire.Frame, error) {
	for {
		frame, changed, over := c.peek(offset)
		if frame != nil {
			return frame, nil
		}
		if over {
			return nil, io.EOF
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

// Attach counts a reader; the returned function ends its attendance.
func (c *Call) Attach() (detach func(now time.Time)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readers++
	return func(now time.Time) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.readers--
		c.detached = now
	}
}

// Orphaned reports whether the call is not over and nobody has read it for
// that long.
func (c *Call) Orphaned(now time.Time, grace time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.finished.IsZero() && c.readers == 0 && now.Sub(c.detached) >= grace
}

// FinishedFor reports whether the call has been over for that long.
func (c *Call) FinishedFor(now time.Time, length time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.finished.IsZero() && now.Sub(c.finished) >= length
}

func (c *Call) peek(offset uint64) (*wire.Frame, <-chan struct{}, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if offset < uint64(len(c.frames)) {
		return c.frames[offset], nil, false
	}
	return nil, c.changed, !c.finished.IsZero()
}

func (c *Call) append(frame *wire.Frame) {
	frame.CallId = c.ID()
	frame.Offset = uint64(len(c.frames))
	c.frames = append(c.frames, frame)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Call) fire(cause trigger) bool {
	next, err := rules.Fire(c.state, cause)
	if err != nil {
		return false
	}
	c.state = next
	return true
}
