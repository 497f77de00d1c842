package cmds

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/load"
)

func (o *options) loadCommand() *flaggy.Subcommand {
	parser := flaggy.NewSubcommand("load")
	parser.Description = "Run a load test scenario against halls and limpets in this process, connected over loopback, and print the measurements."
	parser.String(&o.scenario, "c", "scenario", "The scenario: one of "+strings.Join(load.Scenarios.Names(), ", ")+".")
	parser.String(&o.policy, "y", "policy", "The routing policy: affinity, roundRobin or leastOutstanding.")
	parser.String(&o.queue, "q", "queue", "The queue policy: fair or arrival.")
	parser.Int(&o.seconds, "n", "seconds", "The number of seconds during which new programs are started.")
	parser.Int(&o.seed, "r", "seed", "The random seed of the load.")
	parser.String(&o.jsonPath, "f", "json", "Path of a file to which the report is written as JSON.")
	return parser
}

// runLoadTest runs a scenario and prints the report. It returns an error if an invariant
// was violated; failed programs are only printed.
func runLoadTest(ctx context.Context, flags options) error {
	scenario, err := load.Scenarios.Find(flags.scenario)
	if err != nil {
		return err
	}
	deploymentOptions := scenario.Options()
	deploymentOptions.RoutePolicy = flags.policy
	deploymentOptions.QueuePolicy = flags.queue
	d, err := deployment.New(deploymentOptions, os.Stderr)
	if err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	keys, err := startWithKeys(startCtx, d, deploymentOptions)
	if err != nil {
		return err
	}
	time.Sleep(warmUpDuration)
	report := load.New(scenario.Workloads(), scenario.Events(), time.Duration(flags.seconds)*time.Second, uint64(flags.seed), d, keys).Run(ctx)
	if err := stopDeployment(d); err != nil {
		return err
	}
	fmt.Printf("scenario %s, routing %s, queue %s, seed %d, %d s\n", flags.scenario, flags.policy, flags.queue, flags.seed, flags.seconds)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(report, flags.jsonPath); err != nil {
		return err
	}
	if report.Violations.Any() {
		return fmt.Errorf("an invariant was violated")
	}
	for _, message := range report.Errors {
		fmt.Println("failed:", message)
	}
	return nil
}

// writeReport writes the report as JSON unless path is empty.
func writeReport(report *load.Report, path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(file); err != nil {
		return err
	}
	return file.Close()
}
