package load

import (
	"context"
	"time"

	"limpethall.dev/kernel/registry"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
	"limpethall.dev/limpet"
	"limpethall.dev/standin/deployment"
)

// Scenario is a load, the workspaces that it runs in, and the events during the
// run. workloads are the loads of the workspaces, rows their rows of the table.
type Scenario struct {
	workloads []Workload
	rows      []table.Row
	events    []Event
}

// Workloads returns the load of each workspace.
func (s Scenario) Workloads() []Workload { return s.workloads }

// Events returns the events during the run.
func (s Scenario) Events() []Event { return s.events }

// Options returns the options of the deployment: four zones with one hall, three
// engines and one plain service each, sized so that the load nearly saturates
// it.
func (s Scenario) Options() deployment.Options {
	options := deployment.DefaultOptions()
	options.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	options.HallsPerZone = 1
	options.EnginesPerZone = 3
	options.ServicesPerZone = 1
	options.Rows = s.rows
	options.Engine.StepBase = 4 * time.Millisecond
	options.Engine.StepEach = 500 * time.Microsecond
	options.Engine.PrefillRate = 8000
	options.Engine.CacheTokens = 60_000
	options.Window = limpet.WindowSettings{Cold: 2, Warm: 4, WarmUp: settings.NewDuration(2 * time.Second)}
	return options
}

// Scenarios is the registry of scenarios.
var Scenarios = registry.New[Scenario]("scenario")

func init() {
	Scenarios.Register("kovacs", newScenario(kovacsWorkloads(1)))
	Scenarios.Register("falares", newScenario(falaresWorkloads(1)))
	Scenarios.Register("quiet", newScenario(kovacsWorkloads(0)))
	Scenarios.Register("noisy", newScenario(kovacsWorkloads(5)))
	Scenarios.Register("zoneOut", withEvents(newScenario(kovacsWorkloads(1)), zoneOutage()...))
	Scenarios.Register("hallDies", withEvents(newScenario(kovacsWorkloads(1)), Event{At: 1.0 / 3, Name: "hall crash", Do: crashHall}))
	Scenarios.Register("engineDies", withEvents(newScenario(kovacsWorkloads(1)), Event{At: 1.0 / 3, Name: "engine crash", Do: crashEngine}))
	Scenarios.Register("storeDown", withEvents(newScenario(kovacsWorkloads(1)), storeOutage()...))
	Scenarios.Register("rolling", withEvents(newScenario(kovacsWorkloads(1)), Event{At: 0.1, Name: "rolling restart", Do: rollingRestart}))
	Scenarios.Register("skewed", nearlyExhaustedScenario())
}

// kovacsWorkloads returns the load of the customer Kovacs: short programs (shop
// counter) and long ones (orders) in eight workspaces. The number of concurrent
// programs of the workspace "order-desk" is multiplied by orderDeskFactor; with
// zero, the workspace is left out.
func kovacsWorkloads(orderDeskFactor int) []Workload {
	counter := Workload{MinTurns: 1, MaxTurns: 3, MinAnswer: 10, MaxAnswer: 30, Prompt: 300, Think: 200 * time.Millisecond, Stream: true, InsideRate: true}
	order := Workload{MinTurns: 6, MaxTurns: 14, MinAnswer: 30, MaxAnswer: 80, Prompt: 1200, Think: 200 * time.Millisecond, ToolEvery: 3, Stream: true, InsideRate: true}
	workloads := []Workload{workloadFor(counter, "counter-budapest", 24)}
	if orderDeskFactor > 0 {
		workloads = append(workloads, workloadFor(order, "order-desk", 24*orderDeskFactor))
	}
	for _, name := range []string{"workshop-1", "workshop-2", "workshop-3"} {
		workloads = append(workloads, workloadFor(counter, name, 3))
	}
	for _, name := range []string{"buyer-1", "buyer-2", "buyer-3"} {
		workloads = append(workloads, workloadFor(order, name, 3))
	}
	return workloads
}

