// Package cmds implements the command line of limpet.
//
// # Usage
//
//	limpet run --settings limpet.toml
//	limpet check --settings limpet.toml
package cmds

import (
	"context"
	"os"
	"time"

	"limpethall.dev/kernel/command"
	_ "limpethall.dev/kernel/footprint" // Reduces the address space.
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	_ "limpethall.dev/kernel/platform/httpjson" // Store plug-in.
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/settingsfile"
	"limpethall.dev/limpet"
	_ "limpethall.dev/limpet/engine/chat" // Engine plug-in.
)

// stopTimeout bounds a graceful stop.
const stopTimeout = 2 * time.Minute

// Main runs the command given on the command line and exits.
func Main() {
	command.Main(command.Program{
		Name:        "limpet",
		Description: "Sidecar proxy of one backend server of limpethall: limits, queues and tracks all calls to it.",
		Check:       check,
		Run:         run,
	})
}

func check(path string) error {
	config := limpet.DefaultSettings()
	return settings.Load(path, &config)
}

func run(ctx context.Context, path string) error {
	parse := func(text []byte) (limpet.Settings, error) {
		config := limpet.DefaultSettings()
		err := settings.Parse(path, string(text), &config)
		return config, err
	}
	content, err := settingsfile.Await(ctx, path, parse, logs.New(limpet.DefaultSettings().Log, os.Stderr).Logger("settings"))
	if err != nil {
		return command.UnlessStopped(ctx, err)
	}
	config := content.Value()
	store, err := config.Store.Open(network.TCP{})
	if err != nil {
		return err
	}
	loggers := logs.New(config.Log, os.Stderr)
	process, err := limpet.New(config, network.NewWaiting(ctx, network.TCP{}, loggers.Logger("network")), store, loggers)
	if err != nil {
		return command.UnlessStopped(ctx, err)
	}
	return command.Serve(ctx, process, stopTimeout)
}
