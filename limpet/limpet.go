// Package limpet implements the limpet process, the sidecar proxy of one backend
// server. All calls and placement commands to the server pass through it.
//
// # Usage
//
//	process, err := limpet.New(config, network.TCP{}, store, loggers)
//	err = process.Start(ctx)
//	…
//	err = process.Stop(ctx) // waits for running calls
package limpet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/window"
	"limpethall.dev/limpet/call"
	"limpethall.dev/limpet/engine"
	"limpethall.dev/limpet/pin"
	"limpethall.dev/limpet/placement"
	"limpethall.dev/limpet/plain"
	"limpethall.dev/limpet/rpc"
	"limpethall.dev/limpet/scheduler"
)

const (
	monitorInterval   = 500 * time.Millisecond
	placementInterval = time.Second
	// deregistrationDelay lets halls notice the deregistration before Stop
	// waits for the open calls.
	deregistrationDelay = 500 * time.Millisecond
	drainPollInterval   = 20 * time.Millisecond
	atMostOnceRetention = 15 * time.Minute
	defaultRetention    = 30 * time.Second
)

// Process is one limpet.
type Process struct {
	settings  Settings
	transport network.Network
	logger    *zap.Logger
	store     platform.Store
	secrets   *secret.Keyring
	listener  *listener.Listener
	scheduler *scheduler.Scheduler
	registrar *host.Registrar
	follower  *configuration.Follower
	monitor   *scheduler.Monitor
	placement *placement.Reconciler // Nil for a plain service.
	member    host.Member
	tasks     *task.Group

	mutex     sync.Mutex
	reachable bool
	stopping  bool
}

// New opens the listener. Requests are served only after Start.
func New(config Settings, transport network.Network, store platform.Store, loggers *logs.Factory) (*Process, error) {
	p := &Process{settings: config, transport: transport, store: store, logger: loggers.Logger("limpet"), reachable: true}
	var err error
	if p.secrets, err = config.LoadSecrets(); err != nil {
		return nil, err
	}
	if p.listener, err = listener.New(listener.Options{Network: transport, Address: config.Listen, MaxBody: config.MaxCallBytes, Logger: p.logger}); err != nil {
		return nil, err
	}
	if err := p.build(loggers); err != nil {
		_ = p.listener.Close()
		return nil, err
	}
	return p, nil
}

func (p *Process) build(loggers *logs.Factory) error {
	pins := pin.New(p.settings.PinTTL.Value())
	backend, err := p.openBackend(pins)
	if err != nil {
		return err
	}
	incarnation := uint64(time.Now().UnixNano())
	p.scheduler, err = scheduler.New(p.schedulerOptions(incarnation), backend, time.Now, loggers.Logger("gate"))
	if err != nil {
		return err
	}
	p.follower = configuration.NewFollower(p.store, loggers.Logger("configuration"))
	p.follower.Subscribe(func(*table.Table) { p.updateRefusal() })
	p.monitor = scheduler.NewMonitor(p.scheduler, loggers.Logger("gate"), p.setReachable)
	if modelBackend, isModel := backend.(scheduler.ModelBackend); isModel {
		p.placement = placement.New(p.placementOptions(incarnation), p.store, modelBackend.Engine(), loggers.Logger("placement"))
	}
	p.member = host.NewLimpet(p.settings.Name, p.settings.Zone, p.advertisedAddress(), incarnation, p.settings.Engine.Models, p.settings.Service.Name)
	p.registrar, err = host.NewMemberRegistrar(p.store, p.member, p.settings.Store.LeaseTTL.Value(), loggers.Logger("roster"))
	if err != nil {
		return err
	}
	meters, err := metrics.New("limpet")
	if err != nil {
		return err
	}
	if err := observe(meters, p.scheduler); err != nil {
		return err
	}
	identity := rpc.Identity{Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: incarnation, Models: p.settings.Engine.Models}
	rpc.New(identity, p.scheduler, pins, p.follower, time.Now, loggers.Logger("port")).Mount(p.listener, p.secrets)
	listener.NewProbes(p.ready, meters.Handler()).Mount(p.listener)
	return nil
}

// Address returns the host:port of the listener.
func (p *Process) Address() string { return p.listener.Address() }

// Start starts serving and the background tasks.
func (p *Process) Start(ctx context.Context) error {
	p.tasks = task.New(ctx, p.logger)
	p.listener.Start()
	p.tasks.Go("gate", p.scheduler.Run)
	p.tasks.Every("watch", monitorInterval, p.monitor.Poll)
	p.tasks.Go("registration", p.registrar.Run)
	if p.settings.SecretsFile != "" {
		p.tasks.Every("secrets", settings.SecretsReloadInterval, p.settings.SecretsReloader(p.secrets, p.logger))
	}
	if p.placement != nil {
		p.tasks.Every("orders", placementInterval, p.reconcilePlacement)
	}
	p.logger.Info("limpet started", zap.String("address", p.Address()))
	return nil
}

