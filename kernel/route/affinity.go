package route

import (
	"slices"
	"time"
)

const (
	// zonePenalty is the expected cost of leaving the hall's zone.
	zonePenalty = 2 * time.Millisecond
	// defaultRate is assumed of a server that has not reported, in tokens per
	// second.
	defaultRate = 500.0
	// halfLife is the age at which a load report counts half.
	halfLife = 2 * time.Second
	// choices is how many random candidates are compared.
	choices = 2
)

// Affinity keeps a program where its prefix is cached while that pays.
type Affinity struct {
	options Options
}

// NewAffinity returns the policy.
func NewAffinity(options Options) *Affinity {
	return &Affinity{options: options}
}

// Choose implements Policy. The holder of the prefix competes with two random
// candidates; the others follow in order of cost for retries.
func (a *Affinity) Choose(request Request, candidates []Candidate) Decision {
	if len(candidates) == 0 {
		return Decision{reason: "no candidate"}
	}
	scores := make([]Score, 0, len(candidates))
	for _, candidate := range candidates {
		scores = append(scores, Score{server: candidate.server, cost: a.cost(request, candidate)})
	}
	front := a.sample(request, scores)
	slices.SortStableFunc(front, byCost)
	rest := slices.DeleteFunc(scores, func(s Score) bool {
		return slices.ContainsFunc(front, func(f Score) bool { return f.server == s.server })
	})
	slices.SortStableFunc(rest, byCost)
	decision := Decision{scores: append(front, rest...)}
	decision.reason = a.reason(request, decision.scores[0].server)
	return decision
}

func (a *Affinity) reason(request Request, chosen string) string {
	switch {
	case request.holder == "":
		return "better of two, prefix held nowhere"
	case chosen == request.holder:
		return "prefix held here"
	default:
		return "waiting at the holder of the prefix costs more than computing it again"
	}
}

func (a *Affinity) sample(request Request, scores []Score) []Score {
	var front []Score
	add := func(score Score) {
		if !slices.Contains(front, score) {
			front = append(front, score)
		}
	}
	for _, score := range scores {
		if score.server == request.holder {
			add(score)
		}
	}
	for range choices {
		add(scores[a.options.Random(len(scores))])
	}
	return front
}

// cost estimates the time until the call is finished on the candidate: what
// waits before it, the part of the prompt to compute, and the way there. The
// generation itself takes as long anywhere and is left out.
func (a *Affinity) cost(request Request, candidate Candidate) time.Duration {
	compute := request.promptTokens
	if candidate.server == request.holder {
		compute = max(0, compute-request.heldTokens)
	}
	prefill := float64(compute) / a.options.PrefillRate
	total := time.Duration((prefill + candidate.wait()) * float64(time.Second))
	if candidate.zone != a.options.Zone {
		total += zonePenalty
	}
	return total
}

// wait estimates the seconds that a new call waits. A report that lags is
// aged towards an idle server, while what this hall has sent since counts in
// full.
func (c Candidate) wait() float64 {
	rate := c.rate
	if rate <= 0 {
		rate = defaultRate
	}
	trust := float64(halfLife) / float64(halfLife+c.age)
	work := float64(c.queuedCost)*trust + float64(c.outstanding)
	free := c.window - c.running
	if free > 0 && c.queued == 0 {
		work = float64(c.outstanding) * float64(c.running) / float64(max(1, c.window))
	}
	return work / rate
}

func byCost(x, y Score) int {
	return int(x.cost - y.cost)
}
