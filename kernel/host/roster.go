// Package host keeps the roster: which halls and limpets are alive, where they
// listen, and in which incarnation.
//
// Each process registers itself under a lease. A Watcher holds the newest
// roster and a bounded number of earlier ones by revision, because a ticket
// names the roster by which a non-idempotent call was placed. In an outage of
// the key-value service the last known roster stays in force.
//
// # Usage
//
//	registrar, err := host.NewMemberRegistrar(store, member, leaseLength, logger)
//	group.Go("registration", registrar.Keep)
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

// Kind tells what a member is.
type Kind string

// The kinds of members.
const (
	KindHall   Kind = "hall"
	KindLimpet Kind = "limpet"
	KindKeeper Kind = "keeper"
)

// Member is one process on the roster.
type Member struct {
	kind        Kind
	name        string
	zone        string
	address     string
	incarnation uint64
	models      []string
	service     string
	digest      uint64 // Of the name.
}

// NewHall returns a member for a hall; address is where peers reach it.
func NewHall(name, zone, address string, incarnation uint64) Member {
	return Member{kind: KindHall, name: name, zone: zone, address: address, incarnation: incarnation, digest: xxhash.Sum64String(name)}
}

// NewLimpet returns a member for a limpet before a model engine (models) or a
// plain service (service).
func NewLimpet(name, zone, address string, incarnation uint64, models []string, service string) Member {
	return Member{kind: KindLimpet, name: name, zone: zone, address: address, incarnation: incarnation, models: models, service: service, digest: xxhash.Sum64String(name)}
}

// NewKeeper returns a member for a keeper; address is where peers reach it.
func NewKeeper(name, zone, address string, incarnation uint64) Member {
	return Member{kind: KindKeeper, name: name, zone: zone, address: address, incarnation: incarnation, digest: xxhash.Sum64String(name)}
}

// Kind returns what the member is.
func (m Member) Kind() Kind { return m.kind }

// Name returns the member's name, unique for its kind.
func (m Member) Name() string { return m.name }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns host and port for peers.
func (m Member) Address() string { return m.address }

// Incarnation returns a number that is higher for each start of the process.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Models returns the models that the backend server holds.
func (m Member) Models() []string { return m.models }

// WithModels returns the member with other models.
func (m Member) WithModels(models []string) Member {
	m.models = models
	return m
}

// Service returns the plain service that the backend server runs, if any.
func (m Member) Service() string { return m.service }

// key returns where the member is registered.
func (m Member) key() string {
	return prefix + string(m.kind) + "/" + m.name
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

// MarshalJSON writes the member in its stored form.
func (m Member) MarshalJSON() ([]byte, error) {
	return json.Marshal(memberDocument{
		Kind: m.kind, Name: m.name, Zone: m.zone, Address: m.address,
		Incarnation: m.incarnation, Models: m.models, Service: m.service,
	})
}

// UnmarshalJSON reads the member from its stored form.
func (m *Member) UnmarshalJSON(text []byte) error {
	var document memberDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	*m = Member{
		kind: document.Kind, name: document.Name, zone: document.Zone, address: document.Address,
		incarnation: document.Incarnation, models: document.Models, service: document.Service,
		digest: xxhash.Sum64String(document.Name),
	}
	return nil
}

// Roster is the set of members at one store revision. It is immutable.
type Roster struct {
	revision  uint64
	halls     []Member
	limpets   []Member
	keepers   []Member
	placement uint64
}

// NewRoster returns a roster of the members in order of name.
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
	roster.placement = placementOf(roster.limpets)
	return roster
}

// Revision returns the store revision at which the roster was read. Two
// processes may know the same members under different revisions.
func (r *Roster) Revision() uint64 { return r.revision }

// Placement returns a digest of the limpets before plain services with their
// incarnations. Processes that know the same ones compute the same digest,
// whatever the revision at which they read them, so a ticket can name the
// roster by which non-idempotent calls are placed.
func (r *Roster) Placement() uint64 { return r.placement }

// Halls returns the halls in order of name.
func (r *Roster) Halls() []Member { return r.halls }

// Limpets returns the limpets in order of name.
func (r *Roster) Limpets() []Member { return r.limpets }

// Keepers returns the keepers in order of name.
func (r *Roster) Keepers() []Member { return r.keepers }

// Members returns everyone.
func (r *Roster) Members() []Member {
	return slices.Concat(r.halls, r.limpets, r.keepers)
}

// Hall returns the hall of that name.
func (r *Roster) Hall(name string) (Member, bool) { return find(r.halls, name) }

// Limpet returns the limpet of that name.
func (r *Roster) Limpet(name string) (Member, bool) { return find(r.limpets, name) }

// ServiceLimpets returns the limpets before a plain service.
func (r *Roster) ServiceLimpets(service string) []Member {
	var found []Member
	for _, member := range r.limpets {
		if member.service == service {
			found = append(found, member)
		}
	}
	return found
}

// ModelLimpets returns the limpets whose engine holds the model.
func (r *Roster) ModelLimpets(model string) []Member {
	var found []Member
	for _, member := range r.limpets {
		if slices.Contains(member.models, model) {
			found = append(found, member)
		}
	}
	return found
}

func placementOf(limpets []Member) uint64 {
	digest := xxhash.New()
	for _, member := range limpets {
		if member.service != "" {
			_, _ = fmt.Fprintf(digest, "%s\x00%s\x00%d\x00", member.service, member.name, member.incarnation)
		}
	}
	return digest.Sum64()
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

// Rank orders members by rendezvous hashing of the key: every process that
// has the same members gets the same order, and a member that comes or goes
// moves only its own keys.
func Rank(key string, members []Member) []Member {
	return Top(key, members, len(members))
}

// First returns the member that Rank puts first, and false if there is none.
func First(key string, members []Member) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	digest := xxhash.Sum64String(key)
	best := 0
	highest := members[0].score(digest)
	for index := 1; index < len(members); index++ {
		if score := members[index].score(digest); score > highest || (score == highest && members[index].name < members[best].name) {
			best, highest = index, score
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
	digest := xxhash.Sum64String(key)
	scores := make([]scored, 0, len(members))
	for index := range members {
		scores = append(scores, scored{score: members[index].score(digest), index: index})
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

// score is the member's weight for a key, given the key's digest.
func (m Member) score(key uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], m.digest)
	binary.LittleEndian.PutUint64(pair[8:], key)
	return xxhash.Sum64(pair[:])
}
