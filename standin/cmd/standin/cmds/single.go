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

// server is a stand-in that runs as a process of its own.
type server interface {
	Address() string
	Start()
	Close()
}

// single is the command for one stand-in.
type single struct {
	parser *flaggy.Subcommand
	open   func() (server, error)
}

// singles returns the commands that run one stand-in each.
func singles(given *arguments) []single {
	commands := []single{
		{newSingle("store", "Run the key-value service."), func() (server, error) { return store.New(network.TCP{}, given.listen) }},
		{newSingle("service", "Run a plain service."), func() (server, error) { return service.New(network.TCP{}, given.listen) }},
		{newSingle("engine", "Run a model engine."), func() (server, error) {
			options := engine.DefaultOptions()
			options.Network = network.TCP{}
			options.Address = given.listen
			options.Models = []string{given.model}
			return engine.New(options)
		}},
	}
	for _, each := range commands {
		each.parser.String(&given.listen, "l", "listen", "The address to serve on.")
	}
	commands[len(commands)-1].parser.String(&given.model, "m", "model", "The model that the engine holds.")
	return commands
}

func newSingle(name, description string) *flaggy.Subcommand {
	parser := flaggy.NewSubcommand(name)
	parser.Description = description
	return parser
}

// serve runs the stand-in until the context ends.
func (s single) serve(ctx context.Context) int {
	opened, err := s.open()
	if err != nil {
		return command.Fail(err)
	}
	opened.Start()
	fmt.Println(s.parser.Name, "serves on", opened.Address())
	<-ctx.Done()
	opened.Close()
	return command.ExitDone
}
