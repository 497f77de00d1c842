// Package callerid bounds the length of IDs that callers choose, such as those of programs and
// turns, because hosts keep them for longer than a request.
//
// # Usage
//
//	program := callerid.Bound(r.Header.Get("X-Program-Id"))
//	stored := callerid.OfEvent(program, turn, "12")
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
	// eventPrefix starts the ID of an event. No ID from a header contains it.
	eventPrefix = "\x03"
	// eventHashBytes is the part of the hash that is used in the ID of an event.
	eventHashBytes = 16
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

// OfEvent returns the ID under which an event of a turn's stream is stored. Callers choose the
// IDs of programs and turns, so they are hashed: no other program has an event with this ID.
func OfEvent(program, turn, event string) string {
	sum := sha256.Sum256([]byte(program + "\x00" + turn))
	return eventPrefix + hex.EncodeToString(sum[:eventHashBytes]) + Bound(event)
}
