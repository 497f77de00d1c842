// Package hall is the process on an entry host: it authenticates, limits and
// orders programs' calls, routes them to limpets, keeps history and answers
// callers.
//
// # Usage
//
//	process, err := hall.New(settings, network.TCP{}, store, book)
//	err = process.Start(ctx)
//	…
//	err = process.Stop(ctx) // graceful: no request is cut
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

	"limpethall.dev/hall/allowance"
	"limpethall.dev/hall/dispatch"
	"limpethall.dev/hall/entry"
	"limpethall.dev/hall/fleet"
	"limpethall.dev/hall/home"
	"limpethall.dev/hall/neighbor"
	"limpethall.dev/hall/peers"
	"limpethall.dev/hall/suspect"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/duty"
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
)

const (
	// maxDeaths is how many servers a request may take down before it is refused.
	maxDeaths        = 2
	tidyInterval     = 10 * time.Second
	hostListInterval = time.Second
	peerBodyBytes    = 64 << 20
	// hardBodyFactor is by how much a body may be over the limit and still be
	// read, so that its refusal has the usual form. Beyond it the connection is
	// refused by the HTTP library.
	hardBodyFactor = 4
)

// Process is one hall.
type Process struct {
	settings  Settings
	network   network.Network
	logs      *logs.Book
	logger    *zap.Logger
	store     platform.Store
	book      *secret.Book
	identity  fleet.Identity
	public    *listener.Listener
	internal  *listener.Listener
	meters    *metrics.Meters
	client    *peer.Client
	roster    *host.Watcher
	registrar *host.Registrar
	follower  *configuration.Follower
	fleet     *fleet.Fleet
	neighbors *neighbor.Neighbors
	keeper    *allowance.Keeper
	allowance *allowance.Allowance
	suspects  *suspect.Book
	home      *home.Home
	hosts     platform.HostList
	duties    *duty.Group
	leaving   atomic.Bool
}

// New opens the hall's two ports; nothing is served before Start.
func New(chosen Settings, own network.Network, store platform.Store, book *logs.Book) (*Process, error) {
	p := &Process{settings: chosen, network: own, logs: book, logger: book.Layer("hall"), store: store}
	if err := p.open(); err != nil {
		p.close()
		return nil, err
	}
	p.connect()
	if err := p.assemble(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// Address returns host and port for callers.
func (p *Process) Address() string { return p.public.Address() }

// PeerAddress returns host and port for the system's own processes.
func (p *Process) PeerAddress() string { return p.internal.Address() }

// Start serves until Stop.
func (p *Process) Start(ctx context.Context) error {
	p.duties = duty.New(ctx, p.logger)
	p.public.Start()
	p.internal.Start()
	p.duties.Go("registration", p.registrar.Keep)
	if p.settings.SecretsFile != "" {
		p.duties.Every("secrets", settings.SecretsInterval, p.settings.FollowSecrets(p.book, p.logger))
	}
	p.duties.Go("roster", p.roster.Follow)
	p.duties.Go("configuration", p.follower.Follow)
	p.duties.Go("share tenure", p.keeper.Register)
	p.duties.Go("shares", p.keeper.Follow)
	p.duties.Go("suspects", p.suspects.Follow)
	p.duties.Every("beats", fleet.HeartbeatInterval, p.fleet.SendHeartbeats)
	p.duties.Every("exchange", neighbor.HeartbeatInterval, p.neighbors.SendHeartbeats)
	p.duties.Every("tidy", tidyInterval, p.home.Tidy)
	if p.hosts != nil {
		p.duties.Every("host list", hostListInterval, p.readHosts)
	}
	p.logger.Info("hall serves", zap.String("address", p.Address()), zap.String("peers", p.PeerAddress()))
	return nil
}

// Stop fails the readiness probe, goes on serving until the balancer has left,
// waits for all requests, hands over shares, and stops.
func (p *Process) Stop(ctx context.Context) error {
	p.leaving.Store(true)
	p.logger.Info("hall stops", zap.Duration("drainDelay", p.settings.DrainDelay.Length()))
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.DrainDelay.Length()):
	}
	drained := p.public.Drain(ctx)
	if err := p.registrar.Leave(ctx); err != nil {
		p.logger.Warn("not taken off the roster, the lease will lapse", zap.Error(err))
	}
	drained = errors.Join(drained, p.internal.Drain(ctx))
	p.duties.Stop()
	if err := p.keeper.Leave(ctx); err != nil {
		p.logger.Warn("share not handed over, it will be taken over later", zap.Error(err))
	}
	p.close()
	return drained
}

// Kill stops at once, as a crash would.
func (p *Process) Kill() {
	p.duties.Stop()
	p.close()
}

func (p *Process) open() error {
	var err error
	if p.book, err = p.settings.OpenSecrets(); err != nil {
		return err
	}
	encryption, err := p.encryption()
	if err != nil {
		return err
	}
	p.public, err = listener.New(listener.Options{Network: p.network, Address: p.settings.Listen, MaxBody: hardBodyFactor * p.settings.Limits.MaxBodyBytes, TLS: encryption})
	if err != nil {
		return err
	}
	if p.internal, err = listener.New(listener.Options{Network: p.network, Address: p.settings.PeerListen, MaxBody: peerBodyBytes}); err != nil {
		return err
	}
	if p.meters, err = metrics.New("hall"); err != nil {
		return err
	}
	if p.settings.Hosts.Address == "" {
		return nil
	}
	construct, err := platform.HostLists.Find(p.settings.Hosts.Protocol)
	if err != nil {
		return err
	}
	p.hosts, err = construct(p.network, p.settings.Hosts.Address)
	return err
}

