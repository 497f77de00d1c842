package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/task"
)

// eventTokenBytes is the approximate size of one token in an event stream, with the framing of
// its event.
const eventTokenBytes = 16

// balancerQuery returns the query for the server of the next send.
func (h *requestHandler) balancerQuery() balance.Query {
	maxWait := min(maxLimitWait, time.Until(h.deadline)/2)
	if h.rank == ratelimit.NewProgram && h.possibleRuns == 0 {
		maxWait = -newProgramReserve
	}
	query := balance.Query{
		Service: h.service, AffinityKey: h.affinityKey, Prompt: h.request.Prompt, Tried: h.tried, Version: h.version,
		MaxWait: maxWait, SkipLimited: h.limitRefusals >= maxLimitRefusals, Work: h.expectedWork(), Bytes: h.expectedBytes(),
	}
	if h.route.Sticky && h.request.Object != "" {
		query.Object, query.AffinityKey = h.request.Object, ""
	}
	if tracker := h.gateway.options.Limits.Tracker(); tracker.LimitedServers() > 0 {
		query.Limit = tracker.Limit
	}
	return query
}

// expectedBytes returns the size of the request and of the response to be expected.
func (h *requestHandler) expectedBytes() int64 {
	tokens := h.request.MaxTokens
	if h.request.LengthHint > 0 {
		tokens = h.request.LengthHint
	}
	bytes := tokens * eventTokenBytes
	for _, part := range h.body {
		bytes += int64(len(part))
	}
	return bytes
}

// awaitLimit waits until the request may be sent to the chosen server, which names a
// limit. allowed is false if the limit does not allow it in time, so that another
// server is to be chosen.
func (h *requestHandler) awaitLimit(ctx context.Context, choice *balance.Choice) (allowed bool, refusal *Refusal) {
	start := time.Now()
	defer func() { h.limitWait += time.Since(start) }()
	serverID := choice.Server().ID()
	wait, err := h.gateway.options.Limits.Acquire(ctx, serverID, choice.MaxWait())
	now := time.Now()
	var exceededErr *serverlimit.ExceededError
	switch {
	case errors.As(err, &exceededErr):
		h.limitRefusals++
		choice.ReportLimitRefusal(now, exceededErr.RetryAfter())
		h.gateway.options.Logger.Info("limit of a backend server reached", zap.String("requestId", h.request.ID), zap.String("server", serverID),
			zap.Float64("requestsPerSecond", h.gateway.options.Limits.Tracker().Current(serverID).Statement().Rate()), zap.Duration("maxWait", choice.MaxWait()),
			zap.Duration("retryAfter", exceededErr.RetryAfter()))
		return false, nil
	case err != nil:
		return false, h.deadlineRefusal(ctx)
	}
	choice.ReportLimitWait(now, wait)
	if wait > 0 {
		task.Sleep(ctx, wait)
	}
	if ctx.Err() != nil {
		return false, h.deadlineRefusal(ctx)
	}
	return true, nil
}

// returnQueue gives the callers that were refused because of the limits of servers a
// time of their own to come back, at the rate at which these servers take requests.
type returnQueue struct {
	mutex sync.Mutex
	last  map[string]time.Time // By service, when the caller that was refused last should return.
}

// next returns when a caller should come back, no sooner than after earliest. rate is
// this hall's part of the limits. Callers that the queue has no place for return at
// random times after it.
func (q *returnQueue) next(now time.Time, service string, rate float64, earliest time.Duration) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	at := now.Add(earliest)
	if following := q.last[service].Add(time.Duration(float64(time.Second) / max(rate, 1/maxReturnDelay.Seconds()))); following.After(at) {
		at = following
	}
	if at.Sub(now) > maxReturnDelay {
		return maxReturnDelay + rand.N(maxReturnDelay/2)
	}
	if q.last == nil {
		q.last = make(map[string]time.Time)
	}
	q.last[service] = at
	return at.Sub(now)
}
