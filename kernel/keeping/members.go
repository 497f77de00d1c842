package keeping

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
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

// NewMembers returns an empty list.
func NewMembers(store platform.Store, logger *zap.Logger) *Members {
	return &Members{
		store: store, logger: logger, changed: make(chan struct{}, 1),
		members: make(map[string]listed), live: make(map[string]time.Time),
	}
}

// Follow keeps the list in step with the store until the context ends.
func (m *Members) Follow(ctx context.Context) error {
	return platform.Follow(ctx, m.store, membersPrefix, m)
}

// Changed signals that the list may have changed. It is for one reader.
func (m *Members) Changed() <-chan struct{} { return m.changed }

// Keepers returns the members that hold records.
func (m *Members) Keepers() []Keeper {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.keepers(false)
}

// Sources returns all members, those included that are leaving.
func (m *Members) Sources() []Keeper {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.keepers(true)
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

func (m *Members) keepers(leaving bool) []Keeper {
	keepers := make([]Keeper, 0, len(m.members))
	for _, member := range m.members {
		if leaving || !member.document.Leaving {
			keepers = append(keepers, Keeper{Name: member.document.Name, Zone: member.document.Zone, Address: member.document.Address})
		}
	}
	return keepers
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
