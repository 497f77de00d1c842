// Package hall implements the process that runs on an entry host. It
// authenticates callers, applies rate limits, runs the calls of a program in
// order, routes them to limpets and keeps the history of programs.
//
// # Usage
//
//	process, err := hall.New(settings, network.TCP{}, store, loggers)
//	err = process.Start(ctx)
//	…
//	err = process.Stop(ctx) // Graceful: waits for active requests.
package hall

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"limpethall.dev/hall/dispatch"
	"limpethall.dev/hall/entry"
	"limpethall.dev/hall/fleet"
	"limpethall.dev/hall/home"
	"limpethall.dev/hall/neighbor"
	"limpethall.dev/hall/peers"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/hall/suspect"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/task"
)

const (
	// maxServerCrashes is the number of servers that may die while they run a
	// request before the request is rejected.
	maxServerCrashes = 2
	cleanupInterval  = 10 * time.Second
	hostListInterval = time.Second
	maxPeerBodyBytes = 64 << 20
	// bodyReadFactor is the multiple of the body limit up to which a body is still
	// read, so that its rejection has the usual error form. The HTTP library
	// rejects larger bodies.
	bodyReadFactor = 4
)

// Process is one hall.
type Process struct {
	settings       Settings
	network        network.Network
	loggers        *logs.Factory
	logger         *zap.Logger
	store          platform.Store
	secrets        *secret.Keyring
	identity       fleet.Identity
	publicListener *listener.Listener
	peerListener   *listener.Listener
	meters         *metrics.Meters
	client         *peer.Client
	roster         *host.Watcher
	registrar      *host.Registrar
	follower       *configuration.Follower
	fleet          *fleet.Fleet
	neighbors      *neighbor.Neighbors
	shareManager   *ratelimit.ShareManager
	limiter        *ratelimit.Limiter
	suspects       *suspect.Tracker
	home           *home.Home
	hostList       platform.HostList // Nil if no host list is configured.
	tasks          *task.Group
	stopping       atomic.Bool
}

// New opens the two listeners of the hall. They serve no requests before Start.
func New(config Settings, transport network.Network, store platform.Store, loggers *logs.Factory) (*Process, error) {
	p := &Process{settings: config, network: transport, loggers: loggers, logger: loggers.Logger("hall"), store: store}
	if err := p.openResources(); err != nil {
		p.close()
		return nil, err
	}
	p.initCluster()
	if err := p.initServers(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// Address returns the host and port of the public listener.
func (p *Process) Address() string { return p.publicListener.Address() }

// PeerAddress returns the host and port of the listener for other processes of
// the system.
func (p *Process) PeerAddress() string { return p.peerListener.Address() }

// Start starts the listeners and the background tasks and returns. The context
// bounds the background tasks.
func (p *Process) Start(ctx context.Context) error {
	p.tasks = task.New(ctx, p.logger)
	p.publicListener.Start()
	p.peerListener.Start()
	p.tasks.Go("registration", p.registrar.Run)
	if p.settings.SecretsFile != "" {
		p.tasks.Every("secrets", settings.SecretsReloadInterval, p.settings.SecretsReloader(p.secrets, p.logger))
	}
	p.tasks.Go("roster", p.roster.Follow)
	p.tasks.Go("configuration", p.follower.Run)
	p.tasks.Go("share registration", p.shareManager.Register)
	p.tasks.Go("shares", p.shareManager.Follow)
	p.tasks.Go("suspects", p.suspects.Follow)
	p.tasks.Every("beats", fleet.HeartbeatInterval, p.fleet.SendHeartbeats)
	p.tasks.Every("exchange", neighbor.HeartbeatInterval, p.neighbors.SendHeartbeats)
	p.tasks.Every("tidy", cleanupInterval, p.home.EndIdle)
	if p.hostList != nil {
		p.tasks.Every("host list", hostListInterval, p.refreshHostList)
	}
	p.logger.Info("hall started", zap.String("address", p.Address()), zap.String("peers", p.PeerAddress()))
	return nil
}

// Stop shuts down gracefully. It fails the readiness probe, serves requests for
// the drain delay so that the load balancer can stop sending them, waits for the
// active requests, transfers the hall's rate share and closes the listeners.
func (p *Process) Stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.logger.Info("hall is stopping", zap.Duration("drainDelay", p.settings.DrainDelay.Value()))
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.DrainDelay.Value()):
	}
	drainErr := p.publicListener.Drain(ctx)
	if err := p.registrar.Deregister(ctx); err != nil {
		p.logger.Warn("failed to deregister; the registration expires with its lease", zap.Error(err))
	}
	drainErr = errors.Join(drainErr, p.peerListener.Drain(ctx))
	p.tasks.Stop()
	if err := p.shareManager.Leave(ctx); err != nil {
		p.logger.Warn("share not transferred; another hall takes it over later", zap.Error(err))
	}
	p.close()
	return drainErr
}

