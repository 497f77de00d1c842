package balance

import (
	"fmt"
	"time"
)

// NoServerError reports that no server can accept the request now.
type NoServerError struct {
	service    string
	usable     int
	cold       int
	limited    int
	limitRate  float64
	retryAfter time.Duration
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s can accept the request: %d usable, %d of them cold and at their rate limit, %d at the limit that they named",
		e.service, e.usable, e.cold, e.limited)
}

// RetryAfter returns when the limit of one of the servers may allow the request, zero
// if none is at its limit.
func (e *NoServerError) RetryAfter() time.Duration { return e.retryAfter }

// LimitRate returns the sum of the limits of the servers that are at their limits, in
// requests per second.
func (e *NoServerError) LimitRate() float64 { return e.limitRate }

// addLimited counts a server whose limit may allow the request after the wait.
func (e *NoServerError) addLimited(rate float64, wait time.Duration) {
	if e.limited == 0 || wait < e.retryAfter {
		e.retryAfter = wait
	}
	e.limited++
	e.limitRate += rate
}

// compareLimited returns the better of the best server without a limit, which may be
// none, and those with a limit that allows the request in time.
func (b *Balancer) compareLimited(now time.Time, query Query, unlimited Choice, limited []Choice, noServer *NoServerError) (Choice, error) {
	best := unlimited
	hasRoom := unlimited.state != nil && unlimited.state.hasRoom(now, unlimited.server)
	leavesReserve := query.MaxWait < 0
	for _, candidate := range limited {
		candidate.maxWait = query.MaxWait
		if hasRoom {
			// A request waits for a limit only as long as no other server is faster.
			candidate.maxWait = unlimited.delay - candidate.delay
			if candidate.maxWait < 0 {
				continue
			}
		}
		wait, allowed := candidate.state.limitWait(now, candidate.maxWait)
		if !allowed || query.SkipLimited {
			noServer.addLimited(candidate.limitRate, wait)
			continue
		}
		// An unused limit goes before the queue at a full server.
		if candidate.delay += wait; candidate.delay < best.delay || (leavesReserve && !hasRoom && !best.limited) {
			best = candidate
		}
	}
	if best.state == nil || (leavesReserve && !hasRoom && !best.limited && noServer.limited > 0) {
		return Choice{}, noServer
	}
	return best, nil
}

// ReportLimitWait records how long a request waits for the limit of the server.
func (c *Choice) ReportLimitWait(now time.Time, wait time.Duration) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.limitWaitUntil = now.Add(wait)
}

// ReportLimitRefusal records that the limit of the server does not allow a request
// that waits up to MaxWait before retryAfter has passed.
func (c *Choice) ReportLimitRefusal(now time.Time, retryAfter time.Duration) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	if now.Before(c.state.refusedUntil) && c.maxWait < c.state.refusedWait {
		return // It holds for more requests than this refusal.
	}
	c.state.refusedUntil, c.state.refusedWait = now.Add(retryAfter), c.maxWait
}

// limitWait returns the expected wait for the limit of the server. If a request that
// waits up to maxWait is not allowed, it returns when it may be.
func (s *serverState) limitWait(now time.Time, maxWait time.Duration) (wait time.Duration, allowed bool) {
	if wait = s.refusedUntil.Sub(now); wait > 0 && maxWait <= s.refusedWait {
		return wait, false
	}
	wait = max(0, s.limitWaitUntil.Sub(now))
	if wait > 0 && maxWait < wait {
		return wait - maxWait, false
	}
	return wait, true
}
