package ratelimit

import (
	"sync"
	"time"

	"limpethall.dev/kernel/limit"
)

// refusalQueue spreads the halls that a lender refused over the times at which its
// next tokens become available. Halls that all came back with the first token would
// ask once for each token that another one gets.
type refusalQueue struct {
	mutex sync.Mutex
	last  time.Time // When the hall that was refused last should ask again.
}

// next returns when the hall that is refused now should ask again. The bucket must have the
// needed tokens by then. A hall that is told to wait longer than maxDelay gives up and leaves
// its place.
func (q *refusalQueue) next(now time.Time, bucket *limit.Bucket, needed float64, maxDelay time.Duration) time.Duration {
	rate := bucket.Rate()
	if rate <= 0 {
		return minRetryAfter // This hall has not applied its slices of the limits yet.
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	first := now.Add(max(minRetryInterval, bucket.TimeToTokens(now, needed)))
	if following := q.last.Add(time.Duration(float64(time.Second) / rate)); following.After(first) {
		first = following
	}
	if delay := first.Sub(now); delay <= maxDelay {
		q.last = first
	}
	return first.Sub(now)
}
