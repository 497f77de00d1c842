// Package watch lets all subscribers of a process share one watch of a whole
// key-value service that bills each call and counts it against its rate limits.
//
// # Usage
//
//	store := watch.New(direct, watch.Options{LongPoll: 3 * time.Second}, logger)
//	changes, err := store.Watch(ctx, "servers/", revision)
//	age := store.Age() // Since the service last confirmed the state.
//
// A Store logs why its watch ended and counts the outcomes of all watch calls.
package watch

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	// maxBufferedEvents is how many events are kept for watchers that lag behind.
	maxBufferedEvents = 2048
	// pauseAfterChanges is the pause after a watch call that returned changes. Without
	// it, each process would make one call for each change that any other one writes.
	pauseAfterChanges = 100 * time.Millisecond
)

// Outcome is how a watch call ended.
type Outcome string

// The outcomes of watch calls.
const (
	Changed     Outcome = "changed"     // It returned changes.
	Unchanged   Outcome = "unchanged"   // The service answered that nothing changed.
	Gap         Outcome = "gap"         // The service no longer has the changes.
	TimedOut    Outcome = "timedOut"    // The service did not answer in time.
	Unavailable Outcome = "unavailable" // The service refused the call or broke it off.
)

// Options configure a Store.
type Options struct {
	// LongPoll is how long a subscriber waits for changes.
	LongPoll time.Duration
}

// Store is a platform.Store whose watches share one watch of the whole service.
type Store struct {
	platform.Store
	options Options
	logger  *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	mutex         sync.Mutex
	running       bool
	generation    int // Incremented at each start, so that a watcher notices that the run it joined has failed.
	err           error
	events        []platform.Event
	afterRevision uint64    // The events after this revision,
	lastRevision  uint64    // up to this one, are buffered.
	confirmedAt   time.Time // When the service last confirmed that there are no further events.
	changed       chan struct{}
	outcomes      map[Outcome]int64
	lastLogged    Outcome // The last logged outcome, or empty after an answer.
}

// New returns a store that calls the direct store. No watch runs before the first
// subscriber.
func New(direct platform.Store, options Options, logger *zap.Logger) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{
		Store: direct, options: options, logger: logger, ctx: ctx, cancel: cancel, changed: make(chan struct{}), outcomes: make(map[Outcome]int64),
	}
}

// Close cancels all watches.
func (s *Store) Close() { s.cancel() }

// Age returns the time since the service last confirmed the state of this process,
// or 0 if nothing has been watched yet.
func (s *Store) Age() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.confirmedAt.IsZero() {
		return 0
	}
	return time.Since(s.confirmedAt)
}

// Outcomes returns the number of watch calls by how they ended.
func (s *Store) Outcomes() map[Outcome]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.outcomes)
}

// Watch implements platform.Store. It returns the events of a prefix after a revision
// as soon as there are any. If there are none within the long poll, it returns the
// revision reached.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	timer := time.NewTimer(s.options.LongPoll)
	defer timer.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ensureRunning(after)
	generation := s.generation
	for {
		if s.generation != generation || !s.running {
			return platform.Changes{}, s.err
		}
		if after < s.afterRevision {
			return platform.Changes{}, platform.NewGapError(after)
		}
		changes := platform.Changes{Revision: max(after, s.lastRevision)}
		for _, event := range s.events {
			if event.Entry.Version > after && strings.HasPrefix(event.Entry.Key, prefix) {
				changes.Events = append(changes.Events, event)
			}
		}
		if len(changes.Events) > 0 {
			return changes, nil
		}
		changed := s.changed
		s.mutex.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			s.mutex.Lock()
			return platform.Changes{}, ctx.Err()
		}
		s.mutex.Lock()
		if timedOut {
			return platform.Changes{Revision: max(after, min(s.lastRevision, changes.Revision)), Age: time.Since(s.confirmedAt)}, nil
		}
	}
}

// ensureRunning starts a run after a revision unless one is in progress. The caller
// must hold the mutex.
func (s *Store) ensureRunning(after uint64) {
	if s.running {
		return
	}
	s.running = true
	s.generation++
	s.events = nil
	s.afterRevision, s.lastRevision, s.confirmedAt = after, after, time.Now()
	go s.run(after)
}

// run watches the service until the first error, which all watchers receive.
func (s *Store) run(after uint64) {
	for {
		started := time.Now()
		changes, err := s.Store.Watch(s.ctx, "", after)
		s.mutex.Lock()
		s.record(err, changes, after, time.Since(started))
		if err != nil {
			s.running = false
			s.err = err
		} else {
			s.append(changes)
			after = s.lastRevision
		}
		close(s.changed)
		s.changed = make(chan struct{})
		s.mutex.Unlock()
		if err != nil {
			return
		}
		if len(changes.Events) > 0 {
			task.Sleep(s.ctx, pauseAfterChanges)
		}
	}
}

// append adds the events of an answer to the buffer. The caller must hold the mutex.
func (s *Store) append(changes platform.Changes) {
	s.events = append(s.events, changes.Events...)
	if excess := len(s.events) - maxBufferedEvents; excess > 0 {
		s.afterRevision = s.events[excess-1].Entry.Version
		s.events = append([]platform.Event(nil), s.events[excess:]...)
	}
	s.lastRevision, s.confirmedAt = max(s.lastRevision, changes.Revision), time.Now()
}

// record counts the outcome of a watch call. It logs the first failure after an
// answer and each failure of another kind. The caller must hold the mutex.
func (s *Store) record(err error, changes platform.Changes, after uint64, took time.Duration) {
	outcome := outcomeOf(err, changes)
	s.outcomes[outcome]++
	if err == nil {
		s.lastLogged = ""
		return
	}
	if outcome == s.lastLogged || s.ctx.Err() != nil {
		return
	}
	s.lastLogged = outcome
	s.logger.Info("watch ended; its subscribers list their prefixes again", zap.String("outcome", string(outcome)), zap.Uint64("after", after),
		zap.Duration("took", took), zap.Duration("confirmed", time.Since(s.confirmedAt)), zap.Error(err))
}

func outcomeOf(err error, changes platform.Changes) Outcome {
	var gap *platform.GapError
	switch {
	case err == nil && len(changes.Events) > 0:
		return Changed
	case err == nil:
		return Unchanged
	case errors.As(err, &gap):
		return Gap
	case errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	default:
		return Unavailable
	}
}
