// Package duty runs the long-lived goroutines of a process, one for each job.
//
// A duty ends when its context does. A duty that returns an error earlier, or
// panics, is logged and started again after a pause, so that one faulty job
// does not take the process down.
//
// # Usage
//
//	group := duty.New(ctx, logger)
//	group.Go("heartbeat", func(ctx context.Context) error { ... })
//	group.Every("reconcile", time.Second, func(ctx context.Context) { ... })
//	group.Stop()
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// restartPause is the wait before a failed duty is started again.
const restartPause = 500 * time.Millisecond

// Group is a set of duties that are stopped together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	logger *zap.Logger
	wait   sync.WaitGroup
}

// New returns an empty group whose duties end when ctx does.
func New(ctx context.Context, logger *zap.Logger) *Group {
	inner, cancel := context.WithCancel(ctx)
	return &Group{ctx: inner, cancel: cancel, logger: logger}
}

// Go starts a duty.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		for g.ctx.Err() == nil {
			g.once(name, run)
			Pause(g.ctx, restartPause)
		}
	}()
}

// Every starts a duty that runs step at a fixed interval, first at once.
func (g *Group) Every(name string, interval time.Duration, step func(ctx context.Context)) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			step(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// Stop cancels all duties and waits until they have returned.
func (g *Group) Stop() {
	g.cancel()
	g.wait.Wait()
}

func (g *Group) once(name string, run func(ctx context.Context) error) {
	err := oops.In(name).Recoverf(func() {
		if err := run(g.ctx); err != nil && g.ctx.Err() == nil {
			g.logger.Error("duty failed", zap.String("duty", name), zap.Error(err))
		}
	}, "duty panicked")
	if err != nil {
		g.logger.Error("duty panicked", zap.String("duty", name), zap.Error(err))
	}
}

// Pause waits for the length or until the context ends.
func Pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
