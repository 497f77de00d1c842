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

// next returns when the hall that is refused now should ask again.
func (q *refusalQueue) next(now time.Time, bucket *limit.Bucket) time.Duration {
	rate := bucket.Rate()
	if rate <= 0 {
		return minRetryAfter // This hall has not applied its slices of the limits yet.
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	first := now.Add(max(minRetryInterval, bucket.TimeToToken(now)))
	if following := q.last.Add(time.Duration(float64(time.Second) / rate)); following.After(first) {
		first = following
	}
	// A hall that is told to wait longer than maxWait gives up and leaves its place.
	if delay := first.Sub(now); delay <= maxWait {
		q.last = first
	}
	return first.Sub(now)
}
