// Package balance is the load balancer that selects a backend server for each
// forwarded request.
//
// It selects the server with the lowest expected delay. The estimate covers the
// queue at the server, its utilization, the network latency to its availability
// zone, and the recomputation of the program's history on a server that does not
// hold it. Servers with a recent failure are only used as a last resort. A cold
// server receives no more than this hall's portion of its cold rate. A server that
// names a limit is chosen if the wait for the limit costs less than another server.
//
// # Usage
//
//	b := balance.New("hu-central-a", directory, hallCount)
//	choice, err := b.Choose(now, balance.Query{Service: service, AffinityKey: program, Tried: tried})
//	defer choice.Done()
//	choice.ReportLoad(now, balance.Load{Running: 3, Waiting: 0, Slots: 32})
package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

const (
	// crossZoneDelay is the round trip time to another availability zone, plus a
	// small surcharge for the cost of traffic between zones.
	crossZoneDelay = 4 * time.Millisecond
	// utilizationDelay is the delay of a request at a server whose slots are
	// nearly all in use. At lower utilization it is scaled down linearly.
	utilizationDelay = 20 * time.Millisecond
	// queueDelay is the waiting time for each request beyond the slots.
	queueDelay = 15 * time.Millisecond
	// recomputeDelay is the time to compute a program's history again if the parts of its
	// prompt are not known.
	recomputeDelay = 60 * time.Millisecond
	// hashMismatchDelay favors the server that rendezvous hashing assigns to a
	// program without a known history, so that halls that do not share state
	// select the same server in their zone.
	hashMismatchDelay = 3 * time.Millisecond
	// failurePenalty ranks a server with a recent failure behind all others.
	failurePenalty = 2 * time.Second
	// failureWindow is how long a failure counts as recent.
	failureWindow = 1500 * time.Millisecond
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = time.Second
	// defaultSlots applies to servers that do not state their slots.
	defaultSlots = 8
	// affinityCacheSize bounds the number of keys whose server is remembered.
	affinityCacheSize = 4096
	// coldRateWindow is the sliding window over which cold requests are counted.
	coldRateWindow = time.Second
)

// Query describes the request for which a server is selected.
type Query struct {
	Service *catalog.Service
	// AffinityKey is equal for requests that share a history. It is empty for
	// requests without one.
	AffinityKey string
	// Prompt lists the parts of the prompt, empty if they are not known.
	Prompt []PromptPart
	// Object is equal for requests that concern the same object, which a server handles
	// faster if it has handled it before. It is empty for others.
	Object string
	// Tried lists the IDs of servers to skip.
	Tried map[string]bool
	// Version restricts the choice to servers of this software version, unless it is nil.
	Version *string
	// Limit returns the limit that a server names, in requests per second. It is nil if
	// no server names one.
	Limit func(serverID string) (rate float64, limited bool)
	// SkipLimited excludes the servers that name a limit.
	SkipLimited bool
	// MaxWait is how long the request may wait for the limit of a server if those without
	// a limit are full. If it is negative, the limit must have been unused for that long,
	// and the request is not queued at a full server while others are at their limits.
	MaxWait time.Duration
}

// Load is the load that a server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// NoServerError reports that no server can accept the request now.
type NoServerError struct {
	service    string
	usable     int
	cold       int
	limited    int
	limitRate  float64
	retryAfter time.Duration
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s can accept the request: %d usable, %d of them cold and at their rate limit, %d at the limit that they named",
		e.service, e.usable, e.cold, e.limited)
}

// RetryAfter returns when the limit of one of the servers may allow the request, zero
// if none is at its limit.
func (e *NoServerError) RetryAfter() time.Duration { return e.retryAfter }

// LimitRate returns the sum of the limits of the servers that are at their limits, in
// requests per second.
func (e *NoServerError) LimitRate() float64 { return e.limitRate }

// serverState is what this hall knows about the load of one server.
type serverState struct {
	outstanding         int
	lastReport          Load
	reportedAt          time.Time
	outstandingAtReport int // Requests of this hall when the report arrived.
	failedAt            time.Time
	coldSends           []time.Time
	nextColdSend        time.Time // Used if this hall may send less than one cold request per window.
	limitWaitUntil      time.Time // When a request that was granted last may be sent.
	refusedUntil        time.Time // When the limit may allow a request again that waits up to refusedWait.
	refusedWait         time.Duration
}

