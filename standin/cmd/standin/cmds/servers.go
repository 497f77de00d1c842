package cmds

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"limpethall.dev/kernel/command"
	"limpethall.dev/kernel/network"
	"limpethall.dev/standin/engine"
	"limpethall.dev/standin/service"
	"limpethall.dev/standin/store"
)

// server is a simulated service that can run as a separate process.
type server interface {
	Address() string
	Start()
	Close()
}

// serverCommand is a subcommand that runs one server.
type serverCommand struct {
	parser    *flaggy.Subcommand
	newServer func() (server, error)
}

// newServerCommands returns the subcommands that run one server each. Their flags are
// stored in flags.
func newServerCommands(flags *options) []serverCommand {
	commands := []serverCommand{
		{newServerParser("store", "Run the simulated key-value service."), func() (server, error) { return store.New(network.TCP{}, flags.listen) }},
		{newServerParser("service", "Run a simulated plain service."), func() (server, error) { return service.New(network.TCP{}, flags.listen) }},
		{newServerParser("engine", "Run a simulated model engine."), func() (server, error) {
			engineOptions := engine.DefaultOptions()
			engineOptions.Network = network.TCP{}
			engineOptions.Address = flags.listen
			engineOptions.Models = []string{flags.model}
			return engine.New(engineOptions)
		}},
	}
	for _, added := range commands {
		added.parser.String(&flags.listen, "l", "listen", "The listen address.")
	}
	commands[len(commands)-1].parser.String(&flags.model, "m", "model", "The model that the engine serves.")
	return commands
}

func newServerParser(name, description string) *flaggy.Subcommand {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	return parser
}

// run runs the server until the context ends and returns the exit code.
func (c serverCommand) run(ctx context.Context) int {
	running, err := c.newServer()
	if err != nil {
		return command.PrintFailure(err)
	}
	running.Start()
	fmt.Println(c.parser.Name, "listens on", running.Address())
	<-ctx.Done()
	running.Close()
	return command.ExitDone
}
