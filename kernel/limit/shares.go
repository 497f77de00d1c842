package limit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// WholeParts is the number of parts that all shares together may reach.
const WholeParts = 1_000_000

// Share is the part of every row that one hall holds.
type Share struct {
	hall        string
	incarnation uint64
	parts       int64
	epoch       uint64
}

// Hall returns the holder's name.
func (s Share) Hall() string { return s.hall }

// Incarnation returns the holder's incarnation.
func (s Share) Incarnation() uint64 { return s.incarnation }

// Parts returns how many of WholeParts the holder has.
func (s Share) Parts() int64 { return s.parts }

// Shares is the share table of all halls. It is changed by compare-and-swap
// of one document in the key-value service; the methods return the changed
// table and never raise the total.
type Shares struct {
	holders []Share
}

// NewShares returns the table in which one hall has everything. It may only
// be written where no table exists.
func NewShares(hall string, incarnation uint64) Shares {
	return Shares{holders: []Share{{hall: hall, incarnation: incarnation, parts: WholeParts}}}
}

// Holders returns the shares in order of hall.
func (s Shares) Holders() []Share { return slices.Clone(s.holders) }

// Of returns the share of a hall in an incarnation.
func (s Shares) Of(hall string, incarnation uint64) (Share, bool) {
	index := s.index(hall)
	if index < 0 || s.holders[index].incarnation != incarnation {
		return Share{}, false
	}
	return s.holders[index], true
}

// OfHall returns the share of a hall in whatever incarnation.
func (s Shares) OfHall(hall string) (Share, bool) {
	index := s.index(hall)
	if index < 0 {
		return Share{}, false
	}
	return s.holders[index], true
}

// Total returns the sum of all parts.
func (s Shares) Total() int64 {
	total := int64(0)
	for _, holder := range s.holders {
		total += holder.parts
	}
	return total
}

// Confirm adds a hall without parts, or raises the epoch of its share. A hall
// does so after each registration: a writer that meanwhile took the hall for
// dead then loses its compare-and-swap. An earlier incarnation's parts pass to
// the newer one, since the earlier one no longer runs.
func (s Shares) Confirm(hall string, incarnation uint64) Shares {
	next := s.clone()
	index := next.index(hall)
	if index < 0 {
		next.holders = append(next.holders, Share{hall: hall, incarnation: incarnation})
		next.sort()
		return next
	}
	if next.holders[index].incarnation <= incarnation {
		next.holders[index].incarnation = incarnation
		next.holders[index].epoch++
	}
	return next
}

// Give moves parts between two holders.
func (s Shares) Give(from, to string, parts int64) Shares {
	next := s.clone()
	giver, taker := next.index(from), next.index(to)
	if giver < 0 || taker < 0 || giver == taker {
		return next
	}
	parts = min(parts, next.holders[giver].parts)
	next.holders[giver].parts -= parts
	next.holders[taker].parts += parts
	return next
}

// Remove takes a hall out and gives its parts to the one who removes it. The
// caller must have proof that the removed hall cannot spend them.
func (s Shares) Remove(hall, heir string) Shares {
	next := s.Give(hall, heir, WholeParts)
	if index := next.index(hall); index >= 0 && next.holders[index].parts == 0 {
		next.holders = slices.Delete(next.holders, index, index+1)
	}
	return next
}

// Surplus returns how many parts a hall should give away and to whom, so that
// all come near the same share. It gives at most half of the difference, to
// the poorest hall.
func (s Shares) Surplus(hall string) (poorest string, parts int64) {
	own := s.index(hall)
	if own < 0 || len(s.holders) < 2 {
		return "", 0
	}
	poor := own
	for index := range s.holders {
		if s.holders[index].parts < s.holders[poor].parts {
			poor = index
		}
	}
	fair := s.Total() / int64(len(s.holders))
	parts = min(s.holders[own].parts-fair, fair-s.holders[poor].parts)
	if poor == own || parts <= WholeParts/100 {
		return "", 0
	}
	return s.holders[poor].hall, parts
}

type shareDocument struct {
	Hall        string `json:"hall"`
	Incarnation uint64 `json:"incarnation"`
	Parts       int64  `json:"parts"`
	Epoch       uint64 `json:"epoch"`
}

// MarshalJSON writes the table in its stored form.
func (s Shares) MarshalJSON() ([]byte, error) {
	documents := make([]shareDocument, 0, len(s.holders))
	for _, holder := range s.holders {
		documents = append(documents, shareDocument{Hall: holder.hall, Incarnation: holder.incarnation, Parts: holder.parts, Epoch: holder.epoch})
	}
	return json.Marshal(documents)
}

// UnmarshalJSON reads the table and refuses one that exceeds the whole.
func (s *Shares) UnmarshalJSON(text []byte) error {
	var documents []shareDocument
	if err := json.Unmarshal(text, &documents); err != nil {
		return err
	}
	read := Shares{}
	for _, document := range documents {
		read.holders = append(read.holders, Share{hall: document.Hall, incarnation: document.Incarnation, parts: document.Parts, epoch: document.Epoch})
	}
	if total := read.Total(); total > WholeParts {
		return fmt.Errorf("share table holds %d parts, more than the whole of %d", total, WholeParts)
	}
	*s = read
	return nil
}

func (s Shares) index(hall string) int {
	return slices.IndexFunc(s.holders, func(holder Share) bool { return holder.hall == hall })
}

func (s Shares) clone() Shares {
	return Shares{holders: slices.Clone(s.holders)}
}

func (s Shares) sort() {
	slices.SortFunc(s.holders, func(a, b Share) int { return strings.Compare(a.hall, b.hall) })
}
