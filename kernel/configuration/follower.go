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

// Follower holds the newest table that its process has seen.
type Follower struct {
	store   platform.Store
	logger  *zap.Logger
	current atomic.Pointer[table.Table]

	install     sync.Mutex
	subscribers []func(*table.Table)
	contact     atomic.Int64 // Unix nanoseconds of the last answer, zero for none.
}

// NewFollower returns a follower that holds the empty table.
func NewFollower(store platform.Store, logger *zap.Logger) *Follower {
	follower := &Follower{store: store, logger: logger}
	follower.current.Store(table.New())
	return follower
}

// Table returns the newest table seen.
func (f *Follower) Table() *table.Table { return f.current.Load() }

// LastContact returns when the store last answered, the zero time for never.
func (f *Follower) LastContact() time.Time {
	at := f.contact.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Subscribe calls notify with every table installed from now on, in order.
// notify must not block.
func (f *Follower) Subscribe(notify func(*table.Table)) {
	f.install.Lock()
	defer f.install.Unlock()
	f.subscribers = append(f.subscribers, notify)
}

// Install takes over a table from the store or from a peer and reports
// whether it was newer than the one held.
func (f *Follower) Install(next *table.Table) bool {
	f.install.Lock()
	defer f.install.Unlock()
	if next.Revision() <= f.current.Load().Revision() {
		return false
	}
	f.current.Store(next)
	f.logger.Info("configuration installed", zap.Uint64("revision", next.Revision()))
	for _, notify := range f.subscribers {
		notify(next)
	}
	return true
}

// Follow reads the store until the context ends. It only returns then.
func (f *Follower) Follow(ctx context.Context) error {
	return platform.Follow(ctx, f.store, headKey, f)
}

// Replace implements platform.Subscriber.
func (f *Follower) Replace(ctx context.Context, listing platform.Listing) error {
	f.touch()
	for _, entry := range listing.Entries {
		if err := f.take(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// Apply implements platform.Subscriber.
func (f *Follower) Apply(ctx context.Context, changes platform.Changes) error {
	f.touch()
	for _, event := range changes.Events {
		if event.Deleted {
			continue
		}
		if err := f.take(ctx, event.Entry); err != nil {
			return err
		}
	}
	return nil
}

// Failed implements platform.Subscriber.
func (f *Follower) Failed(err error) {
	f.logger.Warn("configuration not read", zap.Error(err))
}

func (f *Follower) take(ctx context.Context, entry platform.Entry) error {
	if entry.Key != headKey {
		return nil
	}
	newest, err := readHead(entry)
	if err != nil {
		return err
	}
	if newest.Revision <= f.Table().Revision() {
		return nil
	}
	next, err := load(ctx, f.store, newest, f.Table())
	if err != nil {
		return err
	}
	f.Install(next)
	return nil
}

func (f *Follower) touch() { f.contact.Store(time.Now().UnixNano()) }
