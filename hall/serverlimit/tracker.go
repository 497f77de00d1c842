package serverlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Tracker holds the newest observation of each backend server. It is safe for
// concurrent use.
type Tracker struct {
	logger *zap.Logger

	limited atomic.Int64 // Number of servers that name a limit.

	mutex        sync.RWMutex
	observations map[string]Observation // By server ID.
}

// NewTracker returns a Tracker that knows no limits.
func NewTracker(logger *zap.Logger) *Tracker {
	return &Tracker{logger: logger, observations: make(map[string]Observation)}
}

// Observe records what a response of the server said, and returns the observation that
// holds now. Servers that never named a limit are not recorded.
func (t *Tracker) Observe(now time.Time, serverID string, observation Observation) Observation {
	if !observation.statement.limited && !t.isKnown(serverID) {
		return Observation{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	previous := t.observations[serverID]
	current := previous.merge(observation)
	t.observations[serverID] = current
	t.limited.Add(limitedCount(current) - limitedCount(previous))
	if current.statement != previous.statement {
		t.logger.Info("limit of a backend server changed", zap.String("server", serverID), zap.Bool("limited", current.statement.limited),
			zap.Float64("requestsPerSecond", current.statement.rate), zap.Float64("previous", previous.statement.rate), zap.Duration("age", current.Age(now)))
	}
	return current
}

// Current returns the observation that holds for the server.
func (t *Tracker) Current(serverID string) Observation {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.observations[serverID]
}

// Limit returns the limit that the server names, in requests per second.
func (t *Tracker) Limit(serverID string) (rate float64, limited bool) {
	statement := t.Current(serverID).statement
	return statement.rate, statement.limited
}

// LimitedServers returns the number of servers that name a limit.
func (t *Tracker) LimitedServers() int64 { return t.limited.Load() }

func limitedCount(observation Observation) int64 {
	if observation.statement.limited {
		return 1
	}
	return 0
}

// Retain removes the observations of servers for which keep returns false.
func (t *Tracker) Retain(keep func(serverID string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for serverID, observation := range t.observations {
		if !keep(serverID) {
			t.limited.Add(-limitedCount(observation))
			delete(t.observations, serverID)
		}
	}
}

// sample returns up to n observations, which differ from call to call.
func (t *Tracker) sample(n int) map[string]Observation {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	sample := make(map[string]Observation, min(n, len(t.observations)))
	for serverID, observation := range t.observations { // The order is random.
		if len(sample) == n {
			break
		}
		sample[serverID] = observation
	}
	return sample
}

func (t *Tracker) isKnown(serverID string) bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	_, found := t.observations[serverID]
	return found
}
