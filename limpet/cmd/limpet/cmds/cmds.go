// Package cmds holds the commands of limpet.
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
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	_ "limpethall.dev/kernel/platform/httpjson" // Store plug-in.
	"limpethall.dev/kernel/settings"
	"limpethall.dev/limpet"
	_ "limpethall.dev/limpet/engine/chat" // Engine plug-in.
)

// stopTime bounds a graceful stop.
const stopTime = 2 * time.Minute

// Main runs the program and exits.
func Main() {
	command.Main(command.Program{
		Name:  "limpet",
		About: "The gate beside one backend server of limpethall: bounds, orders and records all calls to it.",
		Check: check,
		Run:   run,
	})
}

func check(path string) error {
	own := limpet.DefaultSettings()
	return settings.Load(path, &own)
}

func run(ctx context.Context, path string) error {
	own := limpet.DefaultSettings()
	if err := settings.Load(path, &own); err != nil {
		return err
	}
	store, err := own.Store.Open(network.TCP{})
	if err != nil {
		return err
	}
	process, err := limpet.New(own, network.TCP{}, store, logs.New(own.Log, os.Stderr))
	if err != nil {
		return err
	}
	return command.Serve(ctx, process, stopTime)
}
