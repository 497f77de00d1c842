// Package watch lets all subscribers of a process share one watch of a whole
// key-value service that bills each call and counts it against its rate limits.
//
// A watch that hears nothing may be broken although the service and the connection work.
// So its silence is no proof that nothing changed: when the watch has not been answered
// for a while, the store reads the revision of the service. If that is newer than the last
// event, the watch call is made again, and if that call isn't answered soon, all
// subscribers list their prefixes. If the revision can't be read either, all subscribers
// get an error. Hence a subscriber has a change, or knows that its state may be old, within
// the apply period of the options. All times are fractions of it.
//
// Calls to the service have a price, those between processes have none there. So a store may have a
// reader: another process, which it asks for its revision and when the service last
// confirmed that there is nothing beyond it. A process whose own revision is at least as high
// is confirmed as of that time; one whose revision is lower is behind, as after a read of
// its own. If the reader does not answer at once or its state was confirmed too long ago,
// the process reads the revision by itself. A reader tells only what the service answered to
// itself, counted from when it sent the call, and reads the revision more often as long as it
// is asked.
//
// # Usage
//
//	store := watch.New(direct, watch.Options{ApplyPeriod: 2 * time.Second, Pause: 500 * time.Millisecond}, logger)
//	changes, err := store.Watch(ctx, "hosts/", revision)
//	age := store.Age() // Since the service last confirmed the state.
//	store.SetReader(readers.Find) // Before the first Watch; package revision finds the reader of a zone.
//
// A Store logs why its watch ended and counts the outcomes of all watch calls and checks.
package watch

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	// maxBufferedEvents is how many events are kept for watchers that lag behind.
	maxBufferedEvents = 2048
	// maxBufferedBytes is how much their values use, but for those of the last answer.
	maxBufferedBytes = 1 << 20
	// minPause is the pause after a watch call that returned changes. Without it, each
	// process would make one call for each change that any other one writes.
	minPause = 100 * time.Millisecond
	// maxBurst is how many such calls follow each other after minPause, before the pauses
	// are those of the options.
	maxBurst = 12
	// subscriberWait is how long a subscriber waits for changes.
	subscriberWait = 3 * time.Second
	// checkRetryDelay is the pause after a failed read of the revision.
	checkRetryDelay = 300 * time.Millisecond
	// revisionPrefix is a prefix without keys. Its listing holds nothing but the
	// revision of the service.
	revisionPrefix = "revision/"
)

// Fractions of the apply period. A change arrives after checkInterval, two times
// answerTimeout and the listing, or after checkInterval, readTimeout and a second read.
const (
	// checkInterval is the time without an answer to the watch after which the revision of
	// the service is read.
	checkInterval = 0.6
	// minCheckInterval is where jitter begins. Hosts get most answers at the same moment;
	// jitter spreads the reads that follow.
	minCheckInterval = 0.54
	// readTimeout bounds a read of the revision.
	readTimeout = 0.3
	// answerTimeout bounds the wait for a watch call to return a change that the service
	// is known to have.
	answerTimeout = 0.15
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
	Behind      Outcome = "behind"      // It did not return a change that the service is known to have.
)

// Options configure a Store.
type Options struct {
	// ApplyPeriod is the time in which changes must arrive, at least one second.
	ApplyPeriod time.Duration
	// Pause is the pause between watch calls while changes go on. Changes arrive up to
	// that much later, so it should be a quarter of the apply period at most.
	Pause time.Duration
}

// Store is a platform.Store whose watches share one watch of the whole service.
type Store struct {
	platform.Store
	options Options
	logger  *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	pauses  *rate.Limiter         // Limits the watch calls that returned changes.
	reader  func() (Reader, bool) // Nil if this process always reads the revision by itself.

	mutex         sync.Mutex
	running       bool
	generation    int // Incremented at each start, so that a watcher notices that the run it joined has failed.
	err           error
	events        []platform.Event
	afterRevision uint64    // The events after this revision,
	lastRevision  uint64    // up to this one, are buffered.
	confirmedAt   time.Time // When the service last confirmed that there are no further events.
	provenAt      time.Time // When the last call was sent whose answer confirmed it to this process; zero if none in this run.
	askedAt       time.Time // When another process last asked for the confirmation.
	heardAt       time.Time // When the reader last answered with a confirmation that was not too old.
	readerFailed  bool      // Whether the last call to the reader failed.
	changed       chan struct{}
	cancelCall    context.CancelFunc // Cancels the watch call in progress.
	outcomes      map[Outcome]int64
	checks        map[Check]int64
	lastLogged    Outcome // The last logged outcome, or empty after an answer.
}

