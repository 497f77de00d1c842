package limit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TotalParts stands for the whole rate and burst of every workspace.
const TotalParts = 1_000_000

// Holder identifies one registration of one incarnation of a hall that may hold
// slices.
type Holder struct {
	hall         string
	incarnation  uint64
	registration uint64
}

// NewHolder returns a Holder. registration is the version of its holder key in the
// store.
func NewHolder(hall string, incarnation, registration uint64) Holder {
	return Holder{hall: hall, incarnation: incarnation, registration: registration}
}

// Hall returns the name of the hall.
func (h Holder) Hall() string { return h.hall }

// Incarnation returns the incarnation of the hall.
func (h Holder) Incarnation() uint64 { return h.incarnation }

// Registration returns the version of the hall's holder key in the store.
func (h Holder) Registration() uint64 { return h.registration }

// Share is the slices that one hall holds.
type Share struct {
	holder Holder
	slices SliceSet
}

// Hall returns the name of the holder.
func (s Share) Hall() string { return s.holder.hall }

// Holder returns the registration of the hall for which the share was last written.
func (s Share) Holder() Holder { return s.holder }

// Slices returns the slices that the hall holds.
func (s Share) Slices() SliceSet { return s.slices }

// Shares is the share table of all halls. It assigns each slice to at most one hall.
// It is stored as one document in the key-value store and changed by
// compare-and-swap. Methods that change shares return a new table, in which no
// slice has a second holder. A hall that holds no slice needs no entry.
type Shares struct {
	shares []Share
}

// NewShares returns a table in which one hall holds all slices. It may only be
// written if no table exists.
func NewShares(holder Holder) Shares {
	return Shares{shares: []Share{{holder: holder, slices: AllSlices()}}}
}

// All returns the shares, sorted by hall.
func (s Shares) All() []Share { return slices.Clone(s.shares) }

// Lookup returns the share of a hall, whichever incarnation holds it.
func (s Shares) Lookup(hall string) (Share, bool) {
	index := s.index(hall)
	if index < 0 {
		return Share{}, false
	}
	return s.shares[index], true
}

// Owners returns the hall that holds each slice, empty for a slice without one.
func (s Shares) Owners() *Owners {
	owners := &Owners{}
	for _, share := range s.shares {
		for slice := range share.slices.All() {
			owners.halls[slice] = share.holder.hall
		}
	}
	return owners
}

// Confirm sets the registration of a hall's share. Each hall whose entry was written
// for an earlier registration writes this, so that the compare-and-swap of a hall
// that considered it dead in the meantime fails. A newer incarnation takes over the
// slices of an earlier one, which no longer runs.
func (s Shares) Confirm(holder Holder) Shares {
	next := s.clone()
	index := next.index(holder.hall)
	if index >= 0 && next.shares[index].holder.incarnation <= holder.incarnation {
		next.shares[index].holder = holder
	}
	return next
}

// ConfirmAll is Confirm for each of the holders whose registration is later than that of
// its entry.
func (s Shares) ConfirmAll(holders []Holder) Shares {
	next := s.clone()
	for _, holder := range holders {
		index := next.index(holder.hall)
		if index < 0 {
			continue
		}
		if current := next.shares[index].holder; current.incarnation <= holder.incarnation && current.registration < holder.registration {
			next.shares[index].holder = holder
		}
	}
	return next
}

// Transfer moves the slices that the hall holds to another one, which gets an entry
// if it has none. Slices that the hall does not hold stay where they are.
func (s Shares) Transfer(from string, to Holder, moved SliceSet) Shares {
	next := s.clone()
	source := next.index(from)
	if source < 0 || from == to.hall {
		return next
	}
	moved = moved.Intersect(next.shares[source].slices)
	if moved.Len() == 0 {
		return next
	}
	next.shares[source].slices = next.shares[source].slices.Without(moved)
	if target := next.index(to.hall); target >= 0 {
		next.shares[target].slices = next.shares[target].slices.Union(moved)
		return next
	}
	next.shares = append(next.shares, Share{holder: to, slices: moved})
	slices.SortFunc(next.shares, func(a, b Share) int { return strings.Compare(a.holder.hall, b.holder.hall) })
	return next
}

// Remove removes a hall and divides its slices among the successors, those with the
// fewest slices first. The caller must have proof that the removed hall can no
// longer spend them. Without successors the table does not change.
func (s Shares) Remove(hall string, successors []Holder) Shares {
	share, found := s.Lookup(hall)
	if !found {
		return s.clone()
	}
	next := s.deal(hall, share.slices, share.slices.Len(), successors, SliceCount)
	if index := next.index(hall); next.shares[index].slices.Len() == 0 {
		next.shares = slices.Delete(next.shares, index, index+1)
	}
	return next
}

