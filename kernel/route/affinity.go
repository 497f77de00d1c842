package route

import (
	"slices"
	"time"
)

const (
	// crossZonePenalty is the expected extra latency of a call to another zone.
	crossZonePenalty = 2 * time.Millisecond
	// defaultTokensPerSecond is the assumed speed of a server that has not
	// reported one.
	defaultTokensPerSecond = 500.0
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 2 * time.Second
	// sampledCandidates is the number of random candidates that are compared.
	sampledCandidates = 2
)

// Affinity prefers the server that has the prefix of a call cached, as long as
// that is expected to be faster than recomputing the prefix.
type Affinity struct {
	options Options
}

// NewAffinity returns an Affinity policy.
func NewAffinity(options Options) *Affinity {
	return &Affinity{options: options}
}

// Choose implements Policy. It takes the cheapest among the server with the
// cached prefix and two random candidates. The remaining candidates follow in
// order of cost, for retries.
func (a *Affinity) Choose(request Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{reason: "no candidates"}
	}
	scores := make([]Score, 0, len(candidates))
	for _, candidate := range candidates {
		scores = append(scores, Score{server: candidate.server, cost: a.estimateCost(request, candidate)})
	}
	preferred := a.selectPreferred(request, scores)
	slices.SortStableFunc(preferred, compareCost)
	others := slices.DeleteFunc(scores, func(s Score) bool {
		return slices.ContainsFunc(preferred, func(p Score) bool { return p.server == s.server })
	})
	slices.SortStableFunc(others, compareCost)
	decision := Decision{scores: append(preferred, others...)}
	decision.reason = a.reason(request, decision.scores[0].server)
	return decision
}

func (a *Affinity) reason(request Request, chosen string) string {
	switch {
	case request.prefixServer == "":
		return "better of two, prefix held nowhere"
	case chosen == request.prefixServer:
		return "prefix held by this server"
	default:
		return "waiting for the server that holds the prefix costs more than recomputing it"
	}
}

// selectPreferred returns the scores of the server with the cached prefix, if it
// is a candidate, and of the random candidates.
func (a *Affinity) selectPreferred(request Request, scores []Score) []Score {
	var preferred []Score
	add := func(score Score) {
		if !slices.Contains(preferred, score) {
			preferred = append(preferred, score)
		}
	}
	for _, score := range scores {
		if score.server == request.prefixServer {
			add(score)
		}
	}
	for range sampledCandidates {
		add(scores[a.options.Random(len(scores))])
	}
	return preferred
}

// estimateCost estimates the time until the candidate completes the call: the
// wait for earlier calls, the prefill of the part of the prompt that is not cached
// and the network latency. The generation time is left out, because it is the same
// on all servers.
func (a *Affinity) estimateCost(request Request, candidate Candidate) time.Duration {
	tokensToCompute := request.promptTokens
	if candidate.server == request.prefixServer {
		tokensToCompute = max(0, tokensToCompute-request.prefixTokens)
	}
	prefillSeconds := float64(tokensToCompute) / a.options.PrefillTokensPerSecond
	total := time.Duration((prefillSeconds + candidate.estimateWaitSeconds()) * float64(time.Second))
	if candidate.zone != a.options.Zone {
		total += crossZonePenalty
	}
	return total
}

// estimateWaitSeconds estimates how long a new call waits on the server. The
// weight of the reported queue decreases with the age of the report, while the
// calls that this hall has sent since count in full. For a server that reported
// free slots and no queue, only the calls sent since count, in proportion to the
// slots in use.
func (c Candidate) estimateWaitSeconds() float64 {
	tokensPerSecond := c.tokensPerSecond
	if tokensPerSecond <= 0 {
		tokensPerSecond = defaultTokensPerSecond
	}
	reportWeight := float64(reportHalfLife) / float64(reportHalfLife+c.reportAge)
	pendingTokens := float64(c.queuedTokens)*reportWeight + float64(c.unreportedTokens)
	freeSlots := c.window - c.running
	if freeSlots > 0 && c.queued == 0 {
		pendingTokens = float64(c.unreportedTokens) * float64(c.running) / float64(max(1, c.window))
	}
	return pendingTokens / tokensPerSecond
}

// compareCost orders scores by ascending cost.
func compareCost(x, y Score) int {
	return int(x.cost - y.cost)
}
