// Package relay lets a host that the key-value service does not answer go on with
// what other hosts have read.
//
// A Store remembers the state of each prefix that is listed or watched through
// it, and serves that to other hosts. A listing that fails is taken from the other
// host that knows the newest state; its age tells how old that is. A watch that
// fails goes on with the changes that another host has seen. Both happen only if
// that host has heard from the service later than this one, so nothing goes back to
// an older state. Writes always go to the service.
//
// # Usage
//
//	store := relay.New(direct, relay.Options{Peers: seeds, Own: address, Network: net}, time.Now, logger)
//	mux.Handle(relay.NewServer(store).PathPrefix(), relay.NewServer(store))
package relay

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

// firstWait is how long the service has for its first answer before other hosts
// are asked.
const firstWait = 300 * time.Millisecond

// laterWait is how long it has for a later one: it may just be slow.
const laterWait = time.Second

// catchUpPause is the wait before another host is asked for changes. At some eight
// prefixes a host that the service turns away asks others eight times a second.
const catchUpPause = time.Second

// peerTimeout bounds the call to another host, which answers from memory.
const peerTimeout = 400 * time.Millisecond

// Options are the settings of a Store.
type Options struct {
	// Peers are addresses of hosts that may know the state, host and port.
	Peers []string
	// Own is the address at which this host serves others, left out of Peers.
	Own     string
	Network network.Network
}

// Store is a key-value service whose listings can come from other hosts.
type Store struct {
	platform.Store
	peers  []peer
	client *http.Client
	now    func() time.Time
	logger *zap.Logger

	mutex    sync.Mutex
	prefixes map[string]*memory
	listed   map[string]bool
}

// peer is another host.
type peer struct {
	address string
	relay   wire.Relay
}

// memory is the state of one prefix.
type memory struct {
	entries  map[string]platform.Entry
	revision uint64
	read     time.Time // When the service confirmed the state.
}

// New returns a store that reads and writes through the direct one.
func New(direct platform.Store, options Options, now func() time.Time, logger *zap.Logger) *Store {
	s := &Store{
		Store: direct, now: now, logger: logger, prefixes: make(map[string]*memory), listed: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{DialContext: options.Network.DialContext, DisableCompression: true}},
	}
	for _, address := range options.Peers {
		if address != options.Own {
			s.peers = append(s.peers, peer{address: address, relay: wire.NewRelayProtobufClient("http://"+address, s.client)})
		}
	}
	return s
}

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if len(s.peers) == 0 {
		return s.listDirect(ctx, prefix)
	}
	wait := laterWait
	if s.beginListing(prefix) {
		wait = firstWait
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	listing, err := s.listDirect(bounded, prefix)
	var away *platform.UnavailableError
	if err == nil || !errors.As(err, &away) {
		return listing, err
	}
	relayed, found := s.ask(ctx, prefix)
	if !found || !s.isNewer(prefix, relayed) {
		return listing, err
	}
	if s.remember(prefix, relayed) {
		s.logger.Info("state read from another host", zap.String("prefix", prefix),
			zap.Uint64("revision", relayed.Revision), zap.Int("entries", len(relayed.Entries)), zap.Duration("age", relayed.Age))
	}
	return relayed, nil
}

func (s *Store) listDirect(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.remember(prefix, listing)
	}
	return listing, err
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if err == nil {
		s.apply(prefix, after, changes)
		return changes, nil
	}
	var away *platform.UnavailableError
	if !errors.As(err, &away) || len(s.peers) == 0 {
		return changes, err
	}
	duty.Pause(ctx, catchUpPause)
	relayed, found := s.askOne(ctx, s.peers[rand.IntN(len(s.peers))], prefix)
	if !found || !s.isNewer(prefix, relayed) {
		return changes, err
	}
	if caughtUp, follows := s.catchUp(prefix, after, relayed); follows {
		return caughtUp, nil
	}
	return changes, err
}

// catchUp takes in a newer state and returns what changed, if what is held is the
// state after which the changes are wanted.
func (s *Store) catchUp(prefix string, after uint64, relayed platform.Listing) (platform.Changes, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, found := s.prefixes[prefix]
	if !found || held.revision != after {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: relayed.Revision, Age: relayed.Age}
	for _, entry := range relayed.Entries {
		if held.entries[entry.Key].Version != entry.Version {
			changes.Events = append(changes.Events, platform.Event{Entry: entry})
			held.entries[entry.Key] = entry
		}
	}
	for key := range held.entries {
		if !relayed.Holds(key) {
			changes.Events = append(changes.Events, platform.Event{Entry: platform.Entry{Key: key, Version: relayed.Revision}, Deleted: true})
			delete(held.entries, key)
		}
	}
	if len(changes.Events) > 0 {
		s.logger.Info("changes read from another host", zap.String("prefix", prefix), zap.Uint64("revision", relayed.Revision),
			zap.Int("events", len(changes.Events)), zap.Duration("age", relayed.Age))
	}
	held.revision, held.read = relayed.Revision, s.now().Add(-relayed.Age)
	return changes, true
}

