package call

import (
	"sync"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// Options bound a Registry.
type Options struct {
	// Capacity is the maximum number of calls, including finished ones.
	Capacity int
	// AtMostOnceRetention is how long a finished at-most-once call is kept.
	AtMostOnceRetention time.Duration
	// DefaultRetention is how long any other finished call is kept.
	DefaultRetention time.Duration
}

// Registry holds calls by call ID. It is safe for concurrent use.
type Registry struct {
	options Options
	mutex   sync.Mutex
	calls   map[string]*Call
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{options: options, calls: make(map[string]*Call)}
}

// GetOrCreate returns the call with the call ID of the dispatch and whether
// this invocation created it. Only the creator may run the call. A dispatch
// with a known call ID but a different digest is a conflict, unless that call
// was refused. If the registry is full, the error has outcome NotRun.
func (r *Registry) GetOrCreate(dispatch *wire.Dispatch, now time.Time) (*Call, bool, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if existing, found := r.calls[dispatch.GetCallId()]; found {
		if existing.dispatch.GetDigest() != dispatch.GetDigest() && existing.State() != StateRefused {
			return nil, false, failure.New(failure.CodeConflict, failure.NotRun,
				"call %s was already submitted with different content: use a new ticket for a new request", dispatch.GetCallId())
		}
		return existing, false, nil
	}
	if len(r.calls) >= r.options.Capacity {
		return nil, false, failure.New(failure.CodeQueueFull, failure.NotRun, "this server already tracks %d calls, its maximum: try again", len(r.calls)).WithRetryAfter(time.Second)
	}
	created := New(dispatch, now)
	r.calls[created.ID()] = created
	return created, true, nil
}

// Find looks up a call by its ID.
func (r *Registry) Find(callID string) (*Call, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	existing, found := r.calls[callID]
	return existing, found
}

// RefuseUnstarted permanently refuses a call that is waiting or unknown and
// reports whether the call is refused. An unknown call ID gets a refused
// at-most-once entry, so that a dispatch that arrives later can't start it.
func (r *Registry) RefuseUnstarted(callID string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, found := r.calls[callID]
	if !found {
		c = New(&wire.Dispatch{CallId: callID, AtMostOnce: true}, now)
		r.calls[callID] = c
	}
	refused := failure.New(failure.CodeCallRefusedForGood, failure.NotRun, "call %s was refused before it started", callID)
	return c.Refuse(now, FailureFrame(refused))
}

// Expire removes finished calls whose retention has passed.
func (r *Registry) Expire(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for callID, c := range r.calls {
		retention := r.options.DefaultRetention
		if c.dispatch.GetAtMostOnce() {
			retention = r.options.AtMostOnceRetention
		}
		if c.FinishedFor(now, retention) {
			delete(r.calls, callID)
		}
	}
}

// Orphans returns the unfinished calls that have had no reader for the timeout.
func (r *Registry) Orphans(now time.Time, timeout time.Duration) []*Call {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var orphans []*Call
	for _, c := range r.calls {
		if c.Orphaned(now, timeout) {
			orphans = append(orphans, c)
		}
	}
	return orphans
}

// OpenCount returns how many calls are waiting or running.
func (r *Registry) OpenCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, c := range r.calls {
		if state := c.State(); state == StateWaiting || state == StateRunning {
			count++
		}
	}
	return count
}

// FailureFrame returns the final frame of a call that failed with err.
func FailureFrame(err error) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Failure{Failure: failure.From(err).ToWire()}}
}
