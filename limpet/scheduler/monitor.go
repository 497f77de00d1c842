package scheduler

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"limpethall.dev/limpet/engine"
)

// maxFailedPolls is the number of consecutive failed polls after which the
// server is considered unreachable.
const maxFailedPolls = 3

// Monitor polls the backend server. It tracks whether the server is reachable,
// marks it cold after a restart, a cleared cache or a failed poll, and releases
// engine memory whose pin has expired.
type Monitor struct {
	scheduler   *Scheduler
	logger      *zap.Logger
	failedPolls int
	reported    bool
	lastReport  engine.LoadReport
	models      atomic.Pointer[[]string]
	onResult    func(reachable bool)
}

// NewMonitor returns a monitor. It calls onResult after each poll with whether
// the server is reachable.
func NewMonitor(scheduler *Scheduler, logger *zap.Logger, onResult func(reachable bool)) *Monitor {
	return &Monitor{scheduler: scheduler, logger: logger, onResult: onResult}
}

// Poll reads one load report of an engine, or checks whether a service accepts
// connections.
func (m *Monitor) Poll(ctx context.Context) {
	switch backend := m.scheduler.backend.(type) {
	case ModelBackend:
		report, err := backend.engine.Load(ctx)
		if err == nil {
			m.handleReport(ctx, backend, report)
		}
		m.recordResult(err == nil)
	case ServiceBackend:
		m.recordResult(backend.service.Reachable(ctx))
	}
}

// Models returns the models of the last load report, nil before the first.
func (m *Monitor) Models() []string {
	if models := m.models.Load(); models != nil {
		return *models
	}
	return nil
}

// recordResult records the result of a poll. A server that does not respond may
// be starting, so it is considered cold until polls have succeeded for the
// whole warm-up time.
func (m *Monitor) recordResult(reachable bool) {
	if reachable {
		m.failedPolls = 0
	} else {
		m.failedPolls++
		m.scheduler.MarkCold("poll failed")
	}
	m.onResult(m.failedPolls < maxFailedPolls)
}

func (m *Monitor) handleReport(ctx context.Context, backend ModelBackend, report engine.LoadReport) {
	if m.reported && report.Started != m.lastReport.Started {
		m.scheduler.MarkCold("engine restarted")
	} else if m.reported && report.CacheCleared != m.lastReport.CacheCleared {
		m.scheduler.MarkCold("cache cleared")
	}
	m.reported = true
	m.lastReport = report
	m.models.Store(&report.Models)
	for _, program := range backend.pins.Reconcile(report.Pins, m.scheduler.now()) {
		if err := backend.engine.Release(ctx, program); err != nil {
			m.logger.Warn("failed to release engine memory, will retry", zap.String("program", program), zap.Error(err))
			continue
		}
		m.logger.Info("engine memory released", zap.String("program", program))
	}
}
