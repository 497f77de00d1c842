// Package deployment runs a whole limpethall with its stand-ins in one
// process, over loopback: for the demonstration, the load run and tests.
//
// # Usage
//
//	d, err := deployment.New(deployment.DefaultOptions(), output)
//	err = d.Start(ctx)
//	defer d.Stop(ctx)
//	key, err := d.CreateKey(ctx, "kovacs-counter")
package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"limpethall.dev/hall"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	kernelmemory "limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
	"limpethall.dev/limpet"
	"limpethall.dev/standin/engine"
	"limpethall.dev/standin/hostlist"
	memory "limpethall.dev/standin/network"
	"limpethall.dev/standin/service"
	"limpethall.dev/standin/store"
)

const (
	// Secret is the shared secret of the deployment's processes.
	Secret = "a-secret-for-demonstrations-only-0123456789"
	// ServiceName is the plain service of the deployment.
	ServiceName = "orders"
	readyPoll   = 50 * time.Millisecond
	hostLag     = 500 * time.Millisecond
)

// Options shape the deployment.
type Options struct {
	Zones           []string
	HallsPerZone    int
	EnginesPerZone  int
	ServicesPerZone int
	Model           string
	Engine          engine.Options
	Rows            []table.Row
	RoutePolicy     string
	QueuePolicy     string
	Window          limpet.WindowSettings
	DrainDelay      time.Duration
	// ProgramIdle and PinLength are how long programs without calls and the
	// engine memory held for them last.
	ProgramIdle time.Duration
	PinLength   time.Duration
	Log         logs.Options
	// Network gives each host its network; none means TCP.
	Network func(host string) network.Network
	// FirstHallPort, if set, is the port of the first hall for callers; the
	// others follow it.
	FirstHallPort int
}

// DefaultOptions returns two zones with two halls, two engines and a plain
// service each.
func DefaultOptions() Options {
	return Options{
		Zones: []string{"hu-central-a", "hu-central-b"}, HallsPerZone: 2, EnginesPerZone: 2, ServicesPerZone: 1,
		Model: "magnet", Engine: engine.DefaultOptions(), RoutePolicy: "affinity", QueuePolicy: "fair",
		Window:     limpet.WindowSettings{Cold: 2, Warm: 16, WarmUp: settings.NewDuration(1500 * time.Millisecond)},
		DrainDelay: 500 * time.Millisecond, ProgramIdle: 15 * time.Minute, PinLength: 10 * time.Minute,
		Log: logs.Options{Format: "json", Level: "warn"},
	}
}

// Deployment is the whole system with its stand-ins.
type Deployment struct {
	options  Options
	logs     *logs.Book
	ctx      context.Context
	store    *store.Server
	hosts    *hostlist.List
	engines  []*engine.Engine
	services []*service.Service
	weights  *engine.Weights
	limpets  []*limpet.Process
	owns     []limpet.Settings
	halls    []*hall.Process
	editor   *configuration.Editor

	// mutex guards what changes when processes come and go: halls, limpets and
	// switches.
	mutex    sync.Mutex
	switches map[string]*memory.Switch
}

// New opens the stand-ins; nothing is served before Start.
func New(options Options, output io.Writer) (*Deployment, error) {
	d := &Deployment{options: options, logs: logs.New(options.Log, output), switches: make(map[string]*memory.Switch)}
	var err error
	if d.store, err = store.New(d.network("store"), "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if d.hosts, err = hostlist.New(d.network("hostlist"), "127.0.0.1:0", hostLag); err != nil {
		return nil, err
	}
	d.store.Start()
	d.hosts.Start()
	client, err := d.storeSettings().Open(d.network("operator"))
	if err != nil {
		return nil, err
	}
	d.editor = configuration.NewEditor(client, time.Now)
	return d, nil
}

// Start starts all processes and waits until every hall is ready.
func (d *Deployment) Start(ctx context.Context) error {
	d.ctx = context.WithoutCancel(ctx)
	if err := d.applyTable(ctx); err != nil {
		return err
	}
	seen := engine.NewSeen()
	d.weights = &engine.Weights{}
	for _, zone := range d.options.Zones {
		for range d.options.EnginesPerZone {
			if err := d.addEngine(zone, seen); err != nil {
				return err
			}
		}
		for range d.options.ServicesPerZone {
			if err := d.AddService(zone); err != nil {
				return err
			}
		}
	}
	for _, zone := range d.options.Zones {
		for range d.options.HallsPerZone {
			if err := d.AddHall(zone); err != nil {
				return err
			}
		}
	}
	return d.WaitReady(ctx)
}

// WaitReady waits until every hall is ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, running := range d.Halls() {
		if running == nil {
			continue
		}
		if err := d.waitReady(ctx, running.Address()); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all processes gracefully.
func (d *Deployment) Stop(ctx context.Context) error {
	var errs []error
	for index := range d.halls {
		errs = append(errs, d.StopHall(ctx, index))
	}
	for index := range d.limpets {
		errs = append(errs, d.StopLimpet(ctx, index))
	}
	for _, running := range d.engines {
		running.Close()
	}
	for _, running := range d.services {
		running.Close()
	}
	d.hosts.Close()
	d.store.Close()
	return errors.Join(errs...)
}

