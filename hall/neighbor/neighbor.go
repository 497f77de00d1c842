// Package neighbor exchanges heartbeats with the other halls. A heartbeat says
// which configuration revision a hall holds and whether it reaches the key-value
// service.
//
// A hall that is cut off from the service learns of a withdrawn key from its
// peers within seconds. A hall that reaches neither the service nor enough peers
// stops serving the routes that need a key (see CheckCurrent).
//
// # Usage
//
//	n := neighbor.New(identity, roster, follower, fleet, client, logger)
//	group.Every("exchange", neighbor.HeartbeatInterval, n.SendHeartbeats)
//	err := n.CheckCurrent(now)
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
	// HeartbeatInterval is the time between two heartbeats to a hall.
	HeartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// maxHeartbeatAge is the age up to which the last heartbeat of a hall is used.
	maxHeartbeatAge = 2 * time.Second
	// maxStoreContactAge is the age of the last contact up to which the key-value
	// service counts as reachable. A watch is answered at least every two seconds.
	maxStoreContactAge = 4 * time.Second
)

// Neighbors holds the last heartbeats of the other halls. It is safe for
// concurrent use.
type Neighbors struct {
	identity fleet.Identity
	roster   *host.Watcher
	follower *configuration.Follower
	fleet    *fleet.Fleet
	client   *peer.Client
	logger   *zap.Logger

	mutex      sync.Mutex
	heartbeats map[string]heartbeat // By hall.
}

type heartbeat struct {
	status     *wire.HallStatus
	receivedAt time.Time
}

// New returns neighbors without heartbeats.
func New(identity fleet.Identity, roster *host.Watcher, follower *configuration.Follower, limpets *fleet.Fleet, client *peer.Client, logger *zap.Logger) *Neighbors {
	return &Neighbors{identity: identity, roster: roster, follower: follower, fleet: limpets, client: client, logger: logger, heartbeats: make(map[string]heartbeat)}
}

// SendHeartbeats sends a heartbeat to each other hall and waits for the replies.
func (n *Neighbors) SendHeartbeats(ctx context.Context) {
	var group sync.WaitGroup
	for _, hall := range n.roster.Roster().Halls() {
		if hall.Name() == n.identity.Name {
			continue
		}
		group.Go(func() { n.sendHeartbeat(ctx, hall) })
	}
	group.Wait()
}

// HandleHeartbeat records the heartbeat of another hall and returns this hall's.
func (n *Neighbors) HandleHeartbeat(status *wire.HallStatus) *wire.HallStatus {
	n.record(status)
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

// Statuses returns the last heartbeat of each other hall on the roster, if it is
// not older than maxHeartbeatAge.
func (n *Neighbors) Statuses(now time.Time) []*wire.HallStatus {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var statuses []*wire.HallStatus
	for _, hall := range n.roster.Roster().Halls() {
		if last, found := n.heartbeats[hall.Name()]; found && now.Sub(last.receivedAt) < maxHeartbeatAge {
			statuses = append(statuses, last.status)
		}
	}
	return statuses
}

// StoreReachable reports whether the key-value service answered this hall within
// maxStoreContactAge.
func (n *Neighbors) StoreReachable(now time.Time) bool {
	return now.Sub(n.follower.LastContact()) < maxStoreContactAge
}

// CheckCurrent returns nil if this hall can assume that its configuration is the
// latest accepted one, and a configurationUnknown failure otherwise.
//
// It can if one of these holds: the key-value service answers this hall; a hall
// that reaches the service sends heartbeats; or more than half of the roster is
// reachable and no hall among it reaches the service. The last case keeps the
// halls serving during an outage of the service, at a cost: a minority that
// reaches the service may accept a change that the cut-off majority misses.
func (n *Neighbors) CheckCurrent(now time.Time) error {
	if n.StoreReachable(now) {
		return nil
	}
	if n.anyReachesStore(now) || n.majorityReachable(now) {
		return nil
	}
	return failure.New(failure.CodeConfigurationUnknown, failure.NotRun,
		"this hall has lost contact with the key-value service and with its peers: use another hall").WithRetryAfter(time.Second)
}

// MajorityLostStore reports whether more than half of the roster is reachable and
// no hall among it reaches the key-value service. In that case nobody can change
// the data of the service, except behind a network partition.
func (n *Neighbors) MajorityLostStore(now time.Time) bool {
	return !n.StoreReachable(now) && !n.anyReachesStore(now) && n.majorityReachable(now)
}

// sendHeartbeat exchanges heartbeats with a hall and fetches its configuration if
// that is newer.
func (n *Neighbors) sendHeartbeat(ctx context.Context, hall host.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	status, err := n.client.Hall(hall.Address()).Exchange(ctx, n.Status(time.Now()))
	if err != nil {
		n.logger.Debug("hall did not answer the heartbeat", zap.String("hall", hall.Name()), zap.Error(err))
		return
	}
	n.record(status)
	if status.GetConfigurationRevision() > n.follower.Table().Revision() {
		n.fetchConfiguration(ctx, hall)
	}
}

func (n *Neighbors) fetchConfiguration(ctx context.Context, hall host.Member) {
	reply, err := n.client.Hall(hall.Address()).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{HaveRevision: n.follower.Table().Revision()})
	if err != nil || len(reply.GetSnapshot()) == 0 {
		return
	}
	received, err := table.Restore(reply.GetSnapshot())
	if err != nil {
		n.logger.Warn("hall sent an invalid configuration", zap.String("hall", hall.Name()), zap.Error(err))
		return
	}
	if n.follower.Install(received) {
		n.logger.Info("installed the configuration of another hall", zap.String("hall", hall.Name()), zap.Uint64("revision", received.Revision()))
	}
}

func (n *Neighbors) record(status *wire.HallStatus) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heartbeats[status.GetHall()] = heartbeat{status: status, receivedAt: time.Now()}
}

func (n *Neighbors) anyReachesStore(now time.Time) bool {
	for _, status := range n.Statuses(now) {
		if status.GetStoreReachable() {
			return true
		}
	}
	return false
}

// majorityReachable reports whether this hall, the halls with a recent heartbeat
// and the limpets with a recent status are more than half of the roster. The
// roster also includes the keepers.
func (n *Neighbors) majorityReachable(now time.Time) bool {
	members := len(n.roster.Roster().Members())
	reachable := 1 + len(n.Statuses(now)) + n.fleet.CountReachable(now)
	return members > 0 && 2*reachable > members
}
