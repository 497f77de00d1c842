// Package limpet is the process beside each backend server: the only gate and
// the only one who gives orders to it.
//
// # Usage
//
//	process, err := limpet.New(settings, network.TCP{}, store, logs)
//	err = process.Start(ctx)
//	…
//	err = process.Stop(ctx) // graceful: no call is cut
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
	"limpethall.dev/kernel/duty"
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
	"limpethall.dev/kernel/window"
	"limpethall.dev/limpet/call"
	"limpethall.dev/limpet/engine"
	"limpethall.dev/limpet/gate"
	"limpethall.dev/limpet/order"
	"limpethall.dev/limpet/pin"
	"limpethall.dev/limpet/plain"
	"limpethall.dev/limpet/port"
)

const (
	watchInterval = 500 * time.Millisecond
	orderInterval = time.Second
	leavePause    = 500 * time.Millisecond
	drainPoll     = 20 * time.Millisecond
	keepOnce      = 15 * time.Minute
	keepOther     = 30 * time.Second
)

// Process is one limpet.
type Process struct {
	settings  Settings
	network   network.Network
	logger    *zap.Logger
	store     platform.Store
	book      *secret.Book
	listener  *listener.Listener
	gate      *gate.Gate
	registrar *host.Registrar
	follower  *configuration.Follower
	watch     *gate.Watch
	orders    *order.Giver // Nil before a plain service.
	member    host.Member
	duties    *duty.Group

	mutex     sync.Mutex
	reachable bool
	leaving   bool
}

// New opens the limpet's port; nothing is served before Start.
func New(chosen Settings, own network.Network, store platform.Store, book *logs.Book) (*Process, error) {
	p := &Process{settings: chosen, network: own, store: store, logger: book.Layer("limpet"), reachable: true}
	var err error
	if p.book, err = chosen.OpenSecrets(); err != nil {
		return nil, err
	}
	if p.listener, err = listener.New(listener.Options{Network: own, Address: chosen.Listen, MaxBody: chosen.MaxCallBytes}); err != nil {
		return nil, err
	}
	if err := p.assemble(book); err != nil {
		_ = p.listener.Close()
		return nil, err
	}
	return p, nil
}

func (p *Process) assemble(book *logs.Book) error {
	claims := pin.New(p.settings.PinLength.Length())
	backend, err := p.openBackend(claims)
	if err != nil {
		return err
	}
	incarnation := uint64(time.Now().UnixNano())
	p.gate, err = gate.New(p.gateOptions(incarnation), backend, time.Now, book.Layer("gate"))
	if err != nil {
		return err
	}
	p.follower = configuration.NewFollower(p.store, book.Layer("configuration"))
	p.follower.Subscribe(func(*table.Table) { p.decideRefusal() })
	p.watch = gate.NewWatch(p.gate, book.Layer("gate"), p.setReachable)
	if model, isModel := backend.(gate.ModelBackend); isModel {
		p.orders = order.New(p.orderOptions(incarnation), p.store, model.Engine(), book.Layer("placement"))
	}
	p.member = host.NewLimpet(p.settings.Name, p.settings.Zone, p.advertised(), incarnation, p.settings.Engine.Models, p.settings.Service.Name)
	p.registrar, err = host.NewMemberRegistrar(p.store, p.member, p.settings.Store.LeaseLength.Length(), book.Layer("roster"))
	if err != nil {
		return err
	}
	meters, err := metrics.New("limpet")
	if err != nil {
		return err
	}
	if err := observe(meters, p.gate); err != nil {
		return err
	}
	identity := port.Identity{Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: incarnation, Models: p.settings.Engine.Models}
	port.New(identity, p.gate, claims, p.follower, time.Now, book.Layer("port")).Mount(p.listener, p.book)
	listener.NewProbes(p.ready, meters.Handler()).Mount(p.listener)
	return nil
}

// Address returns host and port as opened.
func (p *Process) Address() string { return p.listener.Address() }

// Start serves until Stop.
func (p *Process) Start(ctx context.Context) error {
	p.duties = duty.New(ctx, p.logger)
	p.listener.Start()
	p.duties.Go("gate", p.gate.Run)
	p.duties.Every("watch", watchInterval, p.watch.Step)
	p.duties.Go("registration", p.registrar.Keep)
	if p.settings.SecretsFile != "" {
		p.duties.Every("secrets", settings.SecretsInterval, p.settings.FollowSecrets(p.book, p.logger))
	}
	if p.orders != nil {
		p.duties.Every("orders", orderInterval, p.order)
	}
	p.logger.Info("limpet serves", zap.String("address", p.Address()))
	return nil
}

