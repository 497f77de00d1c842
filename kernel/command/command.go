// Package command holds what the long-lived programs share on the command
// line: run, check, and the library's own version and help.
//
// # Usage
//
//	command.Main(command.Program{Name: "hall", About: "…", Check: check, Run: run})
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
)

// Version is the version of all programs of this repository.
const Version = "0.1.0"

// The exit codes of all programs.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitInvalid = 2
)

// Program is a long-lived program.
type Program struct {
	Name  string
	About string
	// DefaultPath is the settings file where none is named.
	DefaultPath string
	// Check reads a settings file and returns what is wrong with it.
	Check func(path string) error
	// Run serves until the context ends and then has until the deadline of
	// the function's own choice to stop gracefully.
	Run func(ctx context.Context, path string) error
}

// Main runs the program and exits.
func Main(program Program) {
	os.Exit(program.run(os.Args[1:]))
}

func (p Program) run(arguments []string) int {
	path := p.DefaultPath
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.About
	parser.Version = Version
	run := flaggy.NewSubcommand("run")
	run.Description = "Serve until SIGTERM or SIGINT, then stop gracefully."
	run.String(&path, "s", "settings", "The TOML settings file.")
	check := flaggy.NewSubcommand("check")
	check.Description = "Report every mistake in a settings file; exit code 2 if there is one."
	check.String(&path, "s", "settings", "The TOML settings file.")
	parser.AttachSubcommand(run, 1)
	parser.AttachSubcommand(check, 1)
	if err := parser.ParseArgs(arguments); err != nil {
		return Fail(err)
	}
	switch {
	case run.Used && path != "":
		return p.serve(path)
	case check.Used && path != "":
		return p.check(path)
	case run.Used || check.Used:
		return Invalid(errors.New("--settings is missing: name the TOML settings file"))
	default:
		parser.ShowHelp()
		return ExitInvalid
	}
}

func (p Program) check(path string) int {
	if err := p.Check(path); err != nil {
		return Invalid(err)
	}
	fmt.Println(path + ": ok")
	return ExitDone
}

func (p Program) serve(path string) int {
	if err := p.Check(path); err != nil {
		return Invalid(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, path); err != nil {
		return Fail(err)
	}
	return ExitDone
}

// Process is what Serve runs.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Serve starts a process, waits until ctx ends, and stops it gracefully
// within the given time.
func Serve(ctx context.Context, process Process, stopTime time.Duration) error {
	if err := process.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return process.Stop(stopping)
}

// Fail prints an error and returns the exit code for a failure.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return ExitFailed
}

// Invalid prints an error and returns the exit code for bad input.
func Invalid(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return ExitInvalid
}
