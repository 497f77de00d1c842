// Package balance is the load balancer that selects a backend server for each
// forwarded request.
//
// It selects the server with the lowest expected delay. The estimate covers the
// queue at the server, its utilization, the network latency to its availability
// zone, and the recomputation of the program's history on a server that does not
// hold it. Where servers are compared, it also covers how fast and how reliable the server
// is relative to its peers, and about equal servers are chosen at random. Servers with a
// recent failure are only used as a last resort. A cold server receives no more than this
// hall's portion of its cold rate. A server that names a limit is chosen if the wait for the
// limit costs less than another server.
//
// # Usage
//
//	b := balance.New(balance.Options{Zone: "hu-central-a", Directory: directory, HallCount: hallCount})
//	choice, err := b.Choose(now, balance.Query{Service: service, AffinityKey: program, Tried: tried})
//	defer choice.Done()
//	choice.ReportLoad(now, balance.Load{Running: 3, Waiting: 0, Slots: 32})
package balance

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"limpethall.dev/hall/outlier"
	"limpethall.dev/hall/zonechoice"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

const (
	// crossZoneDelay is the round trip time to another availability zone, plus a
	// small surcharge for the cost of traffic between zones. It applies where the cost
	// is not measured.
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
	// ExcludedVersion is the software version whose servers are skipped, empty for none.
	ExcludedVersion string
	// Limit returns the limit that a server names, in requests per second. It is nil if
	// no server names one.
	Limit func(serverID string) (rate float64, limited bool)
	// SkipLimited excludes the servers that name a limit.
	SkipLimited bool
	// MaxWait is how long the request may wait for the limit of a server if those without
	// a limit are full. If it is negative, the limit must have been unused for that long,
	// and the request is not queued at a full server while others are at their limits.
	MaxWait time.Duration
	// Work is how long the response is expected to take at a usual server. It counts where
	// servers are compared.
	Work time.Duration
	// Bytes is the size of the request and the expected response, zero if not known.
	Bytes int64
}

// allowsVersion reports whether servers of the software version may be chosen.
func (q *Query) allowsVersion(version string) bool {
	return (q.Version == nil || version == *q.Version) && (q.ExcludedVersion == "" || version != q.ExcludedVersion)
}

// Load is the load that a server reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the server's machine at this moment, in percent of the
	// usual time; zero if not stated.
	Pace int
}

// Balancer selects backend servers. It is safe for concurrent use.
type Balancer struct {
	zone      string
	directory *backend.Directory
	hallCount func() int
	outliers  *outlier.Detector // Nil if servers are not compared.

	comparesServers bool

	zones    *zonechoice.Chooser // Guarded by the mutex. Nil if servers of all zones are always candidates.
	mutex    sync.Mutex
	states   map[string]*serverState
	paced    map[string]bool // Services of which a server has reported its pace.
	scratch  []Choice        // Memory for the candidates of a choice.
	prompts  *promptCache
	objects  *objectCache
	affinity *lru.Cache[string, string] // Key to ID of the server that holds its history.
}

// Options are the dependencies of a Balancer.
type Options struct {
	// Zone is the availability zone of the hall.
	Zone      string
	Directory *backend.Directory
	// HallCount returns the number of halls that divide the rate of a cold server among
	// them.
	HallCount func() int
	// Outliers compares the servers of services. Without it, none are compared.
	Outliers *outlier.Detector
	// ComparesServers says whether the servers of all services are compared from the start.
	// Otherwise those of a service are once one of them has reported its pace.
	ComparesServers bool
	// ZoneChoice decides which requests may leave the zone. Nil lets all of them, at a
	// constant cost. The balancer is its only user.
	ZoneChoice *zonechoice.Chooser
}

// New returns a Balancer.
func New(options Options) *Balancer {
	affinity, err := lru.New[string, string](affinityCacheSize)
	if err != nil {
		panic(err) // Only returned for a size that is not positive.
	}
	b := &Balancer{
		zone: options.Zone, directory: options.Directory, hallCount: options.HallCount,
		outliers: options.Outliers, comparesServers: options.ComparesServers, zones: options.ZoneChoice,
		states: make(map[string]*serverState), paced: make(map[string]bool), prompts: newPromptCache(), objects: newObjectCache(), affinity: affinity,
	}
	options.Directory.Subscribe(b.applyList)
	return b
}

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
	b.recordZone(query, best)
	return &best, nil
}

