package cmds

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"limpethall.dev/hallctl/operator"
	"limpethall.dev/kernel/table"
)

// leaf is one command.
type leaf struct {
	parser  *flaggy.Subcommand
	run     func(l *line) func(ctx context.Context, tool *operator.Tool) error
	offline func(l *line) func() error
}

// group is a command with commands below it, or alone.
type group struct {
	parser *flaggy.Subcommand
	leaves []leaf
}

// choose sets what to run if the group was named.
func (g group) choose(l *line) bool {
	for _, each := range g.leaves {
		if !each.parser.Used {
			continue
		}
		if each.offline != nil {
			l.offline = each.offline(l)
			return true
		}
		l.run = each.run(l)
		return true
	}
	return false
}

func (l *line) commands() []group {
	return []group{l.tableCommands(), l.keyCommands(), l.outCommands("zone", setZone), l.outCommands("server", setServer), l.statusCommand(), l.programCommands(), l.explainCommand()}
}

func newGroup(name, description string, leaves ...leaf) group {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	for _, each := range leaves {
		parser.AttachSubcommand(each.parser, 1)
	}
	return group{parser: parser, leaves: leaves}
}

// newLeaf returns a command; subject names its one argument, empty for none.
func (l *line) newLeaf(name, description, subject string, run func(l *line) func(ctx context.Context, tool *operator.Tool) error) leaf {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	if subject != "" {
		parser.AddPositionalValue(&l.subject, subject, 1, true, "The "+subject+".")
	}
	return leaf{parser: parser, run: run}
}

func (l *line) tableCommands() group {
	validate := l.newLeaf("validate", "Report every mistake in a table file (TOML or CSV).", "file", nil)
	validate.offline = func(l *line) func() error {
		return func() error { return operator.Validate(l.subject, os.Stdout) }
	}
	plan := l.newLeaf("plan", "Print what a table file would change.", "file", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.Plan(ctx, l.subject) }
	})
	apply := l.newLeaf("apply", "Make the table what a file says and wait until that is in force.", "file", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.Apply(ctx, l.subject, l.base) }
	})
	apply.parser.UInt64(&l.base, "b", "base", "The revision that was planned from.")
	show := l.newLeaf("show", "Print the table.", "", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.Show(ctx, l.revision) }
	})
	show.parser.UInt64(&l.revision, "r", "revision", "An earlier revision.")
	history := l.newLeaf("history", "Print the changes that are still kept.", "", func(*line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.History(ctx) }
	})
	return newGroup("table", "Plan, apply and show the table of workspaces.", validate, plan, apply, show, history)
}

func (l *line) keyCommands() group {
	create := l.newLeaf("create", "Give a workspace a key and print it, this once.", "workspace", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.CreateKey(ctx, l.subject) }
	})
	withdraw := l.newLeaf("withdraw", "End a key; its open streams end too.", "id", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error {
			return tool.ChangeNow(ctx, table.NewWithdrawKey(l.subject))
		}
	})
	list := l.newLeaf("list", "Print all keys without their secrets.", "", func(*line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.ListKeys(ctx) }
	})
	return newGroup("key", "Create, withdraw and list keys.", create, withdraw, list)
}

func setZone(name string, out bool) table.Edit { return table.NewSetZone(name, out) }

func setServer(name string, out bool) table.Edit { return table.NewSetServer(name, out) }

// outCommands takes zones or servers out of service and back.
func (l *line) outCommands(kind string, set func(name string, out bool) table.Edit) group {
	change := func(out bool) func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(l *line) func(ctx context.Context, tool *operator.Tool) error {
			return func(ctx context.Context, tool *operator.Tool) error { return tool.ChangeNow(ctx, set(l.subject, out)) }
		}
	}
	return newGroup(kind, "Take a "+kind+" out of service and back.",
		l.newLeaf("out", "No new work goes there; running work ends.", kind, change(true)),
		l.newLeaf("back", "New work goes there again.", kind, change(false)))
}

func (l *line) statusCommand() group {
	status := l.newLeaf("status", "Print halls, limpets and the revisions in force.", "", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error {
			if l.watch {
				return tool.WatchStatus(ctx, watchInterval)
			}
			return tool.Status(ctx)
		}
	})
	status.parser.Bool(&l.watch, "w", "watch", "Print again every two seconds.")
	return group{parser: status.parser, leaves: []leaf{status}}
}

func (l *line) programCommands() group {
	show := l.newLeaf("show", "Print the state of a program.", "program", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.ShowProgram(ctx, l.subject) }
	})
	end := l.newLeaf("end", "End a program and release its memory.", "program", func(l *line) func(ctx context.Context, tool *operator.Tool) error {
		return func(ctx context.Context, tool *operator.Tool) error { return tool.EndProgram(ctx, l.subject) }
	})
	return newGroup("program", "Show and end programs.", show, end)
}

func (l *line) explainCommand() group {
	explain := l.newLeaf("explain", "Print the decisions that logs hold for a request, program or call.", "id", nil)
	explain.parser.StringSlice(&l.logs, "l", "log", "A JSON log file of a hall; may be given several times.")
	explain.offline = func(l *line) func() error {
		return func() error { return operator.Explain(l.subject, l.logs, os.Stdout, l.asJSON) }
	}
	return group{parser: explain.parser, leaves: []leaf{explain}}
}