// Stop refuses new calls, deregisters the limpet, waits for open calls until
// the context ends and then stops.
func (p *Process) Stop(ctx context.Context) error {
	p.mutex.Lock()
	p.stopping = true
	p.mutex.Unlock()
	p.updateRefusal()
	err := p.registrar.Deregister(ctx)
	if err != nil {
		p.logger.Warn("failed to deregister; the registration expires with its lease", zap.Error(err))
	}
	task.Sleep(ctx, deregistrationDelay)
	for p.scheduler.OpenCalls() > 0 && ctx.Err() == nil {
		task.Sleep(ctx, drainPollInterval)
	}
	drained := p.listener.Drain(ctx)
	p.tasks.Stop()
	if err := p.listener.Close(); err != nil {
		return oops.In("limpet").Wrapf(err, "close the listener")
	}
	return drained
}

// Kill stops at once without deregistering or draining, as in a crash.
func (p *Process) Kill() {
	p.tasks.Stop()
	_ = p.listener.Close()
}

func (p *Process) openBackend(pins *pin.Tracker) (scheduler.Backend, error) {
	if p.settings.Service.Name != "" {
		return scheduler.NewServiceBackend(plain.New(p.transport, p.settings.Service.Address), p.settings.Service.Timeout.Value()), nil
	}
	newClient, err := engine.Engines.Find(p.settings.Engine.Protocol)
	if err != nil {
		return nil, err
	}
	client, err := newClient(engine.Options{Network: p.transport, Address: p.settings.Engine.Address})
	if err != nil {
		return nil, err
	}
	return scheduler.NewModelBackend(client, pins), nil
}

func (p *Process) schedulerOptions(incarnation uint64) scheduler.Options {
	return scheduler.Options{
		Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: incarnation,
		QueuePolicy: p.settings.Queue.Policy,
		Queue:       queue.Options{Capacity: p.settings.Queue.Capacity, AgingTokensPerSecond: p.settings.Queue.Aging},
		Window:      window.Options{ColdLimit: p.settings.Window.Cold, WarmLimit: p.settings.Window.Warm, WarmUpTime: p.settings.Window.WarmUp.Value()},
		Calls:       call.Options{Capacity: p.settings.MaxCalls, AtMostOnceRetention: atMostOnceRetention, DefaultRetention: defaultRetention},
	}
}

func (p *Process) placementOptions(incarnation uint64) placement.Options {
	return placement.Options{Server: p.settings.Name, Incarnation: incarnation, Permits: p.settings.Placement.Permits, Timeout: p.settings.Placement.Timeout.Value()}
}

// reconcilePlacement registers the models that the engine has loaded and
// advances the engine by one step towards its assignment.
func (p *Process) reconcilePlacement(ctx context.Context) {
	loaded := p.monitor.Models()
	if len(loaded) == 0 {
		return // No report yet.
	}
	if !slices.Equal(loaded, p.member.Models()) {
		p.registerModels(ctx, loaded)
	}
	if assignment, found := p.follower.Table().Assignment(p.settings.Name); found {
		p.placement.Reconcile(ctx, assignment, loaded)
	}
}

func (p *Process) registerModels(ctx context.Context, loaded []string) {
	member := p.member.WithModels(loaded)
	value, err := json.Marshal(member)
	if err == nil {
		err = p.registrar.Update(ctx, value)
	}
	if err != nil {
		p.logger.Warn("failed to register the loaded models, will retry", zap.Error(err))
		return
	}
	p.member = member
	p.logger.Info("registered the loaded models", zap.Strings("models", loaded))
}

func (p *Process) advertisedAddress() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.listener.Address()
}

func (p *Process) ready() error {
	if reason := p.scheduler.Refusal(); reason != "" {
		return oops.In("limpet").Errorf("accepts no new calls: %s", reason)
	}
	return nil
}

func (p *Process) setReachable(reachable bool) {
	p.mutex.Lock()
	changed := p.reachable != reachable
	p.reachable = reachable
	p.mutex.Unlock()
	if changed {
		p.logger.Info("backend server reachability changed", zap.Bool("reachable", reachable))
		p.updateRefusal()
	}
}

// updateRefusal sets why new calls are refused, or admits them, from the
// process state and the configuration.
func (p *Process) updateRefusal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := p.follower.Table()
	reason := ""
	switch {
	case p.stopping:
		reason = "it is leaving"
	case current.ZoneOut(p.settings.Zone):
		reason = "its zone is out of service"
	case current.ServerOut(p.settings.Name):
		reason = "it is out of service"
	case !p.reachable:
		reason = "its backend server can't be reached"
	}
	p.scheduler.SetRefusal(reason)
}
