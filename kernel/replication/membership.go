package replication

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

// Membership follows the list of keepers in the store. A member remains on the
// list while it is down, since its disk still holds its records. Its liveness key
// is held under a lease and expires after the keeper has stopped.
type Membership struct {
	store   platform.Store
	logger  *zap.Logger
	changed chan struct{}

	mutex   sync.Mutex
	members map[string]storedMember
	// missingSince is when a keeper's liveness key was found to be missing, by
	// name; zero while the key exists. A member without an entry counts as not
	// missing.
	missingSince map[string]time.Time
	// lastContact is when the store last answered; zero after a failure. Only whether
	// it is zero matters.
	lastContact time.Time
	// revision is the store revision that members reflects.
	revision uint64
	// current is the list in force. It is immutable and replaced on changes.
	current *MemberList
}

// MemberList is an immutable list of keepers at one revision of the store. Of two
// lists that differ, the one with the higher revision is in force: a process with
// an older list adopts the newer one from any process that sends it.
type MemberList struct {
	revision uint64
	digest   uint64
	all      []MemberDocument // Sorted by name.
	active   []Keeper
	replicas *replicaCache // Shared by lists with the same members.
}

// replicaCache holds the replicas of each group once they are needed.
type replicaCache struct {
	allocate sync.Once
	groups   []atomic.Pointer[cachedReplicas]
}

// cachedReplicas are the replicas of one group by one rule.
type cachedReplicas struct {
	rule    Rule
	keepers []Keeper
}

// NewMemberList returns the list of the given members.
func NewMemberList(revision uint64, members []MemberDocument) *MemberList {
	l := &MemberList{revision: revision, all: slices.Clone(members), replicas: &replicaCache{}}
	slices.SortFunc(l.all, func(a, b MemberDocument) int { return strings.Compare(a.Name, b.Name) })
	hash := xxhash.New()
	for _, member := range l.all {
		_, _ = fmt.Fprintf(hash, "%s\x00%s\x00%s\x00%t\x00", member.Name, member.Zone, member.Address, member.Leaving)
		if !member.Leaving {
			l.active = append(l.active, member.keeper())
		}
	}
	l.digest = hash.Sum64()
	return l
}

// Revision returns the store revision that the list reflects.
func (l *MemberList) Revision() uint64 { return l.revision }

// Digest returns a hash of the members; lists with equal members have equal digests.
func (l *MemberList) Digest() uint64 { return l.digest }

// Active returns the keepers that may be given new records: all members that are
// not leaving. The caller must not modify the slice.
func (l *MemberList) Active() []Keeper { return l.active }

// All returns all members, including those that are leaving.
func (l *MemberList) All() []Keeper {
	keepers := make([]Keeper, 0, len(l.all))
	for _, member := range l.all {
		keepers = append(keepers, member.keeper())
	}
	return keepers
}

// Replicas returns the replicas of a placement in order of preference. The caller must not
// modify the slice.
func (l *MemberList) Replicas(rule Rule, placement string) []Keeper {
	return l.groupReplicas(rule, GroupOf(placement))
}

func (l *MemberList) groupReplicas(rule Rule, group Group) []Keeper {
	l.replicas.allocate.Do(func() { l.replicas.groups = make([]atomic.Pointer[cachedReplicas], GroupCount) })
	entry := &l.replicas.groups[group]
	if cached := entry.Load(); cached != nil && cached.rule == rule {
		return cached.keepers
	}
	cached := &cachedReplicas{rule: rule, keepers: rule.Replicas(l.active, group)}
	entry.Store(cached)
	return cached.keepers
}

// IsReplica reports whether the named keeper is a replica of the group.
func (l *MemberList) IsReplica(rule Rule, group Group, name string) bool {
	return slices.ContainsFunc(l.groupReplicas(rule, group), func(k Keeper) bool { return k.Name == name })
}

