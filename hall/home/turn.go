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

// Send passes a frame on towards the caller.
type Send func(frame *wire.Frame) error

// Run carries out one call of a program. It sends the parts of the answer as
// they come and at last a TurnEnd; an error is a *failure.Error. A repetition
// of a finished turn sends the stored answer.
func (h *Home) Run(ctx context.Context, request *wire.TurnRequest, send Send) error {
	err := h.run(ctx, request, send)
	if err != nil && request.GetService() != nil && !request.GetIdempotent() {
		return failure.From(err).Repeatable()
	}
	return err
}

func (h *Home) run(ctx context.Context, request *wire.TurnRequest, send Send) error {
	ticket, err := h.openTicket(request)
	if err != nil {
		return err
	}
	here, leave, err := h.enter(ctx, request.GetProgramId())
	if err != nil {
		return err
	}
	defer leave()
	if err := h.load(ctx, here, ticket); err != nil {
		return err
	}
	digest := digestOf(request)
	if here.record.Turn() > ticket.Turn() {
		return h.repeat(here, ticket, digest, send)
	}
	if here.record.Ended() {
		return failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended: open another one", here.record.ID())
	}
	if here.record.Turn() >= h.options.MaxTurns {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "program %s has had its %d turns: open another one", here.record.ID(), h.options.MaxTurns)
	}
	if here.record.Bytes() > h.options.MaxHistoryBytes {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "the history of program %s is over %d bytes: open another one", here.record.ID(), h.options.MaxHistoryBytes)
	}
	if request.GetService() != nil {
		return h.runService(ctx, here, ticket, request, digest, send)
	}
	return h.runModel(ctx, here, request, digest, send)
}

// openTicket checks the ticket without looking at the program. A ticket of
// another program or workspace gets the same answer as an unknown program.
func (h *Home) openTicket(request *wire.TurnRequest) (program.Ticket, error) {
	ticket, genuine := program.OpenTicket(h.Book, request.GetTicket())
	if !genuine {
		return ticket, failure.New(failure.CodeBadRequest, failure.NotRun, "the ticket is not one that this system gave: send the ticket of the last answer")
	}
	if ticket.Program() != request.GetProgramId() || ticket.Workspace() != request.GetWorkspace() {
		return ticket, NoProgram(request.GetProgramId())
	}
	return ticket, nil
}

// NoProgram returns the failure for a program that does not exist or belongs
// to another workspace.
func NoProgram(id string) *failure.Error {
	return failure.New(failure.CodeNotFound, failure.NotRun, "program %q does not exist", id)
}

// load makes sure that the record holds all turns that the ticket proves. It
// collects the copies when the record is missing or behind, and when halls
// have come or gone since, because another home may have run a turn.
func (h *Home) load(ctx context.Context, here *resident, ticket program.Ticket) error {
	halls := hallsDigest(h.Roster.Roster())
	if here.record == nil || here.halls != halls || here.record.Turn() < ticket.Turn() {
		h.collect(ctx, here, ticket)
		here.halls = halls
	}
	if here.record == nil {
		if ticket.Turn() > 0 {
			return h.historyLost(ticket)
		}
		here.record = ticket.Fresh()
	}
	switch here.record.Locate(ticket) {
	case program.PositionAhead:
		return h.historyLost(ticket)
	case program.PositionForeign:
		return failure.New(failure.CodeStaleTicket, failure.NotRun, "the ticket belongs to another course of program %s: send the ticket of the last answer", ticket.Program())
	default:
		return nil
	}
}

func (h *Home) historyLost(ticket program.Ticket) error {
	h.Logger.Error("history lost", zap.String("program", ticket.Program()), zap.Uint64("turn", ticket.Turn()))
	return failure.New(failure.CodeHistoryLost, failure.NotRun,
		"no hall that answers holds turn %d of program %s: try again when all zones are back, or open a new program with the whole history", ticket.Turn(), ticket.Program())
}

// repeat answers a call whose turn is finished.
func (h *Home) repeat(here *resident, ticket program.Ticket, digest []byte, send Send) error {
	turn := here.record.TurnAfter(ticket.Turn())
	if !bytes.Equal(turn.GetRequestDigest(), digest) {
		return failure.New(failure.CodeStaleTicket, failure.NotRun,
			"turn %d of program %s has run with a different request: send the ticket of its answer", turn.GetTurn(), here.record.ID())
	}
	if turn.GetFailure() != nil {
		return failure.FromWire(turn.GetFailure()).WithTicket(h.ticketAt(here, turn))
	}
	if turn.GetServiceHead() != nil {
		if err := sendService(turn, send); err != nil {
			return err
		}
	}
	end := &wire.TurnEnd{
		Ticket: h.ticketAt(here, turn), Turn: turn.GetTurn(), Copies: turn.GetEnd().GetCopies(), Message: turn.GetAnswer(),
		FinishReason: turn.GetEnd().GetFinishReason(), Usage: turn.GetEnd().GetUsage(), Spent: turn.GetSpent(),
		Budget: here.record.Budget(), Repeated: true, Server: turn.GetEnd().GetServer(),
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// finish appends the turn, keeps its copies and sends the end.
func (h *Home) finish(ctx context.Context, here *resident, turn *wire.TurnRecord, send Send) error {
	here.record.Append(turn, here.server)
	copies, err := h.replicate(ctx, here, here.record.Turn())
	if err != nil {
		// Another home has finished this turn; its copies win.
		here.record = nil
		return err
	}
	end := turn.GetEnd()
	end.Ticket = h.ticketAt(here, turn)
	end.Turn = turn.GetTurn()
	end.Copies = copies
	end.Spent = here.record.Spent()
	end.Budget = here.record.Budget()
	if turn.GetFailure() != nil {
		return failure.FromWire(turn.GetFailure()).WithTicket(end.GetTicket())
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// ticketAt returns the ticket to go on with after a turn.
func (h *Home) ticketAt(here *resident, turn *wire.TurnRecord) string {
	return program.NewTicket(here.record, h.placement(nil, 0), h.issuer()).At(turn).Seal(h.Book)
}

// issuer returns this hall as the giver of tickets.
func (h *Home) issuer() program.Issuer {
	return program.NewIssuer(h.options.Identity.Name, h.options.Identity.Incarnation, h.Registrar.Epoch())
}

// placement returns how the next non-idempotent call of a program is placed:
// by the present roster, passing over the servers that take no calls now and
// those given.
func (h *Home) placement(excluded []string, attempt uint64) program.Placement {
	roster := h.Roster.Roster()
	for _, server := range h.Fleet.ServicesOut() {
		if len(excluded) < maxExcluded && !slices.Contains(excluded, server) {
			excluded = append(excluded, server)
		}
	}
	return program.NewPlacement(roster.Placement(), excluded, attempt)
}

// digestOf identifies what a request asks, apart from its ticket.
func digestOf(request *wire.TurnRequest) []byte {
	if service := request.GetService(); service != nil {
		return program.RequestDigest([]byte("service"), []byte(service.GetService()), []byte(service.GetMethod()), []byte(service.GetPath()), service.GetBody())
	}
	model := request.GetModel()
	parts := [][]byte{[]byte("model"), []byte(model.GetModel()), model.GetOptions()}
	return program.RequestDigest(append(parts, model.GetMessages()...)...)
}

func sendService(turn *wire.TurnRecord, send Send) error {
	if err := send(&wire.Frame{Body: &wire.Frame_Head{Head: turn.GetServiceHead()}}); err != nil {
		return err
	}
	return send(&wire.Frame{Body: &wire.Frame_Data{Data: turn.GetServiceBody()}})
}
