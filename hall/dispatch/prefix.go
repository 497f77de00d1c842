package dispatch

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// prefixCacheSize is the number of prompt prefixes that a hall keeps.
const prefixCacheSize = 16_384

// PrefixCache is an LRU cache of the server that last computed a prompt prefix,
// for calls that belong to no program. It is safe for concurrent use.
type PrefixCache struct {
	cache *lru.Cache[uint64, cachedPrefix]
}

type cachedPrefix struct {
	server string
	tokens int64
}

// NewPrefixCache returns an empty cache.
func NewPrefixCache() (*PrefixCache, error) {
	cache, err := lru.New[uint64, cachedPrefix](prefixCacheSize)
	if err != nil {
		return nil, err
	}
	return &PrefixCache{cache: cache}, nil
}

// Find returns the server that holds the longest cached prefix of the messages
// and the number of its tokens, or an empty name.
func (p *PrefixCache) Find(workspace string, messages [][]byte) (server string, tokens int64) {
	digests := prefixDigests(workspace, messages)
	for index := len(digests) - 1; index >= 0; index-- {
		if prefix, found := p.cache.Get(digests[index]); found {
			return prefix.server, prefix.tokens
		}
	}
	return "", 0
}

// Add records that a server now holds the messages.
func (p *PrefixCache) Add(workspace string, messages [][]byte, server string, tokens int64) {
	if digests := prefixDigests(workspace, messages); len(digests) > 0 {
		p.cache.Add(digests[len(digests)-1], cachedPrefix{server: server, tokens: tokens})
	}
}

// prefixDigests returns a digest for each prefix of the messages. The digest
// includes the workspace, so that workspaces never share a prefix.
func prefixDigests(workspace string, messages [][]byte) []uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(workspace + "\x00")
	digests := make([]uint64, 0, len(messages))
	for _, message := range messages {
		_, _ = hash.Write(message)
		_, _ = hash.WriteString("\x00")
		digests = append(digests, hash.Sum64())
	}
	return digests
}
