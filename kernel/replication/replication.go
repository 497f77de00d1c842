// Package replication selects the keepers that store a record and maintains the
// list of keepers.
//
// Records belong to placements, such as programs, and placements to a fixed number of
// groups. The replicas of a group are the highest-ranked keepers by rendezvous hashing,
// spread over availability zones. A record counts as stored once a quorum of its
// replicas has it. Any two quorums of a replica set have a keeper in common. A change of
// the list of keepers affects a small number of groups for each keeper, however many
// records there are.
//
// # Usage
//
//	rule := replication.NewRule(tolerance)
//	for _, keeper := range list.Replicas(rule, program) { … }
package replication

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// GroupCount is the number of groups. All processes must use the same one.
const GroupCount = 1024

// Group is a number below GroupCount.
type Group uint16

// GroupOf returns the group of a placement.
func GroupOf(placement string) Group { return Group(xxhash.Sum64String(placement) % GroupCount) }

// Keeper is a host with a disk that stores turns and token reservations.
type Keeper struct {
	Name    string
	Zone    string
	Address string
}

// Rule determines the replicas and the quorum of a record.
type Rule struct {
	tolerance int
}

// NewRule returns the rule that tolerates the loss of the given number of disks
// at once. Replicas are placed in distinct zones if there are enough, so it also
// tolerates the unavailability of as many zones.
func NewRule(tolerance int) Rule { return Rule{tolerance: max(0, tolerance)} }

// Quorum returns the number of replicas that must store a record.
func (r Rule) Quorum() int { return r.tolerance + 1 }

// replicaCount returns the number of replicas of a record.
func (r Rule) replicaCount() int { return 2*r.tolerance + 1 }

// rankedKeeper is a keeper with its score for a group.
type rankedKeeper struct {
	keeper Keeper
	score  uint64
}

// Replicas returns the replicas of the group in order of preference. It returns all
// keepers if there are fewer than the rule requires.
func (r Rule) Replicas(keepers []Keeper, group Group) []Keeper {
	ranking := make([]rankedKeeper, 0, len(keepers))
	suffix := []byte{0, byte(group >> 8), byte(group)}
	var hash xxhash.Digest
	for _, keeper := range keepers {
		hash.Reset()
		_, _ = hash.WriteString(keeper.Name)
		_, _ = hash.Write(suffix)
		ranking = append(ranking, rankedKeeper{keeper: keeper, score: hash.Sum64()})
	}
	slices.SortFunc(ranking, func(a, b rankedKeeper) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return 0
	})
	return r.selectReplicas(ranking)
}

// selectReplicas selects keepers in order of rank, in rounds that take at most one
// from each zone, so that no zone is used twice before each has been used once.
func (r Rule) selectReplicas(ranking []rankedKeeper) []Keeper {
	selected := make([]Keeper, 0, r.replicaCount())
	taken := make([]bool, len(ranking))
	for len(selected) < min(r.replicaCount(), len(ranking)) {
		usedZones := make(map[string]bool, len(ranking))
		for index := range ranking {
			if taken[index] || usedZones[ranking[index].keeper.Zone] || len(selected) == r.replicaCount() {
				continue
			}
			taken[index] = true
			usedZones[ranking[index].keeper.Zone] = true
			selected = append(selected, ranking[index].keeper)
		}
	}
	return selected
}

// Tolerates reports whether each record keeps a replica that has it if the given keepers
// are lost at once: there are no more of them than the tolerance, or they lie in no more
// zones and each record has its replicas in zones of their own.
func (r Rule) Tolerates(keepers, lost []Keeper) bool {
	return len(lost) <= r.tolerance || (countZones(lost) <= r.tolerance && countZones(keepers) >= r.replicaCount())
}

func countZones(keepers []Keeper) int {
	zones := make(map[string]bool)
	for _, keeper := range keepers {
		zones[keeper.Zone] = true
	}
	return len(zones)
}
