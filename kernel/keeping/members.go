package keeping

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

// Members is the list of keepers as the store has it. A member stays on the
// list while it is down, since its disk still counts; its live key is under a
// lease and goes when it stops.
type Members struct {
	store   platform.Store
	logger  *zap.Logger
	changed chan struct{}

	mutex   sync.Mutex
	members map[string]listed
	live    map[string]time.Time // When the key went, the zero time while it is there.
	contact time.Time
	// revision is the store's revision up to which the list is known.
	revision uint64
	// newest is the present list; it is replaced as a whole.
	newest *List
}

// List is the list of keepers at one revision of the store. Of two lists that
// differ, the one with the higher revision is in force: a process with an older
// one takes over the newer one from whoever shows it.
type List struct {
	revision uint64
	digest   uint64
	all      []MemberDocument
	holding  []Keeper
}

// NewList returns a list.
func NewList(revision uint64, members []MemberDocument) *List {
	l := &List{revision: revision, all: slices.Clone(members)}
	slices.SortFunc(l.all, func(a, b MemberDocument) int { return strings.Compare(a.Name, b.Name) })
	digest := xxhash.New()
	for _, member := range l.all {
		_, _ = fmt.Fprintf(digest, "%s\x00%s\x00%s\x00%t\x00", member.Name, member.Zone, member.Address, member.Leaving)
		if !member.Leaving {
			l.holding = append(l.holding, member.keeper())
		}
	}
	l.digest = digest.Sum64()
	return l
}

// Revision returns the store's revision up to which the list is known.
func (l *List) Revision() uint64 { return l.revision }

// Digest tells two lists with other members apart.
func (l *List) Digest() uint64 { return l.digest }

// Holding returns the keepers that hold records. The caller must not change the
// slice.
func (l *List) Holding() []Keeper { return l.holding }

// All returns all members, those included that are leaving.
func (l *List) All() []Keeper {
	keepers := make([]Keeper, 0, len(l.all))
	for _, member := range l.all {
		keepers = append(keepers, member.keeper())
	}
	return keepers
}

// IsOlderThan reports whether the other list is in force instead of this one.
func (l *List) IsOlderThan(revision, digest uint64) bool {
	return l.digest != digest && l.revision < revision
}

// Wire returns the list as it is sent, with its members if whole.
func (l *List) Wire(whole bool) *wire.KeeperList {
	sent := &wire.KeeperList{StoreRevision: l.revision, Digest: l.digest}
	if whole {
		for _, member := range l.all {
			sent.Keepers = append(sent.Keepers, &wire.KeeperEntry{Name: member.Name, Zone: member.Zone, Address: member.Address, Leaving: member.Leaving})
		}
	}
	return sent
}

// ListFromWire returns a list that was sent whole.
func ListFromWire(sent *wire.KeeperList) *List {
	members := make([]MemberDocument, 0, len(sent.GetKeepers()))
	for _, entry := range sent.GetKeepers() {
		members = append(members, MemberDocument{Name: entry.GetName(), Zone: entry.GetZone(), Address: entry.GetAddress(), Leaving: entry.GetLeaving()})
	}
	return NewList(sent.GetStoreRevision(), members)
}

type listed struct {
	document MemberDocument
	version  uint64
}

const (
	membersPrefix = "keepers/"
	memberPrefix  = membersPrefix + "member/"
	// LivePrefix is where each keeper holds its live key under a lease.
	LivePrefix = membersPrefix + "live/"
)

// putTimeout bounds the writing of a member; the caller looks at the list again
// before it tries once more.
const putTimeout = time.Second

// MemberDocument is a member in its stored form. Leaving members hand their
// records to the others and take no new ones.
type MemberDocument struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

func (d MemberDocument) keeper() Keeper {
	return Keeper{Name: d.Name, Zone: d.Zone, Address: d.Address}
}

// NewMembers returns an empty list.
func NewMembers(store platform.Store, logger *zap.Logger) *Members {
	return &Members{
		store: store, logger: logger, changed: make(chan struct{}, 1),
		members: make(map[string]listed), live: make(map[string]time.Time), newest: NewList(0, nil),
	}
}

// Follow keeps the list in step with the store until the context ends.
func (m *Members) Follow(ctx context.Context) error {
	return platform.Follow(ctx, m.store, membersPrefix, m)
}

