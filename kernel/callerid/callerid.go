// Package callerid bounds the length of IDs that callers choose, such as those of programs and
// turns, because hosts keep them for longer than a request.
//
// # Usage
//
//	program := callerid.Bound(r.Header.Get("X-Program-Id"))
package callerid

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// maxBytes is the length up to which an ID is kept as it is.
	maxBytes = 512
	// hashPrefix starts a hashed ID. No ID from a header contains it.
	hashPrefix = "\x02"
)

// Bound returns the ID, or a hash of it if it is long. Equal IDs give equal results, and so do
// results as IDs.
func Bound(id string) string {
	if len(id) <= maxBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hashPrefix + hex.EncodeToString(sum[:])
}