// Halls returns the halls; one that was stopped is nil.
func (d *Deployment) Halls() []*hall.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.halls)
}

// Engines returns the model engines.
func (d *Deployment) Engines() []*engine.Engine { return d.engines }

// Services returns the plain services.
func (d *Deployment) Services() []*service.Service { return d.services }

// Weights returns the weight store's count of loads.
func (d *Deployment) Weights() *engine.Weights { return d.weights }

// Store returns the key-value service.
func (d *Deployment) Store() *store.Server { return d.store }

// HostList returns the platform's list of hosts.
func (d *Deployment) HostList() *hostlist.List { return d.hosts }

// Model returns the model that the engines hold.
func (d *Deployment) Model() string { return d.options.Model }

// TimeAlone returns how long an idle engine takes for one more question of so
// many bytes and an answer of so many tokens.
func (d *Deployment) TimeAlone(bytes, tokens int) time.Duration {
	own := d.options.Engine
	prefill := time.Duration(float64(bytes/4) / own.PrefillRate * float64(time.Second))
	return prefill + time.Duration(tokens)*(own.StepBase+own.StepEach)
}

// Editor returns an editor of the configuration.
func (d *Deployment) Editor() *configuration.Editor { return d.editor }

// Addresses returns where callers reach the halls that run.
func (d *Deployment) Addresses() []string {
	var addresses []string
	for _, running := range d.Halls() {
		if running != nil {
			addresses = append(addresses, running.Address())
		}
	}
	return addresses
}

// ReadyAddresses returns where callers reach the halls whose readiness probe
// passes: those that a balancer would use.
func (d *Deployment) ReadyAddresses() []string {
	var addresses []string
	for _, running := range d.Halls() {
		if running != nil && running.Ready() == nil {
			addresses = append(addresses, running.Address())
		}
	}
	return addresses
}

// LimpetName returns the name of a limpet by its place in start order.
func (d *Deployment) LimpetName(index int) string { return fmt.Sprintf("server-%d", index+1) }

// Change applies edits to the newest configuration.
func (d *Deployment) Change(ctx context.Context, edits ...table.Edit) error {
	current, err := d.editor.Load(ctx)
	if err != nil {
		return err
	}
	_, err = d.editor.Apply(ctx, current.Revision(), "deployment", edits)
	return err
}

// CreateKey gives a workspace a key and returns its text.
func (d *Deployment) CreateKey(ctx context.Context, workspace string) (string, error) {
	text, kept, err := key.New(workspace)
	if err != nil {
		return "", err
	}
	return text, d.Change(ctx, table.NewAddKey(kept))
}

// AddHall starts one more hall in a zone.
func (d *Deployment) AddHall(zone string) error {
	d.mutex.Lock()
	index := len(d.halls)
	d.halls = append(d.halls, nil)
	d.mutex.Unlock()
	return d.StartHall(index, zone)
}

// StartHall starts a hall again under the name of its place.
func (d *Deployment) StartHall(index int, zone string) error {
	own := hall.DefaultSettings()
	own.Process = d.process(hallName(index), zone)
	own.Listen = "127.0.0.1:0"
	if d.options.FirstHallPort > 0 {
		own.Listen = fmt.Sprintf("127.0.0.1:%d", d.options.FirstHallPort+index)
	}
	own.PeerListen = "127.0.0.1:0"
	own.Route.Policy = d.options.RoutePolicy
	own.Route.PrefillRate = d.options.Engine.PrefillRate
	own.Hosts.Address = d.hosts.Address()
	own.Limits.ProgramIdle = settings.NewDuration(d.options.ProgramIdle)
	own.DrainDelay = settings.NewDuration(d.options.DrainDelay)
	client, err := own.Store.Open(d.network(own.Name))
	if err != nil {
		return err
	}
	wires := memory.NewSwitch(d.network(own.Name))
	process, err := hall.New(own, wires, client, d.logs)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	d.halls[index] = process
	d.switches[own.Name] = wires
	d.mutex.Unlock()
	return process.Start(d.ctx)
}

func hallName(index int) string { return fmt.Sprintf("hall-%d", index+1) }

// StopHall stops a hall gracefully.
func (d *Deployment) StopHall(ctx context.Context, index int) error {
	running := d.Halls()[index]
	if running == nil {
		return nil
	}
	err := running.Stop(ctx)
	d.mutex.Lock()
	wires := d.switches[hallName(index)]
	d.halls[index] = nil
	d.mutex.Unlock()
	wires.Off() // The end of a process closes all its connections.
	return err
}

// KillHall ends a hall as a crash would.
func (d *Deployment) KillHall(index int) {
	d.mutex.Lock()
	running, wires := d.halls[index], d.switches[hallName(index)]
	d.halls[index] = nil
	d.mutex.Unlock()
	wires.Off()
	running.Kill()
}

