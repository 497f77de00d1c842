package gate

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"limpethall.dev/limpet/engine"
)

// sight bounds how many calls start at a server between two looks at whether
// it is cold. A server can turn cold at any moment and bears few calls then, so
// no more than these few start unseen. The zero value sets no bound.
type sight struct {
	limit   int
	unseen  int
	looking bool
	// before is how many of the unseen calls started before the present look.
	before int
}

// newSight returns a sight that lets limit calls start between two looks.
func newSight(limit int) sight { return sight{limit: limit} }

// spent reports whether the next call must wait for a look.
func (s *sight) spent() bool { return s.limit > 0 && s.unseen >= s.limit }

func (s *sight) started() {
	if s.limit > 0 {
		s.unseen++
	}
}

// due reports whether a look is needed and marks it as under way. It is asked
// for after the first unseen call, so that the next ones rarely wait.
func (s *sight) due() bool {
	if s.looking || s.unseen == 0 {
		return false
	}
	s.looking = true
	s.before = s.unseen
	return true
}

// done takes in that the look has been answered.
func (s *sight) done() {
	s.looking = false
	s.unseen -= s.before
}

// lookAgain asks the server whether it is cold if calls started since the last
// look.
func (g *Gate) lookAgain(ctx context.Context) {
	backend, isModel := g.backend.(ModelBackend)
	if !isModel || !g.sight.due() {
		return
	}
	go func() {
		cold, err := backend.engine.ColdFor(ctx)
		g.events.Put(g.stopped, look{cold: cold, err: err})
	}()
}

// takeLook sets the window back if the server is cold or does not answer. A
// server that never tells is left to its load reports.
func (g *Gate) takeLook(seen look) {
	g.sight.done()
	var untold *engine.UntoldError
	switch {
	case errors.As(seen.err, &untold):
		g.logger.Warn("server does not tell whether it is cold, load reports must do")
		g.sight = sight{}
	case seen.err != nil:
		g.logger.Info("server did not tell whether it is cold", zap.Error(seen.err))
		g.turnCold("no answer about coldness")
	case seen.cold > 0:
		g.turnCold("server says so")
	}
}
