package home

import (
	"bytes"
	"context"
	"slices"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

// Send sends a frame to the caller.
type Send func(frame *wire.Frame) error

// Run runs one call of a program. It sends the parts of the answer as they
// arrive, followed by a TurnEnd. A request that repeats a finished turn gets the
// stored answer. Errors are of type *failure.Error.
func (h *Home) Run(ctx context.Context, request *wire.TurnRequest, send Send) error {
	err := h.run(ctx, request, send)
	if err != nil && request.GetService() != nil && !request.GetIdempotent() {
		return failure.From(err).AsRetryable()
	}
	return err
}

func (h *Home) run(ctx context.Context, request *wire.TurnRequest, send Send) error {
	ticket, err := h.openTicket(request)
	if err != nil {
		return err
	}
	hosted, release, err := h.acquire(ctx, request.GetProgramId())
	if err != nil {
		return err
	}
	defer release()
	if err := h.loadRecord(ctx, hosted, ticket); err != nil {
		return err
	}
	digest := requestDigest(request)
	if hosted.record.TurnCount() > ticket.Turn() {
		return h.replay(hosted, ticket, digest, send)
	}
	if hosted.record.Ended() {
		return failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended; open a new program", hosted.record.ID())
	}
	if hosted.record.TurnCount() >= h.options.MaxTurns {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "program %s has reached the limit of %d turns; open a new program", hosted.record.ID(), h.options.MaxTurns)
	}
	if hosted.record.EncodedSize() > h.options.MaxHistoryBytes {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "the history of program %s exceeds %d bytes; open a new program", hosted.record.ID(), h.options.MaxHistoryBytes)
	}
	if request.GetService() != nil {
		return h.runService(ctx, hosted, ticket, request, digest, send)
	}
	return h.runModel(ctx, hosted, request, digest, send)
}

// openTicket verifies the ticket without access to the program's record. A
// ticket of another program or workspace gets the same error as an unknown
// program, so it does not reveal that the program exists.
func (h *Home) openTicket(request *wire.TurnRequest) (program.Ticket, error) {
	ticket, genuine := program.OpenTicket(h.Keyring, request.GetTicket())
	if !genuine {
		return ticket, failure.New(failure.CodeBadRequest, failure.NotRun, "the ticket was not issued by this system; send the ticket of the last answer")
	}
	if ticket.Program() != request.GetProgramId() || ticket.Workspace() != request.GetWorkspace() {
		return ticket, newNotFoundError(request.GetProgramId())
	}
	return ticket, nil
}

// newNotFoundError returns the failure for a program that does not exist or belongs
// to another workspace.
func newNotFoundError(id string) *failure.Error {
	return failure.New(failure.CodeNotFound, failure.NotRun, "program %q does not exist", id)
}

// loadRecord ensures that the record contains all turns up to the ticket's. It
// fetches the replicas if the record is missing or behind the ticket, and if the
// set of halls has changed since the last fetch, because another hall may have
// run a turn as home.
func (h *Home) loadRecord(ctx context.Context, hosted *hostedProgram, ticket program.Ticket) error {
	hallsDigest := digestHalls(h.Roster.Roster())
	if hosted.record == nil || hosted.hallsDigest != hallsDigest || hosted.record.TurnCount() < ticket.Turn() {
		h.recoverRecord(ctx, hosted, ticket)
		hosted.hallsDigest = hallsDigest
	}
	if hosted.record == nil {
		if ticket.Turn() > 0 {
			return h.newHistoryLostError(ticket)
		}
		hosted.record = ticket.NewRecord()
	}
	switch hosted.record.Compare(ticket) {
	case program.PositionAhead:
		return h.newHistoryLostError(ticket)
	case program.PositionDiverged:
		return failure.New(failure.CodeStaleTicket, failure.NotRun, "the ticket belongs to a different history of program %s; send the ticket of the last answer", ticket.Program())
	default:
		return nil
	}
}

func (h *Home) newHistoryLostError(ticket program.Ticket) error {
	h.Logger.Error("history lost", zap.String("program", ticket.Program()), zap.Uint64("turn", ticket.Turn()))
	return failure.New(failure.CodeHistoryLost, failure.NotRun,
		"no reachable hall holds turn %d of program %s; try again when all zones are available, or open a new program with the whole history", ticket.Turn(), ticket.Program())
}

