// Package fleet tracks the limpets by heartbeats: their load, whether they accept
// calls, and which configuration revision they hold.
//
// # Usage
//
//	f := fleet.New(identity, roster, follower, client, logger)
//	group.Every("beats", fleet.HeartbeatInterval, f.SendHeartbeats)
//	candidates := f.ModelCandidates("dialect", now)
//	f.AddOutstanding("server-3", tokens)
package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a limpet.
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// maxStatusAge is the age of the last status up to which a limpet gets calls.
	maxStatusAge = 2 * time.Second
	// maxConcurrentHeartbeats limits the heartbeats in flight.
	maxConcurrentHeartbeats = 64
)

// Identity identifies a hall to limpets and other halls.
type Identity struct {
	Name        string
	Zone        string
	Incarnation uint64
}

// Fleet holds the state of all limpets. It is safe for concurrent use.
type Fleet struct {
	identity Identity
	roster   *host.Watcher
	follower *configuration.Follower
	client   *peer.Client
	logger   *zap.Logger

	mutex   sync.Mutex
	limpets map[string]*limpetState // By server.
	leaving map[string]bool
}

type limpetState struct {
	status            *wire.LimpetStatus
	statusTime        time.Time
	outstandingTokens int64 // Cost of the calls sent since the last status.
	unreachable       bool
}

// New returns a fleet that has no status of any limpet.
func New(identity Identity, roster *host.Watcher, follower *configuration.Follower, client *peer.Client, logger *zap.Logger) *Fleet {
	return &Fleet{
		identity: identity, roster: roster, follower: follower, client: client, logger: logger,
		limpets: make(map[string]*limpetState), leaving: make(map[string]bool),
	}
}

// SendHeartbeats sends a heartbeat to each limpet on the roster and waits for
// the replies.
func (f *Fleet) SendHeartbeats(ctx context.Context) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentHeartbeats)
	for _, limpet := range f.roster.Roster().Limpets() {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f.heartbeat(ctx, limpet)
		})
	}
	group.Wait()
	f.removeDeparted()
}

// SetHosts updates the platform's host list. Servers on leaving hosts get no new
// calls.
func (f *Fleet) SetHosts(hosts []platform.Host) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving = make(map[string]bool)
	for _, listedHost := range hosts {
		if listedHost.State == platform.HostLeaving {
			f.leaving[listedHost.Name] = true
		}
	}
}

// ModelCandidates returns the servers that hold the model and accept calls.
func (f *Fleet) ModelCandidates(model string, now time.Time) []route.Candidate {
	return f.candidates(f.roster.Roster().ModelLimpets(model), now)
}

// ServiceCandidates returns the servers of a plain service that accept calls.
func (f *Fleet) ServiceCandidates(service string, now time.Time) []route.Candidate {
	return f.candidates(f.roster.Roster().ServiceLimpets(service), now)
}

// UnavailableServiceServers returns the servers of plain services that currently
// accept no calls.
func (f *Fleet) UnavailableServiceServers() []string {
	var serviceLimpets []host.Member
	for _, limpet := range f.roster.Roster().Limpets() {
		if limpet.Service() != "" {
			serviceLimpets = append(serviceLimpets, limpet)
		}
	}
	available := make(map[string]bool)
	for _, candidate := range f.candidates(serviceLimpets, time.Now()) {
		available[candidate.Server()] = true
	}
	var unavailable []string
	for _, limpet := range serviceLimpets {
		if !available[limpet.Name()] {
			unavailable = append(unavailable, limpet.Name())
		}
	}
	return unavailable
}

// Limpet returns the roster's entry for a server.
func (f *Fleet) Limpet(server string) (host.Member, bool) {
	return f.roster.Roster().Limpet(server)
}

// Statuses returns the last status of each limpet on the roster that has one.
func (f *Fleet) Statuses() []*wire.LimpetStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	statuses := make([]*wire.LimpetStatus, 0, len(f.limpets))
	for _, limpet := range f.roster.Roster().Limpets() {
		if state, found := f.limpets[limpet.Name()]; found && state.status != nil {
			statuses = append(statuses, state.status)
		}
	}
	return statuses
}

