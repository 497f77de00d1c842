// Package keeping decides which keepers hold what: the replicas of a key are
// the first keepers by rendezvous hashing, spread over availability zones. A
// record counts as stored on Quorum of its Replicas, and any two quorums of one
// replica set have a keeper in common.
//
// # Usage
//
//	rule := keeping.New(tolerance)
//	for _, keeper := range rule.Replicas(keepers, program) { … }
package keeping

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keeper is a host with a disk that stores turns and budgets.
type Keeper struct {
	Name    string
	Zone    string
	Address string
}

// Rule says how many keepers hold a record.
type Rule struct {
	tolerance int
}

// New returns the rule that survives the loss of so many disks at once. Replicas
// lie in zones of their own, so it survives the absence of as many zones too.
func New(tolerance int) Rule { return Rule{tolerance: max(0, tolerance)} }

// Quorum returns on how many keepers a record is stored.
func (r Rule) Quorum() int { return r.tolerance + 1 }

// size returns how many keepers may hold a record.
func (r Rule) size() int { return 2*r.tolerance + 1 }

type ranked struct {
	keeper Keeper
	score  uint64
}

// Replicas returns the keepers that may hold the key, the preferred ones
// first. Fewer are returned where there are fewer.
func (r Rule) Replicas(keepers []Keeper, key string) []Keeper {
	order := make([]ranked, 0, len(keepers))
	var digest xxhash.Digest
	for _, keeper := range keepers {
		digest.Reset()
		_, _ = digest.WriteString(keeper.Name)
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(key)
		order = append(order, ranked{keeper: keeper, score: digest.Sum64()})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return 0
	})
	return r.spread(order)
}

// spread picks in order of rank, no zone a second time before each has been
// picked once.
func (r Rule) spread(order []ranked) []Keeper {
	chosen := make([]Keeper, 0, r.size())
	used := make([]bool, len(order))
	for len(chosen) < min(r.size(), len(order)) {
		zones := make(map[string]bool, len(order))
		for index := range order {
			if used[index] || zones[order[index].keeper.Zone] || len(chosen) == r.size() {
				continue
			}
			used[index] = true
			zones[order[index].keeper.Zone] = true
			chosen = append(chosen, order[index].keeper)
		}
	}
	return chosen
}

// Holds reports whether the named keeper is one of the replicas.
func (r Rule) Holds(keepers []Keeper, key, name string) bool {
	return slices.ContainsFunc(r.Replicas(keepers, key), func(k Keeper) bool { return k.Name == name })
}
