package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

const (
	// promptCacheSize bounds the number of prompt prefixes whose servers are remembered.
	promptCacheSize = 16_384
	// maxHolders bounds the servers that are remembered for one prompt prefix.
	maxHolders = 8
	// maxHeads bounds the number of shared first parts whose use is measured.
	maxHeads = 1024
	// maxAgreed bounds the first parts whose servers are remembered. Others are computed
	// at each use.
	maxAgreed = 128
	// headHalfLife is the time after which a use of a first part has half its weight.
	headHalfLife = 5 * time.Second
	// headUpdateInterval is the interval at which the use of first parts is summed up.
	headUpdateInterval = 500 * time.Millisecond
	// sharedMemory is the portion of a server's memory that shared first parts may take.
	// The rest is left to running requests and to histories of programs.
	sharedMemory = 0.25
	// loadReserve is how much more load than a first part's measured share its servers
	// can take.
	loadReserve = 2
	// priorUses is the weight of the assumption about first parts that holds until uses
	// are measured.
	priorUses = 16
	// minHeadServers is the least number of servers in a zone for one first part.
	minHeadServers = 2
	// initialReadSpeed, in tokens per second, applies until responses show the speed.
	initialReadSpeed = 200_000
	minReadSpeed     = 10_000
	maxReadSpeed     = 5_000_000
	// minMeasuredTokens is the least number of tokens of which the reading time is
	// measured. The time of shorter prompts is mostly that of other work.
	minMeasuredTokens = 2000
	// maxUnreadTokens is the largest number of tokens that a server reads in no time
	// worth mentioning.
	maxUnreadTokens = 200
	// initialLatency applies until responses show the latency without reading.
	initialLatency = 20 * time.Millisecond
	// measurementGain is the weight of a measurement in an average.
	measurementGain = 0.05
)

// PromptPart is a part of a prompt that other requests may share. A server that holds it
// and all parts before it does not read it again.
type PromptPart struct {
	id     uint64
	tokens int64
}

// NewPromptPart returns the part with this ID and number of tokens.
func NewPromptPart(id string, tokens int64) PromptPart {
	return PromptPart{id: xxhash.Sum64String(id), tokens: tokens}
}

// Tokens returns the number of tokens.
func (p PromptPart) Tokens() int64 { return p.tokens }

// headUse is the measured use of one first part at the servers of one service.
type headUse struct {
	service  string
	tokens   int64
	weight   float64 // Number of uses, each weighted by its age.
	measured time.Time
}

// decay reduces the weight to that of the given time.
func (u *headUse) decay(now time.Time) {
	u.weight *= math.Exp2(-float64(now.Sub(u.measured)) / float64(headHalfLife))
	u.measured = now
}

// headTotals sums up the use of all first parts at the servers of one service.
type headTotals struct {
	weight float64
	tokens int64
}

// headServers are the servers that are to hold one first part.
type headServers struct {
	generation uint64 // Of the list of servers.
	portion    float64
	ids        map[string]bool
}

// promptCache estimates which servers hold which prompts. It knows what this hall sent to
// them. For what other halls sent, all halls agree on a set of servers for each first
// part. The balancer's mutex guards it.
type promptCache struct {
	holders    *lru.Cache[uint64, []holder] // By digest of the parts so far, the latest reader first.
	heads      *lru.Cache[uint64, *headUse] // By digest of service and first part, as servers.
	servers    *lru.Cache[uint64, headServers]
	generation uint64 // Incremented with each list of servers.
	updatedAt  time.Time
	totals     map[string]headTotals // By service.
	speed      float64               // Tokens per second.
	latency    float64               // Seconds until a response begins for which nothing is read.
}

// holder is a server that has read the last part of a prompt prefix. A part may have
// grown since.
type holder struct {
	serverID string
	tokens   int64 // Of the last part.
}

func newPromptCache() *promptCache {
	return &promptCache{
		holders: newCache[[]holder](promptCacheSize), heads: newCache[*headUse](maxHeads), servers: newCache[headServers](maxAgreed),
		speed: initialReadSpeed, latency: initialLatency.Seconds(),
	}
}

func newCache[V any](size int) *lru.Cache[uint64, V] {
	cache, err := lru.New[uint64, V](size)
	if err != nil {
		panic(err) // Only returned for a size that is not positive.
	}
	return cache
}

// promptEstimate is what each server would have to read of one prompt.
type promptEstimate struct {
	total      int64
	headTokens int64
	agreed     map[string]bool // Servers that are to hold the first part.
	held       map[string]int64
	speed      float64
}

// estimate returns what servers would have to read of the prompt.
func (c *promptCache) estimate(now time.Time, prompt []PromptPart, list *backend.List, service *catalog.Service) promptEstimate {
	estimate := promptEstimate{speed: c.speed}
	if len(prompt) == 0 {
		return estimate
	}
	estimate.headTokens = prompt[0].tokens
	digests := prefixDigests(service.Name, prompt)
	if len(prompt) > 1 {
		estimate.agreed = c.agreedServers(now, digests[0], list, service)
	}
	estimate.held = make(map[string]int64)
	for index, part := range prompt {
		holders, _ := c.holders.Get(digests[index])
		for _, known := range holders {
			estimate.held[known.serverID] = estimate.total + min(known.tokens, part.tokens)
		}
		estimate.total += part.tokens
	}
	return estimate
}

