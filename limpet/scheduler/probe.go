package scheduler

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"limpethall.dev/limpet/engine"
)

// probeLimiter limits how many calls start between two cold probes of a
// server. A server can become cold at any moment and then sustains only a few
// concurrent calls, so no more than limit calls start without a probe. The zero
// value sets no limit.
type probeLimiter struct {
	limit    int
	unprobed int
	probing  bool
	// covered is how many of the unprobed calls started before the probe in
	// progress.
	covered int
}

// newProbeLimiter returns a limiter that allows limit calls between two probes.
func newProbeLimiter(limit int) probeLimiter { return probeLimiter{limit: limit} }

// exhausted reports whether the next call must wait for a probe.
func (l *probeLimiter) exhausted() bool { return l.limit > 0 && l.unprobed >= l.limit }

func (l *probeLimiter) callStarted() {
	if l.limit > 0 {
		l.unprobed++
	}
}

// beginProbe reports whether a probe is needed and marks it as in progress. A
// probe is needed as soon as one call has started, so that later calls rarely
// have to wait.
func (l *probeLimiter) beginProbe() bool {
	if l.probing || l.unprobed == 0 {
		return false
	}
	l.probing = true
	l.covered = l.unprobed
	return true
}

// endProbe records that the probe in progress has completed.
func (l *probeLimiter) endProbe() {
	l.probing = false
	l.unprobed -= l.covered
}

// startProbe probes whether the server is cold if calls have started since the
// last probe.
func (s *Scheduler) startProbe(ctx context.Context) {
	backend, isModel := s.backend.(ModelBackend)
	if !isModel || !s.probes.beginProbe() {
		return
	}
	go func() {
		remaining, err := backend.engine.ColdRemaining(ctx)
		s.events.Put(s.stopped, probeResult{remaining: remaining, err: err})
	}()
}

// handleProbe resets the window if the server is cold or the probe failed. For
// a server that does not support probes it removes the limit; coldness is then
// detected through load reports alone.
func (s *Scheduler) handleProbe(result probeResult) {
	s.probes.endProbe()
	var unsupported *engine.ColdUnsupportedError
	switch {
	case errors.As(result.err, &unsupported):
		s.logger.Warn("server does not support cold probes, relying on load reports")
		s.probes = probeLimiter{}
	case result.err != nil:
		s.logger.Info("cold probe failed", zap.Error(result.err))
		s.resetWindow("cold probe failed")
	case result.remaining > 0:
		s.resetWindow("server reported itself cold")
	}
}