// HasSurplus reports whether a hall holds clearly more than an equal part of the slices
// among a number of live halls. The tolerance avoids transfers with every hall that
// joins.
func (s Shares) HasSurplus(hall string, live int) bool {
	own, _ := s.Lookup(hall)
	equal := SliceCount / max(1, live)
	return live > 0 && own.slices.Len() > max(1, equal+equal/4+1)
}

// Rebalance returns a table in which a hall with a surplus has given it to the live
// halls that hold less than an equal part, all in one step. It returns the slices that
// the hall keeps.
func (s Shares) Rebalance(hall string, live []Holder) (next Shares, kept SliceSet) {
	own, _ := s.Lookup(hall)
	if !s.HasSurplus(hall, len(live)) {
		return s.clone(), own.slices
	}
	equal := max(1, SliceCount/len(live))
	limit := (SliceCount + len(live) - 1) / len(live)
	next = s.deal(hall, own.slices, own.slices.Len()-equal, live, limit)
	remaining, _ := next.Lookup(hall)
	return next, remaining.slices
}

// deal moves up to count slices of a hall to the receivers, filling each up to an
// equal part, but at most to limit. Each receiver gets a contiguous run as far as
// possible, which keeps the slices of one workspace at different halls.
func (s Shares) deal(from string, available SliceSet, count int, receivers []Holder, limit int) Shares {
	next := s.clone()
	receivers = slices.DeleteFunc(slices.Clone(receivers), func(h Holder) bool { return h.hall == from })
	held := make(map[string]int, len(next.shares))
	for _, share := range next.shares {
		held[share.holder.hall] = share.slices.Len()
	}
	slices.SortFunc(receivers, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(held[a.hall], held[b.hall]), strings.Compare(a.hall, b.hall))
	})
	total := count
	for _, receiver := range receivers {
		total += held[receiver.hall]
	}
	for index, receiver := range receivers {
		left := len(receivers) - index
		level := min(limit, (total+left-1)/left)
		total -= max(level, held[receiver.hall])
		part := min(count, level-held[receiver.hall])
		if part <= 0 {
			continue
		}
		moved := available.Last(part)
		available = available.Without(moved)
		count -= part
		next = next.Transfer(from, receiver, moved)
	}
	return next
}

// Owners tells which hall holds each slice. It is immutable.
type Owners struct {
	halls [SliceCount]string
}

// OfWorkspace returns the halls that hold the limits of a workspace, each once.
func (o *Owners) OfWorkspace(workspace string) []string {
	halls := make([]string, 0, slicesPerWorkspace)
	for _, slice := range workspaceSlices(workspace) {
		if hall := o.halls[slice]; hall != "" && !slices.Contains(halls, hall) {
			halls = append(halls, hall)
		}
	}
	return halls
}

// workspaceSlices returns the slices among which the limits of a workspace are
// divided. They are evenly spaced, so that halls which hold contiguous runs hold at
// most one of them each.
func workspaceSlices(workspace string) [slicesPerWorkspace]int {
	const stride = SliceCount / slicesPerWorkspace
	first := int(xxhash.Sum64String(workspace) % stride)
	var indexes [slicesPerWorkspace]int
	for index := range indexes {
		indexes[index] = first + index*stride
	}
	return indexes
}

type shareDocument struct {
	Hall         string   `json:"hall"`
	Incarnation  uint64   `json:"incarnation"`
	Registration uint64   `json:"registration"`
	Slices       SliceSet `json:"slices"`
}

// MarshalJSON encodes the table as it is stored.
func (s Shares) MarshalJSON() ([]byte, error) {
	documents := make([]shareDocument, 0, len(s.shares))
	for _, share := range s.shares {
		documents = append(documents, shareDocument{Hall: share.holder.hall, Incarnation: share.holder.incarnation, Registration: share.holder.registration, Slices: share.slices})
	}
	return json.Marshal(documents)
}

// UnmarshalJSON decodes a stored table. It rejects a table in which a slice has two
// holders.
func (s *Shares) UnmarshalJSON(data []byte) error {
	var documents []shareDocument
	if err := json.Unmarshal(data, &documents); err != nil {
		return err
	}
	shares := Shares{}
	taken := SliceSet{}
	for _, document := range documents {
		if overlap := taken.Intersect(document.Slices); overlap.Len() > 0 {
			return fmt.Errorf("share table assigns slices %s to a second hall, %s", overlap, document.Hall)
		}
		taken = taken.Union(document.Slices)
		shares.shares = append(shares.shares, Share{holder: NewHolder(document.Hall, document.Incarnation, document.Registration), slices: document.Slices})
	}
	*s = shares
	return nil
}

func (s Shares) index(hall string) int {
	return slices.IndexFunc(s.shares, func(share Share) bool { return share.holder.hall == hall })
}

func (s Shares) clone() Shares {
	return Shares{shares: slices.Clone(s.shares)}
}
