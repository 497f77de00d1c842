// Package cmds holds the commands of hall.
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
	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	_ "limpethall.dev/kernel/platform/httpjson" // Store and host list plug-ins.
	"limpethall.dev/kernel/settings"
)

// stopTime bounds a graceful stop.
const stopTime = 2 * time.Minute

// Main runs the program and exits.
func Main() {
	command.Main(command.Program{
		Name:  "hall",
		About: "The entry host of limpethall: authenticates, limits and orders agent programs' calls and routes them to backend servers.",
		Check: check,
		Run:   run,
	})
}

func check(path string) error {
	own := hall.DefaultSettings()
	return settings.Load(path, &own)
}

func run(ctx context.Context, path string) error {
	own := hall.DefaultSettings()
	if err := settings.Load(path, &own); err != nil {
		return err
	}
	store, err := own.Store.Open(network.TCP{})
	if err != nil {
		return err
	}
	process, err := hall.New(own, network.TCP{}, store, logs.New(own.Log, os.Stderr))
	if err != nil {
		return err
	}
	return command.Serve(ctx, process, stopTime)
}
