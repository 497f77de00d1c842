package cmds

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"limpethall.dev/hallctl/operator"
	"limpethall.dev/kernel/table"
)

// subcommand is a command that can be executed. Either newRun or newRunOffline is
// set.
type subcommand struct {
	parser        *flaggy.Subcommand
	newRun        func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error
	newRunOffline func(l *commandLine) func() error
}

// commandGroup is a top-level command. It either groups several subcommands or is
// itself the only subcommand.
type commandGroup struct {
	parser      *flaggy.Subcommand
	subcommands []subcommand
}

// selectCommand stores the function of the parsed subcommand in l. It returns false
// if the command line names no subcommand of this group.
func (g commandGroup) selectCommand(l *commandLine) bool {
	for _, candidate := range g.subcommands {
		if !candidate.parser.Used {
			continue
		}
		if candidate.newRunOffline != nil {
			l.runOffline = candidate.newRunOffline(l)
			return true
		}
		l.run = candidate.newRun(l)
		return true
	}
	return false
}

func (l *commandLine) commandGroups() []commandGroup {
	return []commandGroup{l.tableCommands(), l.keyCommands(), l.serviceStateCommands("zone", setZone), l.serviceStateCommands("server", setServer), l.statusCommand(), l.programCommands(), l.explainCommand(), l.whereCommand()}
}

func newCommandGroup(name, description string, subcommands ...subcommand) commandGroup {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	for _, added := range subcommands {
		parser.AttachSubcommand(added.parser, 1)
	}
	return commandGroup{parser: parser, subcommands: subcommands}
}

// newSubcommand creates a subcommand. argumentName is the name of its positional
// argument, which is required; it is empty if the subcommand has none.
func (l *commandLine) newSubcommand(name, description, argumentName string, newRun func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error) subcommand {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	if argumentName != "" {
		parser.AddPositionalValue(&l.argument, argumentName, 1, true, "The "+argumentName+".")
	}
	return subcommand{parser: parser, newRun: newRun}
}

func (l *commandLine) tableCommands() commandGroup {
	validate := l.newSubcommand("validate", "Report all errors in a table file (TOML or CSV).", "file", nil)
	validate.newRunOffline = func(l *commandLine) func() error {
		return func() error { return operator.Validate(l.argument, os.Stdout) }
	}
	plan := l.newSubcommand("plan", "Print the changes that apply would make for a table file.", "file", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.Plan(ctx, l.argument) }
	})
	apply := l.newSubcommand("apply", "Change the table to match a file and wait until the change is in force.", "file", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error {
			return tool.Apply(ctx, l.argument, l.baseRevision)
		}
	})
	apply.parser.UInt64(&l.baseRevision, "b", "base", "The revision on which the plan is based.")
	show := l.newSubcommand("show", "Print the table.", "", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.Show(ctx, l.revision) }
	})
	show.parser.UInt64(&l.revision, "r", "revision", "Print an earlier revision instead of the newest one.")
	history := l.newSubcommand("history", "Print the changes that are still stored.", "", func(*commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.History(ctx) }
	})
	return newCommandGroup("table", "Plan, apply and show the table of workspaces.", validate, plan, apply, show, history)
}

func (l *commandLine) keyCommands() commandGroup {
	create := l.newSubcommand("create", "Create a key for a workspace and print it. It cannot be printed again.", "workspace", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.CreateKey(ctx, l.argument) }
	})
	withdraw := l.newSubcommand("withdraw", "Withdraw a key. Streams that were opened with it are closed.", "id", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error {
			return tool.ApplyToNewest(ctx, table.NewWithdrawKey(l.argument))
		}
	})
	list := l.newSubcommand("list", "Print the keys of all workspaces without their secrets.", "", func(*commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.ListKeys(ctx) }
	})
	return newCommandGroup("key", "Create, withdraw and list keys.", create, withdraw, list)
}

func setZone(name string, outOfService bool) table.Edit {
	return table.NewSetZone(name, outOfService)
}

func setServer(name string, outOfService bool) table.Edit {
	return table.NewSetServer(name, outOfService)
}

// serviceStateCommands returns the commands that take a zone or server out of
// service and back into service.
func (l *commandLine) serviceStateCommands(kind string, newEdit func(name string, outOfService bool) table.Edit) commandGroup {
	newRun := func(outOfService bool) func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
			return func(ctx context.Context, tool *operator.Tool) error {
				return tool.ApplyToNewest(ctx, newEdit(l.argument, outOfService))
			}
		}
	}
	return newCommandGroup(kind, "Take a "+kind+" out of service or back into service.",
		l.newSubcommand("out", "Stop sending new requests there. Running requests complete.", kind, newRun(true)),
		l.newSubcommand("back", "Send new requests there again.", kind, newRun(false)))
}

func (l *commandLine) statusCommand() commandGroup {
	status := l.newSubcommand("status", "Print the halls and limpets and the revision of the table that each one uses.", "", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error {
			if l.watch {
				return tool.WatchStatus(ctx, statusWatchInterval)
			}
			return tool.Status(ctx)
		}
	})
	status.parser.Bool(&l.watch, "w", "watch", "Print the status every two seconds.")
	return commandGroup{parser: status.parser, subcommands: []subcommand{status}}
}

func (l *commandLine) programCommands() commandGroup {
	show := l.newSubcommand("show", "Print the state of a program.", "program", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.ShowProgram(ctx, l.argument) }
	})
	end := l.newSubcommand("end", "End a program and free the engine memory held for it.", "program", func(l *commandLine) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.EndProgram(ctx, l.argument) }
	})
	return newCommandGroup("program", "Show and end programs.", show, end)
}

func (l *commandLine) explainCommand() commandGroup {
	explain := l.newSubcommand("explain", "Print the logged decisions about a request, program or call.", "id", nil)
	explain.parser.StringSlice(&l.logPaths, "l", "log", "Path of a JSON log file of a hall. Can be repeated.")
	explain.newRunOffline = func(l *commandLine) func() error {
		return func() error { return operator.Explain(l.argument, l.logPaths, os.Stdout, l.asJSON) }
	}
	return commandGroup{parser: explain.parser, subcommands: []subcommand{explain}}
}

func (l *commandLine) whereCommand() commandGroup {
	where := l.newSubcommand("where", "Ask a running hall where a request would be sent now, and why. No request is sent.", "host/path", nil)
	where.parser.String(&l.where.Hall, "a", "hall", "Address of the hall for other hosts, as on the roster.")
	where.parser.String(&l.where.Workspace, "w", "workspace", "The workspace that sends the request.")
	where.parser.String(&l.where.Program, "p", "program", "The program of the request.")
	where.parser.String(&l.where.Object, "o", "object", "The object that the request concerns.")
	where.parser.StringSlice(&l.where.Prompt, "r", "prompt", "A part of the prompt as ID:TOKENS. Can be repeated.")
	where.newRunOffline = func(l *commandLine) func() error {
		return func() error {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			l.where.Target = l.argument
			return operator.Where(ctx, l.where, os.Stdout, l.asJSON)
		}
	}
	return commandGroup{parser: where.parser, subcommands: []subcommand{where}}
}