// connect builds what the hall knows of the others.
func (p *Process) connect() {
	p.identity = fleet.Identity{Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: uint64(time.Now().UnixNano())}
	p.client = peer.NewClient(p.book, p.network)
	p.roster = host.NewWatcher(p.store, p.logs.Layer("roster"))
	p.follower = configuration.NewFollower(p.store, p.logs.Layer("configuration"))
	p.fleet = fleet.New(p.identity, p.roster, p.follower, p.client, p.logs.Layer("fleet"))
	p.neighbors = neighbor.New(p.identity, p.roster, p.follower, p.fleet, p.client, p.logs.Layer("neighbor"))
	p.keeper = allowance.NewKeeper(p.store, p.identity.Name, p.identity.Incarnation, p.neighbors.MajorityLostStore, p.logs.Layer("limit"))
	lenders := allowance.NewPeers(p.identity.Name, p.roster, func(address string) allowance.Lender { return p.client.Hall(address) }, time.Now)
	p.allowance = allowance.New(lenders, p.keeper.Valid, 0, time.Now)
	p.keeper.Bind(p.allowance)
	p.follower.Subscribe(p.allowance.Configure)
	p.suspects = suspect.New(p.store, maxDeaths, time.Now, p.logs.Layer("suspect"))
}

// assemble builds what serves callers and peers.
func (p *Process) assemble() error {
	member := host.NewHall(p.identity.Name, p.identity.Zone, p.advertised(), p.identity.Incarnation)
	var err error
	p.registrar, err = host.NewMemberRegistrar(p.store, member, p.settings.Store.LeaseLength.Length(), p.logs.Layer("roster"))
	if err != nil {
		return err
	}
	archive := program.NewArchive()
	if p.home, err = p.newHome(archive); err != nil {
		return err
	}
	counters, err := entry.NewCounters(p.meters)
	if err != nil {
		return err
	}
	entry.New(entry.Options{Name: p.identity.Name, MaxBody: p.settings.Limits.MaxBodyBytes}, entry.Dependencies{
		Follower: p.follower, Neighbors: p.neighbors, Allowance: p.allowance, Home: p.home, Roster: p.roster,
		Client: p.client, Counters: counters, Logger: p.logs.Layer("entry"), Now: time.Now,
	}).Mount(p.public)
	listener.NewProbes(p.Ready, p.meters.Handler()).Mount(p.public)
	peers.New(peers.Dependencies{
		Follower: p.follower, Neighbors: p.neighbors, Allowance: p.allowance, Fleet: p.fleet, Home: p.home,
		Archive: archive, Active: p.public.Active, Logger: p.logs.Layer("peers"), Now: time.Now,
	}).Mount(p.internal, p.book)
	return nil
}

func (p *Process) newHome(archive *program.Archive) (*home.Home, error) {
	construct, err := route.Policies.Find(p.settings.Route.Policy)
	if err != nil {
		return nil, err
	}
	prefixes, err := dispatch.NewPrefixes()
	if err != nil {
		return nil, err
	}
	policy := construct(route.Options{Zone: p.identity.Zone, PrefillRate: p.settings.Route.PrefillRate, Random: rand.IntN})
	limits := p.settings.Limits
	options := home.Options{
		Identity: p.identity, MaxTurns: limits.MaxTurns, MaxHistoryBytes: limits.MaxHistoryBytes, Idle: limits.ProgramIdle.Length(),
		BytesPerToken: limits.BytesPerToken, MaxAnswerTokens: limits.MaxAnswerTokens, ServiceTimeout: limits.ServiceTimeout.Length(),
	}
	return home.New(options, home.Parts{
		Book: p.book, Roster: p.roster, Registrar: p.registrar, Follower: p.follower, Fleet: p.fleet,
		Dispatcher: dispatch.New(p.fleet, p.client, policy, p.logs.Layer("route"), time.Now),
		Prefixes:   prefixes, Client: p.client, Vault: home.NewVault(p.store), Suspects: p.suspects, Archive: archive,
		Logger: p.logs.Layer("home"), Now: time.Now,
	}), nil
}

func (p *Process) encryption() (*tls.Config, error) {
	if p.settings.TLS.CertificateFile == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(p.settings.TLS.CertificateFile, p.settings.TLS.KeyFile)
	if err != nil {
		return nil, oops.In("hall").Wrapf(err, "read the certificate towards callers")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

func (p *Process) advertised() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.internal.Address()
}

// Ready reports why the balancer should send no requests.
func (p *Process) Ready() error {
	if p.leaving.Load() {
		return errors.New("this hall is stopping")
	}
	if p.follower.Table().Revision() == 0 {
		return errors.New("no configuration yet")
	}
	now := time.Now()
	if !p.keeper.Valid(now) {
		return errors.New("no share of the rates yet")
	}
	return p.neighbors.CheckCurrent(now)
}

func (p *Process) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	hosts, err := p.hosts.Hosts(ctx)
	if err != nil {
		p.logger.Debug("host list not read, the last one stays in force", zap.Error(err))
		return
	}
	p.fleet.SetHosts(hosts)
}

func (p *Process) close() {
	if p.client != nil {
		p.client.Close()
	}
	for _, open := range []*listener.Listener{p.public, p.internal} {
		if open == nil {
			continue
		}
		if err := open.Close(); err != nil {
			p.logger.Warn("port not closed", zap.Error(err))
		}
	}
}

// Revision returns the configuration revision in force here.
func (p *Process) Revision() uint64 { return p.follower.Table().Revision() }
