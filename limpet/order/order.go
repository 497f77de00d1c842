// Package order has a model engine hold the models that the table assigns to
// it, one order at a time.
//
// The limpet is the only one who gives its engine orders, and its port is held
// by one process at a time: one that is paused keeps it, so a second limpet
// can't start beside it. For engines that check, each order carries a fencing
// number, the version of a key that each incarnation writes once. A load takes
// a permit first, of which there are few for the whole fleet, because the
// weight store is limited.
//
// # Usage
//
//	giver := order.New(order.Options{...}, store, model, logger)
//	giver.Step(ctx, assignment, held)
package order

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

// Options are the settings of a giver.
type Options struct {
	Server      string
	Incarnation uint64
	// Permits is how many loads the fleet may run at once.
	Permits int
	// Timeout bounds one order; a permit is held no longer.
	Timeout time.Duration
}

// Giver gives orders to one engine. It is not safe for concurrent use.
type Giver struct {
	options Options
	store   platform.Store
	model   engine.Engine
	logger  *zap.Logger
	fence   uint64
	stale   bool
}

// New returns a giver without a fencing number; the first order gets one.
func New(options Options, store platform.Store, model engine.Engine, logger *zap.Logger) *Giver {
	return &Giver{options: options, store: store, model: model, logger: logger}
}

// Step compares what is held with the assignment and gives at most one order.
// All wanted models are loaded before others are released, so that a model is
// never without a server because of a step in between.
func (g *Giver) Step(ctx context.Context, assignment table.Assignment, held []string) {
	next, needed := decide(assignment.Models(), held)
	if !needed || g.stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	reason, err := g.give(ctx, next)
	g.logger.Info("placement", zap.String("server", g.options.Server), zap.String("order", string(next.Kind)), zap.String("model", next.Model),
		zap.Strings("wanted", assignment.Models()), zap.Strings("held", held), zap.Uint64("fence", g.fence), zap.String("reason", reason), zap.Error(err))
}

// decide returns the next order.
func decide(wanted, held []string) (engine.Order, bool) {
	for _, model := range wanted {
		if !slices.Contains(held, model) {
			return engine.Order{Kind: engine.OrderLoad, Model: model}, true
		}
	}
	for _, model := range held {
		if !slices.Contains(wanted, model) {
			return engine.Order{Kind: engine.OrderRelease, Model: model}, true
		}
	}
	return engine.Order{}, false
}

func (g *Giver) give(ctx context.Context, next engine.Order) (reason string, err error) {
	if err := g.takeFence(ctx); err != nil {
		return "no fencing number yet", err
	}
	next.Fence = g.fence
	if next.Kind == engine.OrderRelease {
		return "held but not wanted", g.send(ctx, next)
	}
	permit, err := g.takePermit(ctx)
	if err != nil || permit == 0 {
		return "waits for a permit of the weight store", err
	}
	defer func() {
		if err := g.store.Revoke(context.WithoutCancel(ctx), permit); err != nil {
			g.logger.Warn("permit not given back, it will lapse", zap.Error(err))
		}
	}()
	return "wanted but not held", g.send(ctx, next)
}

func (g *Giver) send(ctx context.Context, next engine.Order) error {
	err := g.model.Order(ctx, next)
	var stale *engine.StaleOrderError
	if errors.As(err, &stale) {
		g.stale = true // A later limpet has taken over; this one gives no more orders.
		return stale
	}
	return err
}

// takeFence writes this incarnation's key once. Its version is higher than
// that of every incarnation before.
func (g *Giver) takeFence(ctx context.Context) error {
	if g.fence > 0 {
		return nil
	}
	key := fencePrefix + g.options.Server
	expected := uint64(0)
	known, err := g.store.Get(ctx, key)
	if err == nil {
		expected = known.Version
	} else if !platform.IsNotFound(err) {
		return err
	}
	written, err := g.store.CompareAndSwap(ctx, key, []byte(strconv.FormatUint(g.options.Incarnation, 10)), expected, 0)
	if err != nil {
		return err
	}
	g.fence = written.Version
	return nil
}

// takePermit returns the lease of a free permit, zero if all are taken.
func (g *Giver) takePermit(ctx context.Context) (platform.LeaseID, error) {
	lease, err := g.store.Grant(ctx, g.options.Timeout)
	if err != nil {
		return 0, err
	}
	for number := range g.options.Permits {
		_, err := g.store.CompareAndSwap(ctx, fmt.Sprintf("%s%d", permitPrefix, number), []byte(g.options.Server), 0, lease)
		if err == nil {
			return lease, nil
		}
		if !platform.IsConflict(err) {
			return 0, err
		}
	}
	return 0, g.store.Revoke(ctx, lease)
}
