package dispatch

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// rememberedPrefixes is how many prompt prefixes a hall remembers.
const rememberedPrefixes = 16_384

// Prefixes remembers which server last computed a prompt prefix, for calls
// that belong to no program. It is safe for concurrent use.
type Prefixes struct {
	known *lru.Cache[uint64, heldPrefix]
}

type heldPrefix struct {
	server string
	tokens int64
}

// NewPrefixes returns an empty memory.
func NewPrefixes() (*Prefixes, error) {
	known, err := lru.New[uint64, heldPrefix](rememberedPrefixes)
	if err != nil {
		return nil, err
	}
	return &Prefixes{known: known}, nil
}

// Find returns the server that holds the longest known prefix of the messages
// and how many tokens it has, or no server.
func (p *Prefixes) Find(workspace string, messages [][]byte) (server string, tokens int64) {
	chain := chainOf(workspace, messages)
	for index := len(chain) - 1; index >= 0; index-- {
		if held, found := p.known.Get(chain[index]); found {
			return held.server, held.tokens
		}
	}
	return "", 0
}

// Remember notes that a server now holds the messages.
func (p *Prefixes) Remember(workspace string, messages [][]byte, server string, tokens int64) {
	if chain := chainOf(workspace, messages); len(chain) > 0 {
		p.known.Add(chain[len(chain)-1], heldPrefix{server: server, tokens: tokens})
	}
}

// chainOf returns a digest for each prefix. Workspaces never share one.
func chainOf(workspace string, messages [][]byte) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace + "\x00")
	chain := make([]uint64, 0, len(messages))
	for _, message := range messages {
		_, _ = digest.Write(message)
		_, _ = digest.WriteString("\x00")
		chain = append(chain, digest.Sum64())
	}
	return chain
}
