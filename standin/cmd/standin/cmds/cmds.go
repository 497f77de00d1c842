// Package cmds implements the command line of standin.
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
	startTimeout = 30 * time.Second
	stopTimeout  = time.Minute
	// warmUpDuration is the time before a load test in which shares are distributed and
	// engines warm up.
	warmUpDuration = 8 * time.Second
)

// Main runs standin and exits the process with its exit code.
func Main() {
	os.Exit(run(os.Args[1:]))
}

// options holds the values of the command line flags.
type options struct {
	seconds int
	seed    int
	hold    bool
	port    int
	listen  string
	model   string

	scenario string
	policy   string
	queue    string
	jsonPath string
}

func run(args []string) int {
	flags := options{seconds: 10, seed: 1, port: 8080, listen: "127.0.0.1:0", model: "magnet", scenario: "kovacs", policy: "affinity", queue: "fair"}
	parser := flaggy.NewParser("standin")
	parser.Description = "Simulates the services of the platform, demonstrates limpethall in one process and runs load tests."
	parser.Version = command.Version
	demo := flaggy.NewSubcommand("demo")
	demo.Description = "Run a mixed load of programs against two zones in one process and print the results as seen by clients."
	demo.Int(&flags.seconds, "n", "seconds", "The number of seconds during which new programs are started.")
	demo.Int(&flags.seed, "r", "seed", "The random seed of the load.")
	demo.Bool(&flags.hold, "o", "hold", "Start without load, print the addresses and keys, and run until SIGTERM or SIGINT.")
	demo.Int(&flags.port, "p", "port", "With --hold, the client port of the first hall.")
	loadTest := flags.loadCommand()
	parser.AttachSubcommand(demo, 1)
	parser.AttachSubcommand(loadTest, 1)
	serverCommands := newServerCommands(&flags)
	for _, serverCommand := range serverCommands {
		parser.AttachSubcommand(serverCommand.parser, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return command.PrintFailure(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, serverCommand := range serverCommands {
		if serverCommand.parser.Used {
			return serverCommand.run(ctx)
		}
	}
	var err error
	switch {
	case loadTest.Used:
		err = runLoadTest(ctx, flags)
	case demo.Used && flags.hold:
		err = holdDemo(ctx, flags)
	case demo.Used:
		err = runDemo(ctx, flags)
	default:
		parser.ShowHelp()
		return command.ExitInvalid
	}
	if err != nil {
		return command.PrintFailure(err)
	}
	return command.ExitDone
}

// demoWorkloads returns the load of the demonstration, a small version of the users' two
// deployments.
func demoWorkloads() []load.Workload {
	return []load.Workload{
		{Workspace: "counter", Callers: 12, MinTurns: 1, MaxTurns: 3, MinAnswer: 10, MaxAnswer: 30, Prompt: 200, Think: 100 * time.Millisecond, Stream: true},
		{Workspace: "orders", Callers: 8, MinTurns: 4, MaxTurns: 10, MinAnswer: 20, MaxAnswer: 60, Prompt: 800, Think: 200 * time.Millisecond, ToolEvery: 2, Stream: true},
		{Workspace: "archive", Callers: 4, MinTurns: 3, MaxTurns: 6, MinAnswer: 30, MaxAnswer: 90, Prompt: 2000, Think: 100 * time.Millisecond, ToolEvery: 3, ChildEvery: 2},
	}
}

// demoRows returns the rows of the workspaces of demoWorkloads.
func demoRows() []table.Row {
	return []table.Row{
		table.NewRow("counter", 2, 400, 400, 20_000, nil),
		table.NewRow("orders", 2, 400, 400, 60_000, nil),
		table.NewRow("archive", 1, 200, 200, 60_000, nil),
	}
}

// startDemo starts the deployment of the demonstration and returns it with the keys by
// workspace. If hold is set, the first hall uses the configured client port.
func startDemo(ctx context.Context, flags options, hold bool) (*deployment.Deployment, map[string]string, error) {
	deploymentOptions := deployment.DefaultOptions()
	deploymentOptions.Rows = demoRows()
	if hold {
		deploymentOptions.FirstHallPort = flags.port
	}
	d, err := deployment.New(deploymentOptions, os.Stderr)
	if err != nil {
		return nil, nil, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	keys, err := startWithKeys(startCtx, d, deploymentOptions)
	return d, keys, err
}

// startWithKeys starts a deployment and creates a key for each workspace. It returns the
// keys by workspace once the configuration with them is in force.
func startWithKeys(ctx context.Context, d *deployment.Deployment, deploymentOptions deployment.Options) (map[string]string, error) {
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	keys := make(map[string]string)
	for _, row := range deploymentOptions.Rows {
		key, err := d.CreateKey(ctx, row.Workspace())
		if err != nil {
			return nil, err
		}
		keys[row.Workspace()] = key
	}
	return keys, d.WaitRevision(ctx)
}

func stopDeployment(d *deployment.Deployment) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return d.Stop(ctx)
}

// runDemo runs the demonstration with load and prints the report. It returns an error if
// the report contains a failure.
func runDemo(ctx context.Context, flags options) error {
	d, keys, err := startDemo(ctx, flags, false)
	if err != nil {
		return err
	}
	report := load.New(demoWorkloads(), nil, time.Duration(flags.seconds)*time.Second, uint64(flags.seed), d, keys).Run(ctx)
	if err := stopDeployment(d); err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	for _, message := range report.Errors {
		fmt.Println("failed:", message)
	}
	if !report.Succeeded() {
		return fmt.Errorf("a program failed, a workspace ran no program or an invariant was violated")
	}
	return nil
}

// holdDemo runs the demonstration without load until the context ends.
func holdDemo(ctx context.Context, flags options) error {
	d, keys, err := startDemo(ctx, flags, true)
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
	return stopDeployment(d)
}
