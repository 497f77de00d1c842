// Package deployment runs a complete limpethall deployment in one process: its
// halls and limpets with stand-ins for the store, the host list, the model
// engines and a plain service. The demonstration and the load generator run it
// over loopback, tests also over an in-memory network.
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
	"limpethall.dev/standin/service"
	"limpethall.dev/standin/simnet"
	"limpethall.dev/standin/store"
)

const (
	// Secret is the secret that the processes of the deployment share.
	Secret = "a-secret-for-demonstrations-only-0123456789"
	// ServiceName is the name of the deployment's plain service.
	ServiceName       = "orders"
	readyPollInterval = 50 * time.Millisecond
	hostListDelay     = 500 * time.Millisecond
)

// Options configure a deployment.
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
	// ProgramIdle is the time without calls after which a program is ended;
	// PinTTL is how long engines keep the pinned cache entries of a program.
	ProgramIdle time.Duration
	PinTTL      time.Duration
	Log         logs.Options
	// SecretsFile is the path of a file with shared secrets. If set, it replaces
	// Secret.
	SecretsFile string
	// Network returns the network of a host. If nil, all hosts use TCP.
	Network func(host string) network.Network
	// FirstHallPort is the port on which the first hall serves callers; the
	// other halls use the ports that follow. If 0, ports are chosen by the
	// system.
	FirstHallPort int
}

// DefaultOptions returns options for two zones, each with two halls, two engines
// and one plain service.
func DefaultOptions() Options {
	return Options{
		Zones: []string{"hu-central-a", "hu-central-b"}, HallsPerZone: 2, EnginesPerZone: 2, ServicesPerZone: 1,
		Model: "magnet", Engine: engine.DefaultOptions(), RoutePolicy: "affinity", QueuePolicy: "fair",
		Window:     limpet.WindowSettings{Cold: 2, Warm: 16, WarmUp: settings.NewDuration(1500 * time.Millisecond)},
		DrainDelay: 500 * time.Millisecond, ProgramIdle: 15 * time.Minute, PinTTL: 10 * time.Minute,
		Log: logs.Options{Format: "json", Level: "warn"},
	}
}

// Deployment is a running limpethall deployment with its stand-ins.
type Deployment struct {
	options        Options
	logs           *logs.Factory
	ctx            context.Context
	store          *store.Server
	hostList       *hostlist.Server
	engines        []*engine.Engine
	services       []*service.Server
	weights        *engine.Weights
	limpets        []*limpet.Process
	limpetSettings []limpet.Settings
	halls          []*hall.Process
	editor         *configuration.Editor

	// mutex guards halls, limpets and switches, which change when processes
	// start and stop.
	mutex    sync.Mutex
	switches map[string]*simnet.Switch
}

// New starts the store and the host list. Start starts the other processes.
func New(options Options, output io.Writer) (*Deployment, error) {
	d := &Deployment{options: options, logs: logs.New(options.Log, output), switches: make(map[string]*simnet.Switch)}
	var err error
	if d.store, err = store.New(d.network("store"), "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if d.hostList, err = hostlist.New(d.network("hostlist"), "127.0.0.1:0", hostListDelay); err != nil {
		return nil, err
	}
	d.store.Start()
	d.hostList.Start()
	client, err := d.storeSettings().Open(d.network("operator"))
	if err != nil {
		return nil, err
	}
	d.editor = configuration.NewEditor(client, time.Now)
	return d, nil
}