// replay sends the stored answer of a finished turn. The request must be the one
// that the turn ran with.
func (h *Home) replay(hosted *hostedProgram, ticket program.Ticket, digest []byte, send Send) error {
	turn := hosted.record.TurnAfter(ticket.Turn())
	if !bytes.Equal(turn.GetRequestDigest(), digest) {
		return failure.New(failure.CodeStaleTicket, failure.NotRun,
			"turn %d of program %s ran with a different request; send the ticket of its answer", turn.GetTurn(), hosted.record.ID())
	}
	if turn.GetFailure() != nil {
		return failure.FromWire(turn.GetFailure()).WithTicket(h.ticketAfter(hosted, turn))
	}
	if turn.GetServiceHead() != nil {
		if err := sendServiceResponse(turn, send); err != nil {
			return err
		}
	}
	end := &wire.TurnEnd{
		Ticket: h.ticketAfter(hosted, turn), Turn: turn.GetTurn(), Copies: turn.GetEnd().GetCopies(), Message: turn.GetAnswer(),
		FinishReason: turn.GetEnd().GetFinishReason(), Usage: turn.GetEnd().GetUsage(), Spent: turn.GetSpent(),
		Budget: hosted.record.Budget(), Repeated: true, Server: turn.GetEnd().GetServer(),
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// finishTurn appends the turn to the record, replicates it and sends the TurnEnd.
func (h *Home) finishTurn(ctx context.Context, hosted *hostedProgram, turn *wire.TurnRecord, send Send) error {
	hosted.record.Append(turn, hosted.cacheServer)
	replicas, err := h.replicate(ctx, hosted, hosted.record.TurnCount())
	if err != nil {
		// Another hall has completed this turn as home; its record takes precedence.
		hosted.record = nil
		return err
	}
	end := turn.GetEnd()
	end.Ticket = h.ticketAfter(hosted, turn)
	end.Turn = turn.GetTurn()
	end.Copies = replicas
	end.Spent = hosted.record.Spent()
	end.Budget = hosted.record.Budget()
	if turn.GetFailure() != nil {
		return failure.FromWire(turn.GetFailure()).WithTicket(end.GetTicket())
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// ticketAfter returns the ticket for the call that follows the turn.
func (h *Home) ticketAfter(hosted *hostedProgram, turn *wire.TurnRecord) string {
	return program.NewTicket(hosted.record, h.placement(nil, 0), h.issuer()).AfterTurn(turn).Seal(h.Keyring)
}

// issuer identifies this hall, with its current registration, in tickets.
func (h *Home) issuer() program.Issuer {
	return program.NewIssuer(h.options.Identity.Name, h.options.Identity.Incarnation, h.Registrar.Epoch())
}

// placement returns the placement of the program's next non-idempotent call. It
// uses the current roster and excludes the given servers and those that accept
// no calls at present, up to maxExcludedServers in total.
func (h *Home) placement(excluded []string, attempt uint64) program.Placement {
	roster := h.Roster.Roster()
	for _, server := range h.Fleet.UnavailableServiceServers() {
		if len(excluded) < maxExcludedServers && !slices.Contains(excluded, server) {
			excluded = append(excluded, server)
		}
	}
	return program.NewPlacement(roster.PlacementDigest(), excluded, attempt)
}

// requestDigest returns a digest of the content of a request. The ticket and the
// headers of a service call are not part of it.
func requestDigest(request *wire.TurnRequest) []byte {
	if service := request.GetService(); service != nil {
		return program.RequestDigest([]byte("service"), []byte(service.GetService()), []byte(service.GetMethod()), []byte(service.GetPath()), service.GetBody())
	}
	model := request.GetModel()
	parts := [][]byte{[]byte("model"), []byte(model.GetModel()), model.GetOptions()}
	return program.RequestDigest(append(parts, model.GetMessages()...)...)
}

func sendServiceResponse(turn *wire.TurnRecord, send Send) error {
	if err := send(&wire.Frame{Body: &wire.Frame_Head{Head: turn.GetServiceHead()}}); err != nil {
		return err
	}
	return send(&wire.Frame{Body: &wire.Frame_Data{Data: turn.GetServiceBody()}})
}
