package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"limpethall.dev/kernel/backend"
)

const (
	// objectCacheSize bounds the number of objects whose server is remembered.
	objectCacheSize = 8192
	// initialObjectGain applies until responses show how much faster a server is that has
	// handled the object before.
	initialObjectGain = 10 * time.Millisecond
	maxObjectGain     = 100 * time.Millisecond
	// knownServerCost, secondChoiceCost are portions of the gain that another server than
	// the first choice for the object is expected to lose: one that this hall sent the
	// object to, and the one that gets it if the first choice is full.
	knownServerCost  = 0.25
	secondChoiceCost = 0.5
)

// objectCache estimates which servers have handled which objects. The balancer's mutex
// guards it.
type objectCache struct {
	servers  *lru.Cache[string, string] // Object to ID of the server that handled it last.
	hitTime  float64                    // Mean seconds of requests at servers that had handled the object.
	missTime float64
}

func newObjectCache() *objectCache {
	servers, err := lru.New[string, string](objectCacheSize)
	if err != nil {
		panic(err) // Only returned for a size that is not positive.
	}
	return &objectCache{servers: servers, hitTime: initialObjectGain.Seconds(), missTime: 2 * initialObjectGain.Seconds()}
}

// objectEstimate is what a request that concerns one object costs more at servers that
// have not handled the object.
type objectEstimate struct {
	first  string // First choice of all halls, empty if there is no object.
	second string
	known  string // Server that this hall sent the object to, empty if there is none.
	gain   time.Duration
}

// estimate returns the servers of the object. All halls agree on the first and second
// choice by rendezvous hashing over the servers of all zones.
func (c *objectCache) estimate(query Query, usable []backend.Server) objectEstimate {
	if query.Object == "" {
		return objectEstimate{}
	}
	estimate := objectEstimate{gain: c.gain()}
	estimate.known, _ = c.servers.Get(objectKey(query))
	key := xxhash.Sum64String(query.Object)
	firstScore, secondScore := uint64(0), uint64(0)
	for _, server := range usable {
		switch score := rendezvousScore(server.ID(), key); {
		case estimate.first == "" || score > firstScore:
			estimate.second, secondScore = estimate.first, firstScore
			estimate.first, firstScore = server.ID(), score
		case estimate.second == "" || score > secondScore:
			estimate.second, secondScore = server.ID(), score
		}
	}
	return estimate
}

// delay returns how much longer the request is expected to take at the server.
func (e objectEstimate) delay(serverID string) time.Duration {
	cost := 1.0
	switch {
	case e.first == "", serverID == e.first:
		return 0
	case serverID == e.known:
		cost = knownServerCost
	case serverID == e.second:
		cost = secondChoiceCost
	}
	return time.Duration(cost * float64(e.gain))
}

func objectKey(query Query) string { return query.Service.Name + "\x00" + query.Object }

// gain returns how much faster servers are that have handled the object before.
func (c *objectCache) gain() time.Duration {
	gain := time.Duration((c.missTime - c.hitTime) * float64(time.Second))
	return min(maxObjectGain, max(0, gain))
}

// record records that a server handled the object, and in which time. What a request
// takes at the first choice says nothing if this hall has not sent it there before, as
// other halls may have.
func (c *objectCache) record(query Query, serverID string, firstChoice bool, duration time.Duration) {
	before, _ := c.servers.Get(objectKey(query))
	switch {
	case before == serverID:
		c.hitTime += measurementGain * (duration.Seconds() - c.hitTime)
	case !firstChoice:
		c.missTime += measurementGain * (duration.Seconds() - c.missTime)
	}
	c.servers.Add(objectKey(query), serverID)
}
