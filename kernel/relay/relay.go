// Package relay lets a host that the key-value service does not answer continue with
// the state that other hosts have read.
//
// A Store caches the state of each prefix that is listed or watched through it, and
// serves that state to other hosts. If a listing fails, the Store returns the newest
// state that its peers have; the listing's age tells how old that state is. If a
// watch fails, the Store returns the changes that a peer has seen. Both apply only if
// the peer has heard from the service later than this host, so that no host goes back
// to an older state. Writes always go to the service.
//
// # Usage
//
//	store := relay.New(direct, relay.Options{Peers: seeds, OwnAddress: address, Network: net}, time.Now, logger)
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
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

// firstListTimeout bounds the first listing of a prefix by the service, after which
// the peers are asked.
const firstListTimeout = 300 * time.Millisecond

// listTimeout bounds later listings of a prefix. It is longer, since the service may
// merely be slow.
const listTimeout = time.Second

// peerWatchDelay is the delay between a failed watch and the request to a peer. With
// about eight prefixes, a host that the service does not answer sends about eight
// requests per second.
const peerWatchDelay = time.Second

// peerTimeout bounds a request to a peer, which answers from memory.
const peerTimeout = 400 * time.Millisecond

// Options configure a Store.
type Options struct {
	// Peers are the addresses, host and port, of hosts that may have the state.
	Peers []string
	// OwnAddress is the address at which this host serves its peers. An equal
	// entry of Peers is ignored.
	OwnAddress string
	Network    network.Network
}

// Store is a platform.Store that falls back to other hosts for listings and watches.
type Store struct {
	platform.Store
	peers  []peer
	client *http.Client
	now    func() time.Time
	logger *zap.Logger

	lastPeerAnswerNs atomic.Int64 // Unix time in nanoseconds.

	mutex    sync.Mutex
	prefixes map[string]*prefixState
	listed   map[string]bool // Prefixes that have been listed, successfully or not.
}

// peer is another host.
type peer struct {
	address string
	client  wire.Relay
}

// prefixState is the last known state of one prefix.
type prefixState struct {
	entries   map[string]platform.Entry
	revision  uint64
	confirmed time.Time // When the service confirmed the state.
}

// New returns a store that reads and writes through the direct store.
func New(direct platform.Store, options Options, now func() time.Time, logger *zap.Logger) *Store {
	s := &Store{
		Store: direct, now: now, logger: logger, prefixes: make(map[string]*prefixState), listed: make(map[string]bool),
		client: &http.Client{Transport: &http.Transport{DialContext: options.Network.DialContext, DisableCompression: true}},
	}
	for _, address := range options.Peers {
		if address != options.OwnAddress {
			s.peers = append(s.peers, peer{address: address, client: wire.NewRelayProtobufClient("http://"+address, s.client)})
		}
	}
	return s
}

// Close closes idle connections.
func (s *Store) Close() { s.client.CloseIdleConnections() }

// HeardPeerWithin reports whether another host has answered within a time. While the
// service does not answer, other hosts are asked at least once a second, and this host
// takes over what they know from the service.
func (s *Store) HeardPeerWithin(period time.Duration) bool {
	return s.now().Sub(time.Unix(0, s.lastPeerAnswerNs.Load())) < period
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if len(s.peers) == 0 {
		return s.listDirect(ctx, prefix)
	}
	timeout := listTimeout
	if s.markListed(prefix) {
		timeout = firstListTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listing, err := s.listDirect(bounded, prefix)
	var unavailable *platform.UnavailableError
	if err == nil || !errors.As(err, &unavailable) {
		return listing, err
	}
	relayed, found := s.fetchFromAll(ctx, prefix)
	if !found || !s.isNewer(prefix, relayed) {
		return listing, err
	}
	if s.replace(prefix, relayed) {
		s.logger.Info("state read from another host", zap.String("prefix", prefix),
			zap.Uint64("revision", relayed.Revision), zap.Int("entries", len(relayed.Entries)), zap.Duration("age", relayed.Age))
	}
	return relayed, nil
}

func (s *Store) listDirect(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.replace(prefix, listing)
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
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unavailable) || len(s.peers) == 0 {
		return changes, err
	}
	task.Sleep(ctx, peerWatchDelay)
	relayed, found := s.fetch(ctx, s.peers[rand.IntN(len(s.peers))], prefix)
	if !found || !s.isNewer(prefix, relayed) {
		return changes, err
	}
	if relayedChanges, ok := s.applyRelayed(prefix, after, relayed); ok {
		return relayedChanges, nil
	}
	return changes, err
}

// applyRelayed replaces the cached state by a newer one from a peer and returns the
// changes between them. It does so only if the cached state is at the revision after
// which changes are requested.
func (s *Store) applyRelayed(prefix string, after uint64, relayed platform.Listing) (platform.Changes, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.prefixes[prefix]
	if !found || state.revision != after {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: relayed.Revision, Age: relayed.Age}
	for _, entry := range relayed.Entries {
		if state.entries[entry.Key].Version != entry.Version {
			changes.Events = append(changes.Events, platform.Event{Entry: entry})
			state.entries[entry.Key] = entry
		}
	}
	for key := range state.entries {
		if !relayed.Contains(key) {
			changes.Events = append(changes.Events, platform.Event{Entry: platform.Entry{Key: key, Version: relayed.Revision}, Deleted: true})
			delete(state.entries, key)
		}
	}
	if len(changes.Events) > 0 {
		s.logger.Info("changes read from another host", zap.String("prefix", prefix), zap.Uint64("revision", relayed.Revision),
			zap.Int("events", len(changes.Events)), zap.Duration("age", relayed.Age))
	}
	state.revision, state.confirmed = relayed.Revision, s.now().Add(-relayed.Age)
	return changes, true
}