// Start writes the initial configuration, starts the engines, services, limpets
// and halls, and waits until every hall is ready.
func (d *Deployment) Start(ctx context.Context) error {
	d.ctx = context.WithoutCancel(ctx)
	if err := d.applyInitialConfiguration(ctx); err != nil {
		return err
	}
	prefixes := engine.NewSeen()
	d.weights = &engine.Weights{}
	for _, zone := range d.options.Zones {
		for range d.options.EnginesPerZone {
			if err := d.addEngine(zone, prefixes); err != nil {
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

// WaitReady waits until every running hall is ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, process := range d.Halls() {
		if process == nil {
			continue
		}
		if err := d.waitHallReady(ctx, process.Address()); err != nil {
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
	for _, modelEngine := range d.engines {
		modelEngine.Close()
	}
	for _, server := range d.services {
		server.Close()
	}
	d.hostList.Close()
	d.store.Close()
	return errors.Join(errs...)
}

// Halls returns the halls in start order; the entry of a stopped hall is nil.
func (d *Deployment) Halls() []*hall.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.halls)
}

// Engines returns the model engines.
func (d *Deployment) Engines() []*engine.Engine { return d.engines }

// Services returns the plain services.
func (d *Deployment) Services() []*service.Server { return d.services }

// Weights returns the simulated weight store, which counts model loads.
func (d *Deployment) Weights() *engine.Weights { return d.weights }

// Store returns the key-value store.
func (d *Deployment) Store() *store.Server { return d.store }

// HostList returns the stand-in for the platform's host list.
func (d *Deployment) HostList() *hostlist.Server { return d.hostList }

// Model returns the name of the model that the engines serve.
func (d *Deployment) Model() string { return d.options.Model }

// TimeAlone returns the time that an idle engine needs for one more prompt of the
// given number of bytes and a response of the given number of tokens. It doesn't
// count earlier messages of the program, which the engine has cached.
func (d *Deployment) TimeAlone(bytes, tokens int) time.Duration {
	engineOptions := d.options.Engine
	prefill := time.Duration(float64(bytes/4) / engineOptions.PrefillRate * float64(time.Second))
	return prefill + time.Duration(tokens)*(engineOptions.StepBase+engineOptions.StepEach)
}

// Editor returns the editor of the deployment's configuration.
func (d *Deployment) Editor() *configuration.Editor { return d.editor }

// Addresses returns the addresses at which the running halls serve callers.
func (d *Deployment) Addresses() []string {
	var addresses []string
	for _, process := range d.Halls() {
		if process != nil {
			addresses = append(addresses, process.Address())
		}
	}
	return addresses
}

// ReadyAddresses returns the addresses of the halls whose readiness probe
// passes, which are those that a load balancer would use.
func (d *Deployment) ReadyAddresses() []string {
	var addresses []string
	for _, process := range d.Halls() {
		if process != nil && process.Ready() == nil {
			addresses = append(addresses, process.Address())
		}
	}
	return addresses
}

// LimpetName returns the name of a limpet by its index in start order.
func (d *Deployment) LimpetName(index int) string { return fmt.Sprintf("server-%d", index+1) }

// Change applies edits to the latest configuration.
func (d *Deployment) Change(ctx context.Context, edits ...table.Edit) error {
	current, err := d.editor.Load(ctx)
	if err != nil {
		return err
	}
	_, err = d.editor.Apply(ctx, current.Revision(), "deployment", edits)
	return err
}

// CreateKey adds a new key to a workspace and returns the key's text.
func (d *Deployment) CreateKey(ctx context.Context, workspace string) (string, error) {
	keyText, storedKey, err := key.New(workspace)
	if err != nil {
		return "", err
	}
	return keyText, d.Change(ctx, table.NewAddKey(storedKey))
}

// StoreDown starts or ends a simulated outage of the key-value store.
func (d *Deployment) StoreDown(down bool) {
	d.store.Memory().SetFaults(kernelmemory.Faults{Down: down})
}

// MarkHostLeaving marks the host of a backend server as leaving in the host list.
func (d *Deployment) MarkHostLeaving(index int, zone string) {
	d.hostList.Set(platform.Host{Name: d.LimpetName(index), Zone: zone, State: platform.HostLeaving})
}

// WaitRevision waits until every running hall has the latest configuration.
func (d *Deployment) WaitRevision(ctx context.Context) error {
	current, err := d.editor.Load(ctx)
	if err != nil {
		return err
	}
	for _, process := range d.Halls() {
		for process != nil && process.Revision() < current.Revision() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("hall %s did not reach revision %d: %w", process.Address(), current.Revision(), ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
