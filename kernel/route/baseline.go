package route

import (
	"slices"
	"sync/atomic"
	"time"
)

// RoundRobin takes the candidates in turn: a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns the policy.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Choose implements Policy.
func (r *RoundRobin) Choose(_ Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{reason: "no candidate"}
	}
	first := int(r.next.Add(1) % uint64(len(candidates)))
	scores := make([]Score, 0, len(candidates))
	for offset := range candidates {
		scores = append(scores, Score{server: candidates[(first+offset)%len(candidates)].server})
	}
	return Decision{scores: scores, reason: "next in turn"}
}

// LeastOutstanding takes the candidate with the fewest calls: a baseline.
type LeastOutstanding struct{}

// NewLeastOutstanding returns the policy.
func NewLeastOutstanding() *LeastOutstanding { return &LeastOutstanding{} }

// Choose implements Policy. The cost of a score is the number of calls.
func (l *LeastOutstanding) Choose(_ Request, candidates []Candidate) Decision {
	scores := make([]Score, 0, len(candidates))
	for _, candidate := range candidates {
		calls := candidate.running + candidate.queued
		scores = append(scores, Score{server: candidate.server, cost: time.Duration(calls) * time.Millisecond})
	}
	slices.SortStableFunc(scores, byCost)
	return Decision{scores: scores, reason: "fewest calls"}
}
