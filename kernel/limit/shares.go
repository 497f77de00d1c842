package limit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// TotalParts is the maximum sum of the parts of all shares. It stands for the whole
// rate and burst.
const TotalParts = 1_000_000

// Share is the fraction of every workspace's rate and burst that one hall holds.
type Share struct {
	hall        string
	incarnation uint64
	parts       int64
	epoch       uint64
}

// Hall returns the name of the holder.
func (s Share) Hall() string { return s.hall }

// Incarnation returns the incarnation of the holder.
func (s Share) Incarnation() uint64 { return s.incarnation }

// Parts returns the size of the share in parts of TotalParts.
func (s Share) Parts() int64 { return s.parts }

// Shares is the share table of all halls. It is stored as one document in the
// key-value store and changed by compare-and-swap. Methods that change shares return
// a new table and never raise the total.
type Shares struct {
	holders []Share
}

// NewShares returns a table in which one hall holds TotalParts. It may only be
// written if no table exists.
func NewShares(hall string, incarnation uint64) Shares {
	return Shares{holders: []Share{{hall: hall, incarnation: incarnation, parts: TotalParts}}}
}

// Holders returns the shares, sorted by hall.
func (s Shares) Holders() []Share { return slices.Clone(s.holders) }

// Lookup returns the share of one incarnation of a hall.
func (s Shares) Lookup(hall string, incarnation uint64) (Share, bool) {
	index := s.index(hall)
	if index < 0 || s.holders[index].incarnation != incarnation {
		return Share{}, false
	}
	return s.holders[index], true
}

// LookupHall returns the share of a hall, whichever incarnation holds it.
func (s Shares) LookupHall(hall string) (Share, bool) {
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

// Confirm adds a hall with no parts, or increments the epoch of its share. Each hall
// writes this after a registration, so that the compare-and-swap of a hall that
// considered it dead in the meantime fails. A newer incarnation takes over the parts
// of an earlier one, which no longer runs.
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

// Transfer moves parts between two holders, at most those that the source has.
func (s Shares) Transfer(from, to string, parts int64) Shares {
	next := s.clone()
	source, target := next.index(from), next.index(to)
	if source < 0 || target < 0 || source == target {
		return next
	}
	parts = min(parts, next.holders[source].parts)
	next.holders[source].parts -= parts
	next.holders[target].parts += parts
	return next
}

// Remove removes a hall and transfers its parts to the successor. The caller must
// have proof that the removed hall can no longer spend them.
func (s Shares) Remove(hall, successor string) Shares {
	next := s.Transfer(hall, successor, TotalParts)
	if index := next.index(hall); index >= 0 && next.holders[index].parts == 0 {
		next.holders = slices.Delete(next.holders, index, index+1)
	}
	return next
}

// PlanTransfer returns how many parts a hall should transfer, and to which hall, so
// that the shares converge to the average. The target is the hall with the smallest
// share. A transfer is at most half of the difference between the two shares, and
// transfers of up to 1% of TotalParts are not made.
func (s Shares) PlanTransfer(hall string) (target string, parts int64) {
	own := s.index(hall)
	if own < 0 || len(s.holders) < 2 {
		return "", 0
	}
	smallest := own
	for index := range s.holders {
		if s.holders[index].parts < s.holders[smallest].parts {
			smallest = index
		}
	}
	average := s.Total() / int64(len(s.holders))
	parts = min(s.holders[own].parts-average, average-s.holders[smallest].parts)
	if smallest == own || parts <= TotalParts/100 {
		return "", 0
	}
	return s.holders[smallest].hall, parts
}

type shareDocument struct {
	Hall        string `json:"hall"`
	Incarnation uint64 `json:"incarnation"`
	Parts       int64  `json:"parts"`
	Epoch       uint64 `json:"epoch"`
}

// MarshalJSON encodes the table as it is stored.
func (s Shares) MarshalJSON() ([]byte, error) {
	documents := make([]shareDocument, 0, len(s.holders))
	for _, holder := range s.holders {
		documents = append(documents, shareDocument{Hall: holder.hall, Incarnation: holder.incarnation, Parts: holder.parts, Epoch: holder.epoch})
	}
	return json.Marshal(documents)
}

// UnmarshalJSON decodes a stored table. It rejects a table of more than TotalParts.
func (s *Shares) UnmarshalJSON(data []byte) error {
	var documents []shareDocument
	if err := json.Unmarshal(data, &documents); err != nil {
		return err
	}
	shares := Shares{}
	for _, document := range documents {
		shares.holders = append(shares.holders, Share{hall: document.Hall, incarnation: document.Incarnation, parts: document.Parts, epoch: document.Epoch})
	}
	if total := shares.Total(); total > TotalParts {
		return fmt.Errorf("share table holds %d parts, more than the maximum of %d", total, TotalParts)
	}
	*s = shares
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