// Assigned returns the groups of which the named keeper is a replica by this list and not
// by the earlier one, nil for none.
func (l *MemberList) Assigned(rule Rule, name string, earlier *MemberList) []Group {
	var groups []Group
	for group := range Group(GroupCount) {
		if l.IsReplica(rule, group, name) && (earlier == nil || !earlier.IsReplica(rule, group, name)) {
			groups = append(groups, group)
		}
	}
	return groups
}

// IsSupersededBy reports whether a list with the given revision and digest is in
// force instead of this one.
func (l *MemberList) IsSupersededBy(revision, digest uint64) bool {
	return l.digest != digest && l.revision < revision
}

// ToWire returns the list's wire message, which includes the members if
// withMembers is set.
func (l *MemberList) ToWire(withMembers bool) *wire.KeeperList {
	message := &wire.KeeperList{StoreRevision: l.revision, Digest: l.digest}
	if withMembers {
		for _, member := range l.all {
			message.Keepers = append(message.Keepers, &wire.KeeperEntry{Name: member.Name, Zone: member.Zone, Address: member.Address, Leaving: member.Leaving})
		}
	}
	return message
}

// MemberListFromWire returns the list of a wire message that includes the
// members.
func MemberListFromWire(message *wire.KeeperList) *MemberList {
	members := make([]MemberDocument, 0, len(message.GetKeepers()))
	for _, entry := range message.GetKeepers() {
		members = append(members, MemberDocument{Name: entry.GetName(), Zone: entry.GetZone(), Address: entry.GetAddress(), Leaving: entry.GetLeaving()})
	}
	return NewMemberList(message.GetStoreRevision(), members)
}

// storedMember is a member and the version of its entry in the store.
type storedMember struct {
	document MemberDocument
	version  uint64
}

const (
	membersPrefix = "keepers/"
	memberPrefix  = membersPrefix + "member/"
	// LivenessPrefix is the prefix of the liveness keys, which keepers hold under
	// leases.
	LivenessPrefix = membersPrefix + "live/"
)

// putTimeout bounds the write of a member. After a timeout, the caller checks the
// list again before it retries.
const putTimeout = time.Second

// MemberDocument is the stored form of a member. A leaving member transfers its
// records to the others and stores no new ones.
type MemberDocument struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

func (d MemberDocument) keeper() Keeper {
	return Keeper{Name: d.Name, Zone: d.Zone, Address: d.Address}
}

// NewMembership returns a Membership whose list is empty until Follow has read the
// store.
func NewMembership(store platform.Store, logger *zap.Logger) *Membership {
	return &Membership{
		store: store, logger: logger, changed: make(chan struct{}, 1),
		members: make(map[string]storedMember), missingSince: make(map[string]time.Time), current: NewMemberList(0, nil),
	}
}

// Follow keeps the list in sync with the store until the context ends.
func (m *Membership) Follow(ctx context.Context) error {
	return platform.Follow(ctx, m.store, membersPrefix, m)
}

// Changed returns a channel that signals that the list may have changed. It supports
// a single receiver.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// List returns the list in force.
func (m *Membership) List() *MemberList {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.current
}

// Adopt replaces the list by one that another process has read from the store, if
// that one is newer. A list read from the store replaces it once it has the same
// revision or a newer one.
func (m *Membership) Adopt(list *MemberList) {
	m.mutex.Lock()
	adopted := m.current.IsSupersededBy(list.Revision(), list.Digest())
	if adopted {
		m.current = list
	}
	m.mutex.Unlock()
	if adopted {
		m.logger.Info("adopted newer list of keepers", zap.Int("keepers", len(list.all)), zap.Uint64("revision", list.Revision()))
		m.notifyChanged()
	}
}

// Synced reports whether the list has been read from the store and no failure has
// occurred since.
func (m *Membership) Synced() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.lastContact.IsZero()
}