// Balancer selects backend servers. It is safe for concurrent use.
type Balancer struct {
	zone      string
	directory *backend.Directory
	hallCount func() int

	mutex    sync.Mutex
	states   map[string]*serverState
	prompts  *promptCache
	objects  *objectCache
	affinity *lru.Cache[string, string] // Key to ID of the server that holds its history.
}

// New returns the Balancer of a hall in the availability zone. hallCount returns
// the number of halls that divide the rate of a cold server among them.
func New(zone string, directory *backend.Directory, hallCount func() int) *Balancer {
	affinity, err := lru.New[string, string](affinityCacheSize)
	if err != nil {
		panic(err) // Only returned for a size that is not positive.
	}
	b := &Balancer{zone: zone, directory: directory, hallCount: hallCount, states: make(map[string]*serverState), prompts: newPromptCache(), objects: newObjectCache(), affinity: affinity}
	directory.Subscribe(b.applyList)
	return b
}

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

// Choose returns the server with the lowest expected delay. The request counts
// as outstanding at that server until Done is called.
func (b *Balancer) Choose(now time.Time, query Query) (*Choice, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	best, err := b.selectServer(now, query)
	if err != nil {
		return nil, err
	}
	best.state.outstanding++
	if best.server.Cold(now) {
		best.state.recordColdSend(now, query.Service, b.hallCount())
	}
	return &best, nil
}

// PreferredVersion returns the software version of the server that Choose would select.
func (b *Balancer) PreferredVersion(now time.Time, query Query) (string, error) {
	if version, found := b.directory.List().OnlyVersion(query.Service.Name); found {
		return version, nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	best, err := b.selectServer(now, query)
	if err != nil {
		return "", err
	}
	return best.server.Version(), nil
}

// SteadyVersion returns the software version that all servers of a service have had for
// at least the given duration, and false if there is none.
func (b *Balancer) SteadyVersion(service string, duration time.Duration) (string, bool) {
	return b.directory.SteadyVersion(service, duration)
}

// CheckLimits returns a *NoServerError if no server can accept the request now because
// of the limits that servers name.
func (b *Balancer) CheckLimits(now time.Time, query Query) error {
	if query.Limit == nil {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, err := b.selectServer(now, query)
	var noServerErr *NoServerError
	if errors.As(err, &noServerErr) && noServerErr.limited > 0 {
		return err
	}
	return nil
}

// selectServer returns the server with the lowest expected delay. The caller must hold
// the mutex.
func (b *Balancer) selectServer(now time.Time, query Query) (Choice, error) {
	list := b.directory.List()
	usable := list.Usable(query.Service.Name)
	prompt := b.prompts.estimate(now, query.Prompt, list, query.Service)
	preferred, object := b.preferredServer(query, usable, prompt), b.objects.estimate(query, usable)
	best := Choice{delay: math.MaxInt64}
	noServer := &NoServerError{service: query.Service.Name, usable: len(usable)}
	var limited []Choice
	for _, server := range usable {
		if query.Tried[server.ID()] || (query.Version != nil && server.Version() != *query.Version) {
			continue
		}
		state := b.stateOf(server)
		if server.Cold(now) && !state.allowsColdSend(now, query.Service, b.hallCount()) {
			noServer.cold++
			continue
		}
		candidate := Choice{
			balancer: b, server: server, state: state, delay: b.expectedDelay(now, query, server, state, preferred),
			preferred: server.ID() == preferred || server.ID() == object.first, listAge: list.Age(now), reads: prompt.tokens(server.ID()),
		}
		candidate.reason = reasonFor(server.ID(), prompt, object, preferred)
		candidate.readDelay = prompt.delay(candidate.reads)
		candidate.delay += candidate.readDelay + object.delay(server.ID())
		if query.Limit != nil {
			candidate.limitRate, candidate.limited = query.Limit(server.ID())
		}
		if candidate.limited {
			limited = append(limited, candidate)
		} else if candidate.delay < best.delay {
			best = candidate
		}
	}
	return b.compareLimited(now, query, best, limited, noServer)
}

// reasonFor returns why the server is preferred to others with the same load.
func reasonFor(serverID string, prompt promptEstimate, object objectEstimate, preferred string) Reason {
	switch {
	case object.delay(serverID) < object.gain:
		return ReasonObject
	case prompt.held[serverID] > prompt.headTokens:
		return ReasonHistory
	case prompt.agreed[serverID] || prompt.held[serverID] > 0:
		return ReasonFirstPart
	case serverID == preferred:
		return ReasonProgram
	default:
		return ReasonLoad
	}
}

// compareLimited returns the better of the best server without a limit, which may be
// none, and those with a limit that allows the request in time.
func (b *Balancer) compareLimited(now time.Time, query Query, unlimited Choice, limited []Choice, noServer *NoServerError) (Choice, error) {
	best := unlimited
	hasRoom := unlimited.state != nil && unlimited.state.hasRoom(now, unlimited.server)
	leavesReserve := query.MaxWait < 0
	for _, candidate := range limited {
		candidate.maxWait = query.MaxWait
		if hasRoom {
			// A request waits for a limit only as long as no other server is faster.
			candidate.maxWait = unlimited.delay - candidate.delay
			if candidate.maxWait < 0 {
				continue
			}
		}
		wait, allowed := candidate.state.limitWait(now, candidate.maxWait)
		if !allowed || query.SkipLimited {
			noServer.addLimited(candidate.limitRate, wait)
			continue
		}
		// An unused limit goes before the queue at a full server.
		if candidate.delay += wait; candidate.delay < best.delay || (leavesReserve && !hasRoom && !best.limited) {
			best = candidate
		}
	}
	if best.state == nil || (leavesReserve && !hasRoom && !best.limited && noServer.limited > 0) {
		return Choice{}, noServer
	}
	return best, nil
}

// addLimited counts a server whose limit may allow the request after the wait.
func (e *NoServerError) addLimited(rate float64, wait time.Duration) {
	if e.limited == 0 || wait < e.retryAfter {
		e.retryAfter = wait
	}
	e.limited++
	e.limitRate += rate
}

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
	if query.Object != "" {
		c.balancer.objects.record(query, c.server.ID(), c.preferred, duration)
	}
}

// ReportLoad records the load that the server reported and clears its failure.
func (c *Choice) ReportLoad(now time.Time, load Load) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.lastReport = load
	c.state.reportedAt = now
	c.state.outstandingAtReport = c.state.outstanding
	c.state.failedAt = time.Time{}
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

// ReportLimitWait records how long a request waits for the limit of the server.
func (c *Choice) ReportLimitWait(now time.Time, wait time.Duration) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.limitWaitUntil = now.Add(wait)
}

