// Package memory implements platform.Store in memory, with fault injection. Tests
// use it directly; the stand-in servers serve it over HTTP.
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
	"sort"
	"strings"
	"sync"
	"time"

	"limpethall.dev/kernel/platform"
)

const (
	// maxEvents is the number of past events available to watches.
	maxEvents     = 4096
	maxValueBytes = 4 << 20
	// maxWatchWait is how long a watch waits for changes.
	maxWatchWait = 2 * time.Second
)

var errInjected = errors.New("injected fault")

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Down makes every call fail before it is applied.
	Down bool `json:"down"`
	// LoseAnswers applies writes but returns an error for them.
	LoseAnswers bool `json:"loseAnswers"`
	// DelayMilliseconds delays every call.
	DelayMilliseconds int64 `json:"delayMilliseconds"`
	// Gap makes watches fail with a *platform.GapError.
	Gap bool `json:"gap"`
	// SilentWatches makes watches hang until their callers give up, also those that
	// are waiting already. They hang even if the fault ends before.
	SilentWatches bool `json:"silentWatches"`
}

// Store is an in-memory key-value store. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mutex       sync.Mutex
	faults      Faults
	revision    uint64
	entries     map[string]storedEntry
	leases      map[platform.LeaseID]*lease
	lastLeaseID platform.LeaseID
	nextExpiry  time.Time // No lease expires before this time.
	events      []platform.Event
	dropped     uint64 // The events up to this revision are no longer available.
	changed     chan struct{}
	calls       int64
}

type storedEntry struct {
	entry platform.Entry
	lease platform.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// New returns an empty store whose leases expire by the given clock.
func New(now func() time.Time) *Store {
	return &Store{now: now, entries: make(map[string]storedEntry), leases: make(map[platform.LeaseID]*lease), changed: make(chan struct{})}
}

// SetFaults sets the faults to inject, and wakes waiting watches.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wakeWatchers()
}

// DropHistory drops the events so far, so that watches from earlier revisions fail with
// a *platform.GapError.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = nil
	s.dropped = s.revision
}

// Calls returns the number of calls so far; a watch counts as one.
func (s *Store) Calls() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.beginCall(ctx, "get", false); err != nil {
		return platform.Entry{}, err
	}
	defer s.mutex.Unlock()
	stored, exists := s.entries[key]
	if !exists {
		return platform.Entry{}, platform.NewNotFoundError(key)
	}
	return stored.entry, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.beginCall(ctx, "list", false); err != nil {
		return platform.Listing{}, err
	}
	defer s.mutex.Unlock()
	listing := platform.Listing{Revision: s.revision}
	for key, stored := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, stored.entry)
		}
	}
	slices.SortFunc(listing.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, id platform.LeaseID) (platform.Entry, error) {
	if err := s.beginCall(ctx, "compare and swap", true); err != nil {
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
	s.entries[key] = storedEntry{entry: entry, lease: id}
	s.appendEvent(platform.Event{Entry: entry})
	return entry, s.responseFault("compare and swap")
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.beginCall(ctx, "delete", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	stored, exists := s.entries[key]
	if !exists {
		return platform.NewNotFoundError(key)
	}
	if stored.entry.Version != expected {
		return platform.NewConflictError(key, expected)
	}
	s.removeKey(key)
	return s.responseFault("delete")
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.beginCall(ctx, "grant", true); err != nil {
		return 0, err
	}
	defer s.mutex.Unlock()
	s.lastLeaseID++
	expiresAt := s.now().Add(ttl)
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: expiresAt}
	if expiresAt.Before(s.nextExpiry) {
		s.nextExpiry = expiresAt
	}
	return s.lastLeaseID, s.responseFault("grant")
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, "keep alive", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	renewed := s.leases[id]
	if renewed == nil {
		return platform.NewLeaseLostError(id)
	}
	renewed.expiresAt = s.now().Add(renewed.ttl)
	return s.responseFault("keep alive")
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, "revoke", true); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	if s.leases[id] == nil {
		return platform.NewLeaseLostError(id)
	}
	s.endLease(id)
	return s.responseFault("revoke")
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if err := s.beginCall(ctx, "watch", false); err != nil {
		return platform.Changes{}, err
	}
	timer := time.NewTimer(maxWatchWait)
	defer timer.Stop()
	for {
		if s.faults.SilentWatches {
			s.mutex.Unlock()
			<-ctx.Done()
			return platform.Changes{}, platform.NewUnavailableError("watch", false, ctx.Err())
		}
		changes, err := s.changesSince(prefix, after)
		changed := s.changed
		s.mutex.Unlock()
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return platform.Changes{}, platform.NewUnavailableError("watch", false, ctx.Err())
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
		s.mutex.Lock()
		if s.faults.Down {
			s.mutex.Unlock()
			return platform.Changes{}, platform.NewUnavailableError("watch", false, errInjected)
		}
	}
}

// ExpireLeases ends the leases whose TTL has passed. Every call to the store does
// so first; a server also calls it periodically, so that waiting watches see the
// deletions.
func (s *Store) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
}

// beginCall counts the call, injects faults and expires leases. If it returns nil,
// the mutex is locked.
func (s *Store) beginCall(ctx context.Context, operation string, write bool) error {
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
		return platform.NewUnavailableError(operation, write, errInjected)
	}
	s.expireLeases()
	return nil
}

// responseFault returns the error to inject after a write was applied, if any.
func (s *Store) responseFault(operation string) error {
	if s.faults.LoseAnswers {
		return platform.NewUnavailableError(operation, true, errInjected)
	}
	return nil
}

func (s *Store) changesSince(prefix string, after uint64) (platform.Changes, error) {
	changes := platform.Changes{Revision: s.revision}
	if s.faults.Gap || after < s.dropped {
		return changes, platform.NewGapError(after)
	}
	first := sort.Search(len(s.events), func(index int) bool { return s.events[index].Entry.Version > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Entry.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, nil
}

func (s *Store) expireLeases() {
	now := s.now()
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(maxWatchWait)
	for id, granted := range s.leases {
		if !now.Before(granted.expiresAt) {
			s.endLease(id)
		} else if granted.expiresAt.Before(s.nextExpiry) {
			s.nextExpiry = granted.expiresAt
		}
	}
}

func (s *Store) endLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, stored := range s.entries {
		if stored.lease == id {
			s.removeKey(key)
		}
	}
}

func (s *Store) removeKey(key string) {
	delete(s.entries, key)
	s.revision++
	s.appendEvent(platform.Event{Entry: platform.Entry{Key: key, Version: s.revision}, Deleted: true})
}

func (s *Store) appendEvent(event platform.Event) {
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.dropped = s.events[0].Entry.Version
		s.events = s.events[1:]
	}
	s.wakeWatchers()
}

func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
