// Package host implements the roster, the membership list of the deployment: which
// halls and limpets are alive, their addresses and their incarnations.
//
// Each process registers itself in the key-value store under a lease. A Watcher holds
// the current roster. It also keeps a bounded history of the limpets of plain
// services, because a ticket names, by a digest, the ones among which a
// non-idempotent call was placed. During a store outage the last known roster stays
// in force.
//
// # Usage
//
//	registrar, err := host.NewMemberRegistrar(store, member, leaseDuration, logger)
//	group.Go("registration", registrar.Run)
//	watcher := host.NewWatcher(store, logger)
//	group.Go("roster", watcher.Follow)
//	halls := watcher.Roster().Halls()
package host

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of process that a member is.
type Kind string

// The kinds of members.
const (
	KindHall   Kind = "hall"
	KindLimpet Kind = "limpet"
	KindKeeper Kind = "keeper"
)

// Member is the roster entry of one process.
type Member struct {
	kind        Kind
	name        string
	zone        string
	address     string
	incarnation uint64
	models      []string
	service     string
	nameHash    uint64 // Hash of name, for rendezvous hashing.
}

// NewHall returns a member for a hall. address is its peer address as host:port.
func NewHall(name, zone, address string, incarnation uint64) Member {
	return Member{kind: KindHall, name: name, zone: zone, address: address, incarnation: incarnation, nameHash: xxhash.Sum64String(name)}
}

// NewLimpet returns a member for a limpet. Its backend server is a model engine that
// serves models, or a plain service, which is any other kind of backend server, named
// service.
func NewLimpet(name, zone, address string, incarnation uint64, models []string, service string) Member {
	return Member{kind: KindLimpet, name: name, zone: zone, address: address, incarnation: incarnation, models: models, service: service, nameHash: xxhash.Sum64String(name)}
}

// NewKeeper returns a member for a keeper. address is its peer address as host:port.
func NewKeeper(name, zone, address string, incarnation uint64) Member {
	return Member{kind: KindKeeper, name: name, zone: zone, address: address, incarnation: incarnation, nameHash: xxhash.Sum64String(name)}
}

// Kind returns the kind of process.
func (m Member) Kind() Kind { return m.kind }

// Name returns the member's name, which is unique within its kind.
func (m Member) Name() string { return m.name }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns the peer address as host:port.
func (m Member) Address() string { return m.address }

// Incarnation returns a number that increases with each start of the process.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Models returns the models that the backend server serves.
func (m Member) Models() []string { return m.models }

// WithModels returns a copy of the member with the given models.
func (m Member) WithModels(models []string) Member {
	m.models = models
	return m
}

// Service returns the name of the plain service that the backend server runs, empty
// for a model engine.
func (m Member) Service() string { return m.service }

// key returns the member's key in the store.
func (m Member) key() string {
	return rosterPrefix + string(m.kind) + "/" + m.name
}

type memberDocument struct {
	Kind        Kind     `json:"kind"`
	Name        string   `json:"name"`
	Zone        string   `json:"zone"`
	Address     string   `json:"address"`
	Incarnation uint64   `json:"incarnation"`
	Models      []string `json:"models,omitempty"`
	Service     string   `json:"service,omitempty"`
}

// MarshalJSON encodes the member as stored.
func (m Member) MarshalJSON() ([]byte, error) {
	return json.Marshal(memberDocument{
		Kind: m.kind, Name: m.name, Zone: m.zone, Address: m.address,
		Incarnation: m.incarnation, Models: m.models, Service: m.service,
	})
}

// UnmarshalJSON decodes a stored member.
func (m *Member) UnmarshalJSON(data []byte) error {
	var document memberDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return err
	}
	*m = Member{
		kind: document.Kind, name: document.Name, zone: document.Zone, address: document.Address,
		incarnation: document.Incarnation, models: document.Models, service: document.Service,
		nameHash: xxhash.Sum64String(document.Name),
	}
	return nil
}

// Roster is the set of live members at one store revision. It is immutable.
type Roster struct {
	revision        uint64
	halls           []Member
	limpets         []Member
	keepers         []Member
	placementDigest uint64
}