// recall returns what this host knows of a prefix.
func (s *Store) recall(prefix string) (platform.Listing, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.prefixes[prefix]
	if !found {
		return platform.Listing{}, false
	}
	entries := slices.SortedFunc(maps.Values(known.entries), func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return platform.Listing{Entries: entries, Revision: known.revision, Age: max(0, s.now().Sub(known.read))}, true
}

// beginListing notes that a prefix is listed and reports whether that is the first
// time.
func (s *Store) beginListing(prefix string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := !s.listed[prefix]
	s.listed[prefix] = true
	return first
}

// isNewer reports whether another host has heard from the service later than this
// one, so that its state can't be older.
func (s *Store) isNewer(prefix string, relayed platform.Listing) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, found := s.prefixes[prefix]
	return !found || (relayed.Revision >= held.revision && s.now().Add(-relayed.Age).After(held.read))
}

// remember keeps a state and reports whether it is another one than before.
func (s *Store) remember(prefix string, listing platform.Listing) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, found := s.prefixes[prefix]
	held := &memory{entries: make(map[string]platform.Entry, len(listing.Entries)), revision: listing.Revision, read: s.now().Add(-listing.Age)}
	for _, entry := range listing.Entries {
		held.entries[entry.Key] = entry
	}
	s.prefixes[prefix] = held
	return !found || before.revision != held.revision
}

// apply takes in changes that follow on the state that is held.
func (s *Store) apply(prefix string, after uint64, changes platform.Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, found := s.prefixes[prefix]
	if !found || held.revision < after || held.revision > changes.Revision {
		return
	}
	for _, event := range changes.Events {
		if event.Deleted {
			delete(held.entries, event.Entry.Key)
			continue
		}
		held.entries[event.Entry.Key] = event.Entry
	}
	held.revision, held.read = changes.Revision, s.now().Add(-changes.Age)
}

// ask asks all peers at once and returns the newest state.
func (s *Store) ask(ctx context.Context, prefix string) (newest platform.Listing, found bool) {
	type answer struct {
		listing platform.Listing
		found   bool
	}
	answers := make(chan answer, len(s.peers))
	for _, asked := range s.peers {
		go func() {
			listing, known := s.askOne(ctx, asked, prefix)
			answers <- answer{listing: listing, found: known}
		}()
	}
	for range s.peers {
		if got := <-answers; got.found && (!found || got.listing.Revision > newest.Revision) {
			newest, found = got.listing, true
		}
	}
	return newest, found
}

// askOne asks one peer for its state.
func (s *Store) askOne(ctx context.Context, asked peer, prefix string) (platform.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := asked.relay.Recall(ctx, &wire.RecallRequest{Prefix: prefix})
	if err != nil {
		s.logger.Info("state not read from another host", zap.String("prefix", prefix), zap.String("host", asked.address), zap.Error(err))
		return platform.Listing{}, false
	}
	return listingOf(reply), reply.GetKnown()
}

func listingOf(reply *wire.RecallReply) platform.Listing {
	// A state from another host is never as new as one from the service.
	age := max(time.Millisecond, time.Duration(reply.GetAgeMilliseconds())*time.Millisecond)
	listing := platform.Listing{Revision: reply.GetRevision(), Age: age}
	for _, entry := range reply.GetEntries() {
		listing.Entries = append(listing.Entries, platform.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Version: entry.GetVersion()})
	}
	return listing
}

// server serves other hosts.
type server struct{ store *Store }

// NewServer returns the handler that tells other hosts what this one knows.
func NewServer(store *Store) wire.TwirpServer { return wire.NewRelayServer(server{store: store}) }

// Recall implements wire.Relay.
func (s server) Recall(_ context.Context, request *wire.RecallRequest) (*wire.RecallReply, error) {
	listing, known := s.store.recall(request.GetPrefix())
	reply := &wire.RecallReply{Known: known, Revision: listing.Revision, AgeMilliseconds: listing.Age.Milliseconds()}
	for _, entry := range listing.Entries {
		reply.Entries = append(reply.Entries, &wire.StoredEntry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	return reply, nil
}
