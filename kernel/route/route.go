// Package route chooses the backend server for a call.
//
// A Policy ranks the candidates for a request by the expected time to finish.
// Policies are plug-ins: "affinity" prefers the server that holds the
// program's prefix until waiting there costs more than computing the prefix
// again elsewhere, and otherwise takes the better of two random choices;
// "roundRobin" and "leastOutstanding" are the baselines.
//
// # Usage
//
//	construct, err := route.Policies.Find("affinity")
//	policy := construct(route.Options{Zone: "hu-central-a", PrefillRate: 4000})
//	decision := policy.Choose(request, candidates)
//	for _, server := range decision.Order() { try it }
package route

import (
	"fmt"
	"strings"
	"time"

	"limpethall.dev/kernel/registry"
)

// Request is what a policy knows of a call.
type Request struct {
	key          string
	promptTokens int64
	maxTokens    int64
	holder       string
	heldTokens   int64
}

// NewRequest returns a request. Key identifies the prefix; holder is the
// server believed to hold heldTokens of it, empty for none.
func NewRequest(key string, promptTokens, maxTokens int64, holder string, heldTokens int64) Request {
	return Request{key: key, promptTokens: promptTokens, maxTokens: maxTokens, holder: holder, heldTokens: heldTokens}
}

// Candidate is a server that may take the call, with its last reported load.
type Candidate struct {
	server      string
	zone        string
	running     int64
	window      int64
	queued      int64
	queuedCost  int64
	rate        float64
	outstanding int64
	age         time.Duration
}

// NewCandidate returns a candidate. Outstanding is the cost in tokens of calls
// that this hall has sent since the report, which is age old.
func NewCandidate(server, zone string, running, window, queued, queuedCost int64, rate float64, outstanding int64, age time.Duration) Candidate {
	return Candidate{server: server, zone: zone, running: running, window: window, queued: queued, queuedCost: queuedCost, rate: rate, outstanding: outstanding, age: age}
}

// Server returns the candidate's name.
func (c Candidate) Server() string { return c.server }

// Score is one candidate with its expected cost.
type Score struct {
	server string
	cost   time.Duration
}

// Server returns the candidate's name.
func (s Score) Server() string { return s.server }

// Cost returns the expected time to finish.
func (s Score) Cost() time.Duration { return s.cost }

// Decision is the outcome of a choice, ready to be logged.
type Decision struct {
	scores []Score
	reason string
}

// Order returns the servers to try, the best first.
func (d Decision) Order() []string {
	order := make([]string, 0, len(d.scores))
	for _, score := range d.scores {
		order = append(order, score.server)
	}
	return order
}

// Reason says why the first server was chosen.
func (d Decision) Reason() string { return d.reason }

// Summary lists the scores for a log line.
func (d Decision) Summary() string {
	parts := make([]string, 0, len(d.scores))
	for _, score := range d.scores {
		parts = append(parts, fmt.Sprintf("%s=%s", score.server, score.cost.Round(time.Millisecond)))
	}
	return strings.Join(parts, " ")
}

// Policy ranks candidates. It must be safe for concurrent use.
type Policy interface {
	Choose(request Request, candidates []Candidate) Decision
}

// Options are what a policy is built from.
type Options struct {
	// Zone is the availability zone of the hall.
	Zone string
	// PrefillRate is how many prompt tokens a server computes a second.
	PrefillRate float64
	// Random returns a number from zero up to but not including n.
	Random func(n int) int
}

// Constructor builds a Policy.
type Constructor func(options Options) Policy

// Policies lists the routing policies.
var Policies = registry.New[Constructor]("routing policy")

func init() {
	Policies.Register("affinity", func(options Options) Policy { return NewAffinity(options) })
	Policies.Register("roundRobin", func(Options) Policy { return NewRoundRobin() })
	Policies.Register("leastOutstanding", func(Options) Policy { return NewLeastOutstanding() })
}
