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

// openProgram handles POST /v1/programs.
func (s *Server) openProgram(_ context.Context, c *app.RequestContext, r request) error {
	var body programRequest
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if body.Budget < 0 || body.Budget > r.limits.Budget() {
		return badRequest("budget must be from 1 to %d tokens, or 0 for the maximum", r.limits.Budget())
	}
	if body.Budget == 0 {
		body.Budget = r.limits.Budget()
	}
	return writeJSON(c, newProgramResponse(s.Home.Open(r.workspace, "", body.Budget)))
}

// openChild handles POST /v1/programs/PROGRAM/children.
func (s *Server) openChild(ctx context.Context, c *app.RequestContext, r request) error {
	var body programRequest
	if err := readJSON(c, &body); err != nil {
		return err
	}
	if body.Budget < 1 {
		return badRequest("budget is missing: set how many of the parent's tokens the child may spend")
	}
	wireRequest := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: body.Ticket, ChildBudget: body.Budget}
	return s.callHome(ctx, c, wireRequest, s.Home.OpenChild, wire.Hall.OpenChild)
}

// describeProgram handles GET /v1/programs/PROGRAM.
func (s *Server) describeProgram(ctx context.Context, c *app.RequestContext, r request) error {
	wireRequest := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: string(c.GetHeader(ticketHeader))}
	return s.callHome(ctx, c, wireRequest, s.Home.Describe, wire.Hall.DescribeProgram)
}

// endProgram handles DELETE /v1/programs/PROGRAM.
func (s *Server) endProgram(ctx context.Context, c *app.RequestContext, r request) error {
	wireRequest := &wire.ProgramRequest{ProgramId: c.Param("program"), Workspace: r.workspace, Ticket: string(c.GetHeader(ticketHeader))}
	return s.callHome(ctx, c, wireRequest, s.Home.End, wire.Hall.EndProgram)
}

// localCall is a call of a program that this hall runs itself.
type localCall func(ctx context.Context, wireRequest *wire.ProgramRequest) (*wire.ProgramState, error)

// remoteCall is the same call at another hall.
type remoteCall func(hall wire.Hall, ctx context.Context, wireRequest *wire.ProgramRequest) (*wire.ProgramState, error)

// callHome calls the home hall of a program and writes the response. If that
// hall does not answer, it calls the next candidate.
func (s *Server) callHome(ctx context.Context, c *app.RequestContext, wireRequest *wire.ProgramRequest, local localCall, remote remoteCall) error {
	if wireRequest.GetTicket() == "" {
		return badRequest("the ticket is missing: send the ticket from the last response as %s, or in the body", ticketHeader)
	}
	var lastErr error
	for _, hall := range s.homeCandidates(wireRequest.GetProgramId()) {
		var state *wire.ProgramState
		if hall.Name() == s.options.Name {
			state, lastErr = local(ctx, wireRequest)
		} else {
			state, lastErr = remote(s.Client.Hall(hall.Address()), ctx, wireRequest)
		}
		if lastErr == nil {
			return writeJSON(c, newProgramResponse(state))
		}
		if apiErr := asFailure(lastErr); apiErr != nil {
			return apiErr
		}
		s.Logger.Warn("home hall did not answer", zap.String("program", wireRequest.GetProgramId()), zap.String("hall", hall.Name()), zap.Error(lastErr))
	}
	return homeUnreachable(wireRequest.GetProgramId())
}

// asFailure returns the failure that a hall answered with, or nil if the hall did
// not answer.
func asFailure(err error) error {
	var apiErr *failure.Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Meta(failure.MetaCode) != "" {
		return failure.FromTwirp(twirpErr)
	}
	return nil
}

// homeCandidates returns the halls that may serve a program, its home first.
func (s *Server) homeCandidates(programID string) []host.Member {
	return home.Candidates(programID, s.Roster.Roster())
}

func homeUnreachable(programID string) *failure.Error {
	return failure.New(failure.CodeNoServer, failure.Unknown, "no hall that can serve program %s is reachable: try again", programID).WithRetryAfter(retryDelay)
}

// runAtHome runs a call at the program's home hall. If that hall is unreachable,
// or its stream breaks before a frame was sent to the caller, the next hall runs
// the call. The ticket and the records on the servers prevent a second execution.
func (s *Server) runAtHome(ctx context.Context, turn *wire.TurnRequest, send home.Send) error {
	sentToCaller := false
	mayHaveRun := false
	trackingSend := func(frame *wire.Frame) error {
		sentToCaller = true
		return send(frame)
	}
	for _, hall := range s.homeCandidates(turn.GetProgramId()) {
		var err error
		if hall.Name() == s.options.Name {
			err = s.Home.Run(ctx, turn, trackingSend)
		} else {
			err = s.forward(ctx, hall, turn, trackingSend)
		}
		var apiErr *failure.Error
		switch {
		case err == nil:
			return nil
		case errors.As(err, &apiErr):
			return weakenOutcome(apiErr, mayHaveRun, turn)
		case ctx.Err() != nil:
			return failure.New(failure.CodeCanceled, failure.Unknown, "the caller disconnected")
		case sentToCaller:
			return failure.New(failure.CodeStreamBroken, failure.Unknown, "lost the connection to the program's home hall during the response: send the same request again with the same ticket").WithRetryAfter(retryDelay)
		}
		mayHaveRun = mayHaveRun || !peer.IsUnsent(err)
		s.Logger.Warn("home hall did not answer, trying the next hall", zap.String("program", turn.GetProgramId()), zap.String("hall", hall.Name()), zap.Error(err))
	}
	return homeUnreachable(turn.GetProgramId())
}

// weakenOutcome changes outcome NotRun to Unknown if another hall may have run
// the call before. It keeps NotRun if the failure has a new ticket, which shows
// that a server has refused the call permanently.
func weakenOutcome(apiErr *failure.Error, mayHaveRun bool, turn *wire.TurnRequest) error {
	if mayHaveRun && !turn.GetIdempotent() && apiErr.Outcome() == failure.NotRun && apiErr.Ticket() == "" {
		return apiErr.WithOutcome(failure.Unknown)
	}
	return apiErr
}

// forward runs a call at another hall. An error other than *failure.Error means
// that the hall did not complete its response.
func (s *Server) forward(ctx context.Context, hall host.Member, turn *wire.TurnRequest, send home.Send) error {
	stream, err := s.Client.Open(ctx, hall.Address(), peer.TurnPath, turn)
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
			s.Logger.Warn("frame of another request dropped", zap.String("request", turn.GetRequestId()))
			continue
		}
		if wireFailure := frame.GetFailure(); wireFailure != nil {
			stream.Finish()
			return failure.FromWire(wireFailure)
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
