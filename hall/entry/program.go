package entry

import (
	"context"
	"errors"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/hall/home"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/wire"
)

// openProgram answers POST /v1/programs.
func (e *Entry) openProgram(_ context.Context, c *app.RequestContext, r request) error {
	var body programRequest
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if body.Budget < 0 || body.Budget > r.row.Budget() {
		return badRequest("budget must be from 1 to %d tokens, or 0 for all of them", r.row.Budget())
	}
	if body.Budget == 0 {
		body.Budget = r.row.Budget()
	}
	return writeJSON(c, programOf(e.Home.Open(r.workspace, "", body.Budget)))
}

// openChild answers POST /v1/programs/PROGRAM/children.
func (e *Entry) openChild(ctx context.Context, c *app.RequestContext, r request) error {
	var body programRequest
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if body.Budget < 1 {
		return badRequest("budget is missing: say how many of the parent's tokens the child may spend")
	}
	wanted := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: body.Ticket, ChildBudget: body.Budget}
	return e.onProgram(ctx, c, wanted, e.Home.OpenChild, wire.Hall.OpenChild)
}

// describeProgram answers GET /v1/programs/PROGRAM.
func (e *Entry) describeProgram(ctx context.Context, c *app.RequestContext, r request) error {
	wanted := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: string(c.GetHeader(ticketHeader))}
	return e.onProgram(ctx, c, wanted, e.Home.Describe, wire.Hall.DescribeProgram)
}

// endProgram answers DELETE /v1/programs/PROGRAM.
func (e *Entry) endProgram(ctx context.Context, c *app.RequestContext, r request) error {
	wanted := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: string(c.GetHeader(ticketHeader))}
	return e.onProgram(ctx, c, wanted, e.Home.End, wire.Hall.EndProgram)
}

type localStep func(ctx context.Context, wanted *wire.ProgramRequest) (*wire.ProgramState, error)

type remoteStep func(hall wire.Hall, ctx context.Context, wanted *wire.ProgramRequest) (*wire.ProgramState, error)

// onProgram takes a step on a program at its home.
func (e *Entry) onProgram(ctx context.Context, c *app.RequestContext, wanted *wire.ProgramRequest, here localStep, there remoteStep) error {
	if wanted.GetTicket() == "" {
		return badRequest("the ticket is missing: send the one of the last answer as %s, or in the body", ticketHeader)
	}
	var last error
	for _, hall := range e.homes(wanted.GetProgramId()) {
		var state *wire.ProgramState
		if hall.Name() == e.options.Name {
			state, last = here(ctx, wanted)
		} else {
			state, last = there(e.Client.Hall(hall.Address()), ctx, wanted)
		}
		if last == nil {
			return writeJSON(c, programOf(state))
		}
		if known := remoteFailure(last); known != nil {
			return known
		}
		e.Logger.Warn("home did not answer", zap.String("program", wanted.GetProgramId()), zap.String("hall", hall.Name()), zap.Error(last))
	}
	return unreachableHome(wanted.GetProgramId())
}

// remoteFailure returns the failure that a hall answered with, or nil if it
// did not answer.
func remoteFailure(err error) error {
	var known *failure.Error
	if errors.As(err, &known) {
		return known
	}
	var answered twirp.Error
	if errors.As(err, &answered) && answered.Meta(failure.MetaCode) != "" {
		return failure.FromTwirp(answered)
	}
	return nil
}

// homes returns the halls to ask for a program, its home first.
func (e *Entry) homes(programID string) []host.Member {
	return home.Candidates(programID, e.Roster.Roster())
}

func unreachableHome(programID string) *failure.Error {
	return failure.New(failure.CodeNoServer, failure.Unknown, "no hall can be reached that may be the home of program %s: try again", programID).WithRetryAfter(retryHint)
}

// atHome runs a call at the program's home. If that hall can't be reached, or
// breaks off before the caller has seen anything, the next one takes over: the
// ticket and the servers' own records keep the call from running twice.
func (e *Entry) atHome(ctx context.Context, turn *wire.TurnRequest, send home.Send) error {
	seen := false
	uncertain := false
	watched := func(frame *wire.Frame) error {
		seen = true
		return send(frame)
	}
	for _, hall := range e.homes(turn.GetProgramId()) {
		var err error
		if hall.Name() == e.options.Name {
			err = e.Home.Run(ctx, turn, watched)
		} else {
			err = e.forward(ctx, hall, turn, watched)
		}
		var known *failure.Error
		switch {
		case err == nil:
			return nil
		case errors.As(err, &known):
			return afterUncertainty(known, uncertain, turn)
		case ctx.Err() != nil:
			return failure.New(failure.CodeCanceled, failure.Unknown, "the caller has gone")
		case seen:
			return failure.New(failure.CodeStreamBroken, failure.Unknown, "the program's home was lost during the answer: send the same request again with the same ticket").WithRetryAfter(retryHint)
		}
		uncertain = uncertain || !peer.IsUnsent(err)
		e.Logger.Warn("home did not answer, the next hall takes over", zap.String("program", turn.GetProgramId()), zap.String("hall", hall.Name()), zap.Error(err))
	}
	return unreachableHome(turn.GetProgramId())
}

// afterUncertainty weakens a refusal that was told after another hall may
// have run the call, unless a server has sworn the call off, which the fresh
// ticket shows.
func afterUncertainty(known *failure.Error, uncertain bool, turn *wire.TurnRequest) error {
	if uncertain && !turn.GetIdempotent() && known.Outcome() == failure.NotRun && known.Ticket() == "" {
		return known.WithOutcome(failure.Unknown)
	}
	return known
}

// forward runs a call at another hall. Errors other than *failure.Error mean
// that the hall did not answer to the end.
func (e *Entry) forward(ctx context.Context, hall host.Member, turn *wire.TurnRequest, send home.Send) error {
	stream, err := e.Client.Open(ctx, hall.Address(), peer.TurnPath, turn)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		frame, err := stream.Read()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if frame.GetCallId() != turn.GetRequestId() {
			e.Logger.Warn("frame of another request dropped", zap.String("request", turn.GetRequestId()))
			continue
		}
		if failed := frame.GetFailure(); failed != nil {
			stream.Finish()
			return failure.FromWire(failed)
		}
		if err := send(frame); err != nil {
			return err
		}
		if frame.GetTurnEnd() != nil {
			stream.Finish()
			return nil
		}
	}
}
