// Package route selects the backend server for a call.
//
// A Policy ranks the candidate servers for a request by the expected time to
// completion. Policies are plug-ins: "affinity" prefers the server that has the
// program's prefix cached unless waiting for that server costs more than
// recomputing the prefix elsewhere, and otherwise takes the better of two random
// choices; "roundRobin" and "leastOutstanding" are the baselines.
//
// # Usage
//
//	newPolicy, err := route.Policies.Find("affinity")
//	policy := newPolicy(route.Options{Zone: "hu-central-a", PrefillTokensPerSecond: 4000, Random: rand.IntN})
//	decision := policy.Choose(request, candidates)
//	for _, server := range decision.Order() { try it }
package route

import (
	"fmt"
	"strings"
	"time"

	"limpethall.dev/kernel/registry"
)

// Request describes a call to a Policy.
type Request struct {
	key          string
	promptTokens int64
	maxTokens    int64
	prefixServer string
	prefixTokens int64
}

// NewRequest returns a request. The key identifies the prefix. prefixServer is
// the server that is assumed to have prefixTokens of it cached, empty if there is
// none.
func NewRequest(key string, promptTokens, maxTokens int64, prefixServer string, prefixTokens int64) Request {
	return Request{key: key, promptTokens: promptTokens, maxTokens: maxTokens, prefixServer: prefixServer, prefixTokens: prefixTokens}
}

// Candidate is a server that may run the call, with its last reported load.
type Candidate struct {
	server           string
	zone             string
	running          int64
	window           int64
	queued           int64
	queuedTokens     int64
	tokensPerSecond  float64
	unreportedTokens int64
	reportAge        time.Duration
}

// NewCandidate returns a candidate. reportAge is the age of its load report.
// unreportedTokens is the cost in tokens of the calls that this hall has sent to
// the server since that report.
func NewCandidate(server, zone string, running, window, queued, queuedTokens int64, tokensPerSecond float64, unreportedTokens int64, reportAge time.Duration) Candidate {
	return Candidate{server: server, zone: zone, running: running, window: window, queued: queued, queuedTokens: queuedTokens, tokensPerSecond: tokensPerSecond, unreportedTokens: unreportedTokens, reportAge: reportAge}
}

// Server returns the name of the server.
func (c Candidate) Server() string { return c.server }

// Score is the expected cost of a call on one server.
type Score struct {
	server string
	cost   time.Duration
}

// Server returns the name of the server.
func (s Score) Server() string { return s.server }

// Cost returns the expected time to completion.
func (s Score) Cost() time.Duration { return s.cost }

// Decision is a ranking of the candidates with the reason for the first one.
type Decision struct {
	scores []Score
	reason string
}

// Order returns the servers to try, best first.
func (d Decision) Order() []string {
	servers := make([]string, 0, len(d.scores))
	for _, score := range d.scores {
		servers = append(servers, score.server)
	}
	return servers
}

// Reason returns the reason why the first server was chosen.
func (d Decision) Reason() string { return d.reason }

// Summary formats the scores for logging.
func (d Decision) Summary() string {
	entries := make([]string, 0, len(d.scores))
	for _, score := range d.scores {
		entries = append(entries, fmt.Sprintf("%s=%s", score.server, score.cost.Round(time.Millisecond)))
	}
	return strings.Join(entries, " ")
}

// Policy ranks candidates. It must be safe for concurrent use.
type Policy interface {
	Choose(request Request, candidates []Candidate) Decision
}

// Options configures a Policy.
type Options struct {
	// Zone is the availability zone of the hall.
	Zone string
	// PrefillTokensPerSecond is the number of prompt tokens that a server
	// processes per second.
	PrefillTokensPerSecond float64
	// Random returns a random number in [0, n).
	Random func(n int) int
}

// Constructor creates a Policy.
type Constructor func(options Options) Policy

// Policies is the registry of the routing policies.
var Policies = registry.New[Constructor]("routing policy")

func init() {
	Policies.Register("affinity", func(options Options) Policy { return NewAffinity(options) })
	Policies.Register("roundRobin", func(Options) Policy { return NewRoundRobin() })
	Policies.Register("leastOutstanding", func(Options) Policy { return NewLeastOutstanding() })
}
