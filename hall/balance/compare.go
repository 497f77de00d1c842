package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/backend"
)

const (
	// paceLifetime is the time constant with which the reported pace returns to the usual
	// one. What slows machines down moves on after some 600 ms.
	paceLifetime = 300 * time.Millisecond
	// usualPace is the pace of a machine on which work takes its usual time, in percent.
	usualPace = 100
	// minPace and maxPace bound the effect of a reported pace.
	minPace = 25
	maxPace = 1000
	// repeatDelay is what a failure costs: the time until the caller has the answer of
	// another server.
	repeatDelay = 200 * time.Millisecond
	// spreadWindow is how much longer than the best a server's expected delay may be for it
	// to be chosen as well. Estimates are not more exact, and halls that don't know of each
	// other's requests must not all choose the same server.
	spreadWindow = 2 * time.Millisecond
	// minWeight is the weight of a server without free slots, in slots.
	minWeight = 0.1
)

// comparison is what is known of the servers of a service relative to each other. The zero
// value belongs to a service whose servers are not compared: all are alike.
type comparison struct {
	active     bool
	assessment *outlier.Assessment
}

// Compares reports whether the servers of the service are compared with each other.
func (b *Balancer) Compares(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.compares(service)
}

// compares is Compares for callers that hold the mutex.
func (b *Balancer) compares(service string) bool {
	return b.outliers != nil && (b.comparesServers || b.paced[service])
}

// compare returns the comparison of the service's usable servers. The caller must hold the
// mutex.
func (b *Balancer) compare(service string, usable []backend.Server) comparison {
	if !b.compares(service) {
		return comparison{}
	}
	return comparison{active: true, assessment: b.outliers.Assess(service, usable)}
}

// verdict is what is known of one server. The zero value belongs to one that is not compared.
type verdict struct {
	active bool
	known  outlier.Verdict
}

func (c comparison) of(serverID string) verdict {
	return verdict{active: c.active, known: c.assessment.Of(serverID)}
}

// factor returns how long work takes at the server, relative to a usual one.
func (v verdict) factor(now time.Time, state *serverState) float64 {
	if !v.active {
		return 1
	}
	return v.known.Slowness() * state.pace(now)
}

// extraDelay returns what the request is expected to take longer at the server than at a
// usual one, without queue and utilization. It is negative at a faster server.
func (v verdict) extraDelay(query *Query, factor float64) time.Duration {
	if !v.active {
		return 0
	}
	return time.Duration((factor-1)*float64(query.Work) + v.known.FailureRate()*float64(repeatDelay))
}

// queueDelay returns the waiting time for each request beyond the slots of a usual server. It
// grows with the work, as extraDelay does: otherwise requests queued at the fast servers while
// slow ones were idle.
func (v verdict) queueDelay(query *Query, slots int) time.Duration {
	if !v.active {
		return queueDelay
	}
	return max(queueDelay, query.Work/time.Duration(slots))
}

// avoids reports whether the server receives a request only as a last resort.
func (v verdict) avoids(state *serverState) bool {
	return v.active && !v.known.Allows(state.outstanding)
}

// spread returns one of the candidates whose expected delay is about that of the best. It
// draws two, weighted by their free slots, and takes the better one. A server that holds what
// the request needs keeps it.
func (c comparison) spread(now time.Time, best Choice, candidates []Choice) Choice {
	if !c.active || best.state == nil || best.preferred || best.reason == ReasonHistory || best.reason == ReasonObject {
		return best
	}
	first, second, total := -1, -1, 0.0
	for index := range candidates {
		candidate := &candidates[index]
		if candidate.delay > best.delay+spreadWindow {
			continue
		}
		weight := max(minWeight, float64(slotsOf(candidate.server))-candidate.state.estimatedRequests(now))
		total += weight
		if rand.Float64()*total < weight {
			first = index
		}
		if rand.Float64()*total < weight {
			second = index
		}
	}
	switch {
	case first < 0 || second < 0:
		return best
	case candidates[second].delay < candidates[first].delay:
		return candidates[second]
	default:
		return candidates[first]
	}
}

// pace returns how long work takes at the server by its last report, relative to the server's
// usual pace, which its measured slowness includes. It changes often, so that an old report
// says little.
func (s *serverState) pace(now time.Time) float64 {
	if s.lastReport.Pace == 0 {
		return 1
	}
	deviation := s.lastReport.paceFactor()/math.Exp(s.logPace) - 1
	return 1 + deviation*math.Exp(-float64(max(0, now.Sub(s.reportedAt)))/float64(paceLifetime))
}

// recordPace adds a reported pace to the usual one.
func (s *serverState) recordPace(load Load) {
	if load.Pace > 0 {
		s.logPace += measurementGain * (math.Log(load.paceFactor()) - s.logPace)
	}
}

// paceFactor returns the reported pace relative to that of a machine on which work takes its
// usual time.
func (l Load) paceFactor() float64 {
	return float64(min(maxPace, max(minPace, l.Pace))) / usualPace
}

// ReportAnswer records that the server answered a request completely, which clears its
// failure.
func (c *Choice) ReportAnswer() {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.failedAt = time.Time{}
}
