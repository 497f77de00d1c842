// Package relay lets a host that starts while the key-value service does not
// answer it begin with what other hosts have read.
//
// A Store remembers the state of each prefix that is listed or watched through
// it, and serves that to other hosts. Until the service has answered its first
// listing of a prefix, a listing that fails is taken from the other host that
// knows the newest state; its age tells how old that is. Afterwards the service
// alone counts, so nothing can go back to an older state. Writes always go to the
// service.
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
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

// firstWait is how long the service has for its first answer before other hosts
// are asked. Later it has the time that the direct store gives it, which may just
// be slow.
const firstWait = 300 * time.Millisecond

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
	direct   bool      // Whether it did so to this host.
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
	if len(s.peers) == 0 || s.isDirect(prefix) {
		return s.listDirect(ctx, prefix)
	}
	direct := ctx
	if s.isFirst(prefix) {
		bounded, cancel := context.WithTimeout(ctx, firstWait)
		defer cancel()
		direct = bounded
	}
	listing, err := s.listDirect(direct, prefix)
	var away *platform.UnavailableError
	if err == nil || !errors.As(err, &away) {
		return listing, err
	}
	relayed, found := s.ask(ctx, prefix)
	if !found {
		return listing, err
	}
	if s.remember(prefix, relayed, false) {
		s.logger.Info("state read from another host", zap.String("prefix", prefix),
			zap.Uint64("revision", relayed.Revision), zap.Int("entries", len(relayed.Entries)), zap.Duration("age", relayed.Age))
	}
	return relayed, nil
}

func (s *Store) listDirect(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, err := s.Store.List(ctx, prefix)
	if err == nil {
		s.remember(prefix, listing, true)
	}
	return listing, err
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if err == nil {
		s.apply(prefix, after, changes)
	}
	return changes, err
}

// recall returns what this host knows of a prefix.
func (s *Store) recall(prefix string) (platform.Listing, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.prefixes[prefix]
	if !found {
		return platform.Listing{}, false
	}
	entries := slices.SortedFunc(maps.Values(known.entries), func(a, b platform.Entry) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return platform.Listing{Entries: entries, Revision: known.revision, Age: max(0, s.now().Sub(known.read))}, true
}

// isFirst reports whether a prefix has not been listed before.
func (s *Store) isFirst(prefix string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := !s.listed[prefix]
	s.listed[prefix] = true
	return first
}

func (s *Store) isDirect(prefix string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.prefixes[prefix]
	return found && known.direct
}

// remember keeps a state and reports whether it is another one than before.
func (s *Store) remember(prefix string, listing platform.Listing, direct bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, found := s.prefixes[prefix]
	held := &memory{entries: make(map[string]platform.Entry, len(listing.Entries)), revision: listing.Revision, read: s.now().Add(-listing.Age), direct: direct}
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
	held.revision, held.read = changes.Revision, s.now()
}

// ask asks all peers at once and returns the newest state.
func (s *Store) ask(ctx context.Context, prefix string) (newest platform.Listing, found bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	type answer struct {
		peer  peer
		reply *wire.RecallReply
		err   error
	}
	answers := make(chan answer, len(s.peers))
	for _, asked := range s.peers {
		go func() {
			reply, err := asked.relay.Recall(ctx, &wire.RecallRequest{Prefix: prefix})
			answers <- answer{peer: asked, reply: reply, err: err}
		}()
	}
	for range s.peers {
		got := <-answers
		if got.err != nil {
			s.logger.Info("state not read from another host", zap.String("prefix", prefix), zap.String("host", got.peer.address), zap.Error(got.err))
			continue
		}
		if got.reply.GetKnown() && (!found || got.reply.GetRevision() > newest.Revision) {
			newest, found = listingOf(got.reply), true
		}
	}
	return newest, found
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
