package engine

import (
	"slices"
	"sync"
)

// cache is the prefix cache: message prefixes by digest, the least recently
// used evicted first, those of pinned programs never.
type cache struct {
	mutex    sync.Mutex
	capacity int64
	used     int64
	clock    int64
	entries  map[uint64]*cacheEntry
	pins     map[string]bool
	seen     *Seen
}

// Seen remembers the prefixes that some engine has held, to count what is
// computed again. The engines of one deployment share it.
type Seen struct {
	mutex   sync.Mutex
	digests map[uint64]bool
}

// NewSeen returns an empty memory.
func NewSeen() *Seen {
	return &Seen{digests: make(map[uint64]bool)}
}

// note adds a prefix and reports whether it was there.
func (s *Seen) note(digest uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.digests[digest]
	s.digests[digest] = true
	return known
}

type cacheEntry struct {
	tokens int64
	last   int64
	owners map[string]bool
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

// use looks up and then holds a prompt. It returns its tokens, how many of
// them were cached, and how many were computed although some engine of the
// deployment had held them.
func (c *cache) use(chain []uint64, sizes []int64, owner string) (prompt, cached, wasted int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hit := true
	for index, digest := range chain {
		prompt += sizes[index]
		_, found := c.entries[digest]
		hit = hit && found
		known := c.seen.note(digest)
		switch {
		case hit:
			cached += sizes[index]
		case known:
			wasted += sizes[index]
		}
	}
	c.hold(chain, sizes, owner)
	return prompt, cached, wasted
}

func (c *cache) add(chain []uint64, sizes []int64, owner string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hold(chain, sizes, owner)
}

func (c *cache) hold(chain []uint64, sizes []int64, owner string) {
	c.clock++
	if owner != "" {
		c.pins[owner] = true
	}
	for index, digest := range chain {
		entry, found := c.entries[digest]
		if !found {
			c.seen.note(digest)
			entry = &cacheEntry{tokens: sizes[index], owners: make(map[string]bool)}
			c.entries[digest] = entry
			c.used += sizes[index]
		}
		entry.last = c.clock
		if owner != "" {
			entry.owners[owner] = true
		}
	}
	c.evict()
}

// evict drops the least recently used prefixes, those of pinned programs last.
func (c *cache) evict() {
	for c.used > c.capacity {
		var oldest uint64
		var found *cacheEntry
		for digest, entry := range c.entries {
			if found == nil || entry.before(found) {
				oldest, found = digest, entry
			}
		}
		if found == nil {
			return
		}
		delete(c.entries, oldest)
		c.used -= found.tokens
	}
}

func (e *cacheEntry) before(other *cacheEntry) bool {
	if (len(e.owners) == 0) != (len(other.owners) == 0) {
		return len(e.owners) == 0
	}
	return e.last < other.last
}

func (c *cache) release(owner string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pins, owner)
	for _, entry := range c.entries {
		delete(entry.owners, owner)
	}
	c.evict()
}

func (c *cache) pinned() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pinned := make([]string, 0, len(c.pins))
	for owner := range c.pins {
		pinned = append(pinned, owner)
	}
	slices.Sort(pinned)
	return pinned
}