// tokens returns how many tokens the server would have to read.
func (e promptEstimate) tokens(serverID string) int64 {
	held := e.held[serverID]
	if e.agreed[serverID] {
		held = max(held, e.headTokens)
	}
	return e.total - held
}

// delay returns the time in which the server would read the tokens.
func (e promptEstimate) delay(tokens int64) time.Duration {
	if tokens == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.speed * float64(time.Second))
}

// prefixDigests returns a digest for each prefix of the prompt, the shortest first.
func prefixDigests(service string, prompt []PromptPart) []uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(service)
	digests := make([]uint64, 0, len(prompt))
	var buffer [8]byte
	for _, part := range prompt {
		binary.LittleEndian.PutUint64(buffer[:], part.id)
		_, _ = hash.Write(buffer[:])
		digests = append(digests, hash.Sum64())
	}
	return digests
}

// recordRead records that a server has read the prompt.
func (c *promptCache) recordRead(now time.Time, service *catalog.Service, prompt []PromptPart, serverID string) {
	if len(prompt) == 0 {
		return
	}
	digests := prefixDigests(service.Name, prompt)
	for index, digest := range digests {
		holders, _ := c.holders.Get(digest)
		updated := make([]holder, 0, min(len(holders)+1, maxHolders))
		updated = append(updated, holder{serverID: serverID, tokens: prompt[index].tokens})
		for _, known := range holders {
			if known.serverID != serverID && len(updated) < maxHolders {
				updated = append(updated, known)
			}
		}
		c.holders.Add(digest, updated)
	}
	if len(prompt) > 1 {
		c.recordHead(now, digests[0], prompt[0].tokens, service)
	}
}

// recordHead counts one use of a first part.
func (c *promptCache) recordHead(now time.Time, head uint64, tokens int64, service *catalog.Service) {
	use, found := c.heads.Get(head)
	if !found {
		use = &headUse{service: service.Name, measured: now}
		c.heads.Add(head, use)
	}
	use.decay(now)
	use.tokens = tokens
	use.weight++
}

// updateHeads sums up the use of all first parts. Those that are hardly used any more are
// dropped.
func (c *promptCache) updateHeads(now time.Time) {
	if now.Sub(c.updatedAt) < headUpdateInterval {
		return
	}
	c.updatedAt = now
	c.totals = make(map[string]headTotals)
	for _, head := range c.heads.Keys() {
		use, _ := c.heads.Peek(head)
		use.decay(now)
		if use.weight < 1.0/16 {
			c.heads.Remove(head)
			continue
		}
		totals := c.totals[use.service]
		totals.weight += use.weight
		totals.tokens += use.tokens
		c.totals[use.service] = totals
	}
}

// agreedServers returns the servers that are to hold a first part. They are the first ones
// of each zone by rendezvous hashing, so that halls which share no memory agree on them.
func (c *promptCache) agreedServers(now time.Time, head uint64, list *backend.List, service *catalog.Service) map[string]bool {
	c.updateHeads(now)
	portion := c.portion(head, service)
	known, found := c.servers.Get(head)
	if found && known.generation == c.generation && math.Abs(known.portion-portion) < portion/8 {
		return known.ids
	}
	byZone := make(map[string][]rankedServer)
	for _, server := range list.Usable(service.Name) {
		byZone[server.Zone()] = append(byZone[server.Zone()], rankedServer{id: server.ID(), score: rendezvousScore(server.ID(), head)})
	}
	ids := make(map[string]bool)
	for _, servers := range byZone {
		slices.SortFunc(servers, func(a, b rankedServer) int { return cmp.Compare(b.score, a.score) })
		count := max(minHeadServers, int(math.Ceil(portion*float64(len(servers)))))
		for _, server := range servers[:min(count, len(servers))] {
			ids[server.id] = true
		}
	}
	c.servers.Add(head, headServers{generation: c.generation, portion: portion, ids: ids})
	return ids
}

// rankedServer is a server with its score for a key.
type rankedServer struct {
	id    string
	score uint64
}

func rendezvousScore(serverID string, key uint64) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	hash := xxhash.New()
	_, _ = hash.WriteString(serverID)
	_, _ = hash.Write(buffer[:])
	return hash.Sum64()
}

// portion returns the portion of a zone's servers that are to hold a first part. It is as
// large as their memory allows if all first parts in use are spread evenly, and large
// enough for the measured share of the part. Until enough uses are measured, first parts
// are assumed to fill the memory of a server.
func (c *promptCache) portion(head uint64, service *catalog.Service) float64 {
	if service.CacheTokens <= 0 {
		return 1
	}
	memory := float64(service.CacheTokens)
	totals := c.totals[service.Name]
	tokens := (totals.weight*float64(totals.tokens) + priorUses*memory) / (totals.weight + priorUses)
	portion := sharedMemory * memory / tokens
	if use, found := c.heads.Peek(head); found {
		portion = max(portion, loadReserve*use.weight/(totals.weight+priorUses))
	}
	return min(1, portion)
}

// recordSpeed records in which time a server began to respond after it had to read the
// tokens.
func (c *promptCache) recordSpeed(tokens int64, duration time.Duration) {
	switch reading := duration.Seconds() - c.latency; {
	case tokens <= maxUnreadTokens:
		c.latency += measurementGain * reading
	case tokens >= minMeasuredTokens && reading > 0:
		measured := min(maxReadSpeed, max(minReadSpeed, float64(tokens)/reading))
		c.speed += measurementGain * (measured - c.speed)
	}
}