// Replace implements platform.Subscriber.
func (m *Membership) Replace(_ context.Context, listing platform.Listing) error {
	m.mutex.Lock()
	m.members = make(map[string]storedMember)
	missingSince := make(map[string]time.Time)
	for _, entry := range listing.Entries {
		if name, isLivenessKey := strings.CutPrefix(entry.Key, LivenessPrefix); isLivenessKey {
			missingSince[name] = time.Time{}
			continue
		}
		m.putEntry(entry)
	}
	now := time.Now()
	for name := range m.members {
		if _, hasLivenessKey := missingSince[name]; !hasLivenessKey {
			missingSince[name] = now
		}
	}
	m.missingSince = missingSince
	m.lastContact = now
	m.revision = listing.Revision
	m.publish()
	m.mutex.Unlock()
	m.notifyChanged()
	return nil
}

// Apply implements platform.Subscriber.
func (m *Membership) Apply(_ context.Context, changes platform.Changes) error {
	m.mutex.Lock()
	now := time.Now()
	m.lastContact = now
	for _, event := range changes.Events {
		name, isLivenessKey := strings.CutPrefix(event.Entry.Key, LivenessPrefix)
		switch {
		case isLivenessKey && event.Deleted:
			m.missingSince[name] = now
		case isLivenessKey:
			m.missingSince[name] = time.Time{}
		case event.Deleted:
			delete(m.members, strings.TrimPrefix(event.Entry.Key, memberPrefix))
		default:
			m.putEntry(event.Entry)
		}
	}
	m.revision = max(m.revision, changes.Revision)
	m.publish()
	m.mutex.Unlock()
	if len(changes.Events) > 0 {
		m.notifyChanged()
	}
	return nil
}

// Failed implements platform.Subscriber. The state of the liveness keys is
// disregarded from here on, since leases may expire while the store is unavailable.
func (m *Membership) Failed(err error) {
	m.logger.Warn("failed to read the list of keepers; the last known list stays in force", zap.Error(err))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastContact = time.Time{}
}

// Missing returns the members whose liveness key has been missing for at least the
// given duration, during which the store was available.
func (m *Membership) Missing(now time.Time, duration time.Duration) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.lastContact.IsZero() {
		return nil
	}
	var names []string
	for name := range m.members {
		since, found := m.missingSince[name]
		if found && !since.IsZero() && now.Sub(since) >= duration {
			names = append(names, name)
		}
	}
	return names
}

// Put writes a member to the store unconditionally. Each member has a single
// writer.
func (m *Membership) Put(ctx context.Context, document MemberDocument) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	return platform.PutWithRetry(ctx, m.store, memberPrefix+document.Name, value)
}

// Update replaces a member's entry in the store unless that has changed, or was removed,
// since it was read.
func (m *Membership) Update(ctx context.Context, document MemberDocument) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	member, found := m.members[document.Name]
	m.mutex.Unlock()
	if !found {
		return platform.NewNotFoundError(memberPrefix + document.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	_, err = m.store.CompareAndSwap(ctx, memberPrefix+document.Name, value, member.version, 0)
	return err
}

// Remove removes a member from the store unless its entry has changed since it was
// read.
func (m *Membership) Remove(ctx context.Context, name string) error {
	m.mutex.Lock()
	member, found := m.members[name]
	m.mutex.Unlock()
	if !found {
		return nil
	}
	return m.store.Delete(ctx, memberPrefix+name, member.version)
}

// publish makes the members the list in force, unless a newer list was adopted. The
// caller must hold the mutex.
func (m *Membership) publish() {
	if m.revision < m.current.revision {
		return
	}
	documents := make([]MemberDocument, 0, len(m.members))
	for _, member := range m.members {
		documents = append(documents, member.document)
	}
	list := NewMemberList(m.revision, documents)
	if list.digest == m.current.digest {
		list.replicas = m.current.replicas
	}
	m.current = list
}

// putEntry adds or updates the member of a store entry. The caller must hold the
// mutex.
func (m *Membership) putEntry(entry platform.Entry) {
	var document MemberDocument
	if err := json.Unmarshal(entry.Value, &document); err != nil || memberPrefix+document.Name != entry.Key {
		m.logger.Warn("malformed member entry, or its name does not match its key", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	m.members[document.Name] = storedMember{document: document, version: entry.Version}
}

func (m *Membership) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
