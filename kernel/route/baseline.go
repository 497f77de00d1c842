package route

import (
	"slices"
	"sync/atomic"
	"time"
)

// RoundRobin cycles through the candidates. It is a baseline policy.
type RoundRobin struct {
	counter atomic.Uint64
}

// NewRoundRobin returns a RoundRobin policy.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{reason: "no candidates"}
	}
	first := int(r.counter.Add(1) % uint64(len(candidates)))
	scores := make([]Score, 0, len(candidates))
	for offset := range candidates {
		scores = append(scores, Score{server: candidates[(first+offset)%len(candidates)].server})
	}
	return Decision{scores: scores, reason: "next in round-robin order"}
}

// LeastOutstanding selects the candidate with the fewest running and queued
// calls. It is a baseline policy.
type LeastOutstanding struct{}

// NewLeastOutstanding returns a LeastOutstanding policy.
func NewLeastOutstanding() *LeastOutstanding { return &LeastOutstanding{} }

// Choose implements Policy. The cost of a score is one millisecond per call.
func (l *LeastOutstanding) Choose(_ Request, candidates []Candidate) Decision {
	scores := make([]Score, 0, len(candidates))
	for _, candidate := range candidates {
		calls := candidate.running + candidate.queued
		scores = append(scores, Score{server: candidate.server, cost: time.Duration(calls) * time.Millisecond})
	}
	slices.SortStableFunc(scores, compareCost)
	return Decision{scores: scores, reason: "fewest outstanding calls"}
}
