package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	rosterPrefix = "hosts/"
	// keepAlivesPerLease is the number of keepalives that are sent per lease duration.
	keepAlivesPerLease = 3
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 500 * time.Millisecond
	// startupPeriod is how long after the start registrations use a shorter timeout
	// and retry delay, because a process may not serve requests before it is
	// registered.
	startupPeriod = 3 * time.Second
	// startupRetryDelay is the delay after a failed registration in startupPeriod.
	startupRetryDelay = 100 * time.Millisecond
	// startupTimeout bounds a registration in startupPeriod. A call that was sent while
	// the store was unresponsive may never get a response, even after the store has
	// recovered, so a new call is made instead of waiting.
	startupTimeout = 300 * time.Millisecond
)

// Registrar keeps one key registered in the store under a lease for as long as the
// process runs.
type Registrar struct {
	store         platform.Store
	key           string
	value         atomic.Pointer[[]byte]
	leaseDuration time.Duration
	logger        *zap.Logger
	leaseID       atomic.Uint64
	epoch         atomic.Uint64
	version       atomic.Uint64
	retired       atomic.Bool
	deregistered  atomic.Bool
	lastReadNs    atomic.Int64 // Unix nanoseconds at which the last read that found the key was sent.
	lastRenewalNs atomic.Int64 // Unix nanoseconds at which the last successful keepalive was sent.
}

// NewRegistrar returns a registrar of a key. If several registrars register the same
// key, the last one replaces the others.
func NewRegistrar(store platform.Store, key string, value []byte, leaseDuration time.Duration, logger *zap.Logger) *Registrar {
	r := &Registrar{store: store, key: key, leaseDuration: leaseDuration, logger: logger}
	r.value.Store(&value)
	return r
}

// NewMemberRegistrar returns a registrar of a member's roster entry.
func NewMemberRegistrar(store platform.Store, member Member, leaseDuration time.Duration, logger *zap.Logger) (*Registrar, error) {
	value, err := json.Marshal(member)
	if err != nil {
		return nil, err
	}
	return NewRegistrar(store, member.key(), value, leaseDuration, logger), nil
}

// Lease returns the current lease, zero before the first registration.
func (r *Registrar) Lease() platform.LeaseID { return platform.LeaseID(r.leaseID.Load()) }

// LastRenewal returns when the last successful keepalive was sent. A registration
// counts as one.
func (r *Registrar) LastRenewal() time.Time {
	nanoseconds := r.lastRenewalNs.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Run registers the key and keeps its lease alive until the context ends or
// Deregister is called. If the lease is lost, it registers the key again.
func (r *Registrar) Run(ctx context.Context) error {
	startedAt := time.Now()
	for ctx.Err() == nil && !r.retired.Load() && !r.deregistered.Load() {
		starting := time.Since(startedAt) < startupPeriod
		lease, err := r.registerWithTimeout(ctx, starting)
		if err != nil {
			r.logger.Warn("failed to register", zap.Error(err))
			if starting {
				task.Sleep(ctx, startupRetryDelay)
			} else {
				task.Sleep(ctx, registerRetryDelay)
			}
			continue
		}
		r.leaseID.Store(uint64(lease))
		r.epoch.Add(1)
		r.logger.Info("registered", zap.String("key", r.key))
		r.keepAlive(ctx, lease)
	}
	return nil
}

// LastSeen returns when the key was last known to exist: at the last successful
// keepalive, or at a later read that found the key after a keepalive had failed with
// unknown effect. The lease may have expired since such a read.
func (r *Registrar) LastSeen() time.Time {
	nanoseconds := max(r.lastRenewalNs.Load(), r.lastReadNs.Load())
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Epoch returns how many times the key was registered. While it does not change, the
// lease is not known to have expired.
func (r *Registrar) Epoch() uint64 { return r.epoch.Load() }

// Version returns the store version of the key at its last registration, zero before
// the first. It identifies the registration to processes that read the key.
func (r *Registrar) Version() uint64 { return r.version.Load() }

// LeaseValid reports whether the lease cannot have expired: less than its
// duration has passed since the last successful keepalive was sent.
func (r *Registrar) LeaseValid() bool {
	return r.Lease() != 0 && time.Since(r.LastRenewal()) < r.leaseDuration
}

// Update replaces the value of the key under the current lease, for example when the
// models of a backend server change. Later registrations use the new value too.
func (r *Registrar) Update(ctx context.Context, value []byte) error {
	r.value.Store(&value)
	if r.Lease() == 0 {
		return nil
	}
	entry, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	_, err = r.store.CompareAndSwap(ctx, r.key, value, entry.Version, r.Lease())
	return err
}

// Retire ends new registrations, for a process that stops: once its lease is lost, its
// successor may have registered the key. Run keeps the present lease alive.
func (r *Registrar) Retire() { r.retired.Store(true) }

// Deregister revokes the lease, which deletes the key. Run does not register it
// again.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.deregistered.Store(true)
	lease := r.Lease()
	if lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, lease)
}

func (r *Registrar) registerWithTimeout(ctx context.Context, starting bool) (platform.LeaseID, error) {
	if starting {
		timeoutCtx, cancel := context.WithTimeout(ctx, startupTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	return r.register(ctx)
}

// register writes the key under a new lease. Usually there is no such key, so that it is
// read only after a conflict: each call has a price.
func (r *Registrar) register(ctx context.Context) (platform.LeaseID, error) {
	sentAt := time.Now()
	lease, err := r.store.Grant(ctx, r.leaseDuration)
	if err != nil {
		return 0, err
	}
	entry, err := r.store.CompareAndSwap(ctx, r.key, *r.value.Load(), 0, lease)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		entry, err = r.replace(ctx, lease)
	}
	if err != nil {
		return 0, err
	}
	r.version.Store(entry.Version)
	r.lastRenewalNs.Store(sentAt.UnixNano())
	return lease, nil
}

// replace replaces the key that an earlier process, or a write without an answer, has left.
func (r *Registrar) replace(ctx context.Context, lease platform.LeaseID) (platform.Entry, error) {
	current, err := r.store.Get(ctx, r.key)
	if err != nil && !platform.IsNotFound(err) {
		return platform.Entry{}, err
	}
	return r.store.CompareAndSwap(ctx, r.key, *r.value.Load(), current.Version, lease)
}

// keepAlive renews the lease until it is lost, the context ends or Deregister is
// called. It goes on while the store is unreachable, because the lease may still
// be valid.
func (r *Registrar) keepAlive(ctx context.Context, lease platform.LeaseID) {
	for {
		task.Sleep(ctx, r.leaseDuration/keepAlivesPerLease)
		if ctx.Err() != nil || r.deregistered.Load() {
			return
		}
		sentAt := time.Now()
		err := r.store.KeepAlive(ctx, lease)
		var lost *platform.LeaseLostError
		switch {
		case err == nil:
			r.lastRenewalNs.Store(sentAt.UnixNano())
		case errors.As(err, &lost) && r.deregistered.Load():
			return
		case errors.As(err, &lost):
			r.logger.Warn("lease lost, registering again", zap.Error(err))
			return
		default:
			r.logger.Warn("failed to renew lease", zap.Error(err))
			r.checkKey(ctx)
		}
	}
}

// checkKey reads the key after a keepalive failed with unknown effect. If the key has
// the value of this registrar, it records the time of the read.
func (r *Registrar) checkKey(ctx context.Context) {
	sentAt := time.Now()
	entry, err := r.store.Get(ctx, r.key)
	if err == nil && bytes.Equal(entry.Value, *r.value.Load()) {
		r.lastReadNs.Store(sentAt.UnixNano())
	}
}
