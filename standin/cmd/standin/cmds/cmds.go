// Package cmds holds the commands of standin.
//
// # Usage
//
//	standin demo --seconds 10
//	standin demo --hold
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"limpethall.dev/kernel/command"
	"limpethall.dev/kernel/table"
	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/load"
)

const (
	startTime = 30 * time.Second
	stopTime  = time.Minute
	// settleTime lets shares spread and engines warm up before a load run.
	settleTime = 8 * time.Second
)

// Main runs the program and exits.
func Main() {
	os.Exit(run(os.Args[1:]))
}

type arguments struct {
	seconds int
	seed    int
	hold    bool
	port    int
	listen  string
	model   string

	scenario string
	policy   string
	queue    string
	json     string
}

func run(args []string) int {
	given := arguments{seconds: 10, seed: 1, port: 8080, listen: "127.0.0.1:0", model: "magnet", scenario: "kovacs", policy: "affinity", queue: "fair"}
	parser := flaggy.NewParser("standin")
	parser.Description = "Small stand-ins for the platform, a demonstration of limpethall in one process, and load runs."
	parser.Version = command.Version
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Run a mixed load of programs against two zones in one process and print what callers saw."
	demo.Int(&given.seconds, "n", "seconds", "How long new programs are started.")
	demo.Int(&given.seed, "r", "seed", "The seed of the load.")
	demo.Bool(&given.hold, "o", "hold", "Start without load, print addresses and a key, and serve until SIGTERM or SIGINT.")
	demo.Int(&given.port, "p", "port", "With --hold, the first hall's port for callers.")
	loads := given.loadCommand()
	parser.AttachSubcommand(demo, 1)
	parser.AttachSubcommand(loads, 1)
	single := singles(&given)
	for _, each := range single {
		parser.AttachSubcommand(each.parser, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return command.Fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, each := range single {
		if each.parser.Used {
			return each.serve(ctx)
		}
	}
	var err error
	switch {
	case loads.Used:
		err = runLoad(ctx, given)
	case demo.Used && given.hold:
		err = holdDemo(ctx, given)
	case demo.Used:
		err = runDemo(ctx, given)
	default:
		parser.ShowHelp()
		return command.ExitInvalid
	}
	if err != nil {
		return command.Fail(err)
	}
	return command.ExitDone
}

// demoShapes are a small version of the users' two deployments.
func demoShapes() []load.Shape {
	return []load.Shape{
		{Workspace: "counter", Callers: 12, MinTurns: 1, MaxTurns: 3, MinAnswer: 10, MaxAnswer: 30, Prompt: 200, Think: 100 * time.Millisecond, Stream: true},
		{Workspace: "orders", Callers: 8, MinTurns: 4, MaxTurns: 10, MinAnswer: 20, MaxAnswer: 60, Prompt: 800, Think: 200 * time.Millisecond, ToolEvery: 2, Stream: true},
		{Workspace: "archive", Callers: 4, MinTurns: 3, MaxTurns: 6, MinAnswer: 30, MaxAnswer: 90, Prompt: 2000, Think: 100 * time.Millisecond, ToolEvery: 3, ChildEvery: 2},
	}
}

func demoRows() []table.Row {
	return []table.Row{
		table.NewRow("counter", 2, 400, 400, 20_000, nil),
		table.NewRow("orders", 2, 400, 400, 60_000, nil),
		table.NewRow("archive", 1, 200, 200, 60_000, nil),
	}
}

func startDemo(ctx context.Context, given arguments, hold bool) (*deployment.Deployment, map[string]string, error) {
	options := deployment.DefaultOptions()
	options.Rows = demoRows()
	if hold {
		options.FirstHallPort = given.port
	}
	d, err := deployment.New(options, os.Stderr)
	if err != nil {
		return nil, nil, err
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	keys, err := startWithKeys(starting, d, options)
	return d, keys, err
}

// startWithKeys starts a deployment and gives each workspace a key.
func startWithKeys(ctx context.Context, d *deployment.Deployment, options deployment.Options) (map[string]string, error) {
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	keys := make(map[string]string)
	for _, row := range options.Rows {
		text, err := d.CreateKey(ctx, row.Workspace())
		if err != nil {
			return nil, err
		}
		keys[row.Workspace()] = text
	}
	return keys, d.WaitRevision(ctx)
}

func stopDemo(d *deployment.Deployment) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return d.Stop(ctx)
}

func runDemo(ctx context.Context, given arguments) error {
	d, keys, err := startDemo(ctx, given, false)
	if err != nil {
		return err
	}
	report := load.New(demoShapes(), nil, time.Duration(given.seconds)*time.Second, uint64(given.seed), d, keys).Do(ctx)
	if err := stopDemo(d); err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	for _, text := range report.Errors {
		fmt.Println("failed:", text)
	}
	if !report.Whole() {
		return fmt.Errorf("not every program ended whole")
	}
	return nil
}

func holdDemo(ctx context.Context, given arguments) error {
	d, keys, err := startDemo(ctx, given, true)
	if err != nil {
		return err
	}
	for _, address := range d.Addresses() {
		fmt.Println("hall        http://" + address)
	}
	fmt.Println("key-value   " + d.Store().Address())
	fmt.Println("model       " + d.Model())
	fmt.Println("service     " + deployment.ServiceName)
	for _, row := range demoRows() {
		fmt.Printf("key         %s %s\n", row.Workspace(), keys[row.Workspace()])
	}
	<-ctx.Done()
	return stopDemo(d)
}
