// Package neighbor exchanges heartbeats with the other halls: which
// configuration each holds and whether it reaches the key-value service.
//
// An entry that is cut off from the service still learns of a withdrawn key
// from its peers in seconds. One that hears neither the service nor enough
// peers stops serving keyed routes (Current).
//
// # Usage
//
//	n := neighbor.New(identity, roster, follower, fleet, client, logger)
//	group.Every("exchange", neighbor.ExchangeInterval, n.Exchange)
//	if err := n.Current(now); err != nil { refuse }
package neighbor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/fleet"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
)

const (
	// ExchangeInterval is the pause between two heartbeats to a hall.
	ExchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
	// heardBound is the age up to which a hall's last word counts.
	heardBound = 2 * time.Second
	// storeBound is the age up to which the service's last answer counts: a
	// watch answers at least every two seconds.
	storeBound = 4 * time.Second
)

// Neighbors is what a hall knows of the other halls.
type Neighbors struct {
	identity fleet.Identity
	roster   *host.Watcher
	follower *configuration.Follower
	fleet    *fleet.Fleet
	client   *peer.Client
	logger   *zap.Logger

	mutex sync.Mutex
	heard map[string]heard
}

type heard struct {
	status *wire.HallStatus
	at     time.Time
}

// New returns neighbors of which nothing was heard.
func New(identity fleet.Identity, roster *host.Watcher, follower *configuration.Follower, limpets *fleet.Fleet, client *peer.Client, logger *zap.Logger) *Neighbors {
	return &Neighbors{identity: identity, roster: roster, follower: follower, fleet: limpets, client: client, logger: logger, heard: make(map[string]heard)}
}

// Exchange sends one heartbeat to each other hall.
func (n *Neighbors) Exchange(ctx context.Context) {
	var wait sync.WaitGroup
	for _, hall := range n.roster.Roster().Halls() {
		if hall.Name() == n.identity.Name {
			continue
		}
		wait.Go(func() { n.exchange(ctx, hall) })
	}
	wait.Wait()
}

// Receive takes in the heartbeat of another hall and returns this hall's.
func (n *Neighbors) Receive(status *wire.HallStatus) *wire.HallStatus {
	n.note(status)
	return n.Status(time.Now())
}

// Status returns this hall's heartbeat.
func (n *Neighbors) Status(now time.Time) *wire.HallStatus {
	return &wire.HallStatus{
		Hall: n.identity.Name, Zone: n.identity.Zone, Incarnation: n.identity.Incarnation,
		ConfigurationRevision: n.follower.Table().Revision(), StoreReachable: n.StoreReachable(now),
		RosterRevision: n.roster.Roster().Revision(),
	}
}

// Statuses returns the last heartbeat of each hall that was heard lately.
func (n *Neighbors) Statuses(now time.Time) []*wire.HallStatus {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var statuses []*wire.HallStatus
	for _, hall := range n.roster.Roster().Halls() {
		if last, found := n.heard[hall.Name()]; found && now.Sub(last.at) < heardBound {
			statuses = append(statuses, last.status)
		}
	}
	return statuses
}

// StoreReachable reports whether the service answered lately.
func (n *Neighbors) StoreReachable(now time.Time) bool {
	return now.Sub(n.follower.LastContact()) < storeBound
}

// Current returns nil if this hall's configuration can be taken for the newest
// accepted one, and a configurationUnknown failure otherwise.
//
// That is so while the service answers, while a hall that the service answers
// is heard, or while more than half of the roster is heard and none of it
// reaches the service. The last case is the price of serving through an
// outage: a minority that reaches the service may accept a change that the
// larger, cut-off half does not learn of.
func (n *Neighbors) Current(now time.Time) error {
	if n.StoreReachable(now) {
		return nil
	}
	if n.anyReachesStore(now) || n.majorityHeard(now) {
		return nil
	}
	return failure.New(failure.CodeConfigurationOld, failure.NotRun,
		"this entry has lost contact with the key-value service and with its peers: use another entry").WithRetryAfter(time.Second)
}

// OutageEverywhere reports whether more than half of the roster is heard and
// no hall among it reaches the service: then nobody can change what the
// service holds, save behind a partition.
func (n *Neighbors) OutageEverywhere(now time.Time) bool {
	return !n.StoreReachable(now) && !n.anyReachesStore(now) && n.majorityHeard(now)
}

func (n *Neighbors) exchange(ctx context.Context, hall host.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	status, err := n.client.Hall(hall.Address()).Exchange(ctx, n.Status(time.Now()))
	if err != nil {
		n.logger.Debug("hall did not answer", zap.String("hall", hall.Name()), zap.Error(err))
		return
	}
	n.note(status)
	if status.GetConfigurationRevision() > n.follower.Table().Revision() {
		n.fetch(ctx, hall)
	}
}

func (n *Neighbors) fetch(ctx context.Context, hall host.Member) {
	reply, err := n.client.Hall(hall.Address()).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{HaveRevision: n.follower.Table().Revision()})
	if err != nil || len(reply.GetSnapshot()) == 0 {
		return
	}
	newer, err := table.Restore(reply.GetSnapshot())
	if err != nil {
		n.logger.Warn("peer sent a damaged configuration", zap.String("hall", hall.Name()), zap.Error(err))
		return
	}
	if n.follower.Install(newer) {
		n.logger.Info("configuration taken from a peer", zap.String("hall", hall.Name()), zap.Uint64("revision", newer.Revision()))
	}
}

func (n *Neighbors) note(status *wire.HallStatus) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heard[status.GetHall()] = heard{status: status, at: time.Now()}
}

func (n *Neighbors) anyReachesStore(now time.Time) bool {
	for _, status := range n.Statuses(now) {
		if status.GetStoreReachable() {
			return true
		}
	}
	return false
}

func (n *Neighbors) majorityHeard(now time.Time) bool {
	members := len(n.roster.Roster().Members())
	heardNow := 1 + len(n.Statuses(now)) + n.fleet.CountReachable(now)
	return members > 0 && 2*heardNow > members
}
