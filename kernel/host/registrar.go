package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/platform"
)

const (
	prefix = "hosts/"
	// keepAliveShare is the part of a lease's length between two keepalives.
	keepAliveShare = 3
	// registerPause is the wait after a failed registration.
	registerPause = 500 * time.Millisecond
	// startLength is how long after its start a process registers with shorter
	// waits: it may serve nobody before.
	startLength = 3 * time.Second
	// startPause is the wait after a failed registration in that time.
	startPause = 100 * time.Millisecond
	// startWait bounds a registration in that time: a service that was silent when
	// it was asked answers only the next call.
	startWait = 300 * time.Millisecond
)

// Registrar keeps one key in the store for as long as its process lives.
type Registrar struct {
	store  platform.Store
	key    string
	value  atomic.Pointer[[]byte]
	length time.Duration
	logger *zap.Logger
	lease  atomic.Uint64
	epoch  atomic.Uint64
	left   atomic.Bool
	seen   atomic.Int64 // Unix nanoseconds at which the key was last known to exist.
	renew  atomic.Int64 // Unix nanoseconds at which the last good keepalive was sent.
}

// NewRegistrar returns a registrar of a key; length is the lease's length.
// Several registrars of one key replace each other: the last one holds it.
func NewRegistrar(store platform.Store, key string, value []byte, length time.Duration, logger *zap.Logger) *Registrar {
	r := &Registrar{store: store, key: key, length: length, logger: logger}
	r.value.Store(&value)
	return r
}

// NewMemberRegistrar returns a registrar that keeps a member on the roster.
func NewMemberRegistrar(store platform.Store, member Member, length time.Duration, logger *zap.Logger) (*Registrar, error) {
	value, err := json.Marshal(member)
	if err != nil {
		return nil, err
	}
	return NewRegistrar(store, member.key(), value, length, logger), nil
}

// Lease returns the present lease, zero before the first registration.
func (r *Registrar) Lease() platform.LeaseID { return platform.LeaseID(r.lease.Load()) }

// LastRenewal returns when the last successful keepalive was sent.
func (r *Registrar) LastRenewal() time.Time {
	at := r.renew.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Keep registers the key and keeps its lease alive until the context ends or
// Leave is called. A lost lease is replaced.
func (r *Registrar) Keep(ctx context.Context) error {
	started := time.Now()
	for ctx.Err() == nil && !r.left.Load() {
		starting := time.Since(started) < startLength
		lease, err := r.tryRegister(ctx, starting)
		if err != nil {
			r.logger.Warn("not registered", zap.Error(err))
			if starting {
				duty.Pause(ctx, startPause)
			} else {
				duty.Pause(ctx, registerPause)
			}
			continue
		}
		r.lease.Store(uint64(lease))
		r.epoch.Add(1)
		r.logger.Info("registered", zap.String("key", r.key))
		r.keepAlive(ctx, lease)
	}
	return nil
}

// LastSeen returns when the key was last known to exist: the newest keepalive,
// or a read that found it where the answers to keepalives were lost. The lease
// may have lapsed since a read.
func (r *Registrar) LastSeen() time.Time {
	at := max(r.renew.Load(), r.seen.Load())
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Epoch returns how often the key was registered. As long as it does not
// change, the lease has not lapsed.
func (r *Registrar) Epoch() uint64 { return r.epoch.Load() }

// Valid reports whether the lease certainly still holds: less than its length
// has passed since the last successful keepalive was sent.
func (r *Registrar) Valid() bool {
	return r.Lease() != 0 && time.Since(r.LastRenewal()) < r.length
}

// Update changes the value under the present lease, as when a backend server
// holds other models. A registration that follows uses it too.
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

// Leave ends the lease for good.
func (r *Registrar) Leave(ctx context.Context) error {
	r.left.Store(true)
	lease := r.Lease()
	if lease == 0 {
		return nil
	}
	return r.store.Revoke(ctx, lease)
}

func (r *Registrar) tryRegister(ctx context.Context, starting bool) (platform.LeaseID, error) {
	if starting {
		bounded, cancel := context.WithTimeout(ctx, startWait)
		defer cancel()
		ctx = bounded
	}
	return r.register(ctx)
}

func (r *Registrar) register(ctx context.Context) (platform.LeaseID, error) {
	sent := time.Now()
	lease, err := r.store.Grant(ctx, r.length)
	if err != nil {
		return 0, err
	}
	expected := uint64(0)
	if entry, err := r.store.Get(ctx, r.key); err == nil {
		expected = entry.Version
	} else if !platform.IsNotFound(err) {
		return 0, err
	}
	if _, err := r.store.CompareAndSwap(ctx, r.key, *r.value.Load(), expected, lease); err != nil {
		return 0, err
	}
	r.renew.Store(sent.UnixNano())
	return lease, nil
}

// keepAlive returns when the lease is lost or the context ends. An
// unreachable store is no reason to register again: the lease may still hold.
func (r *Registrar) keepAlive(ctx context.Context, lease platform.LeaseID) {
	for {
		duty.Pause(ctx, r.length/keepAliveShare)
		if ctx.Err() != nil || r.left.Load() {
			return
		}
		sent := time.Now()
		err := r.store.KeepAlive(ctx, lease)
		var lost *platform.LeaseLostError
		switch {
		case err == nil:
			r.renew.Store(sent.UnixNano())
		case errors.As(err, &lost) && r.left.Load():
			return
		case errors.As(err, &lost):
			r.logger.Warn("lease lost, registering again", zap.Error(err))
			return
		default:
			r.logger.Warn("lease not renewed", zap.Error(err))
			r.look(ctx)
		}
	}
}

// look reads the key after a keepalive whose effect is not known.
func (r *Registrar) look(ctx context.Context) {
	sent := time.Now()
	entry, err := r.store.Get(ctx, r.key)
	if err == nil && bytes.Equal(entry.Value, *r.value.Load()) {
		r.seen.Store(sent.UnixNano())
	}
}
