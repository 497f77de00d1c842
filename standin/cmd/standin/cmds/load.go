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

func (a *arguments) loadCommand() *flaggy.Subcommand {
	parser := flaggy.NewSubcommand("load")
	parser.Description = "Run a scenario against real halls and limpets over loopback and print the measures."
	parser.String(&a.scenario, "c", "scenario", "One of "+strings.Join(load.Scenarios.Names(), ", ")+".")
	parser.String(&a.policy, "y", "policy", "The routing policy: affinity, roundRobin or leastOutstanding.")
	parser.String(&a.queue, "q", "queue", "The queue policy: fair or arrival.")
	parser.Int(&a.seconds, "n", "seconds", "How long new programs are started.")
	parser.Int(&a.seed, "r", "seed", "The seed of the load.")
	parser.String(&a.json, "f", "json", "A file to write the report to as JSON.")
	return parser
}

func runLoad(ctx context.Context, given arguments) error {
	scenario, err := load.Scenarios.Find(given.scenario)
	if err != nil {
		return err
	}
	options := scenario.Options()
	options.RoutePolicy = given.policy
	options.QueuePolicy = given.queue
	d, err := deployment.New(options, os.Stderr)
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	keys, err := startWithKeys(starting, d, options)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	report := load.New(scenario.Shapes(), scenario.Events(), time.Duration(given.seconds)*time.Second, uint64(given.seed), d, keys).Do(ctx)
	if err := stopDemo(d); err != nil {
		return err
	}
	fmt.Printf("scenario %s, routing %s, queue %s, seed %d, %d s\n", given.scenario, given.policy, given.queue, given.seed, given.seconds)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(report, given.json); err != nil {
		return err
	}
	if report.Violations.Any() {
		return fmt.Errorf("an invariant was broken")
	}
	for _, text := range report.Errors {
		fmt.Println("failed:", text)
	}
	return nil
}

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
