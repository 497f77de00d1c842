package rollout

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	recordPrefix = "rollouts/"
	// writeTimeout bounds the calls of one write, and writeRetryDelay is the time between two
	// attempts. Calls to the key-value service are expensive.
	writeTimeout    = time.Second
	writeRetryDelay = 500 * time.Millisecond
	// withdrawnDelay is the time by which each further candidate writes the end of a
	// withdrawn order later than the one before it. The first one counts as the one
	// after withdrawnRank others, so that it has read an order that others have read: records
	// and orders arrive by different watches.
	withdrawnDelay = time.Second
	withdrawnRank  = 2
)

// record is the state of a roll-out in the key-value service.
type record struct {
	Revision         uint64 `json:"order"`
	Version          string `json:"version"`
	StartedUnixMilli int64  `json:"startedUnixMilli"`
	State            string `json:"state"`

	stored uint64 // The version of the key.
}

func (r record) state() State {
	for _, state := range []State{Done, RolledBack} {
		if r.State == state.String() {
			return state
		}
	}
	return Running
}

// adopt takes the start time of a record of the same order, and the version of an earlier one
// that was not done.
func (o *rollout) adopt(stored record) {
	switch started := time.UnixMilli(stored.StartedUnixMilli); {
	case stored.Revision < o.order.revision && stored.state() != Done:
		o.previous = stored.Version
	case stored.Revision < o.order.revision && stored.Version == o.order.version:
		o.told = Done // An order that was written again has nothing to move.
	case stored.Revision == o.order.revision && started.Before(o.started):
		o.started = started
	}
}

// Follow follows the states in the key-value service until the context ends.
func (r *Rollouts) Follow(ctx context.Context) error {
	return platform.Follow(ctx, r.options.Store, recordPrefix, follower{rollouts: r})
}

// follower implements platform.Subscriber.
type follower struct{ rollouts *Rollouts }

// Replace implements platform.Subscriber.
func (f follower) Replace(_ context.Context, listing platform.Listing) error {
	listed := make(map[string]bool)
	for _, entry := range listing.Entries {
		listed[strings.TrimPrefix(entry.Key, recordPrefix)] = true
		f.rollouts.read(entry)
	}
	f.rollouts.mutex.Lock()
	defer f.rollouts.mutex.Unlock()
	for service, known := range f.rollouts.records {
		if !listed[service] && known.stored <= listing.Revision {
			delete(f.rollouts.records, service)
		}
	}
	f.rollouts.recordsKnown = true
	return nil
}

// Apply implements platform.Subscriber.
func (f follower) Apply(_ context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if !event.Deleted {
			f.rollouts.read(event.Entry)
			continue
		}
		f.rollouts.mutex.Lock()
		delete(f.rollouts.records, strings.TrimPrefix(event.Entry.Key, recordPrefix))
		f.rollouts.mutex.Unlock()
	}
	return nil
}

// Failed implements platform.Subscriber.
func (f follower) Failed(err error) {
	f.rollouts.options.Logger.Warn("failed to read the states of roll-outs; the last known ones stay in force", zap.Error(err))
}

// read takes a record over if it is more recent than the known one.
func (r *Rollouts) read(entry platform.Entry) {
	service := strings.TrimPrefix(entry.Key, recordPrefix)
	next := record{stored: entry.Version}
	if err := json.Unmarshal(entry.Value, &next); err != nil {
		r.options.Logger.Warn("failed to decode the state of a roll-out", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	r.mutex.Lock()
	before, known := r.records[service]
	if known && before.stored >= next.stored {
		r.mutex.Unlock()
		return
	}
	r.records[service] = next
	if rollout := r.rollouts[service]; rollout != nil {
		rollout.adopt(next)
	}
	changed := !known || before.Revision != next.Revision || before.state() != next.state()
	r.mutex.Unlock()
	if !changed {
		return
	}
	r.options.Logger.Info("state of roll-out", zap.String("service", service), zap.String("version", next.Version), zap.Stringer("state", next.state()))
	for _, notify := range r.subscribers {
		notify(service, next.Version, next.state())
	}
}

// save writes the state of a roll-out in the background, unless it is stored already or an
// attempt is in progress or recent. Only the state that this hall has read is replaced. The
// caller must hold the mutex.
func (r *Rollouts) save(ctx context.Context, rollout *rollout, state State) {
	service := rollout.order.service
	known := r.records[service]
	now := r.options.Now()
	isStored := known.Revision == rollout.order.revision && (known.state() == state || known.state() != Running)
	if isStored || known.Revision > rollout.order.revision || rollout.writing || now.Sub(rollout.writtenAt) < writeRetryDelay {
		return
	}
	rollout.writing, rollout.writtenAt = true, now
	next := record{
		Revision: rollout.order.revision, Version: rollout.order.version, StartedUnixMilli: rollout.started.UnixMilli(), State: state.String(),
	}
	task.Go(r.options.Logger, "write the state of a roll-out", func() {
		r.write(ctx, service, next, known.stored)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		rollout.writing = false
		rollout.writtenAt = r.options.Now()
		if r.records[service].stored != known.stored {
			rollout.writtenAt = time.Time{} // The next state need not wait.
		}
	})
}

// write replaces a record. If its effect is unknown, or another hall was first, it reads the
// record. An error is logged, and the caller tries again later.
func (r *Rollouts) write(ctx context.Context, service string, next record, expected uint64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		r.options.Logger.Error("failed to encode the state of a roll-out", zap.String("service", service), zap.Error(err))
		return
	}
	entry, err := r.options.Store.CompareAndSwap(ctx, recordPrefix+service, value, expected, 0)
	if err != nil {
		r.options.Logger.Warn("failed to write the state of a roll-out", zap.String("service", service), zap.String("state", next.State), zap.Error(err))
		entry, err = r.options.Store.Get(ctx, recordPrefix+service)
	}
	if err != nil {
		r.options.Logger.Warn("failed to read the state of a roll-out", zap.String("service", service), zap.Error(err))
		return
	}
	r.read(entry)
}

// rollBackWithdrawn writes the end of roll-outs whose order was withdrawn while they were
// running. All candidates to own one do so, each after the one before had time to: no call
// between halls is needed, and a second write fails.
func (r *Rollouts) rollBackWithdrawn(ctx context.Context, halls []host.Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.ordersKnown || !r.recordsKnown {
		return
	}
	now := r.options.Now()
	for service, known := range r.records {
		if r.rollouts[service] != nil || known.state() != Running {
			delete(r.withdrawn, service)
			continue
		}
		since, found := r.withdrawn[service]
		if !found {
			since = now
			r.withdrawn[service] = since
		}
		for rank, hall := range host.Top(service, halls, maxCandidates) {
			if hall.Name() != r.options.OwnName || now.Sub(since) < time.Duration(rank+withdrawnRank)*withdrawnDelay {
				continue
			}
			r.withdrawn[service] = now.Add(writeRetryDelay) // For the next attempt.
			next := known
			next.State = RolledBack.String()
			task.Go(r.options.Logger, "roll back a withdrawn order", func() { r.write(ctx, service, next, known.stored) })
		}
	}
}