// ReportLimitRefusal records that the limit of the server does not allow a request
// that waits up to MaxWait before retryAfter has passed.
func (c *Choice) ReportLimitRefusal(now time.Time, retryAfter time.Duration) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	if now.Before(c.state.refusedUntil) && c.maxWait < c.state.refusedWait {
		return // It holds for more requests than this refusal.
	}
	c.state.refusedUntil, c.state.refusedWait = now.Add(retryAfter), c.maxWait
}

// preferredServer returns the ID of the server that holds the history of the key.
// If none is known, it selects a server of this zone by rendezvous hashing, with
// the same result at all halls of the zone. Servers that are to hold the first part of
// the prompt are preferred.
func (b *Balancer) preferredServer(query Query, usable []backend.Server, prompt promptEstimate) string {
	key := query.AffinityKey
	if key == "" {
		return ""
	}
	if id, found := b.affinity.Get(key); found {
		return id
	}
	best, bestScore, bestAgreed := "", uint64(0), false
	for _, server := range usable {
		agreed := prompt.agreed[server.ID()]
		if server.Zone() != b.zone || (bestAgreed && !agreed) {
			continue
		}
		if score := xxhash.Sum64String(server.ID() + "\x00" + key); score >= bestScore || agreed != bestAgreed {
			best, bestScore, bestAgreed = server.ID(), score, agreed
		}
	}
	return best
}

func (b *Balancer) stateOf(server backend.Server) *serverState {
	state := b.states[server.ID()]
	if state == nil {
		state = &serverState{}
		b.states[server.ID()] = state
	}
	return state
}

