// Package cmds implements the command line of hallctl.
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

// Exit codes of hallctl in addition to those of package command.
const (
	// ExitConflict means that another change was accepted first. Nothing was changed.
	ExitConflict = 3
	// ExitNotInForce means that the change was accepted, but is not yet in force in
	// every process.
	ExitNotInForce = 4
	// ExitOutcomeUnknown means that the change may or may not have been accepted.
	ExitOutcomeUnknown = 5
)

const (
	settingsVariable    = "LIMPETHALL_SETTINGS"
	statusWatchInterval = 2 * time.Second
	// commandTimeout limits the duration of every command except status --watch.
	commandTimeout = time.Minute
)

const description = `Administers a limpethall deployment.

The settings file (--settings, or the environment variable LIMPETHALL_SETTINGS)
specifies the key-value service and the shared secrets. Exit codes: 0 success,
1 failure, 2 invalid input, 3 conflict with another change and nothing was
changed, 4 accepted but not yet in force everywhere, 5 unknown whether the
change was accepted.`

// Main runs hallctl and exits the process with its exit code.
func Main() {
	os.Exit(Run(os.Args[1:]))
}

// commandLine holds the parsed flags and arguments and the selected command.
type commandLine struct {
	settingsPath string
	asJSON       bool
	baseRevision uint64
	revision     uint64
	watch        bool
	// argument is the positional argument of the selected command.
	argument string
	logPaths []string
	where    operator.WhereOptions
	run      func(ctx context.Context, tool *operator.Tool) error
	// runOffline is set instead of run for commands that need neither a settings file
	// nor a connection to the deployment.
	runOffline func() error
}

// Run executes one command and returns its exit code.
func Run(arguments []string) int {
	line := &commandLine{settingsPath: os.Getenv(settingsVariable)}
	parser := flaggy.NewParser("hallctl")
	parser.Description = description
	parser.Version = command.Version
	parser.String(&line.settingsPath, "s", "settings", "Path of the TOML settings file.")
	parser.Bool(&line.asJSON, "j", "json", "Print the output as JSON.")
	groups := line.commandGroups()
	for _, group := range groups {
		parser.AttachSubcommand(group.parser, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return command.PrintInvalid(err)
	}
	for _, group := range groups {
		if group.selectCommand(line) {
			return line.execute()
		}
	}
	parser.ShowHelp()
	return command.ExitInvalid
}

// execute runs the selected command and returns its exit code.
func (l *commandLine) execute() int {
	if l.runOffline != nil {
		return exitCode(l.runOffline())
	}
	if l.settingsPath == "" {
		return command.PrintInvalid(errors.New("--settings is missing: specify the path of the TOML settings file, or set " + settingsVariable))
	}
	toolSettings := operator.DefaultSettings()
	if err := settings.Load(l.settingsPath, &toolSettings); err != nil {
		return command.PrintInvalid(err)
	}
	tool, err := operator.New(toolSettings, network.TCP{}, os.Stdout, l.asJSON)
	if err != nil {
		return command.PrintInvalid(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if !l.watch {
		timeoutCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	return exitCode(l.run(ctx, tool))
}

// exitCode prints err, if any, and returns the corresponding exit code.
func exitCode(err error) int {
	var invalidTable *table.ProblemsError
	var conflict *configuration.RevisionConflictError
	var notInForce *operator.NotInForceError
	var outcomeUnknown *configuration.OutcomeUnknownError
	var tooLarge *configuration.TooLargeError
	var fileError *os.PathError
	switch {
	case err == nil:
		return command.ExitDone
	case errors.As(err, &invalidTable), errors.As(err, &tooLarge), errors.As(err, &fileError):
		return command.PrintInvalid(err)
	case errors.As(err, &conflict):
		_ = command.PrintFailure(err)
		return ExitConflict
	case errors.As(err, &notInForce):
		_ = command.PrintFailure(err)
		return ExitNotInForce
	case errors.As(err, &outcomeUnknown):
		_ = command.PrintFailure(err)
		return ExitOutcomeUnknown
	default:
		return command.PrintFailure(err)
	}
}
