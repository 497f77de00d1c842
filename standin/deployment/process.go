package deployment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"limpethall.dev/hall"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
	"limpethall.dev/limpet"
	"limpethall.dev/standin/engine"
	memory "limpethall.dev/standin/network"
	"limpethall.dev/standin/service"
)

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
	return settings.Process{Name: name, Zone: zone, Secrets: []string{Secret}, SecretsFile: d.options.SecretsFile, Store: d.storeSettings(), Log: d.options.Log}
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
