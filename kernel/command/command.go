// Package command implements the command line shared by the long-lived programs:
// the subcommands run and check, and the flags for version and help.
//
// # Usage
//
//	command.Main(command.Program{Name: "hall", Description: "…", Check: check, Run: run})
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	_ "limpethall.dev/kernel/signals" // Only SIGTERM and SIGINT end the process, with exit code 0.
)

// Version is the version of all programs of this repository.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitInvalid = 2
)

// Program describes a long-lived program.
type Program struct {
	Name        string
	Description string
	// DefaultPath is the settings file used without --settings. If it is empty,
	// the flag is required.
	DefaultPath string
	// Check loads and validates a settings file.
	Check func(path string) error
	// Run waits for a settings file that Check accepts, serves until the context is
	// canceled, and then shuts down gracefully within a timeout of its own choice.
	Run func(ctx context.Context, path string) error
}

// Main runs the program with the arguments of the process and exits.
func Main(program Program) {
	os.Exit(program.run(os.Args[1:]))
}

func (p Program) run(arguments []string) int {
	path := p.DefaultPath
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = Version
	run := flaggy.NewSubcommand("run")
	run.Description = "Serve until SIGTERM or SIGINT, then stop gracefully."
	run.String(&path, "s", "settings", "Path of the TOML settings file.")
	check := flaggy.NewSubcommand("check")
	check.Description = "Validate a settings file and report all problems; exit code 2 if there are any."
	check.String(&path, "s", "settings", "Path of the TOML settings file.")
	parser.AttachSubcommand(run, 1)
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return PrintFailure(err)
	}
	switch {
	case run.Used && path != "":
		return p.serve(path)
	case check.Used && path != "":
		return p.check(path)
	case run.Used || check.Used:
		return PrintInvalid(errors.New("--settings is missing: specify the path of the TOML settings file"))
	default:
		parser.ShowHelp()
		return ExitInvalid
	}
}

func (p Program) check(path string) int {
	if err := p.Check(path); err != nil {
		return PrintInvalid(err)
	}
	fmt.Println(path + ": ok")
	return ExitDone
}

func (p Program) serve(path string) int {
	// Without this, the process ends when the reader of its output goes away.
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The signals are handled until the process ends, as a repeated one would otherwise have
	// its default action at the end of a graceful stop.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	if err := p.Run(ctx, path); err != nil {
		return PrintFailure(err)
	}
	return ExitDone
}

// Process is a server that can be started and stopped gracefully.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// UnlessStopped returns the error of a step of the start, or nil if the step failed because
// the process was asked to stop meanwhile.
func UnlessStopped(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Serve starts a process, waits until ctx is canceled, and stops the process
// gracefully within stopTimeout.
func Serve(ctx context.Context, process Process, stopTimeout time.Duration) error {
	if err := process.Start(context.WithoutCancel(ctx)); err != nil {
		return UnlessStopped(ctx, err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return process.Stop(stopCtx)
}

// PrintFailure prints an error to standard error and returns the exit code for a
// failure.
func PrintFailure(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return ExitFailed
}

// PrintInvalid prints an error to standard error and returns the exit code for invalid
// input.
func PrintInvalid(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return ExitInvalid
}
