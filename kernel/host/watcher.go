package host

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/platform"
)

const (
	// keptRosters is how many earlier sets of plain services a watcher can
	// still name.
	keptRosters = 256
	// returnGrace is how long removals are put off after an outage of the
	// store, in which leases may have lapsed of processes that are alive.
	returnGrace = 4 * time.Second
	// outageLength is the silence of the store that counts as an outage.
	outageLength = 3 * time.Second
)

// Watcher holds the newest roster and, of earlier ones, what tickets may name.
type Watcher struct {
	store   platform.Store
	logger  *zap.Logger
	current atomic.Pointer[Roster]
	contact atomic.Int64

	mutex       sync.Mutex
	earlier     []*Roster
	members     map[string]Member
	subscribers []func(*Roster)
}

// NewWatcher returns a watcher that holds an empty roster.
func NewWatcher(store platform.Store, logger *zap.Logger) *Watcher {
	watcher := &Watcher{store: store, logger: logger, members: make(map[string]Member)}
	watcher.current.Store(NewRoster(0, nil))
	return watcher
}

// Roster returns the newest roster.
func (w *Watcher) Roster() *Roster { return w.current.Load() }

// LastContact returns when the store last answered, the zero time for never.
func (w *Watcher) LastContact() time.Time {
	at := w.contact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Subscribe calls notify with every roster from now on. notify must not block.
func (w *Watcher) Subscribe(notify func(*Roster)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.subscribers = append(w.subscribers, notify)
}

// ByPlacement returns the newest roster with that placement digest, with its
// limpets before plain services alone.
func (w *Watcher) ByPlacement(digest uint64) (*Roster, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for index := len(w.earlier) - 1; index >= 0; index-- {
		if w.earlier[index].placement == digest {
			return w.earlier[index], true
		}
	}
	return nil, false
}

// Placements returns the kept rosters that differ in placement and have a
// limpet before the service, newest first, as ByPlacement does.
func (w *Watcher) Placements(service string) []*Roster {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var distinct []*Roster
	seen := make(map[uint64]bool)
	for index := len(w.earlier) - 1; index >= 0; index-- {
		roster := w.earlier[index]
		if seen[roster.placement] || len(roster.ServiceLimpets(service)) == 0 {
			continue
		}
		seen[roster.placement] = true
		distinct = append(distinct, roster)
	}
	return distinct
}

// Follow reads the roster until the context ends.
func (w *Watcher) Follow(ctx context.Context) error {
	return platform.Follow(ctx, w.store, prefix, w)
}

// Replace implements platform.Subscriber. After an outage it waits before it
// believes that members are gone.
func (w *Watcher) Replace(ctx context.Context, listing platform.Listing) error {
	last := w.LastContact()
	if !last.IsZero() && time.Since(last) > outageLength {
		w.logger.Info("store is back, removals wait", zap.Duration("grace", returnGrace))
		w.merge(listing)
		duty.Pause(ctx, returnGrace)
		var err error
		if listing, err = w.store.List(ctx, prefix); err != nil {
			return err
		}
	}
	w.touch()
	w.replace(listing)
	return nil
}

// Apply implements platform.Subscriber.
func (w *Watcher) Apply(_ context.Context, changes platform.Changes) error {
	w.touch()
	w.apply(changes)
	return nil
}

// Failed implements platform.Subscriber.
func (w *Watcher) Failed(err error) {
	w.logger.Warn("roster not read, the last one stays in force", zap.Error(err))
}

func (w *Watcher) replace(listing platform.Listing) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.members = make(map[string]Member)
	w.add(listing)
}

func (w *Watcher) merge(listing platform.Listing) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.add(listing)
}

func (w *Watcher) add(listing platform.Listing) {
	newest := uint64(0)
	for _, entry := range listing.Entries {
		w.put(entry)
		newest = max(newest, entry.Version)
	}
	w.publish(max(newest, listing.Revision))
}

func (w *Watcher) apply(changes platform.Changes) {
	if len(changes.Events) == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	newest := uint64(0)
	for _, event := range changes.Events {
		newest = max(newest, event.Entry.Version)
		if event.Deleted {
			delete(w.members, event.Entry.Key)
			continue
		}
		w.put(event.Entry)
	}
	w.publish(newest)
}

func (w *Watcher) put(entry platform.Entry) {
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		w.logger.Warn("roster entry not understood", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	w.members[entry.Key] = member
}

// publish makes the roster of the present members; the mutex is held.
func (w *Watcher) publish(revision uint64) {
	members := make([]Member, 0, len(w.members))
	for _, member := range w.members {
		members = append(members, member)
	}
	roster := NewRoster(revision, members)
	w.current.Store(roster)
	w.remember(roster)
	for _, notify := range w.subscribers {
		notify(roster)
	}
}

// remember keeps what a ticket may name of a roster: the limpets before plain
// services, if they differ from those of the roster before.
func (w *Watcher) remember(roster *Roster) {
	if last := len(w.earlier) - 1; last >= 0 && w.earlier[last].placement == roster.placement {
		return
	}
	var placing []Member
	for _, member := range roster.limpets {
		if member.service != "" {
			placing = append(placing, member)
		}
	}
	w.earlier = append(w.earlier, NewRoster(roster.revision, placing))
	if len(w.earlier) > keptRosters {
		w.earlier = w.earlier[1:]
	}
}

func (w *Watcher) touch() { w.contact.Store(time.Now().UnixNano()) }

// ReadRoster returns the roster as the store has it now.
func ReadRoster(ctx context.Context, store platform.Store) (*Roster, error) {
	listing, err := store.List(ctx, prefix)
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
