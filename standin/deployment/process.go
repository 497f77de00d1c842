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
	"limpethall.dev/standin/service"
	"limpethall.dev/standin/simnet"
)

// AddHall starts an additional hall in a zone.
func (d *Deployment) AddHall(zone string) error {
	d.mutex.Lock()
	index := len(d.halls)
	d.halls = append(d.halls, nil)
	d.mutex.Unlock()
	return d.StartHall(index, zone)
}

// StartHall starts the hall with the given index, under the same name as before
// if it was stopped or killed.
func (d *Deployment) StartHall(index int, zone string) error {
	hallSettings := hall.DefaultSettings()
	hallSettings.Process = d.processSettings(hallName(index), zone)
	hallSettings.Listen = "127.0.0.1:0"
	if d.options.FirstHallPort > 0 {
		hallSettings.Listen = fmt.Sprintf("127.0.0.1:%d", d.options.FirstHallPort+index)
	}
	hallSettings.PeerListen = "127.0.0.1:0"
	hallSettings.Route.Policy = d.options.RoutePolicy
	hallSettings.Route.PrefillRate = d.options.Engine.PrefillRate
	hallSettings.Hosts.Address = d.hostList.Address()
	hallSettings.Limits.ProgramIdle = settings.NewDuration(d.options.ProgramIdle)
	hallSettings.DrainDelay = settings.NewDuration(d.options.DrainDelay)
	client, err := hallSettings.Store.Open(d.network(hallSettings.Name))
	if err != nil {
		return err
	}
	networkSwitch := simnet.NewSwitch(d.network(hallSettings.Name))
	process, err := hall.New(hallSettings, networkSwitch, client, d.logs)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	d.halls[index] = process
	d.switches[hallSettings.Name] = networkSwitch
	d.mutex.Unlock()
	return process.Start(d.ctx)
}

func hallName(index int) string { return fmt.Sprintf("hall-%d", index+1) }

// StopHall stops a hall gracefully.
func (d *Deployment) StopHall(ctx context.Context, index int) error {
	process := d.Halls()[index]
	if process == nil {
		return nil
	}
	err := process.Stop(ctx)
	d.mutex.Lock()
	networkSwitch := d.switches[hallName(index)]
	d.halls[index] = nil
	d.mutex.Unlock()
	networkSwitch.Disconnect() // The end of a process closes all its connections.
	return err
}

// KillHall ends a hall abruptly, as in a crash.
func (d *Deployment) KillHall(index int) {
	d.mutex.Lock()
	process, networkSwitch := d.halls[index], d.switches[hallName(index)]
	d.halls[index] = nil
	d.mutex.Unlock()
	networkSwitch.Disconnect()
	process.Kill()
}

// StopLimpet stops a limpet gracefully.
func (d *Deployment) StopLimpet(ctx context.Context, index int) error {
	process, networkSwitch := d.removeLimpet(index)
	if process == nil {
		return nil
	}
	err := process.Stop(ctx)
	networkSwitch.Disconnect() // The end of a process closes all its connections.
	return err
}

// KillLimpet ends a limpet abruptly, as in a crash.
func (d *Deployment) KillLimpet(index int) {
	process, networkSwitch := d.removeLimpet(index)
	networkSwitch.Disconnect()
	process.Kill()
}

func (d *Deployment) removeLimpet(index int) (*limpet.Process, *simnet.Switch) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	process := d.limpets[index]
	d.limpets[index] = nil
	return process, d.switches[d.LimpetName(index)]
}

func (d *Deployment) network(host string) network.Network {
	if d.options.Network == nil {
		return network.TCP{}
	}
	return d.options.Network(host)
}

func (d *Deployment) applyInitialConfiguration(ctx context.Context) error {
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

func (d *Deployment) addEngine(zone string, prefixes *engine.Seen) error {
	options := d.options.Engine
	options.Models = []string{d.options.Model}
	options.Seen = prefixes
	options.Weights = d.weights
	options.Network = d.network(fmt.Sprintf("engine-%d", len(d.engines)+1))
	modelEngine, err := engine.New(options)
	if err != nil {
		return err
	}
	modelEngine.Start()
	d.engines = append(d.engines, modelEngine)
	return d.addLimpet(zone, func(limpetSettings *limpet.Settings) {
		limpetSettings.Engine.Address = modelEngine.Address()
		limpetSettings.Engine.Models = options.Models
	})
}

// AddService starts an additional server of the plain service, with its limpet,
// in a zone.
func (d *Deployment) AddService(zone string) error {
	server, err := service.New(d.network(fmt.Sprintf("service-%d", len(d.services)+1)), "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.Start()
	d.services = append(d.services, server)
	return d.addLimpet(zone, func(limpetSettings *limpet.Settings) {
		limpetSettings.Service.Name = ServiceName
		limpetSettings.Service.Address = server.Address()
		limpetSettings.Window.Cold = limpetSettings.Window.Warm
	})
}

func (d *Deployment) addLimpet(zone string, configure func(limpetSettings *limpet.Settings)) error {
	limpetSettings := limpet.DefaultSettings()
	limpetSettings.Process = d.processSettings(d.LimpetName(len(d.limpets)), zone)
	limpetSettings.Listen = "127.0.0.1:0"
	limpetSettings.Queue.Policy = d.options.QueuePolicy
	limpetSettings.Window = d.options.Window
	limpetSettings.PinTTL = settings.NewDuration(d.options.PinTTL)
	configure(&limpetSettings)
	d.limpets = append(d.limpets, nil)
	d.limpetSettings = append(d.limpetSettings, limpetSettings)
	return d.RestartLimpet(len(d.limpets) - 1)
}

// RestartLimpet starts a limpet that was stopped or killed, as a new
// incarnation.
func (d *Deployment) RestartLimpet(index int) error {
	limpetSettings := d.limpetSettings[index]
	client, err := limpetSettings.Store.Open(d.network(limpetSettings.Name))
	if err != nil {
		return err
	}
	networkSwitch := simnet.NewSwitch(d.network(limpetSettings.Name))
	process, err := limpet.New(limpetSettings, networkSwitch, client, d.logs)
	if err != nil {
		return err
	}
	d.mutex.Lock()
	d.limpets[index] = process
	d.switches[limpetSettings.Name] = networkSwitch
	d.mutex.Unlock()
	return process.Start(d.ctx)
}

func (d *Deployment) processSettings(name, zone string) settings.Process {
	return settings.Process{Name: name, Zone: zone, Secrets: []string{Secret}, SecretsFile: d.options.SecretsFile, Store: d.storeSettings(), Log: d.options.Log}
}

func (d *Deployment) storeSettings() settings.Store {
	storeSettings := settings.DefaultStore()
	storeSettings.Addresses = []string{d.store.Address()}
	storeSettings.LeaseTTL = settings.NewDuration(3 * time.Second)
	return storeSettings
}

func (d *Deployment) waitHallReady(ctx context.Context, address string) error {
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
		case <-time.After(readyPollInterval):
		}
	}
}
