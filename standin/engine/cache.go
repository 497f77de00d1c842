package engine

import (
	"slices"
	"sync"
)

// cache is the prefix cache: message prefixes by digest. It evicts the least
// recently used prefix first, and prefixes of pinned programs only after all
// others.
type cache struct {
	mutex    sync.Mutex
	capacity int64
	used     int64
	clock    int64 // Logical time; advances with each insertion.
	entries  map[uint64]*cacheEntry
	pins     map[string]bool
	seen     *Seen
}

// Seen records the prefixes that any engine has cached, to count the tokens
// that are computed again. The engines of one deployment share it.
type Seen struct {
	mutex   sync.Mutex
	digests map[uint64]bool
}

// NewSeen returns an empty record.
func NewSeen() *Seen {
	return &Seen{digests: make(map[uint64]bool)}
}

// add records a prefix and reports whether it was recorded before.
func (s *Seen) add(digest uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.digests[digest]
	s.digests[digest] = true
	return known
}

type cacheEntry struct {
	tokens   int64
	lastUsed int64
	pinnedBy map[string]bool // Cache keys.
}

func newCache(capacity int64, seen *Seen) *cache {
	if seen == nil {
		seen = NewSeen()
	}
	c := &cache{capacity: capacity, seen: seen}
	c.clear()
	return c
}

func (c *cache) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.entries = make(map[uint64]*cacheEntry)
	c.pins = make(map[string]bool)
	c.used = 0
}

// lookupAndInsert looks up the prefixes of a prompt and then inserts them. It
// returns the number of prompt tokens, how many of them were cached, and how
// many were computed although an engine of the deployment had cached them
// before.
func (c *cache) lookupAndInsert(digests []uint64, sizes []int64, cacheKey string) (prompt, cached, wasted int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hit := true
	for index, digest := range digests {
		prompt += sizes[index]
		_, found := c.entries[digest]
		hit = hit && found
		known := c.seen.add(digest)
		switch {
		case hit:
			cached += sizes[index]
		case known:
			wasted += sizes[index]
		}
	}
	c.insertLocked(digests, sizes, cacheKey)
	return prompt, cached, wasted
}

func (c *cache) insert(digests []uint64, sizes []int64, cacheKey string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.insertLocked(digests, sizes, cacheKey)
}

// insertLocked inserts prefixes, or updates when they were last used, and pins
// them under the cache key unless it is empty.
func (c *cache) insertLocked(digests []uint64, sizes []int64, cacheKey string) {
	c.clock++
	if cacheKey != "" {
		c.pins[cacheKey] = true
	}
	for index, digest := range digests {
		entry, found := c.entries[digest]
		if !found {
			c.seen.add(digest)
			entry = &cacheEntry{tokens: sizes[index], pinnedBy: make(map[string]bool)}
			c.entries[digest] = entry
			c.used += sizes[index]
		}
		entry.lastUsed = c.clock
		if cacheKey != "" {
			entry.pinnedBy[cacheKey] = true
		}
	}
	c.evict()
}

// evict removes the least recently used prefixes until the rest fits the
// capacity, those of pinned programs last.
func (c *cache) evict() {
	for c.used > c.capacity {
		var victimDigest uint64
		var victim *cacheEntry
		for digest, entry := range c.entries {
			if victim == nil || entry.evictedBefore(victim) {
				victimDigest, victim = digest, entry
			}
		}
		if victim == nil {
			return
		}
		delete(c.entries, victimDigest)
		c.used -= victim.tokens
	}
}

func (e *cacheEntry) evictedBefore(other *cacheEntry) bool {
	if (len(e.pinnedBy) == 0) != (len(other.pinnedBy) == 0) {
		return len(e.pinnedBy) == 0
	}
	return e.lastUsed < other.lastUsed
}

// unpin lets the prefixes that were pinned under a cache key be evicted.
func (c *cache) unpin(cacheKey string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pins, cacheKey)
	for _, entry := range c.entries {
		delete(entry.pinnedBy, cacheKey)
	}
	c.evict()
}

// pinned returns the pinned cache keys, sorted.
func (c *cache) pinned() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	keys := make([]string, 0, len(c.pins))
	for cacheKey := range c.pins {
		keys = append(keys, cacheKey)
	}
	slices.Sort(keys)
	return keys
}