// Kill stops the process immediately, without draining, like a crash.
func (p *Process) Kill() {
	p.tasks.Stop()
	p.close()
}

// openResources loads the secrets, opens the listeners and creates the meters and
// the client of the host list.
func (p *Process) openResources() error {
	var err error
	if p.secrets, err = p.settings.LoadSecrets(); err != nil {
		return err
	}
	tlsConfig, err := p.publicTLSConfig()
	if err != nil {
		return err
	}
	p.publicListener, err = listener.New(listener.Options{Network: p.network, Address: p.settings.Listen, MaxBody: bodyReadFactor * p.settings.Limits.MaxBodyBytes, TLS: tlsConfig, Logger: p.logger})
	if err != nil {
		return err
	}
	if p.peerListener, err = listener.New(listener.Options{Network: p.network, Address: p.settings.PeerListen, MaxBody: maxPeerBodyBytes, Logger: p.logger}); err != nil {
		return err
	}
	if p.meters, err = metrics.New("hall"); err != nil {
		return err
	}
	if p.settings.Hosts.Address == "" {
		return nil
	}
	newHostList, err := platform.HostLists.Find(p.settings.Hosts.Protocol)
	if err != nil {
		return err
	}
	p.hostList, err = newHostList(p.network, p.settings.Hosts.Address)
	return err
}

// initCluster creates the client and the state that the hall shares with other
// processes: roster, configuration, heartbeats, rate shares and suspect requests.
func (p *Process) initCluster() {
	p.identity = fleet.Identity{Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: uint64(time.Now().UnixNano())}
	p.client = peer.NewClient(p.secrets, p.network)
	p.roster = host.NewWatcher(p.store, p.loggers.Logger("roster"))
	p.follower = configuration.NewFollower(p.store, p.loggers.Logger("configuration"))
	p.fleet = fleet.New(p.identity, p.roster, p.follower, p.client, p.loggers.Logger("fleet"))
	p.neighbors = neighbor.New(p.identity, p.roster, p.follower, p.fleet, p.client, p.loggers.Logger("neighbor"))
	p.shareManager = ratelimit.NewShareManager(p.store, p.identity.Name, p.identity.Incarnation, p.neighbors.MajorityLostStore, p.loggers.Logger("limit"))
	lenders := ratelimit.NewPeers(p.identity.Name, p.roster, p.shareManager, func(hall host.Member) ratelimit.Lender { return p.client.Hall(hall.Address()) }, time.Now, p.loggers.Logger("limit"))
	p.limiter = ratelimit.New(lenders, p.shareManager.ShareValid, 0, time.Now)
	p.shareManager.SetLimiter(p.limiter)
	p.follower.Subscribe(p.limiter.Configure)
	p.suspects = suspect.New(p.store, maxServerCrashes, time.Now, p.loggers.Logger("suspect"))
}

