// Package cmds implements the commands of hall.
//
// # Usage
//
//	hall run --settings hall.toml
//	hall check --settings hall.toml
package cmds

import (
	"context"
	"os"
	"time"

	"limpethall.dev/hall"
	"limpethall.dev/kernel/command"
	_ "limpethall.dev/kernel/footprint" // Reduces the address space.
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	_ "limpethall.dev/kernel/platform/httpjson" // Registers the store and host list plug-ins.
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/settingsfile"
)

// stopTimeout limits the duration of a graceful stop.
const stopTimeout = 2 * time.Minute

// Main runs the command line and exits.
func Main() {
	command.Main(command.Program{
		Name:        "hall",
		Description: "The hall of an entry host: authenticates callers, applies rate limits, runs the calls of agent programs in order and routes them to backend servers.",
		Check:       check,
		Run:         run,
	})
}

func check(path string) error {
	config := hall.DefaultSettings()
	return settings.Load(path, &config)
}

func run(ctx context.Context, path string) error {
	parse := func(text []byte) (hall.Settings, error) {
		config := hall.DefaultSettings()
		err := settings.Parse(path, string(text), &config)
		return config, err
	}
	content, err := settingsfile.Await(ctx, path, parse, logs.New(hall.DefaultSettings().Log, os.Stderr).Logger("settings"))
	if err != nil {
		return command.UnlessStopped(ctx, err)
	}
	config := content.Value()
	store, err := config.Store.Open(network.TCP{})
	if err != nil {
		return err
	}
	loggers := logs.New(config.Log, os.Stderr)
	process, err := hall.New(config, network.NewWaiting(ctx, network.TCP{}, loggers.Logger("network")), store, loggers)
	if err != nil {
		return command.UnlessStopped(ctx, err)
	}
	return command.Serve(ctx, process, stopTimeout)
}