// Changed signals that the list may have changed. It is for one reader.
func (m *Members) Changed() <-chan struct{} { return m.changed }

// List returns the newest list.
func (m *Members) List() *List {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.newest
}

// Adopt takes over a list that another process has from the store, if it is
// newer. The next change that the store tells replaces it.
func (m *Members) Adopt(list *List) {
	m.mutex.Lock()
	adopted := m.newest.IsOlderThan(list.Revision(), list.Digest())
	if adopted {
		m.newest = list
	}
	m.mutex.Unlock()
	if adopted {
		m.logger.Info("newer list of keepers taken over", zap.Int("keepers", len(list.all)), zap.Uint64("revision", list.Revision()))
		m.signal()
	}
}

// Known reports whether the list was ever read.
func (m *Members) Known() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.contact.IsZero()
}

// Replace implements platform.Subscriber.
func (m *Members) Replace(_ context.Context, listing platform.Listing) error {
	m.mutex.Lock()
	m.members = make(map[string]listed)
	gone := make(map[string]time.Time)
	for _, entry := range listing.Entries {
		if name, isLive := strings.CutPrefix(entry.Key, LivePrefix); isLive {
			gone[name] = time.Time{}
			continue
		}
		m.put(entry)
	}
	now := time.Now()
	for name := range m.members {
		if _, isLive := gone[name]; !isLive {
			gone[name] = now
		}
	}
	m.live = gone
	m.contact = now
	m.revision = listing.Revision
	m.publish()
	m.mutex.Unlock()
	m.signal()
	return nil
}

// Apply implements platform.Subscriber.
func (m *Members) Apply(_ context.Context, changes platform.Changes) error {
	m.mutex.Lock()
	now := time.Now()
	m.contact = now
	for _, event := range changes.Events {
		name, isLive := strings.CutPrefix(event.Entry.Key, LivePrefix)
		switch {
		case isLive && event.Deleted:
			m.live[name] = now
		case isLive:
			m.live[name] = time.Time{}
		case event.Deleted:
			delete(m.members, strings.TrimPrefix(event.Entry.Key, memberPrefix))
		default:
			m.put(event.Entry)
		}
	}
	m.revision = max(m.revision, changes.Revision)
	m.publish()
	m.mutex.Unlock()
	if len(changes.Events) > 0 {
		m.signal()
	}
	return nil
}

// Failed implements platform.Subscriber. What was seen of live keys no longer
// counts, since leases may lapse while the store is away.
func (m *Members) Failed(err error) {
	m.logger.Warn("list of keepers not read, the last one stays in force", zap.Error(err))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contact = time.Time{}
}

// Missing returns the members whose live key has been gone for so long while
// the store answered.
func (m *Members) Missing(now time.Time, length time.Duration) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.contact.IsZero() {
		return nil
	}
	var names []string
	for name := range m.members {
		since, known := m.live[name]
		if known && !since.IsZero() && now.Sub(since) >= length {
			names = append(names, name)
		}
	}
	return names
}

// Put writes a member, whatever the list says of it. Each member has one
// writer.
func (m *Members) Put(ctx context.Context, document MemberDocument) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	return platform.Put(ctx, m.store, memberPrefix+document.Name, value)
}

// Remove takes a member off the list unless it has changed since.
func (m *Members) Remove(ctx context.Context, name string) error {
	m.mutex.Lock()
	known, found := m.members[name]
	m.mutex.Unlock()
	if !found {
		return nil
	}
	return m.store.Delete(ctx, memberPrefix+name, known.version)
}

// publish makes the list of the present members the newest, unless a newer one
// was taken over; the mutex is held.
func (m *Members) publish() {
	if m.revision < m.newest.revision {
		return
	}
	documents := make([]MemberDocument, 0, len(m.members))
	for _, member := range m.members {
		documents = append(documents, member.document)
	}
	m.newest = NewList(m.revision, documents)
}

func (m *Members) put(entry platform.Entry) {
	var document MemberDocument
	if err := json.Unmarshal(entry.Value, &document); err != nil || memberPrefix+document.Name != entry.Key {
		m.logger.Warn("keeper's entry not understood", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	m.members[document.Name] = listed{document: document, version: entry.Version}
}

func (m *Members) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
