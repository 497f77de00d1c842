// Package fleet is a hall's view of the limpets: their load, whether they may
// be given work, and which configuration they hold.
//
// # Usage
//
//	f := fleet.New(identity, roster, follower, client, logger)
//	group.Every("beats", fleet.BeatInterval, f.Beat)
//	candidates := f.ModelCandidates("dialect", now)
//	f.Sent("server-3", cost)
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
	// BeatInterval is the pause between two heartbeats to a limpet.
	BeatInterval = 500 * time.Millisecond
	beatTimeout  = time.Second
	// silence is how long a limpet may be unheard and still get work.
	silence = 2 * time.Second
	// beatsAtOnce bounds the heartbeats under way.
	beatsAtOnce = 64
)

// Identity names the hall to limpets.
type Identity struct {
	Name        string
	Zone        string
	Incarnation uint64
}

// Fleet is the view of all limpets. It is safe for concurrent use.
type Fleet struct {
	identity Identity
	roster   *host.Watcher
	follower *configuration.Follower
	client   *peer.Client
	logger   *zap.Logger

	mutex   sync.Mutex
	views   map[string]*view
	leaving map[string]bool
}

type view struct {
	status      *wire.LimpetStatus
	heard       time.Time
	outstanding int64
	failed      bool
}

// New returns a fleet without any view.
func New(identity Identity, roster *host.Watcher, follower *configuration.Follower, client *peer.Client, logger *zap.Logger) *Fleet {
	return &Fleet{
		identity: identity, roster: roster, follower: follower, client: client, logger: logger,
		views: make(map[string]*view), leaving: make(map[string]bool),
	}
}

// Beat sends one heartbeat to each limpet on the roster and waits for the
// answers.
func (f *Fleet) Beat(ctx context.Context) {
	var wait sync.WaitGroup
	room := make(chan struct{}, beatsAtOnce)
	for _, limpet := range f.roster.Roster().Limpets() {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			f.beat(ctx, limpet)
		})
	}
	wait.Wait()
	f.forget()
}

// SetHosts takes in the platform's list of hosts: those leaving get no work.
func (f *Fleet) SetHosts(hosts []platform.Host) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving = make(map[string]bool)
	for _, listed := range hosts {
		if listed.State == platform.HostLeaving {
			f.leaving[listed.Name] = true
		}
	}
}

// ModelCandidates returns the servers that hold the model and may get work.
func (f *Fleet) ModelCandidates(model string, now time.Time) []route.Candidate {
	return f.candidates(f.roster.Roster().ModelLimpets(model), now)
}

// ServiceCandidates returns the servers of a plain service that may get work.
func (f *Fleet) ServiceCandidates(service string, now time.Time) []route.Candidate {
	return f.candidates(f.roster.Roster().ServiceLimpets(service), now)
}

// ServicesOut returns the servers of plain services that take no calls now.
func (f *Fleet) ServicesOut() []string {
	var services []host.Member
	for _, limpet := range f.roster.Roster().Limpets() {
		if limpet.Service() != "" {
			services = append(services, limpet)
		}
	}
	in := make(map[string]bool)
	for _, candidate := range f.candidates(services, time.Now()) {
		in[candidate.Server()] = true
	}
	var out []string
	for _, limpet := range services {
		if !in[limpet.Name()] {
			out = append(out, limpet.Name())
		}
	}
	return out
}

// Limpet returns the roster's entry for a server.
func (f *Fleet) Limpet(server string) (host.Member, bool) {
	return f.roster.Roster().Limpet(server)
}

// Statuses returns the last status of every limpet.
func (f *Fleet) Statuses() []*wire.LimpetStatus {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	statuses := make([]*wire.LimpetStatus, 0, len(f.views))
	for _, limpet := range f.roster.Roster().Limpets() {
		if seen, found := f.views[limpet.Name()]; found && seen.status != nil {
			statuses = append(statuses, seen.status)
		}
	}
	return statuses
}

// Heard returns how many limpets on the roster answered lately.
func (f *Fleet) Heard(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	heard := 0
	for _, limpet := range f.roster.Roster().Limpets() {
		if seen, found := f.views[limpet.Name()]; found && now.Sub(seen.heard) < silence {
			heard++
		}
	}
	return heard
}

// Sent counts a call under way to a server until its next report.
func (f *Fleet) Sent(server string, cost int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.view(server).outstanding += cost
}

// Report takes in a status that came with an answer.
func (f *Fleet) Report(status *wire.LimpetStatus) {
	if status == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := f.view(status.GetServer())
	seen.status = status
	seen.heard = time.Now()
	seen.failed = false
	seen.outstanding = 0
}

// Failed marks a server as unreachable until it answers a heartbeat.
func (f *Fleet) Failed(server string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.view(server).failed = true
}

func (f *Fleet) beat(ctx context.Context, limpet host.Member) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	accepted := f.follower.Table()
	status, err := f.client.Limpet(limpet.Address()).Beat(ctx, &wire.BeatRequest{
		Hall: f.identity.Name, Incarnation: f.identity.Incarnation, ConfigurationRevision: accepted.Revision(),
	})
	if err != nil {
		f.logger.Debug("limpet did not answer", zap.String("server", limpet.Name()), zap.Error(err))
		return
	}
	f.Report(status)
	if status.GetConfigurationRevision() >= accepted.Revision() {
		return
	}
	snapshot, err := accepted.Snapshot()
	if err != nil {
		return
	}
	request := &wire.InstallRequest{Revision: accepted.Revision(), Snapshot: snapshot}
	if _, err := f.client.Limpet(limpet.Address()).Install(ctx, request); err != nil {
		f.logger.Warn("configuration not handed over", zap.String("server", limpet.Name()), zap.Error(err))
	}
}

func (f *Fleet) candidates(limpets []host.Member, now time.Time) []route.Candidate {
	accepted := f.follower.Table()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var candidates []route.Candidate
	for _, limpet := range limpets {
		if accepted.ZoneOut(limpet.Zone()) || accepted.ServerOut(limpet.Name()) || f.leaving[limpet.Name()] {
			continue
		}
		seen, found := f.views[limpet.Name()]
		if !found || seen.status == nil {
			candidates = append(candidates, route.NewCandidate(limpet.Name(), limpet.Zone(), 0, 1, 0, 0, 0, 0, 0))
			continue
		}
		age := now.Sub(seen.heard)
		if seen.failed || seen.status.GetRefusing() || age > silence {
			continue
		}
		status := seen.status
		candidates = append(candidates, route.NewCandidate(limpet.Name(), limpet.Zone(), status.GetRunning(), status.GetWindow(),
			status.GetQueued(), status.GetQueuedTokens(), status.GetTokensPerSecond(), seen.outstanding, age))
	}
	return candidates
}

func (f *Fleet) view(server string) *view {
	seen, found := f.views[server]
	if !found {
		seen = &view{}
		f.views[server] = seen
	}
	return seen
}

// forget drops the views of limpets that left the roster.
func (f *Fleet) forget() {
	roster := f.roster.Roster()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for name := range f.views {
		if _, found := roster.Limpet(name); !found {
			delete(f.views, name)
		}
	}
}
