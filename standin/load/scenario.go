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

// Scenario is a deployment with a load and what happens to it.
type Scenario struct {
	shapes []Shape
	rows   []table.Row
	events []Event
}

// Shapes returns the load of each workspace.
func (s Scenario) Shapes() []Shape { return s.shapes }

// Events returns what happens during the run.
func (s Scenario) Events() []Event { return s.events }

// Options returns the deployment: four zones with a hall, three engines and a
// plain service each, of a size that the load nearly fills.
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

// Scenarios lists the scenarios by name.
var Scenarios = registry.New[Scenario]("scenario")

func init() {
	Scenarios.Register("kovacs", mixed(kovacsShapes(1)))
	Scenarios.Register("falares", mixed(falaresShapes(1)))
	Scenarios.Register("quiet", mixed(kovacsShapes(0)))
	Scenarios.Register("noisy", mixed(kovacsShapes(5)))
	Scenarios.Register("zoneOut", withEvents(mixed(kovacsShapes(1)), zoneLeaves()...))
	Scenarios.Register("hallDies", withEvents(mixed(kovacsShapes(1)), Event{At: 1.0 / 3, Name: "hall dies", Do: killHall}))
	Scenarios.Register("engineDies", withEvents(mixed(kovacsShapes(1)), Event{At: 1.0 / 3, Name: "engine dies", Do: killEngine}))
	Scenarios.Register("storeDown", withEvents(mixed(kovacsShapes(1)), storeOutage()...))
	Scenarios.Register("rolling", withEvents(mixed(kovacsShapes(1)), Event{At: 0.1, Name: "rolling restart", Do: restartAll}))
	Scenarios.Register("skewed", skewed())
}

// kovacsShapes are counter questions and long orders in eight workspaces; the
// workspace "order-desk" runs so many times its usual number of programs.
func kovacsShapes(orderDesk int) []Shape {
	counter := Shape{MinTurns: 1, MaxTurns: 3, MinAnswer: 10, MaxAnswer: 30, Prompt: 300, Think: 200 * time.Millisecond, Stream: true, InsideRate: true}
	order := Shape{MinTurns: 6, MaxTurns: 14, MinAnswer: 30, MaxAnswer: 80, Prompt: 1200, Think: 200 * time.Millisecond, ToolEvery: 3, Stream: true, InsideRate: true}
	shapes := []Shape{named(counter, "counter-budapest", 24)}
	if orderDesk > 0 {
		shapes = append(shapes, named(order, "order-desk", 24*orderDesk))
	}
	for _, name := range []string{"workshop-1", "workshop-2", "workshop-3"} {
		shapes = append(shapes, named(counter, name, 3))
	}
	for _, name := range []string{"buyer-1", "buyer-2", "buyer-3"} {
		shapes = append(shapes, named(order, name, 3))
	}
	return shapes
}

// falaresShapes are transcriptions with sub-agents and long conversations.
func falaresShapes(head int) []Shape {
	transcript := Shape{MinTurns: 3, MaxTurns: 6, MinAnswer: 60, MaxAnswer: 160, Prompt: 3000, Think: 50 * time.Millisecond, ChildEvery: 2, InsideRate: true}
	archive := Shape{MinTurns: 8, MaxTurns: 20, MinAnswer: 20, MaxAnswer: 60, Prompt: 800, Think: 300 * time.Millisecond, ToolEvery: 5, Stream: true, InsideRate: true}
	shapes := []Shape{named(transcript, "head-office", 24*head), named(archive, "archive", 20)}
	for _, name := range []string{"studio-1", "studio-2", "studio-3", "studio-4", "studio-5", "studio-6"} {
		shapes = append(shapes, named(transcript, name, 2))
	}
	return shapes
}

func named(shape Shape, workspace string, callers int) Shape {
	shape.Workspace = workspace
	shape.Callers = callers
	return shape
}

// mixed gives every workspace the same weight and room for its load.
func mixed(shapes []Shape) Scenario {
	scenario := Scenario{shapes: shapes}
	for _, shape := range shapes {
		scenario.rows = append(scenario.rows, table.NewRow(shape.Workspace, 1, 500, 500, 400_000, nil))
	}
	return scenario
}

func withEvents(scenario Scenario, events ...Event) Scenario {
	scenario.events = events
	return scenario
}

// skewed has rows that are nearly used up.
func skewed() Scenario {
	scenario := mixed(kovacsShapes(1))
	scenario.rows = nil
	for _, shape := range scenario.shapes {
		scenario.rows = append(scenario.rows, table.NewRow(shape.Workspace, 1, float64(shape.Callers)*6, int64(shape.Callers)*6, 400_000, nil))
	}
	return scenario
}

func zoneLeaves() []Event {
	set := func(out bool) func(ctx context.Context, d *deployment.Deployment) error {
		return func(ctx context.Context, d *deployment.Deployment) error {
			return d.Change(ctx, table.NewSetZone("zone-a", out))
		}
	}
	return []Event{{At: 1.0 / 3, Name: "zone out", Do: set(true)}, {At: 2.0 / 3, Name: "zone back", Do: set(false)}}
}

func storeOutage() []Event {
	set := func(down bool) func(ctx context.Context, d *deployment.Deployment) error {
		return func(_ context.Context, d *deployment.Deployment) error {
			d.StoreDown(down)
			return nil
		}
	}
	return []Event{{At: 1.0 / 3, Name: "store down", Do: set(true)}, {At: 2.0 / 3, Name: "store back", Do: set(false)}}
}

func killHall(_ context.Context, d *deployment.Deployment) error {
	d.KillHall(1)
	return nil
}

func killEngine(_ context.Context, d *deployment.Deployment) error {
	d.Engines()[0].Die()
	return nil
}

// restartAll replaces every hall and limpet, one after the other.
func restartAll(ctx context.Context, d *deployment.Deployment) error {
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
	for index := range 16 {
		if err := d.StopLimpet(ctx, index); err != nil {
			return err
		}
		if err := d.RestartLimpet(index); err != nil {
			return err
		}
	}
	return nil
}