// StopLimpet stops a limpet gracefully.
func (d *Deployment) StopLimpet(ctx context.Context, index int) error {
	running, wires := d.takeLimpet(index)
	if running == nil {
		return nil
	}
	err := running.Stop(ctx)
	wires.Off() // The end of a process closes all its connections.
	return err
}

// KillLimpet ends a limpet as a crash would.
func (d *Deployment) KillLimpet(index int) {
	running, wires := d.takeLimpet(index)
	wires.Off()
	running.Kill()
}

func (d *Deployment) takeLimpet(index int) (*limpet.Process, *memory.Switch) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := d.limpets[index]
	d.limpets[index] = nil
	return running, d.switches[d.LimpetName(index)]
}

func (d *Deployment) network(host string) network.Network {
	if d.options.Network == nil {
		return network.TCP{}
	}
	return d.options.Network(host)
}

func (d *Deployment) applyTable(ctx context.Context) error {
	var edits []table.Edit
	for _, row := range d.options.Rows {
		edits = append(edits, table.NewPutRow(row))
	}
	routes := []table.Route{
		table.NewRoute(http.MethodPost, "/lookup", true, false),
		table.NewRoute(http.MethodGet, "/status", true, true),
	}
	edits = append(edits, table.NewPutService(table.NewService(ServiceName, routes)))
	_, err := d.editor.Apply(ctx, 0, "deployment", edits)
	return err
}

func (d *Deployment) addEngine(zone string, seen *engine.Seen) error {
	options := d.options.Engine
	options.Models = []string{d.options.Model}
	options.Seen = seen
	options.Weights = d.weights
	options.Network = d.network(fmt.Sprintf("engine-%d", len(d.engines)+1))
	model, err := engine.New(options)
	if err != nil {
		return err
	}
	model.Start()
	d.engines = append(d.engines, model)
	return d.addLimpet(zone, func(own *limpet.Settings) {
		own.Engine.Address = model.Address()
		own.Engine.Models = options.Models
	})
}

// AddService starts one more plain service with its limpet in a zone.
func (d *Deployment) AddService(zone string) error {
	plain, err := service.New(d.network(fmt.Sprintf("service-%d", len(d.services)+1)), "127.0.0.1:0")
	if err != nil {
		return err
	}
	plain.Start()
	d.services = append(d.services, plain)
	return d.addLimpet(zone, func(own *limpet.Settings) {
		own.Service.Name = ServiceName
		own.Service.Address = plain.Address()
		own.Window.Cold = own.Window.Warm
	})
}

func (d *Deployment) addLimpet(zone string, shape func(own *limpet.Settings)) error {
	own := limpet.DefaultSettings()
	own.Process = d.process(d.LimpetName(len(d.limpets)), zone)
	own.Listen = "127.0.0.1:0"
	own.Queue.Policy = d.options.QueuePolicy
	own.Window = d.options.Window
	own.PinLength = settings.NewDuration(d.options.PinLength)
	shape(&own)
	d.limpets = append(d.limpets, nil)
	d.owns = append(d.owns, own)
	return d.RestartLimpet(len(d.limpets) - 1)
}

// RestartLimpet starts a limpet that was stopped or killed, in a new
// incarnation.
func (d *Deployment) RestartLimpet(index int) error {
	own := d.owns[index]
	client, err := own.Store.Open(d.network(own.Name))
	if err != nil {
		return err
	}
	wires := memory.NewSwitch(d.network(own.Name))
	process, err := limpet.New(own, wires, client, d.logs)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	d.limpets[index] = process
	d.switches[own.Name] = wires
	d.mutex.Unlock()
	return process.Start(d.ctx)
}

func (d *Deployment) process(name, zone string) settings.Process {
	return settings.Process{Name: name, Zone: zone, Secrets: []string{Secret}, Store: d.storeSettings(), Log: d.options.Log}
}

func (d *Deployment) storeSettings() settings.Store {
	own := settings.DefaultStore()
	own.Addresses = []string{d.store.Address()}
	own.LeaseLength = settings.NewDuration(3 * time.Second)
	return own
}

func (d *Deployment) waitReady(ctx context.Context, address string) error {
	transport := &http.Transport{DialContext: d.network("operator").DialContext, DisableKeepAlives: true}
	client := &http.Client{Transport: transport}
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("hall %s did not become ready: %w", address, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

// StoreDown switches an outage of the key-value service on or off.
func (d *Deployment) StoreDown(down bool) {
	d.store.Memory().SetFaults(kernelmemory.Faults{Down: down})
}

// HostLeaves marks a backend server's host as leaving in the host list.
func (d *Deployment) HostLeaves(index int, zone string) {
	d.hosts.Set(platform.Host{Name: d.LimpetName(index), Zone: zone, State: platform.HostLeaving})
}

// WaitRevision waits until every hall holds the newest configuration.
func (d *Deployment) WaitRevision(ctx context.Context) error {
	current, err := d.editor.Load(ctx)
	if err != nil {
		return err
	}
	for _, running := range d.Halls() {
		for running != nil && running.Revision() < current.Revision() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("hall %s did not reach revision %d: %w", running.Address(), current.Revision(), ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}