func (b *Balancer) expectedDelay(now time.Time, query Query, server backend.Server, state *serverState, preferred string) time.Duration {
	slots := slotsOf(server)
	requests := state.estimatedRequests(now)
	delay := time.Duration(requests / float64(slots) * float64(utilizationDelay))
	if queued := requests - float64(slots) + 1; queued > 0 {
		delay += time.Duration(queued * float64(queueDelay))
	}
	if server.Zone() != b.zone {
		delay += crossZoneDelay
	}
	if preferred != "" && server.ID() != preferred {
		if len(query.Prompt) == 0 && b.affinity.Contains(query.AffinityKey) {
			delay += recomputeDelay
		} else {
			delay += hashMismatchDelay
		}
	}
	if now.Sub(state.failedAt) < failureWindow {
		delay += failurePenalty
	}
	return delay
}

// hasRoom reports whether the server has free slots and no recent failure.
func (s *serverState) hasRoom(now time.Time, server backend.Server) bool {
	return now.Sub(s.failedAt) >= failureWindow && s.estimatedRequests(now) < float64(slotsOf(server))
}

func slotsOf(server backend.Server) int {
	if server.Slots() == 0 {
		return defaultSlots
	}
	return server.Slots()
}

// estimatedRequests estimates the number of requests at the server: those of
// this hall, plus those of other halls at the last report, weighted down as the
// report ages.
func (s *serverState) estimatedRequests(now time.Time) float64 {
	others := float64(s.lastReport.Running + s.lastReport.Waiting - s.outstandingAtReport)
	if others <= 0 {
		return float64(s.outstanding)
	}
	age := now.Sub(s.reportedAt)
	return float64(s.outstanding) + others*float64(reportHalfLife)/float64(reportHalfLife+age)
}

// limitWait returns the expected wait for the limit of the server. If a request that
// waits up to maxWait is not allowed, it returns when it may be.
func (s *serverState) limitWait(now time.Time, maxWait time.Duration) (wait time.Duration, allowed bool) {
	if wait = s.refusedUntil.Sub(now); wait > 0 && maxWait <= s.refusedWait {
		return wait, false
	}
	wait = max(0, s.limitWaitUntil.Sub(now))
	if wait > 0 && maxWait < wait {
		return wait - maxWait, false
	}
	return wait, true
}

// allowsColdSend reports whether this hall may send one more request to a cold
// server. With so many halls that each may send less than one request per window,
// each sends at a fixed interval with a random offset, so that the halls do not
// send at the same time.
func (s *serverState) allowsColdSend(now time.Time, service *catalog.Service, hallCount int) bool {
	if interval := coldInterval(service, hallCount); interval > coldRateWindow {
		if now.Sub(s.nextColdSend) > interval {
			s.nextColdSend = now.Add(rand.N(interval))
		}
		return !now.Before(s.nextColdSend)
	}
	expired := 0
	for expired < len(s.coldSends) && now.Sub(s.coldSends[expired]) > coldRateWindow {
		expired++
	}
	s.coldSends = s.coldSends[expired:]
	if service.ColdRate <= 0 {
		return true
	}
	return float64(len(s.coldSends)+1) <= service.ColdRate/float64(max(1, hallCount))
}

// recordColdSend counts a request that is sent to a cold server.
func (s *serverState) recordColdSend(now time.Time, service *catalog.Service, hallCount int) {
	s.coldSends = append(s.coldSends, now)
	s.nextColdSend = now.Add(coldInterval(service, hallCount))
}

// coldInterval returns the interval between two requests of one hall to a cold
// server, or zero if the service has no cold rate.
func coldInterval(service *catalog.Service, hallCount int) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	return time.Duration(float64(max(1, hallCount)) / service.ColdRate * float64(time.Second))
}

// applyList deletes the state of servers that are no longer listed and have no
// outstanding requests.
func (b *Balancer) applyList(list *backend.List) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.prompts.generation++
	for id, state := range b.states {
		if _, found := list.Lookup(id); !found && state.outstanding == 0 {
			delete(b.states, id)
		}
	}
}

// PickSplit selects one of the services by weight. The same name always selects
// the same service.
func PickSplit(splits []catalog.Split, name string) string {
	total := 0
	for _, split := range splits {
		total += max(0, split.Weight)
	}
	if total == 0 {
		return ""
	}
	position := int(xxhash.Sum64String(name) % uint64(total))
	for _, split := range splits {
		position -= max(0, split.Weight)
		if position < 0 {
			return split.Service
		}
	}
	return ""
}
