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
	// SecretsFile, if set, holds the shared secrets in place of Secret.
	SecretsFile string
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
