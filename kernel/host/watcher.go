package host

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	// maxHistory bounds the history of a watcher. Each entry of the history is one set
	// of limpets of plain services.
	maxHistory = 256
	// removalDelay is how long removals are deferred after a store outage. During the
	// outage the leases of live processes may have expired, and they need this time to
	// register again.
	removalDelay = 4 * time.Second
	// outageThreshold is the time without a response from the store after which it
	// counts as an outage.
	outageThreshold = 3 * time.Second
)

// Watcher holds the current roster, and a bounded history of the service limpets to
// which a ticket may refer.
type Watcher struct {
	store         platform.Store
	logger        *zap.Logger
	current       atomic.Pointer[Roster]
	lastContactNs atomic.Int64

	mutex       sync.Mutex
	history     []*Roster
	members     map[string]Member
	subscribers []func(*Roster)
}

// NewWatcher returns a watcher with an empty roster.
func NewWatcher(store platform.Store, logger *zap.Logger) *Watcher {
	watcher := &Watcher{store: store, logger: logger, members: make(map[string]Member)}
	watcher.current.Store(NewRoster(0, nil))
	return watcher
}

// Roster returns the current roster.
func (w *Watcher) Roster() *Roster { return w.current.Load() }

// LastContact returns when the store last responded, the zero time if it never did.
func (w *Watcher) LastContact() time.Time {
	nanoseconds := w.lastContactNs.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Subscribe calls notify with every new roster. notify must not block. It is
// called with the mutex held, so it must not call Subscribe, RosterByPlacement or
// RostersOfService.
func (w *Watcher) Subscribe(notify func(*Roster)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.subscribers = append(w.subscribers, notify)
}

// RosterByPlacement returns the latest roster of the history with the given
// placement digest. It contains only the limpets of plain services.
func (w *Watcher) RosterByPlacement(digest uint64) (*Roster, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for index := len(w.history) - 1; index >= 0; index-- {
		if w.history[index].placementDigest == digest {
			return w.history[index], true
		}
	}
	return nil, false
}

// RostersOfService returns the rosters of the history that have a limpet of the
// service, one for each placement digest, newest first. They contain only the
// limpets of plain services.
func (w *Watcher) RostersOfService(service string) []*Roster {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var distinct []*Roster
	seen := make(map[uint64]bool)
	for index := len(w.history) - 1; index >= 0; index-- {
		roster := w.history[index]
		if seen[roster.placementDigest] || len(roster.ServiceLimpets(service)) == 0 {
			continue
		}
		seen[roster.placementDigest] = true
		distinct = append(distinct, roster)
	}
	return distinct
}

// Follow watches the roster in the store until the context ends.
func (w *Watcher) Follow(ctx context.Context) error {
	return platform.Follow(ctx, w.store, rosterPrefix, w)
}

// Replace implements platform.Subscriber. After a store outage it adds new members at
// once, but removes missing ones only if they are still missing after removalDelay.
func (w *Watcher) Replace(ctx context.Context, listing platform.Listing) error {
	lastContact := w.LastContact()
	if !lastContact.IsZero() && time.Since(lastContact) > outageThreshold {
		w.logger.Info("store is reachable again; deferring removals from the roster", zap.Duration("grace", removalDelay))
		w.merge(listing)
		task.Sleep(ctx, removalDelay)
		var err error
		if listing, err = w.store.List(ctx, rosterPrefix); err != nil {
			return err
		}
	}
	w.recordContact()
	w.replace(listing)
	return nil
}

// Apply implements platform.Subscriber.
func (w *Watcher) Apply(_ context.Context, changes platform.Changes) error {
	w.recordContact()
	w.apply(changes)
	return nil
}

// Failed implements platform.Subscriber.
func (w *Watcher) Failed(err error) {
	w.logger.Warn("failed to read the roster; the last known roster stays in force", zap.Error(err))
}

func (w *Watcher) replace(listing platform.Listing) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.members = make(map[string]Member)
	w.addListing(listing)
}

func (w *Watcher) merge(listing platform.Listing) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addListing(listing)
}

func (w *Watcher) addListing(listing platform.Listing) {
	revision := uint64(0)
	for _, entry := range listing.Entries {
		w.addEntry(entry)
		revision = max(revision, entry.Version)
	}
	w.publish(max(revision, listing.Revision))
}

func (w *Watcher) apply(changes platform.Changes) {
	if len(changes.Events) == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	revision := uint64(0)
	for _, event := range changes.Events {
		revision = max(revision, event.Entry.Version)
		if event.Deleted {
			delete(w.members, event.Entry.Key)
			continue
		}
		w.addEntry(event.Entry)
	}
	w.publish(revision)
}

func (w *Watcher) addEntry(entry platform.Entry) {
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		w.logger.Warn("failed to decode roster entry", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	w.members[entry.Key] = member
}

// publish replaces the current roster and notifies the subscribers. The caller must
// hold the mutex.
func (w *Watcher) publish(revision uint64) {
	members := make([]Member, 0, len(w.members))
	for _, member := range w.members {
		members = append(members, member)
	}
	roster := NewRoster(revision, members)
	w.current.Store(roster)
	w.addToHistory(roster)
	for _, notify := range w.subscribers {
		notify(roster)
	}
}

// addToHistory adds the limpets of plain services to the history, unless they are the
// same as those of the previous roster. The caller must hold the mutex.
func (w *Watcher) addToHistory(roster *Roster) {
	if last := len(w.history) - 1; last >= 0 && w.history[last].placementDigest == roster.placementDigest {
		return
	}
	var serviceLimpets []Member
	for _, member := range roster.limpets {
		if member.service != "" {
			serviceLimpets = append(serviceLimpets, member)
		}
	}
	w.history = append(w.history, NewRoster(roster.revision, serviceLimpets))
	if len(w.history) > maxHistory {
		w.history = w.history[1:]
	}
}

func (w *Watcher) recordContact() { w.lastContactNs.Store(time.Now().UnixNano()) }

// ReadRoster reads the current roster from the store.
func ReadRoster(ctx context.Context, store platform.Store) (*Roster, error) {
	listing, err := store.List(ctx, rosterPrefix)
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		var member Member
		if err := json.Unmarshal(entry.Value, &member); err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return NewRoster(listing.Revision, members), nil
}