// initServers creates the home of programs and mounts the public and the internal
// API.
func (p *Process) initServers() error {
	member := host.NewHall(p.identity.Name, p.identity.Zone, p.advertisedAddress(), p.identity.Incarnation)
	var err error
	p.registrar, err = host.NewMemberRegistrar(p.store, member, p.settings.Store.LeaseTTL.Value(), p.loggers.Logger("roster"))
	if err != nil {
		return err
	}
	replicas := program.NewReplicaStore()
	if p.home, err = p.newHome(replicas); err != nil {
		return err
	}
	counters, err := entry.NewCounters(p.meters)
	if err != nil {
		return err
	}
	entry.New(entry.Options{Name: p.identity.Name, MaxBody: p.settings.Limits.MaxBodyBytes}, entry.Dependencies{
		Follower: p.follower, Neighbors: p.neighbors, Limiter: p.limiter, Home: p.home, Roster: p.roster,
		Client: p.client, Counters: counters, Logger: p.loggers.Logger("entry"), Now: time.Now,
	}).Mount(p.publicListener)
	listener.NewProbes(p.Ready, p.meters.Handler()).Mount(p.publicListener)
	peers.New(peers.Dependencies{
		Follower: p.follower, Neighbors: p.neighbors, Limiter: p.limiter, Fleet: p.fleet, Home: p.home,
		Replicas: replicas, Active: p.publicListener.ActiveRequests, Logger: p.loggers.Logger("peers"), Now: time.Now,
	}).Mount(p.peerListener, p.secrets)
	return nil
}

func (p *Process) newHome(replicas *program.ReplicaStore) (*home.Home, error) {
	newPolicy, err := route.Policies.Find(p.settings.Route.Policy)
	if err != nil {
		return nil, err
	}
	prefixCache, err := dispatch.NewPrefixCache()
	if err != nil {
		return nil, err
	}
	policy := newPolicy(route.Options{Zone: p.identity.Zone, PrefillTokensPerSecond: p.settings.Route.PrefillRate, Random: rand.IntN})
	limits := p.settings.Limits
	options := home.Options{
		Identity: p.identity, MaxTurns: limits.MaxTurns, MaxHistoryBytes: limits.MaxHistoryBytes, IdleTimeout: limits.ProgramIdle.Value(),
		BytesPerToken: limits.BytesPerToken, DefaultMaxAnswerTokens: limits.MaxAnswerTokens, ServiceTimeout: limits.ServiceTimeout.Value(),
	}
	return home.New(options, home.Dependencies{
		Keyring: p.secrets, Roster: p.roster, Registrar: p.registrar, Follower: p.follower, Fleet: p.fleet,
		Dispatcher:  dispatch.New(p.fleet, p.client, policy, p.loggers.Logger("route"), time.Now),
		PrefixCache: prefixCache, Client: p.client, Records: home.NewRecordStore(p.store), Suspects: p.suspects, Replicas: replicas,
		Logger: p.loggers.Logger("home"), Now: time.Now,
	}), nil
}

// publicTLSConfig returns nil if the public listener uses no TLS.
func (p *Process) publicTLSConfig() (*tls.Config, error) {
	if p.settings.TLS.CertificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.settings.TLS.CertificateFile, p.settings.TLS.KeyFile)
	if err != nil {
		return nil, oops.In("hall").Wrapf(err, "load the TLS certificate of the public listener")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

func (p *Process) advertisedAddress() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.peerListener.Address()
}

// Ready returns nil if the load balancer may send requests, and the reason
// otherwise.
func (p *Process) Ready() error {
	if p.stopping.Load() {
		return errors.New("this hall is stopping")
	}
	if p.follower.Table().Revision() == 0 {
		return errors.New("no configuration received yet")
	}
	now := time.Now()
	if !p.shareManager.ShareValid(now) {
		return errors.New("no rate share received yet")
	}
	return p.neighbors.CheckCurrent(now)
}

// refreshHostList updates the fleet from the platform's host list. After an error
// the last list stays in use.
func (p *Process) refreshHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	hosts, err := p.hostList.Hosts(ctx)
	if err != nil {
		p.logger.Debug("could not read the host list, using the last one", zap.Error(err))
		return
	}
	p.fleet.SetHosts(hosts)
}

// close closes the client and the listeners. It may be called before all of them
// are open.
func (p *Process) close() {
	if p.client != nil {
		p.client.Close()
	}
	for _, openListener := range []*listener.Listener{p.publicListener, p.peerListener} {
		if openListener == nil {
			continue
		}
		if err := openListener.Close(); err != nil {
			p.logger.Warn("could not close a listener", zap.Error(err))
		}
	}
}

// Revision returns the revision of the configuration that this hall uses.
func (p *Process) Revision() uint64 { return p.follower.Table().Revision() }
