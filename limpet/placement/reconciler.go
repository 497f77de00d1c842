// Package placement reconciles the models that an engine has loaded with those
// that the configuration table assigns to it, one placement command at a time.
//
// Only the limpet sends placement commands to its engine, and only one limpet
// process can listen on the limpet's port. A paused process keeps the port, so a
// second limpet can't start beside it. For engines that check it, each command
// carries a fencing token: the version of a store key that each incarnation
// writes once. A model load first acquires one of a few permits shared by the
// whole fleet, because the capacity of the weight store is limited.
//
// # Usage
//
//	reconciler := placement.New(placement.Options{...}, store, client, logger)
//	reconciler.Reconcile(ctx, assignment, loaded)
package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/table"
	"limpethall.dev/limpet/engine"
)

const (
	fencePrefix  = "orders/fences/"
	permitPrefix = "orders/permits/"
)

// Options configure a Reconciler.
type Options struct {
	Server      string
	Incarnation uint64
	// Permits is the maximum number of concurrent model loads in the fleet.
	Permits int
	// Timeout bounds one placement command and is the TTL of the lease of a
	// permit.
	Timeout time.Duration
}

// Reconciler sends placement commands to one engine. It is not safe for
// concurrent use.
type Reconciler struct {
	options      Options
	store        platform.Store
	engine       engine.Engine
	logger       *zap.Logger
	fencingToken uint64
	superseded   bool
}

// New returns a reconciler. The first command acquires its fencing token.
func New(options Options, store platform.Store, client engine.Engine, logger *zap.Logger) *Reconciler {
	return &Reconciler{options: options, store: store, engine: client, logger: logger}
}

// Reconcile compares the loaded models with the assignment and sends at most
// one command. All assigned models are loaded before others are released, so
// that an intermediate state never leaves a model without a server.
func (r *Reconciler) Reconcile(ctx context.Context, assignment table.Assignment, loaded []string) {
	command, needed := nextCommand(assignment.Models(), loaded)
	if !needed || r.superseded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	reason, err := r.execute(ctx, command)
	r.logger.Info("placement", zap.String("server", r.options.Server), zap.String("order", string(command.Kind)), zap.String("model", command.Model),
		zap.Strings("wanted", assignment.Models()), zap.Strings("held", loaded), zap.Uint64("fence", r.fencingToken), zap.String("reason", reason), zap.Error(err))
}

// nextCommand returns the next command, false if none is needed.
func nextCommand(assigned, loaded []string) (engine.Command, bool) {
	for _, model := range assigned {
		if !slices.Contains(loaded, model) {
			return engine.Command{Kind: engine.CommandLoad, Model: model}, true
		}
	}
	for _, model := range loaded {
		if !slices.Contains(assigned, model) {
			return engine.Command{Kind: engine.CommandUnload, Model: model}, true
		}
	}
	return engine.Command{}, false
}

func (r *Reconciler) execute(ctx context.Context, command engine.Command) (reason string, err error) {
	if err := r.acquireFence(ctx); err != nil {
		return "no fencing token yet", err
	}
	command.FencingToken = r.fencingToken
	if command.Kind == engine.CommandUnload {
		return "loaded but not assigned", r.send(ctx, command)
	}
	lease, err := r.acquirePermit(ctx)
	if err != nil || lease == 0 {
		return "waiting for a weight store permit", err
	}
	defer func() {
		if err := r.store.Revoke(context.WithoutCancel(ctx), lease); err != nil {
			r.logger.Warn("failed to release permit, it expires with its lease", zap.Error(err))
		}
	}()
	return "assigned but not loaded", r.send(ctx, command)
}

func (r *Reconciler) send(ctx context.Context, command engine.Command) error {
	err := r.engine.Execute(ctx, command)
	var stale *engine.StaleFencingTokenError
	if errors.As(err, &stale) {
		r.superseded = true // A newer incarnation has taken over, so this one sends no more commands.
		return stale
	}
	return err
}

// acquireFence writes the fencing key once for this incarnation. The version
// of the key is the fencing token, which is higher than that of every earlier
// incarnation.
func (r *Reconciler) acquireFence(ctx context.Context) error {
	if r.fencingToken > 0 {
		return nil
	}
	key := fencePrefix + r.options.Server
	expected := uint64(0)
	current, err := r.store.Get(ctx, key)
	if err == nil {
		expected = current.Version
	} else if !platform.IsNotFound(err) {
		return err
	}
	written, err := r.store.CompareAndSwap(ctx, key, []byte(strconv.FormatUint(r.options.Incarnation, 10)), expected, 0)
	if err != nil {
		return err
	}
	r.fencingToken = written.Version
	return nil
}

// acquirePermit acquires a free permit and returns its lease, zero if all
// permits are in use.
func (r *Reconciler) acquirePermit(ctx context.Context) (platform.LeaseID, error) {
	lease, err := r.store.Grant(ctx, r.options.Timeout)
	if err != nil {
		return 0, err
	}
	for slot := range r.options.Permits {
		_, err := r.store.CompareAndSwap(ctx, fmt.Sprintf("%s%d", permitPrefix, slot), []byte(r.options.Server), 0, lease)
		if err == nil {
			return lease, nil
		}
		if !platform.IsConflict(err) {
			return 0, err
		}
	}
	return 0, r.store.Revoke(ctx, lease)
}
