package call

import (
	"sync"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// Options bound a Book.
type Options struct {
	// Capacity is the most calls kept, finished ones included.
	Capacity int
	// KeepOnce is how long a finished call that must not be repeated is kept.
	KeepOnce time.Duration
	// KeepOther is how long any other finished call is kept.
	KeepOther time.Duration
}

// Book holds calls by identifier. It is safe for concurrent use.
type Book struct {
	options Options
	mutex   sync.Mutex
	calls   map[string]*Call
}

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{options: options, calls: make(map[string]*Call)}
}

// Begin returns the call with the dispatch's identifier and whether it was
// created by this very request; only then may it be run. A different request
// under a known identifier is a conflict. A full book refuses with notRun.
func (b *Book) Begin(dispatch *wire.Dispatch, now time.Time) (*Call, bool, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known, found := b.calls[dispatch.GetCallId()]; found {
		if known.dispatch.GetDigest() != dispatch.GetDigest() && known.State() != StateRefused {
			return nil, false, failure.New(failure.CodeConflict, failure.NotRun,
				"call %s is known with a different content: use a new ticket for a new request", dispatch.GetCallId())
		}
		return known, false, nil
	}
	if len(b.calls) >= b.options.Capacity {
		return nil, false, failure.New(failure.CodeQueueFull, failure.NotRun, "this server keeps %d calls already: try again", len(b.calls)).WithRetryAfter(time.Second)
	}
	created := New(dispatch, now)
	b.calls[created.ID()] = created
	return created, true, nil
}

// Find returns a call.
func (b *Book) Find(id string) (*Call, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, found := b.calls[id]
	return known, found
}

// Settle reports whether the identifier is refused for good: it was never
// seen, or still waited. From then on Begin returns the refused call.
func (b *Book) Settle(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, found := b.calls[id]
	if !found {
		known = New(&wire.Dispatch{CallId: id, AtMostOnce: true}, now)
		b.calls[id] = known
	}
	refusal := failure.New(failure.CodeCallRefused, failure.NotRun, "call %s was given up before it ran", id)
	return known.Refuse(now, FailureFrame(refusal))
}

// Expire drops calls that have been over for long enough.
func (b *Book) Expire(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, known := range b.calls {
		keep := b.options.KeepOther
		if known.dispatch.GetAtMostOnce() {
			keep = b.options.KeepOnce
		}
		if known.FinishedFor(now, keep) {
			delete(b.calls, id)
		}
	}
}

// Orphans returns the unfinished calls that nobody has read for that long.
func (b *Book) Orphans(now time.Time, grace time.Duration) []*Call {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var orphans []*Call
	for _, known := range b.calls {
		if known.Orphaned(now, grace) {
			orphans = append(orphans, known)
		}
	}
	return orphans
}

// Open returns how many calls are not over.
func (b *Book) Open() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	open := 0
	for _, known := range b.calls {
		if state := known.State(); state == StateWaiting || state == StateRunning {
			open++
		}
	}
	return open
}

// FailureFrame returns the frame that ends a call with a failure.
func FailureFrame(err error) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Failure{Failure: failure.From(err).ToWire()}}
}
