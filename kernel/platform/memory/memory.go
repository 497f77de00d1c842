// Package memory is a Store that lives in one process, with switches for the
// faults of a real one. Tests use it directly; the stand-in serves it over
// HTTP.
//
// # Usage
//
//	store := memory.New(time.Now)
//	store.SetFaults(memory.Faults{Down: true})
package memory

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"limpethall.dev/kernel/platform"
)

const (
	// keptEvents is how many events a watch can go back.
	keptEvents = 4096
	// maxValueBytes is the store's limit for one value.
	maxValueBytes = 1 << 20
	// watchWait is how long a watch without changes waits.
	watchWait = 2 * time.Second
)

var errFault = errors.New("fault switched on")

// Faults are the switches. The zero value is a healthy store.
type Faults struct {
	// Down makes every call fail before it has an effect.
	Down bool `json:"down"`
	// LoseAnswers makes writes take effect and then fail.
	LoseAnswers bool `json:"loseAnswers"`
	// DelayMilliseconds slows every call down.
	DelayMilliseconds int64 `json:"delayMilliseconds"`
	// Gap makes the next watches report a gap.
	Gap bool `json:"gap"`
}

// Store is the key-value service in memory. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mutex    sync.Mutex
	faults   Faults
	revision uint64
	entries  map[string]stored
	leases   map[platform.LeaseID]*lease
	nextID   platform.LeaseID
	events   []platform.Event
	changed  chan struct{}
	calls    int64
}

type stored struct {
	entry platform.Entry
	lease platform.LeaseID
}

type lease struct {
	length time.Duration
	until  time.Time
}

// New returns an empty store whose leases follow the given clock.
func New(now func() time.Time) *Store {
	return &Store{now: now, entries: make(map[string]stored), leases: make(map[platform.LeaseID]*lease), changed: make(chan struct{})}
}

// SetFaults replaces the switches.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// Calls returns how many calls were made, a waiting watch counted as one.
func (s *Store) Calls() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, "get", false); err != nil {
		return platform.Entry{}, err
	}
	defer s.mutex.Unlock()
	found, exists := s.entries[key]
	if !exists {
		return platform.Entry{}, platform.NewNotFoundError(key)
	}
	return found.entry, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.begin(ctx, "list", false); err != nil {
		return platform.Listing{}, err
	}
	defer s.mutex.Unlock()
	listing := platform.Listing{Revision: s.revision}
	for key, found := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, found.entry)
		}
	}
	slices.SortFunc(listing.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, id platform.LeaseID) (platform.Entry, error) {
	if err := s.begin(ctx, "compare and swap", true); err != nil {
		return platform.Entry{}, err
	}
	defer s.mutex.Unlock()
	if len(value) > maxValueBytes {
		return platform.Entry{}, platform.NewUnavailableError("compare and swap", false, errors.New("value is too large"))
	}
	if id != 0 && s.leases[id] == nil {
		return platform.Entry{}, platform.NewLeaseLostError(id)
	}
	if s.entries[key].entry.Version != expected {
		return platform.Entry{}, platform.NewConflictError(key, expected)
	}
	s.revision++
	entry := platform.Entry{Key: key, Value: slices.Clone(value), Version: s.revision}
	s.entries[key] = stored{entry: entry, lease: id}
	s.record(platform.Event{Entry: entry})
	return entry, s.answer("compare and swap")
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.begin(ctx, "delete", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	found, exists := s.entries[key]
	if !exists {
		return platform.NewNotFoundError(key)
	}
	if found.entry.Version != expected {
		return platform.NewConflictError(key, expected)
	}
	s.remove(key)
	return s.answer("delete")
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, length time.Duration) (platform.LeaseID, error) {
	if err := s.begin(ctx, "grant", true); err != nil {
		return 0, err
	}
	defer s.mutex.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{length: length, until: s.now().Add(length)}
	return s.nextID, s.answer("grant")
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "keep alive", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	held := s.leases[id]
	if held == nil {
		return platform.NewLeaseLostError(id)
	}
	held.until = s.now().Add(held.length)
	return s.answer("keep alive")
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "revoke", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		return platform.NewLeaseLostError(id)
	}
	s.drop(id)
	return s.answer("revoke")
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if err := s.begin(ctx, "watch", false); err != nil {
		return platform.Changes{}, err
	}
	deadline := time.NewTimer(watchWait)
	defer deadline.Stop()
	for {
		changes, err := s.since(prefix, after)
		changed := s.changed
		s.mutex.Unlock()
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, platform.NewUnavailableError("watch", false, ctx.Err())
		case <-deadline.C:
			return changes, nil
		case <-changed:
		}
		s.mutex.Lock()
		if s.faults.Down {
			s.mutex.Unlock()
			return platform.Changes{}, platform.NewUnavailableError("watch", false, errFault)
		}
	}
}

// ExpireLeases ends the leases that were not kept alive. Every call does so
// too; a server calls it at intervals so that watches see it.
func (s *Store) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
}

// begin counts the call, applies the faults and, without error, returns with
// the mutex held.
func (s *Store) begin(ctx context.Context, operation string, write bool) error {
	s.mutex.Lock()
	s.calls++
	delay := time.Duration(s.faults.DelayMilliseconds) * time.Millisecond
	if delay > 0 {
		s.mutex.Unlock()
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return platform.NewUnavailableError(operation, write, ctx.Err())
		case <-timer.C:
		}
		s.mutex.Lock()
	}
	if s.faults.Down {
		s.mutex.Unlock()
		return platform.NewUnavailableError(operation, write, errFault)
	}
	s.expire()
	return nil
}

// answer loses the answer of a write that took effect, if so switched.
func (s *Store) answer(operation string) error {
	if s.faults.LoseAnswers {
		return platform.NewUnavailableError(operation, true, errFault)
	}
	return nil
}

func (s *Store) since(prefix string, after uint64) (platform.Changes, error) {
	changes := platform.Changes{Revision: s.revision}
	if s.faults.Gap || (len(s.events) == keptEvents && after+1 < s.events[0].Entry.Version) {
		return changes, platform.NewGapError(after)
	}
	for _, event := range s.events {
		if event.Entry.Version > after && strings.HasPrefix(event.Entry.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, nil
}

func (s *Store) expire() {
	now := s.now()
	for id, held := range s.leases {
		if !now.Before(held.until) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id platform.LeaseID) {
	delete(s.leases, id)
	for key, found := range s.entries {
		if found.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	delete(s.entries, key)
	s.revision++
	s.record(platform.Event{Entry: platform.Entry{Key: key, Version: s.revision}, Deleted: true})
}

func (s *Store) record(event platform.Event) {
	s.events = append(s.events, event)
	if len(s.events) > keptEvents {
		s.events = s.events[1:]
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
