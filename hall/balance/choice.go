package balance

import (
	"time"

	"limpethall.dev/hall/zonechoice"
	"limpethall.dev/kernel/backend"
)

// Choice is a selected server and the figures behind its selection, which the
// caller may log.
type Choice struct {
	balancer  *Balancer
	server    backend.Server
	state     *serverState
	delay     time.Duration
	preferred bool
	limited   bool
	limitRate float64
	maxWait   time.Duration
	listAge   time.Duration
	reads     int64
	readDelay time.Duration
	reason    Reason
	done      bool

	zonePlan   zonechoice.Plan
	zoneReason zonechoice.Reason // Why the request leaves the zone although the plan does not allow it.
}

// Reason is why a server was preferred to others with the same load.
type Reason string

// The reasons. A server with ReasonLoad was chosen for its load and zone alone.
const (
	ReasonObject    Reason = "object"
	ReasonHistory   Reason = "history"
	ReasonFirstPart Reason = "firstPart"
	ReasonProgram   Reason = "program"
	ReasonLoad      Reason = "load"
)

// Server returns the selected server.
func (c *Choice) Server() backend.Server { return c.server }

// ExpectedDelay returns the expected delay of the request at the server.
func (c *Choice) ExpectedDelay() time.Duration { return c.delay }

// IsPreferred reports whether the server is the preferred one for the key: the
// one that holds its history or, if none is known, the one to which it hashes.
func (c *Choice) IsPreferred() bool { return c.preferred }

// ExpectedRead returns how many tokens of the prompt the server is expected to read, and
// in which time.
func (c *Choice) ExpectedRead() (tokens int64, delay time.Duration) { return c.reads, c.readDelay }

// Reason returns why the server was preferred to others with the same load.
func (c *Choice) Reason() Reason { return c.reason }

// IsLimited reports whether the server names a limit, so that the request needs a
// permission before it is sent.
func (c *Choice) IsLimited() bool { return c.limited }

// MaxWait returns how long to wait for the limit of the server before another server
// is the better choice. If it is negative, the limit must have been unused for that long.
func (c *Choice) MaxWait() time.Duration { return c.maxWait }

// ListAge returns the age of the server list at the time of selection.
func (c *Choice) ListAge() time.Duration { return c.listAge }

// Done ends the request at the server. Further calls have no effect.
func (c *Choice) Done() {
	if c.done {
		return
	}
	c.done = true
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.outstanding--
}

// SetAffinity records that the server now holds the history of the key and the prompt.
func (c *Choice) SetAffinity(now time.Time, query Query) {
	if query.AffinityKey != "" {
		c.balancer.affinity.Add(query.AffinityKey, c.server.ID())
	}
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.balancer.prompts.recordRead(now, query.Service, query.Prompt, c.server.ID())
}

// ReportStart records how long after it was sent the response to the request began, by
// which time the server had read the prompt or handled the object.
func (c *Choice) ReportStart(query Query, duration time.Duration) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	if len(query.Prompt) > 0 {
		c.balancer.prompts.recordSpeed(c.reads, duration)
	}
	c.balancer.recordStart(c, query, duration)
	if query.Object != "" {
		c.balancer.objects.record(query, c.server.ID(), c.preferred, duration)
	}
}

// ReportLoad records the load that the server reported. It clears the server's failure, unless
// servers are compared: a server that fails at once reports no load.
func (c *Choice) ReportLoad(now time.Time, load Load) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.balancer.recordPace(c.server.Service(), load)
	c.state.lastReport = load
	c.state.recordPace(load)
	c.state.reportedAt = now
	c.state.outstandingAtReport = c.state.outstanding
	service := c.server.Service()
	if load.Pace > 0 && c.balancer.outliers != nil {
		c.balancer.paced[service] = true
	}
	if !c.balancer.compares(service) {
		c.state.failedAt = time.Time{}
	}
}

// ReportFailure records a failure of the server, which ranks it behind all others
// for failureWindow.
func (c *Choice) ReportFailure(now time.Time) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.failedAt = now
}

// ReportDeparture records that the server said that it leaves. It reports whether this
// was not known.
func (c *Choice) ReportDeparture() bool { return c.balancer.directory.RecordDeparture(c.server) }
