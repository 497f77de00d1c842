package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/call"
)

// event is an input of the event loop in Run. This file declares all event
// types.
type event interface{ isEvent() }

// arrival reports a newly submitted call.
type arrival struct{ call *call.Call }

// completion reports the end of a running call. Costs are in generated tokens.
// tokenLatency is the mean time between generated tokens, zero if unknown.
type completion struct {
	call          *call.Call
	estimatedCost int64
	actualCost    int64
	tokenLatency  time.Duration
}

// removal requests that a call is removed from the queue.
type removal struct{ callID string }

// coldSignal reports that the server must be considered cold: its cache may be
// empty, so the concurrency window is reset. reason is logged.
type coldSignal struct{ reason string }

// probeResult is the result of a cold probe: how long the server remains cold,
// zero if it is warm.
type probeResult struct {
	remaining time.Duration
	err       error
}

func (arrival) isEvent()     {}
func (completion) isEvent()  {}
func (removal) isEvent()     {}
func (coldSignal) isEvent()  {}
func (probeResult) isEvent() {}

func (s *Scheduler) handle(received event) {
	switch e := received.(type) {
	case arrival:
		s.enqueue(e.call)
	case completion:
		s.handleCompletion(e)
	case removal:
		s.queue.Remove(e.callID)
	case coldSignal:
		s.resetWindow(e.reason)
	case probeResult:
		s.handleProbe(e)
	}
}

// resetWindow resets the concurrency window to the cold limit. It may be called for
// every failed poll of a server that remains unreachable, so it logs only if the
// server was not considered cold before.
func (s *Scheduler) resetWindow(reason string) {
	now := s.now()
	if !s.window.IsCold(now) {
		s.logger.Info("server considered cold", zap.String("reason", reason))
	}
	s.window.Reset(now)
}

func (s *Scheduler) enqueue(c *call.Call) {
	dispatch := c.Dispatch()
	item := queue.NewItem(c.ID(), dispatch.GetWorkspace(), dispatch.GetProgramId(),
		dispatch.GetWeight(), s.estimateCost(dispatch), dispatch.GetServiceSoFar(), c.ArrivedAt())
	if refused, ok := s.queue.Push(item); !ok {
		if existing, found := s.calls.Find(refused.ID()); found {
			s.refuseQueueFull(existing)
		}
	}
}

// estimateCost returns the expected cost of a call in generated tokens: the prompt,
// converted by promptTokensPerGenerated, plus the mean answer length, limited by the
// call's maximum. A service call costs 1.
func (s *Scheduler) estimateCost(dispatch *wire.Dispatch) int64 {
	model := dispatch.GetModel()
	if model == nil {
		return 1
	}
	answerTokens := min(float64(model.GetMaxTokens()), s.meanAnswerTokens)
	return model.GetPromptTokens()/promptTokensPerGenerated + int64(answerTokens)
}

func (s *Scheduler) handleCompletion(result completion) {
	delete(s.running, result.call.ID())
	if s.exclusive == result.call {
		s.exclusive = nil
	}
	dispatch := result.call.Dispatch()
	s.queue.Charge(dispatch.GetWorkspace(), dispatch.GetWeight(), result.actualCost-result.estimatedCost)
	s.servedCost += float64(result.actualCost)
	if result.tokenLatency > 0 {
		s.meanAnswerTokens += smoothingFactor * (float64(result.actualCost) - s.meanAnswerTokens)
		if s.window.Observe(s.now(), result.tokenLatency) {
			s.logger.Info("server considered cold", zap.String("reason", "latency spike"))
		}
	}
}

// startCalls starts queued calls while the window and the probe limit allow
// it. A call that must run alone waits until all running calls have ended, and
// no other call starts until it has ended too. Finally, startCalls starts a cold
// probe if calls have started since the last one.
func (s *Scheduler) startCalls(ctx context.Context) {
	defer s.startProbe(ctx)
	for s.exclusive == nil && len(s.running) < s.window.Limit(s.now()) && !s.probes.exhausted() {
		item, found := s.queue.Pop(s.now())
		if !found {
			return
		}
		next, known := s.calls.Find(item.ID())
		if !known {
			continue
		}
		if next.Dispatch().GetAlone() && len(s.running) > 0 {
			s.reserveExclusive(next, item)
			return
		}
		if next.Dispatch().GetAlone() {
			s.exclusive = next
		}
		s.start(ctx, next, item.Cost())
	}
	if s.exclusive != nil && len(s.running) == 0 && !s.probes.exhausted() {
		s.start(ctx, s.exclusive, s.estimateCost(s.exclusive.Dispatch()))
	}
}

// reserveExclusive holds a call that must run alone until the last running
// call has ended; startCalls then starts it.
func (s *Scheduler) reserveExclusive(next *call.Call, item queue.Item) {
	s.exclusive = next
	s.logger.Info("call that must run alone waits for the running calls to end", zap.String("call", item.ID()))
}

func (s *Scheduler) start(ctx context.Context, next *call.Call, estimatedCost int64) {
	ctx, cancel := context.WithCancel(ctx)
	if !next.Start(cancel) {
		cancel()
		if s.exclusive == next {
			s.exclusive = nil
		}
		return
	}
	s.running[next.ID()] = next
	s.probes.callStarted()
	go s.run(ctx, cancel, next, estimatedCost)
}
