// Package balance chooses the backend server of a forwarded request.
//
// The choice goes by expected delay: what waits at the server, how full it is,
// the way to its availability zone, and what must be computed again away from
// the server that holds the program's history. Servers that failed a moment ago
// come last, and a cold one gets no more than this hall's part of what it
// bears.
//
// # Usage
//
//	b := balance.New("hu-central-a", directory, halls)
//	choice, err := b.Choose(now, balance.Query{Service: service, Key: program, Tried: tried})
//	defer choice.Done()
//	choice.Report(now, balance.Load{Running: 3, Waiting: 0, Slots: 32})
package balance

import (
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
	// zoneDelay is the round trip to another availability zone, with a little
	// for what the bytes cost there.
	zoneDelay = 4 * time.Millisecond
	// fullDelay is what a request loses at a server whose slots are nearly all
	// taken.
	fullDelay = 20 * time.Millisecond
	// queueDelay is the wait for each request beyond the slots.
	queueDelay = 15 * time.Millisecond
	// awayDelay is the time to compute a program's history again.
	awayDelay = 60 * time.Millisecond
	// spreadDelay keeps programs without a history on one server of their zone,
	// so that halls which don't know of each other choose alike.
	spreadDelay = 3 * time.Millisecond
	// failureDelay puts a server that failed behind all others.
	failureDelay = 2 * time.Second
	// failureTime is how long a failure counts.
	failureTime = 1500 * time.Millisecond
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = time.Second
	// plainSlots is assumed of a server that states no slots.
	plainSlots = 8
	// rememberedPrograms bounds the memory of where programs ran.
	rememberedPrograms = 4096
	// coldSpan is the window of the cold rate.
	coldSpan = time.Second
)

// Query is what is looked for.
type Query struct {
	Service *catalog.Service
	// Key is the same for requests that share a history, empty for none.
	Key string
	// Tried servers are passed over.
	Tried map[string]bool
}

// Load is what a server tells of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// NoServerError reports that no server may be given the request now.
type NoServerError struct {
	service string
	known   int
	cold    int
}

// Error says what was looked at.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s may be given work: %d usable, %d of them cold and at their limit", e.service, e.known, e.cold)
}

// state is what this hall knows of one server's load.
type state struct {
	outstanding int
	reported    Load
	reportedAt  time.Time
	ownThen     int // Outstanding when the report came.
	failedAt    time.Time
	coldSends   []time.Time
	coldNext    time.Time // With a part under one a second: when the next may go.
}

// Balancer is safe for concurrent use.
type Balancer struct {
	zone      string
	directory *backend.Directory
	halls     func() int

	mutex  sync.Mutex
	states map[string]*state
	homes  *lru.Cache[string, string]
}

// New returns a balancer of a hall in that availability zone. halls returns how
// many halls share the cold servers.
func New(zone string, directory *backend.Directory, halls func() int) *Balancer {
	homes, err := lru.New[string, string](rememberedPrograms)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	b := &Balancer{zone: zone, directory: directory, halls: halls, states: make(map[string]*state), homes: homes}
	directory.Subscribe(b.forget)
	return b
}

// Choice is a chosen server with the reason, ready to be logged.
type Choice struct {
	balancer *Balancer
	server   backend.Server
	state    *state
	cost     time.Duration
	home     bool
	age      time.Duration
	done     bool
}

// Server returns the chosen server.
func (c *Choice) Server() backend.Server { return c.server }

// Cost returns the expected delay.
func (c *Choice) Cost() time.Duration { return c.cost }

// IsHome reports whether the server holds the program's history.
func (c *Choice) IsHome() bool { return c.home }

// ListAge returns how old the list of servers was.
func (c *Choice) ListAge() time.Duration { return c.age }

// Choose returns the server with the least expected delay, which counts as
// given one more request until Done.
func (b *Balancer) Choose(now time.Time, query Query) (*Choice, error) {
	list := b.directory.List()
	usable := list.Usable(query.Service.Name)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	home := b.home(query.Key, usable)
	best := Choice{cost: math.MaxInt64}
	cold := 0
	for _, server := range usable {
		if query.Tried[server.ID()] {
			continue
		}
		known := b.state(server)
		if server.Cold(now) && !known.bears(now, query.Service, b.halls()) {
			cold++
			continue
		}
		cost := b.cost(now, query, server, known, home)
		if cost < best.cost {
			best = Choice{balancer: b, server: server, state: known, cost: cost, home: server.ID() == home, age: list.Age(now)}
		}
	}
	if best.state == nil {
		return nil, &NoServerError{service: query.Service.Name, known: len(usable), cold: cold}
	}
	best.state.outstanding++
	if best.server.Cold(now) {
		best.state.sendCold(now, query.Service, b.halls())
	}
	return &best, nil
}