// CountReachable returns the number of limpets on the roster that sent a status
// within maxStatusAge.
func (f *Fleet) CountReachable(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	reachable := 0
	for _, limpet := range f.roster.Roster().Limpets() {
		if state, found := f.limpets[limpet.Name()]; found && now.Sub(state.statusTime) < maxStatusAge {
			reachable++
		}
	}
	return reachable
}

// AddOutstanding adds the cost in tokens of a call that was sent to a server. The
// cost counts until the next status of the server.
func (f *Fleet) AddOutstanding(server string, tokens int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(server).outstandingTokens += tokens
}

// RecordStatus records the status that a limpet sent with a reply. A nil status
// is ignored.
func (f *Fleet) RecordStatus(status *wire.LimpetStatus) {
	if status == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(status.GetServer())
	state.status = status
	state.statusTime = time.Now()
	state.unreachable = false
	state.outstandingTokens = 0
}

// MarkUnreachable marks a server as unreachable until it sends a status.
func (f *Fleet) MarkUnreachable(server string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(server).unreachable = true
}

// heartbeat sends a heartbeat to a limpet and records its status. It installs the
// configuration on a limpet that has an earlier revision.
func (f *Fleet) heartbeat(ctx context.Context, limpet host.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	current := f.follower.Table()
	status, err := f.client.Limpet(limpet.Address()).Beat(ctx, &wire.BeatRequest{
		Hall: f.identity.Name, Incarnation: f.identity.Incarnation, ConfigurationRevision: current.Revision(),
	})
	if err != nil {
		f.logger.Debug("limpet did not answer the heartbeat", zap.String("server", limpet.Name()), zap.Error(err))
		return
	}
	f.RecordStatus(status)
	if status.GetConfigurationRevision() >= current.Revision() {
		return
	}
	snapshot, err := current.Snapshot()
	if err != nil {
		return
	}
	install := &wire.InstallRequest{Revision: current.Revision(), Snapshot: snapshot}
	if _, err := f.client.Limpet(limpet.Address()).Install(ctx, install); err != nil {
		f.logger.Warn("could not install the configuration on a limpet", zap.String("server", limpet.Name()), zap.Error(err))
	}
}

// candidates returns the limpets that accept calls. A limpet that has sent no
// status yet is included as idle with a window of one call.
func (f *Fleet) candidates(limpets []host.Member, now time.Time) []route.Candidate {
	current := f.follower.Table()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var candidates []route.Candidate
	for _, limpet := range limpets {
		if current.ZoneOut(limpet.Zone()) || current.ServerOut(limpet.Name()) || f.leaving[limpet.Name()] {
			continue
		}
		state, found := f.limpets[limpet.Name()]
		if !found || state.status == nil {
			candidates = append(candidates, route.NewCandidate(limpet.Name(), limpet.Zone(), 0, 1, 0, 0, 0, 0, 0))
			continue
		}
		age := now.Sub(state.statusTime)
		if state.unreachable || state.status.GetRefusing() || age > maxStatusAge {
			continue
		}
		status := state.status
		candidates = append(candidates, route.NewCandidate(limpet.Name(), limpet.Zone(), status.GetRunning(), status.GetWindow(),
			status.GetQueued(), status.GetQueuedTokens(), status.GetTokensPerSecond(), state.outstandingTokens, age))
	}
	return candidates
}

// state returns the state of a limpet and creates it if necessary. The caller
// holds the mutex.
func (f *Fleet) state(server string) *limpetState {
	state, found := f.limpets[server]
	if !found {
		state = &limpetState{}
		f.limpets[server] = state
	}
	return state
}

// removeDeparted removes the state of limpets that are not on the roster.
func (f *Fleet) removeDeparted() {
	roster := f.roster.Roster()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for name := range f.limpets {
		if _, found := roster.Limpet(name); !found {
			delete(f.limpets, name)
		}
	}
}
