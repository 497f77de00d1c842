// Package task runs and supervises the background tasks of a process, each in a
// goroutine of its own.
//
// A task runs until its context ends. If it returns earlier or panics, it is
// restarted after a delay, so that a fault in one task doesn't terminate the
// process. Errors and panics are logged. Goroutines that are no tasks are started with
// Go, or call Guard.
//
// # Usage
//
//	group := task.New(ctx, logger)
//	group.Go("heartbeat", func(ctx context.Context) error { ... })
//	group.Every("reconcile", time.Second, func(ctx context.Context) { ... })
//	group.Stop()
package task

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// restartDelay is the delay before a task that returned or panicked is restarted.
const restartDelay = 500 * time.Millisecond

// Group is a set of background tasks that are stopped together.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	logger  *zap.Logger
	running sync.WaitGroup
	mutex   sync.Mutex // Guards stopped, so that no task is added while Stop waits.
	stopped bool
}

// New returns an empty group whose tasks are stopped when ctx ends.
func New(ctx context.Context, logger *zap.Logger) *Group {
	groupCtx, cancel := context.WithCancel(ctx)
	return &Group{ctx: groupCtx, cancel: cancel, logger: logger}
}

// Go starts a task, unless the group is stopped. The name identifies it in logs.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopped {
		return
	}
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		for g.ctx.Err() == nil {
			g.runOnce(name, task)
			Sleep(g.ctx, restartDelay)
		}
	}()
}

// Every starts a task that is run immediately and then at a fixed interval.
func (g *Group) Every(name string, interval time.Duration, task func(ctx context.Context)) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			task(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// Stop cancels the context of all tasks and waits until they have returned. It may be called
// repeatedly, and by several goroutines.
func (g *Group) Stop() {
	g.cancel()
	g.mutex.Lock()
	g.stopped = true
	g.mutex.Unlock()
	g.running.Wait()
}

func (g *Group) runOnce(name string, task func(ctx context.Context) error) {
	err := Guard(g.logger, name, func() error { return task(g.ctx) })
	if err != nil && g.ctx.Err() == nil {
		g.logger.Error("background task failed, restarting it", zap.String("duty", name), zap.Error(err))
	}
}

// Sleep waits for the duration, or until the context ends if that is earlier.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