// Stop leaves the roster, lets all calls end within the context and stops.
func (p *Process) Stop(ctx context.Context) error {
	p.mutex.Lock()
	p.leaving = true
	p.mutex.Unlock()
	p.decideRefusal()
	err := p.registrar.Leave(ctx)
	if err != nil {
		p.logger.Warn("not taken off the roster, the lease will lapse", zap.Error(err))
	}
	duty.Pause(ctx, leavePause)
	for p.gate.Open() > 0 && ctx.Err() == nil {
		duty.Pause(ctx, drainPoll)
	}
	drained := p.listener.Drain(ctx)
	p.duties.Stop()
	if err := p.listener.Close(); err != nil {
		return oops.In("limpet").Wrapf(err, "close the listener")
	}
	return drained
}

// Kill stops at once, as a crash would.
func (p *Process) Kill() {
	p.duties.Stop()
	_ = p.listener.Close()
}

func (p *Process) openBackend(claims *pin.Claims) (gate.Backend, error) {
	if p.settings.Service.Name != "" {
		return gate.NewServiceBackend(plain.New(p.network, p.settings.Service.Address), p.settings.Service.Timeout.Length()), nil
	}
	construct, err := engine.Engines.Find(p.settings.Engine.Protocol)
	if err != nil {
		return nil, err
	}
	model, err := construct(engine.Options{Network: p.network, Address: p.settings.Engine.Address})
	if err != nil {
		return nil, err
	}
	return gate.NewModelBackend(model, claims), nil
}

func (p *Process) gateOptions(incarnation uint64) gate.Options {
	return gate.Options{
		Name: p.settings.Name, Zone: p.settings.Zone, Incarnation: incarnation,
		QueuePolicy: p.settings.Queue.Policy,
		Queue:       queue.Options{Capacity: p.settings.Queue.Capacity, Aging: p.settings.Queue.Aging},
		Window:      window.Options{Cold: p.settings.Window.Cold, Warm: p.settings.Window.Warm, WarmUp: p.settings.Window.WarmUp.Length()},
		Calls:       call.Options{Capacity: p.settings.MaxCalls, KeepOnce: keepOnce, KeepOther: keepOther},
	}
}

func (p *Process) orderOptions(incarnation uint64) order.Options {
	return order.Options{Server: p.settings.Name, Incarnation: incarnation, Permits: p.settings.Orders.Permits, Timeout: p.settings.Orders.Timeout.Length()}
}

// order takes one step towards the assigned models and tells the roster what
// the engine holds.
func (p *Process) order(ctx context.Context) {
	held := p.watch.Models()
	if len(held) == 0 {
		return // No report yet.
	}
	if !slices.Equal(held, p.member.Models()) {
		p.announce(ctx, held)
	}
	if assignment, found := p.follower.Table().Assignment(p.settings.Name); found {
		p.orders.Step(ctx, assignment, held)
	}
}

func (p *Process) announce(ctx context.Context, held []string) {
	member := p.member.WithModels(held)
	value, err := json.Marshal(member)
	if err == nil {
		err = p.registrar.Update(ctx, value)
	}
	if err != nil {
		p.logger.Warn("models not announced, will try again", zap.Error(err))
		return
	}
	p.member = member
	p.logger.Info("models announced", zap.Strings("models", held))
}

func (p *Process) advertised() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.listener.Address()
}

func (p *Process) ready() error {
	if reason := p.gate.Refusal(); reason != "" {
		return oops.In("limpet").Errorf("takes no new calls: %s", reason)
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
		p.decideRefusal()
	}
}

// decideRefusal derives from all that is known whether new calls are taken.
func (p *Process) decideRefusal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	accepted := p.follower.Table()
	reason := ""
	switch {
	case p.leaving:
		reason = "it is leaving"
	case accepted.ZoneOut(p.settings.Zone):
		reason = "its zone is out of service"
	case accepted.ServerOut(p.settings.Name):
		reason = "it is out of service"
	case !p.reachable:
		reason = "its backend server can't be reached"
	}
	p.gate.Refuse(reason)
}