// NewRoster returns a roster of the members, which may be in any order.
func NewRoster(revision uint64, members []Member) *Roster {
	roster := &Roster{revision: revision}
	for _, member := range members {
		switch member.kind {
		case KindHall:
			roster.halls = append(roster.halls, member)
		case KindLimpet:
			roster.limpets = append(roster.limpets, member)
		case KindKeeper:
			roster.keepers = append(roster.keepers, member)
		}
	}
	byName := func(a, b Member) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(roster.halls, byName)
	slices.SortFunc(roster.limpets, byName)
	slices.SortFunc(roster.keepers, byName)
	roster.placementDigest = digestPlacement(roster.limpets)
	return roster
}

// Revision returns the store revision at which the roster was read. Processes may
// know the same members at different revisions.
func (r *Roster) Revision() uint64 { return r.revision }

// PlacementDigest returns a digest of the limpets of plain services with their
// incarnations. It does not depend on the revision, so processes that know the
// same limpets compute the same digest. A ticket uses it to identify the roster
// by which a non-idempotent call was placed.
func (r *Roster) PlacementDigest() uint64 { return r.placementDigest }

// Halls returns the halls, sorted by name.
func (r *Roster) Halls() []Member { return r.halls }

// Limpets returns the limpets, sorted by name.
func (r *Roster) Limpets() []Member { return r.limpets }

// Keepers returns the keepers, sorted by name.
func (r *Roster) Keepers() []Member { return r.keepers }

// Members returns the members of all kinds.
func (r *Roster) Members() []Member {
	return slices.Concat(r.halls, r.limpets, r.keepers)
}

// Hall returns the hall with the given name.
func (r *Roster) Hall(name string) (Member, bool) { return find(r.halls, name) }

// Limpet returns the limpet with the given name.
func (r *Roster) Limpet(name string) (Member, bool) { return find(r.limpets, name) }

// ServiceLimpets returns the limpets whose backend server runs the plain service.
func (r *Roster) ServiceLimpets(service string) []Member {
	var found []Member
	for _, member := range r.limpets {
		if member.service == service {
			found = append(found, member)
		}
	}
	return found
}

// ModelLimpets returns the limpets whose backend server serves the model.
func (r *Roster) ModelLimpets(model string) []Member {
	var found []Member
	for _, member := range r.limpets {
		if slices.Contains(member.models, model) {
			found = append(found, member)
		}
	}
	return found
}

func digestPlacement(limpets []Member) uint64 {
	hash := xxhash.New()
	for _, member := range limpets {
		if member.service != "" {
			_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%d\x00", member.service, member.name, member.incarnation)
		}
	}
	return hash.Sum64()
}

func find(members []Member, name string) (Member, bool) {
	index, found := slices.BinarySearchFunc(members, name, func(m Member, name string) int {
		return strings.Compare(m.name, name)
	})
	if !found {
		return Member{}, false
	}
	return members[index], true
}

// Rank orders members by rendezvous hashing of the key. All processes with the same
// members compute the same order, and adding or removing a member moves only the keys
// of that member.
func Rank(key string, members []Member) []Member {
	return Top(key, members, len(members))
}

// TopMember returns the first member in the order of Rank, and false if there is
// none.
func TopMember(key string, members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	keyHash := xxhash.Sum64String(key)
	best := 0
	highestScore := members[0].score(keyHash)
	for index := 1; index < len(members); index++ {
		if score := members[index].score(keyHash); score > highestScore || (score == highestScore && members[index].name < members[best].name) {
			best, highestScore = index, score
		}
	}
	return members[best], true
}

// Top returns the first n members in the order of Rank.
func Top(key string, members []Member, n int) []Member {
	type scored struct {
		score uint64
		index int
	}
	keyHash := xxhash.Sum64String(key)
	scores := make([]scored, 0, len(members))
	for index := range members {
		scores = append(scores, scored{score: members[index].score(keyHash), index: index})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return strings.Compare(members[a.index].name, members[b.index].name)
	})
	ranked := make([]Member, 0, n)
	for _, entry := range scores[:min(n, len(scores))] {
		ranked = append(ranked, members[entry.index])
	}
	return ranked
}

// score returns the member's rendezvous hash score for the key with the given hash.
func (m Member) score(keyHash uint64) uint64 {
	var hashes [16]byte
	binary.LittleEndian.PutUint64(hashes[:8], m.nameHash)
	binary.LittleEndian.PutUint64(hashes[8:], keyHash)
	return xxhash.Sum64(hashes[:])
}
