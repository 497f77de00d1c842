package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/table"
)

// Follower watches the stored configuration and caches the latest table.
type Follower struct {
	store   platform.Store
	logger  *zap.Logger
	current atomic.Pointer[table.Table]

	mutex       sync.Mutex
	subscribers []func(*table.Table)
	lastContact atomic.Int64 // Unix nanoseconds of the store's last response; zero if none.
}

// NewFollower returns a follower that starts with the empty table.
func NewFollower(store platform.Store, logger *zap.Logger) *Follower {
	follower := &Follower{store: store, logger: logger}
	follower.current.Store(table.New())
	return follower
}

// Table returns the latest table installed.
func (f *Follower) Table() *table.Table { return f.current.Load() }

// LastContact returns the time of the store's last response, or the zero time
// if there was none.
func (f *Follower) LastContact() time.Time {
	nanoseconds := f.lastContact.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Subscribe registers a callback that receives every table installed from now
// on, in order of revision. The callback runs with the follower's lock held: it
// must not block, call Install or call Subscribe.
func (f *Follower) Subscribe(callback func(*table.Table)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.subscribers = append(f.subscribers, callback)
}

// Install replaces the current table by one read from the store or received
// from a peer, if that has a higher revision. It reports whether it did.
func (f *Follower) Install(next *table.Table) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if next.Revision() <= f.current.Load().Revision() {
		return false
	}
	f.current.Store(next)
	f.logger.Info("configuration installed", zap.Uint64("revision", next.Revision()))
	for _, callback := range f.subscribers {
		callback(next)
	}
	return true
}

// Run watches the head in the store and installs its tables. It blocks
// until the context is canceled.
func (f *Follower) Run(ctx context.Context) error {
	return platform.Follow(ctx, f.store, headKey, f)
}

// Replace implements platform.Subscriber. It handles a full listing.
func (f *Follower) Replace(ctx context.Context, listing platform.Listing) error {
	f.recordContact()
	for _, entry := range listing.Entries {
		if err := f.handleEntry(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// Apply implements platform.Subscriber. It handles incremental changes and
// ignores deletions, so that a deleted head leaves the current table in place.
func (f *Follower) Apply(ctx context.Context, changes platform.Changes) error {
	f.recordContact()
	for _, event := range changes.Events {
		if event.Deleted {
			continue
		}
		if err := f.handleEntry(ctx, event.Entry); err != nil {
			return err
		}
	}
	return nil
}

// Failed implements platform.Subscriber. It logs the error.
func (f *Follower) Failed(err error) {
	f.logger.Warn("could not read configuration from the store", zap.Error(err))
}

func (f *Follower) handleEntry(ctx context.Context, entry platform.Entry) error {
	if entry.Key != headKey {
		return nil
	}
	latest, err := decodeHead(entry)
	if err != nil {
		return err
	}
	if latest.Revision <= f.Table().Revision() {
		return nil
	}
	next, err := loadTable(ctx, f.store, latest, f.Table())
	if err != nil {
		return err
	}
	f.Install(next)
	return nil
}

func (f *Follower) recordContact() { f.lastContact.Store(time.Now().UnixNano()) }