// falaresWorkloads returns transcriptions with sub-agents and long conversations.
// The number of concurrent programs of the workspace "head-office" is multiplied
// by headOfficeFactor.
func falaresWorkloads(headOfficeFactor int) []Workload {
	transcript := Workload{MinTurns: 3, MaxTurns: 6, MinAnswer: 60, MaxAnswer: 160, Prompt: 3000, Think: 50 * time.Millisecond, ChildEvery: 2, InsideRate: true}
	archive := Workload{MinTurns: 8, MaxTurns: 20, MinAnswer: 20, MaxAnswer: 60, Prompt: 800, Think: 300 * time.Millisecond, ToolEvery: 5, Stream: true, InsideRate: true}
	workloads := []Workload{workloadFor(transcript, "head-office", 24*headOfficeFactor), workloadFor(archive, "archive", 20)}
	for _, name := range []string{"studio-1", "studio-2", "studio-3", "studio-4", "studio-5", "studio-6"} {
		workloads = append(workloads, workloadFor(transcript, name, 2))
	}
	return workloads
}

// workloadFor returns a copy of a workload for a workspace.
func workloadFor(workload Workload, workspace string, callers int) Workload {
	workload.Workspace = workspace
	workload.Callers = callers
	return workload
}

// newScenario returns a scenario whose workspaces have equal weights and limits
// that are high enough for their load.
func newScenario(workloads []Workload) Scenario {
	scenario := Scenario{workloads: workloads}
	for _, workload := range workloads {
		scenario.rows = append(scenario.rows, table.NewRow(workload.Workspace, 1, 500, 500, 400_000, nil))
	}
	return scenario
}

func withEvents(scenario Scenario, events ...Event) Scenario {
	scenario.events = events
	return scenario
}

// nearlyExhaustedScenario returns the scenario "skewed", whose workspaces have rates
// that the load nearly exhausts.
func nearlyExhaustedScenario() Scenario {
	scenario := newScenario(kovacsWorkloads(1))
	scenario.rows = nil
	for _, workload := range scenario.workloads {
		scenario.rows = append(scenario.rows, table.NewRow(workload.Workspace, 1, float64(workload.Callers)*6, int64(workload.Callers)*6, 400_000, nil))
	}
	return scenario
}

func zoneOutage() []Event {
	setOut := func(out bool) func(ctx context.Context, d *deployment.Deployment) error {
		return func(ctx context.Context, d *deployment.Deployment) error {
			return d.Change(ctx, table.NewSetZone("zone-a", out))
		}
	}
	return []Event{{At: 1.0 / 3, Name: "zone out of service", Do: setOut(true)}, {At: 2.0 / 3, Name: "zone back in service", Do: setOut(false)}}
}

func storeOutage() []Event {
	setDown := func(down bool) func(ctx context.Context, d *deployment.Deployment) error {
		return func(_ context.Context, d *deployment.Deployment) error {
			d.StoreDown(down)
			return nil
		}
	}
	return []Event{{At: 1.0 / 3, Name: "store outage begins", Do: setDown(true)}, {At: 2.0 / 3, Name: "store outage ends", Do: setDown(false)}}
}

func crashHall(_ context.Context, d *deployment.Deployment) error {
	d.KillHall(1)
	return nil
}

func crashEngine(_ context.Context, d *deployment.Deployment) error {
	d.Engines()[0].Die()
	return nil
}

// rollingRestart restarts the hall of each zone and then every limpet, one after
// the other.
func rollingRestart(ctx context.Context, d *deployment.Deployment) error {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	for index, zone := range zones {
		if err := d.StopHall(ctx, index); err != nil {
			return err
		}
		if err := d.StartHall(index, zone); err != nil {
			return err
		}
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	for index := range 16 { // Three engines and one service in each zone have a limpet each.
		if err := d.StopLimpet(ctx, index); err != nil {
			return err
		}
		if err := d.RestartLimpet(index); err != nil {
			return err
		}
	}
	return nil
}
