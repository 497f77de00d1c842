package serverlimit

import "time"

const (
	// burstPeriod is the time whose requests may be sent at once after a pause.
	burstPeriod = 250 * time.Millisecond
	// maxRefusalInterval is the longest time until a refused hall is to ask again.
	maxRefusalInterval = 250 * time.Millisecond
)

// schedule spaces the requests to one server by the generic cell rate algorithm.
type schedule struct {
	// due is when the server will have had the time for all granted requests.
	due time.Time
	// askAgain is when the caller that was refused last should ask again.
	askAgain time.Time
}

// newSchedule returns a schedule whose first request is sent after the delay, without
// a burst: another hall may have owned the limit until now.
func newSchedule(now time.Time, rate float64, delay time.Duration) *schedule {
	return &schedule{due: now.Add(tolerance(interval(rate)) + delay)}
}

// reserve grants a request that may wait up to maxWait, or for which the limit must have
// been unused for a time if that is negative. It returns how long the request has to wait
// or, if it is not granted, when to ask again. Callers that are refused get times of
// their own, so that they do not all ask for the same place.
func (s *schedule) reserve(now time.Time, rate float64, maxWait time.Duration) (wait time.Duration, granted bool) {
	spacing := interval(rate)
	wait = s.due.Add(-tolerance(spacing)).Sub(now)
	if wait <= maxWait {
		s.due = later(s.due, now).Add(spacing)
		return max(0, wait), true
	}
	askAgain := later(now.Add(wait-maxWait), s.askAgain.Add(spacing))
	if askAgain.Sub(now) > maxRefusalInterval {
		return maxRefusalInterval, false
	}
	s.askAgain = askAgain
	return askAgain.Sub(now), false
}

// interval returns the time between two requests.
func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// tolerance returns how much earlier than in steady spacing a request may be sent.
func tolerance(spacing time.Duration) time.Duration { return max(0, burstPeriod-spacing) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
