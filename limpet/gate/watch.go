package gate

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"limpethall.dev/limpet/engine"
)

// failedReports is how many load reports in a row must fail before the server
// counts as unreachable.
const failedReports = 3

// Watch reads the reports of the backend server and keeps the gate's view of
// it: whether it can be reached, whether it has turned cold, and what memory
// it holds for nobody.
type Watch struct {
	gate     *Gate
	logger   *zap.Logger
	failures int
	seen     bool
	last     engine.Load
	models   atomic.Pointer[[]string]
	notify   func(reachable bool)
}

// NewWatch returns a watch; notify is told after each report whether the
// server can be reached.
func NewWatch(g *Gate, logger *zap.Logger, notify func(reachable bool)) *Watch {
	return &Watch{gate: g, logger: logger, notify: notify}
}

// Step reads one report.
func (w *Watch) Step(ctx context.Context) {
	switch backend := w.gate.backend.(type) {
	case ModelBackend:
		report, err := backend.engine.Load(ctx)
		if err == nil {
			w.take(ctx, backend, report)
		}
		w.count(err == nil)
	case ServiceBackend:
		w.count(backend.service.Reachable(ctx))
	}
}

// Models returns the models of the last report.
func (w *Watch) Models() []string {
	if models := w.models.Load(); models != nil {
		return *models
	}
	return nil
}

// count takes in whether the server answered. One that does not may be
// starting, so it counts as cold until it has answered for the whole warm-up
// time.
func (w *Watch) count(reachable bool) {
	if reachable {
		w.failures = 0
	} else {
		w.failures++
		w.gate.TurnedCold("no load report")
	}
	w.notify(w.failures < failedReports)
}

func (w *Watch) take(ctx context.Context, backend ModelBackend, report engine.Load) {
	if w.seen && report.Started != w.last.Started {
		w.gate.TurnedCold("engine restarted")
	} else if w.seen && report.CacheCleared != w.last.CacheCleared {
		w.gate.TurnedCold("cache emptied")
	}
	w.seen = true
	w.last = report
	w.models.Store(&report.Models)
	for _, program := range backend.claims.Reconcile(report.Pins, w.gate.now()) {
		if err := backend.engine.Release(ctx, program); err != nil {
			w.logger.Warn("memory not released, will try again", zap.String("program", program), zap.Error(err))
			continue
		}
		w.logger.Info("engine memory released", zap.String("program", program))
	}
}
