package task_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limpethall.dev/kernel/task"
)

// TestPanicDoesNotEndProcess guards against processes that end by themselves because a
// goroutine panics: the panic must be logged with its stack and counted, and a task of a
// group must run again.
func TestPanicDoesNotEndProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		logger := zap.New(core)
		before := task.Panics()
		group := task.New(t.Context(), logger)
		var runs atomic.Int32
		group.Go("copies", func(ctx context.Context) error {
			if runs.Add(1) == 1 {
				panic("malformed document")
			}
			<-ctx.Done()
			return nil
		})
		task.Go(logger, "probe", func() { panic(errors.New("malformed answer")) })
		time.Sleep(time.Second)
		group.Stop()
		if got, want := runs.Load(), int32(2); got != want {
			t.Errorf("runs of the task: got %d, want %d", got, want)
		}
		if got, want := task.Panics()-before, int64(2); got != want {
			t.Errorf("panics: got %d, want %d", got, want)
		}
		for _, duty := range []string{"copies", "probe"} {
			lines := logs.FilterMessage("function panicked").FilterField(zap.String("duty", duty)).All()
			if len(lines) != 1 || !strings.Contains(lines[0].ContextMap()["stack"].(string), "TestPanicDoesNotEndProcess") {
				t.Errorf("lines of %s: got %v, want one with the stack", duty, lines)
			}
		}
	})
}

// TestGoWhileStopping guards against a process that panics, or goes on with a task, because the
// task is started while its group is being stopped.
func TestGoWhileStopping(t *testing.T) {
	for range 200 {
		group := task.New(t.Context(), zap.NewNop())
		var running atomic.Int32
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				group.Go("late", func(ctx context.Context) error {
					running.Add(1)
					defer running.Add(-1)
					<-ctx.Done()
					return nil
				})
			})
			calls.Go(func() {
				group.Stop()
				if got := running.Load(); got != 0 {
					t.Errorf("tasks after Stop: got %d, want none", got)
				}
			})
		}
		calls.Wait()
	}
}