// PreferredVersion returns the software version of the server that Choose would select.
func (b *Balancer) PreferredVersion(now time.Time, query Query) (string, error) {
	if version, found := b.directory.List().OnlyVersion(query.Service.Name); found && query.allowsVersion(version) {
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

// selectAmong returns the server with the lowest expected delay among those that the zone
// rule allows. The caller must hold the mutex.
func (b *Balancer) selectAmong(now time.Time, query Query, zones zoneRule) (Choice, error) {
	list := b.directory.List()
	usable := list.Usable(query.Service.Name)
	prompt := b.prompts.estimate(now, query.Prompt, list, query.Service)
	zones.prefer(prompt)
	preferred, object := b.preferredServer(query, usable, prompt), b.objects.estimate(query, usable)
	best := Choice{delay: math.MaxInt64}
	noServer := &NoServerError{service: query.Service.Name, usable: len(usable)}
	compared := b.compare(query.Service.Name, usable)
	var limited []Choice
	unlimited := b.scratch[:0]
	for _, server := range usable {
		if query.Tried[server.ID()] || !query.allowsVersion(server.Version()) {
			zones.trace.exclude(server, "version or tried before")
			continue
		}
		zoneDelay, zoneReason, allowed := zones.assess(server, list, prompt, object, preferred)
		if !allowed {
			zones.trace.exclude(server, "request stays in its zone")
			continue
		}
		state, verdict := b.stateOf(server), compared.of(server.ID())
		if server.Cold(now) && !state.allowsColdSend(now, query.Service, b.hallCount()) {
			noServer.cold++
			zones.trace.exclude(server, "cold and at its rate limit")
			continue
		}
		candidate := Choice{
			balancer: b, server: server, state: state, delay: b.expectedDelay(now, query, server, state, preferred, verdict) + zoneDelay,
			zonePlan: zones.plan, zoneReason: zoneReason,
			preferred: server.ID() == preferred || server.ID() == object.first, listAge: list.Age(now), reads: prompt.tokens(server.ID()),
		}
		candidate.reason = reasonFor(server.ID(), prompt, object, preferred)
		candidate.readDelay = prompt.delay(candidate.reads)
		candidate.delay += candidate.readDelay + object.delay(server.ID())
		if query.Limit != nil {
			candidate.limitRate, candidate.limited = query.Limit(server.ID())
		}
		zones.trace.consider(now, query, candidate, zoneDelay, verdict.factor(now, state))
		if candidate.limited {
			limited = append(limited, candidate)
			continue
		}
		if compared.active {
			unlimited = append(unlimited, candidate)
		}
		if candidate.delay < best.delay {
			best = candidate
		}
	}
	best = compared.spread(now, best, unlimited)
	b.scratch = unlimited
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

func (b *Balancer) expectedDelay(now time.Time, query Query, server backend.Server, state *serverState, preferred string, verdict verdict) time.Duration {
	slots := slotsOf(server)
	requests, factor := state.estimatedRequests(now), verdict.factor(now, state)
	delay := time.Duration(requests / float64(slots) * float64(utilizationDelay) * factor)
	if queued := requests - float64(slots) + 1; queued > 0 {
		delay += time.Duration(queued * float64(verdict.queueDelay(&query, slots)) * factor)
	}
	delay += verdict.extraDelay(&query, factor)
	if preferred != "" && server.ID() != preferred {
		if len(query.Prompt) == 0 && b.affinity.Contains(query.AffinityKey) {
			delay += recomputeDelay
		} else {
			delay += hashMismatchDelay
		}
	}
	if now.Sub(state.failedAt) < failureWindow || verdict.avoids(state) {
		delay += failurePenalty
	}
	return delay
}

// applyList deletes the state of servers that are no longer listed and have no
// outstanding requests.
func (b *Balancer) applyList(list *backend.List) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.prompts.generation++
	b.retainZones(list)
	for id, state := range b.states {
		if _, found := list.Lookup(id); !found && state.outstanding == 0 {
			delete(b.states, id)
		}
	}
}