// cached returns the cached state of a prefix.
func (s *Store) cached(prefix string) (platform.Listing, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.prefixes[prefix]
	if !found {
		return platform.Listing{}, false
	}
	entries := slices.SortedFunc(maps.Values(state.entries), func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return platform.Listing{Entries: entries, Revision: state.revision, Age: max(0, s.now().Sub(state.confirmed))}, true
}

// markListed marks the prefix as listed and reports whether it was not before.
func (s *Store) markListed(prefix string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := !s.listed[prefix]
	s.listed[prefix] = true
	return first
}

// isNewer reports whether a peer's state was confirmed by the service later than the
// cached one, so that it can't be older.
func (s *Store) isNewer(prefix string, relayed platform.Listing) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.prefixes[prefix]
	return !found || (relayed.Revision >= state.revision && s.now().Add(-relayed.Age).After(state.confirmed))
}

// replace replaces the cached state of a prefix and reports whether the revision
// changed.
func (s *Store) replace(prefix string, listing platform.Listing) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous, found := s.prefixes[prefix]
	state := &prefixState{entries: make(map[string]platform.Entry, len(listing.Entries)), revision: listing.Revision, confirmed: s.now().Add(-listing.Age)}
	for _, entry := range listing.Entries {
		state.entries[entry.Key] = entry
	}
	s.prefixes[prefix] = state
	return !found || previous.revision != state.revision
}

// apply applies changes to the cached state if they follow on it.
func (s *Store) apply(prefix string, after uint64, changes platform.Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.prefixes[prefix]
	if !found || state.revision < after || state.revision > changes.Revision {
		return
	}
	for _, event := range changes.Events {
		if event.Deleted {
			delete(state.entries, event.Entry.Key)
			continue
		}
		state.entries[event.Entry.Key] = event.Entry
	}
	state.revision, state.confirmed = changes.Revision, s.now().Add(-changes.Age)
}

// fetchFromAll fetches the state of a prefix from all peers concurrently and returns
// the one with the highest revision.
func (s *Store) fetchFromAll(ctx context.Context, prefix string) (newest platform.Listing, found bool) {
	type result struct {
		listing platform.Listing
		found   bool
	}
	results := make(chan result, len(s.peers))
	for _, source := range s.peers {
		go func() {
			var fetched result
			// Without an answer there is no listing.
			_ = task.Guard(s.logger, "relayed state", func() error {
				fetched.listing, fetched.found = s.fetch(ctx, source, prefix)
				return nil
			})
			results <- fetched
		}()
	}
	for range s.peers {
		if fetched := <-results; fetched.found && (!found || fetched.listing.Revision > newest.Revision) {
			newest, found = fetched.listing, true
		}
	}
	return newest, found
}

// fetch fetches the state of a prefix from one peer and reports whether the peer has
// one.
func (s *Store) fetch(ctx context.Context, source peer, prefix string) (platform.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := source.client.Recall(ctx, &wire.RecallRequest{Prefix: prefix})
	if err != nil {
		s.logger.Info("failed to read state from another host", zap.String("prefix", prefix), zap.String("host", source.address), zap.Error(err))
		return platform.Listing{}, false
	}
	s.lastPeerAnswerNs.Store(s.now().UnixNano())
	return listingFromReply(reply), reply.GetKnown()
}

func listingFromReply(reply *wire.RecallReply) platform.Listing {
	// A peer's state is never as new as the service's own answer, whose age is zero.
	age := max(time.Millisecond, time.Duration(reply.GetAgeMilliseconds())*time.Millisecond)
	listing := platform.Listing{Revision: reply.GetRevision(), Age: age}
	for _, entry := range reply.GetEntries() {
		listing.Entries = append(listing.Entries, platform.Entry{Key: entry.GetKey(), Value: entry.GetValue(), Version: entry.GetVersion()})
	}
	return listing
}

// server implements wire.Relay for other hosts.
type server struct{ store *Store }

// NewServer returns the handler that serves the cached state to other hosts.
func NewServer(store *Store) wire.TwirpServer { return wire.NewRelayServer(server{store: store}) }

// Recall implements wire.Relay.
func (s server) Recall(ctx context.Context, request *wire.RecallRequest) (*wire.RecallReply, error) {
	listing, known := s.store.cached(request.GetPrefix())
	reply := &wire.RecallReply{Known: known, Revision: listing.Revision, AgeMilliseconds: listing.Age.Milliseconds()}
	// The entries are shared with the cache until the reply is encoded.
	if err := buffer.FromContext(ctx).Take(size(listing)); err != nil {
		return nil, buffer.CallError(err)
	}
	for _, entry := range listing.Entries {
		reply.Entries = append(reply.Entries, &wire.StoredEntry{Key: entry.Key, Value: entry.Value, Version: entry.Version})
	}
	return reply, nil
}

// entryBytes is the memory of an entry of a reply beside its key and value.
const entryBytes = 128

// size returns the memory of a reply with the listing.
func size(listing platform.Listing) int64 {
	total := 0
	for _, entry := range listing.Entries {
		total += entryBytes + len(entry.Key) + len(entry.Value)
	}
	return int64(total)
}
