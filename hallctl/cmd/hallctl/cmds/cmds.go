// Package cmds holds the commands of hallctl.
//
// # Usage
//
//	hallctl table plan table.toml --settings hallctl.toml
//	hallctl key create kovacs-counter --settings hallctl.toml
package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"limpethall.dev/hallctl/operator"
	"limpethall.dev/kernel/command"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/network"
	_ "limpethall.dev/kernel/platform/httpjson" // Store plug-in.
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
)

// The exit codes beyond those of package command.
const (
	ExitRace      = 3
	ExitLacking   = 4
	ExitUnsettled = 5
)

const (
	settingsVariable = "LIMPETHALL_SETTINGS"
	watchInterval    = 2 * time.Second
	commandTimeout   = time.Minute
)

const about = `The operators' tool of limpethall.

The settings file (--settings, or the variable LIMPETHALL_SETTINGS) names the
key-value service and the shared secrets. Exit codes: 0 done, 1 failed, 2 bad
input, 3 another operator was first and nothing was changed, 4 accepted but not
yet in force everywhere, 5 not known whether it was accepted.`

// Main runs the program and exits.
func Main() {
	os.Exit(Run(os.Args[1:]))
}

// line is the command line after parsing.
type line struct {
	settings string
	asJSON   bool
	base     uint64
	revision uint64
	watch    bool
	subject  string
	logs     []string
	run      func(ctx context.Context, tool *operator.Tool) error
	offline  func() error
}

// Run carries out one command and returns its exit code.
func Run(arguments []string) int {
	given := &line{settings: os.Getenv(settingsVariable)}
	parser := flaggy.NewParser("hallctl")
	parser.Description = about
	parser.Version = command.Version
	parser.String(&given.settings, "s", "settings", "The TOML settings file.")
	parser.Bool(&given.asJSON, "j", "json", "Print JSON.")
	commands := given.commands()
	for _, group := range commands {
		parser.AttachSubcommand(group.parser, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return command.Invalid(err)
	}
	for _, group := range commands {
		if group.choose(given) {
			return given.execute()
		}
	}
	parser.ShowHelp()
	return command.ExitInvalid
}

func (l *line) execute() int {
	if l.offline != nil {
		return exitCode(l.offline())
	}
	if l.settings == "" {
		return command.Invalid(errors.New("--settings is missing: name the TOML settings file, or set " + settingsVariable))
	}
	own := operator.DefaultSettings()
	if err := settings.Load(l.settings, &own); err != nil {
		return command.Invalid(err)
	}
	tool, err := operator.New(own, network.TCP{}, os.Stdout, l.asJSON)
	if err != nil {
		return command.Invalid(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if !l.watch {
		bounded, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		ctx = bounded
	}
	return exitCode(l.run(ctx, tool))
}

// exitCode prints an error and returns the code for it.
func exitCode(err error) int {
	var problems *table.ProblemsError
	var race *configuration.RaceError
	var lacking *operator.LackingError
	var unsettled *configuration.UnsettledError
	var large *configuration.TooLargeError
	var missing *os.PathError
	switch {
	case err == nil:
		return command.ExitDone
	case errors.As(err, &problems), errors.As(err, &large), errors.As(err, &missing):
		return command.Invalid(err)
	case errors.As(err, &race):
		_ = command.Fail(err)
		return ExitRace
	case errors.As(err, &lacking):
		_ = command.Fail(err)
		return ExitLacking
	case errors.As(err, &unsettled):
		_ = command.Fail(err)
		return ExitUnsettled
	default:
		return command.Fail(err)
	}
}