// New returns a store that calls the direct store. No watch runs before the first
// subscriber.
func New(direct platform.Store, options Options, logger *zap.Logger) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	options.Pause = max(minPause, options.Pause)
	s := &Store{
		Store: direct, options: options, logger: logger, ctx: ctx, cancel: cancel, changed: make(chan struct{}),
		outcomes: make(map[Outcome]int64), checks: make(map[Check]int64),
	}
	s.pauses = rate.NewLimiter(rate.Every(options.Pause), maxBurst)
	return s
}

// fraction returns a fraction of the apply period.
func (s *Store) fraction(of float64) time.Duration {
	return time.Duration(of * float64(s.options.ApplyPeriod))
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
// as soon as there are any. If there are none within subscriberWait, it returns the
// revision reached.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	timer := time.NewTimer(subscriberWait)
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
		after = changes.Revision // Without events up to there, the subscriber misses none that are dropped.
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
	s.afterRevision, s.lastRevision, s.confirmedAt, s.provenAt = after, after, time.Now(), time.Time{}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelCall = cancel // Until the first call begins.
	go s.run(ctx, cancel, s.generation)
	go s.verify(ctx, s.generation)
}

// run watches the service until the first error, which all watchers receive.
func (s *Store) run(ctx context.Context, cancel context.CancelFunc, generation int) {
	defer cancel()
	for {
		started := time.Now()
		callCtx, cancelCall := context.WithCancel(ctx)
		after, ok := s.beginCall(cancelCall, generation)
		if !ok {
			cancelCall()
			return
		}
		var changes platform.Changes
		err := task.Guard(s.logger, "watch call", func() (err error) {
			changes, err = s.Store.Watch(callCtx, "", after)
			return err
		})
		replaced := callCtx.Err() != nil
		ok = s.endCall(generation, replaced, changes, err, started)
		if ok && len(changes.Events) > 0 {
			// Ends early if the call is to be made again.
			task.Sleep(callCtx, max(minPause, s.pauses.Reserve().Delay()))
		}
		cancelCall()
		if !ok {
			return
		}
	}
}

// beginCall returns the revision after which to watch, and false if the run has ended.
func (s *Store) beginCall(cancelCall context.CancelFunc, generation int) (after uint64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isCurrent(generation) {
		return 0, false
	}
	s.cancelCall = cancelCall
	return s.lastRevision, true
}

// endCall processes the result of a watch call that was sent at the given time and reports whether the run continues.
// A call that was replaced ends with an error that says nothing about the service.
func (s *Store) endCall(generation int, replaced bool, changes platform.Changes, err error, sent time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isCurrent(generation) {
		return false
	}
	if err != nil && replaced && s.ctx.Err() == nil {
		return true
	}
	s.record(outcomeOf(err, changes), err, time.Since(sent))
	if err != nil {
		s.fail(err)
		return false
	}
	s.append(changes)
	s.prove(sent)
	s.notify()
	return true
}

// isCurrent reports whether a run is in progress. The caller must hold the mutex.
func (s *Store) isCurrent(generation int) bool { return s.running && s.generation == generation }

// fail ends the run with an error. The caller must hold the mutex.
func (s *Store) fail(err error) {
	s.running, s.err = false, err
	s.notify()
}

// notify wakes all subscribers. The caller must hold the mutex.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// append adds the events of an answer to the buffer. The caller must hold the mutex.
func (s *Store) append(changes platform.Changes) {
	s.events = append(s.events, changes.Events...)
	if excess := s.excess(len(changes.Events)); excess > 0 {
		s.afterRevision = s.events[excess-1].Entry.Version
		s.events = append([]platform.Event(nil), s.events[excess:]...)
	}
	s.lastRevision, s.confirmedAt = max(s.lastRevision, changes.Revision), time.Now()
}

// excess returns how many of the oldest events not to keep, given the number of those that
// were added last. The caller must hold the mutex.
func (s *Store) excess(added int) int {
	excess := max(0, len(s.events)-maxBufferedEvents)
	size := 0
	for index := len(s.events) - 1; index >= excess; index-- {
		size += len(s.events[index].Entry.Key) + len(s.events[index].Entry.Value)
		if size > maxBufferedBytes && index < len(s.events)-added {
			return index + 1
		}
	}
	return excess
}

// record counts the outcome of a watch call. It logs the first failure after an
// answer and each failure of another kind. The caller must hold the mutex.
func (s *Store) record(outcome Outcome, err error, took time.Duration) {
	s.outcomes[outcome]++
	if err == nil {
		s.lastLogged = ""
		return
	}
	if outcome == s.lastLogged || s.ctx.Err() != nil {
		return
	}
	s.lastLogged = outcome
	s.logger.Info("watch ended; its subscribers list their prefixes again", zap.String("outcome", string(outcome)), zap.Uint64("after", s.lastRevision),
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