// Done ends the request at the server.
func (c *Choice) Done() {
	if c.done {
		return
	}
	c.done = true
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.outstanding--
}

// Keep remembers that the server now holds the history of a key.
func (c *Choice) Keep(key string) {
	if key != "" {
		c.balancer.homes.Add(key, c.server.ID())
	}
}

// Report takes in what the server told of its load.
func (c *Choice) Report(now time.Time, load Load) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.reported = load
	c.state.reportedAt = now
	c.state.ownThen = c.state.outstanding
	c.state.failedAt = time.Time{}
}

// Fail puts the server last for a while.
func (c *Choice) Fail(now time.Time) {
	c.balancer.mutex.Lock()
	defer c.balancer.mutex.Unlock()
	c.state.failedAt = now
}

// home returns the server that holds the key's history: where it last ran, or
// else where halls that know nothing of each other would put it.
func (b *Balancer) home(key string, usable []backend.Server) string {
	if key == "" {
		return ""
	}
	if id, found := b.homes.Get(key); found {
		return id
	}
	best, bestScore := "", uint64(0)
	for _, server := range usable {
		if server.Zone() != b.zone {
			continue
		}
		if score := xxhash.Sum64String(server.ID() + "\x00" + key); score >= bestScore {
			best, bestScore = server.ID(), score
		}
	}
	return best
}

func (b *Balancer) state(server backend.Server) *state {
	known := b.states[server.ID()]
	if known == nil {
		known = &state{}
		b.states[server.ID()] = known
	}
	return known
}

func (b *Balancer) cost(now time.Time, query Query, server backend.Server, known *state, home string) time.Duration {
	slots := server.Slots()
	if slots == 0 {
		slots = plainSlots
	}
	taken := known.taken(now)
	cost := time.Duration(taken / float64(slots) * float64(fullDelay))
	if over := taken - float64(slots) + 1; over > 0 {
		cost += time.Duration(over * float64(queueDelay))
	}
	if server.Zone() != b.zone {
		cost += zoneDelay
	}
	if home != "" && server.ID() != home {
		if b.homes.Contains(query.Key) {
			cost += awayDelay
		} else {
			cost += spreadDelay
		}
	}
	if now.Sub(known.failedAt) < failureTime {
		cost += failureDelay
	}
	return cost
}

// taken estimates how many requests are at the server: those of this hall, and
// what others had there at the last report.
func (s *state) taken(now time.Time) float64 {
	others := float64(s.reported.Running + s.reported.Waiting - s.ownThen)
	if others <= 0 {
		return float64(s.outstanding)
	}
	age := now.Sub(s.reportedAt)
	return float64(s.outstanding) + others*float64(reportHalfLife)/float64(reportHalfLife+age)
}

// bears reports whether a cold server may be given one more request by this
// hall. Where halls are so many that each may send less than one a second, they send
// at intervals that begin at random, so that they don't send together.
func (s *state) bears(now time.Time, service *catalog.Service, halls int) bool {
	if interval := coldInterval(service, halls); interval > coldSpan {
		if now.Sub(s.coldNext) > interval {
			s.coldNext = now.Add(rand.N(interval))
		}
		return !now.Before(s.coldNext)
	}
	first := 0
	for first < len(s.coldSends) && now.Sub(s.coldSends[first]) > coldSpan {
		first++
	}
	s.coldSends = s.coldSends[first:]
	if service.ColdRate <= 0 {
		return true
	}
	return float64(len(s.coldSends)+1) <= service.ColdRate/float64(max(1, halls))
}

// sendCold takes in that a cold server is given a request.
func (s *state) sendCold(now time.Time, service *catalog.Service, halls int) {
	s.coldSends = append(s.coldSends, now)
	s.coldNext = now.Add(coldInterval(service, halls))
}

// coldInterval returns the time between two requests of one hall to a cold server,
// zero if any rate is borne.
func coldInterval(service *catalog.Service, halls int) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	return time.Duration(float64(max(1, halls)) / service.ColdRate * float64(time.Second))
}

// forget drops what is known of servers that are gone.
func (b *Balancer) forget(list *backend.List) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for id, known := range b.states {
		if _, found := list.Lookup(id); !found && known.outstanding == 0 {
			delete(b.states, id)
		}
	}
}

// PickSplit chooses one of the services by weight; the same name leads to the
// same service.
func PickSplit(splits []catalog.Split, name string) string {
	total := 0
	for _, split := range splits {
		total += max(0, split.Weight)
	}
	if total == 0 {
		return ""
	}
	place := int(xxhash.Sum64String(name) % uint64(total))
	for _, split := range splits {
		place -= max(0, split.Weight)
		if place < 0 {
			return split.Service
		}
	}
	return ""
}
