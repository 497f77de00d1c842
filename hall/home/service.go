package home

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"limpethall.dev/hall/dispatch"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

// serviceAnswer collects the whole answer of a plain service.
type serviceAnswer struct {
	head *wire.ServiceHead
	body []byte
}

func (a *serviceAnswer) add(frame *wire.Frame) error {
	if head := frame.GetHead(); head != nil {
		a.head = head
		a.body = nil
	}
	a.body = append(a.body, frame.GetData()...)
	return nil
}

// complete checks the answer against its end.
func (a *serviceAnswer) complete(end *wire.End) error {
	if a.head == nil || int64(len(a.body)) != end.GetBodyBytes() {
		return failure.New(failure.CodeTruncated, failure.Ran, "the service ran the request, but its answer is not whole")
	}
	return nil
}

func (h *Home) runService(ctx context.Context, here *resident, ticket program.Ticket, request *wire.TurnRequest, digest []byte, send Send) error {
	// The call goes on without its caller, so that its outcome is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.ServiceTimeout)
	defer cancel()
	answer := &serviceAnswer{}
	call := &wire.Dispatch{
		CallId:    fmt.Sprintf("%s.%d.%d", here.record.ID(), here.record.Turn()+1, ticket.Placement().Attempt()),
		ProgramId: here.record.ID(), Workspace: here.record.Workspace(), Weight: h.weight(here.record.Workspace()),
		Digest: fmt.Sprintf("%x", digest), Service: request.GetService(), AtMostOnce: !request.GetIdempotent(),
	}
	var result dispatch.Result
	var err error
	if request.GetIdempotent() {
		call.CallId += "." + request.GetRequestId()
		result, err = h.Dispatcher.Service(ctx, dispatch.ServiceRequest{RequestID: request.GetRequestId(), Dispatch: call}, answer.add)
		if err != nil {
			return err
		}
	} else {
		result, err = h.runOnce(ctx, here, ticket, request.GetRequestId(), call, answer)
	}
	if err == nil {
		err = answer.complete(result.End())
	}
	turn := &wire.TurnRecord{RequestDigest: digest, End: &wire.TurnEnd{Server: result.Server()}}
	if err != nil {
		final, over := h.judge(here, ticket, err)
		if !over {
			return final
		}
		turn.Failure = final.ToWire()
		return h.finish(ctx, here, turn, send)
	}
	turn.ServiceHead = answer.head
	turn.ServiceBody = answer.body
	if err := sendService(turn, send); err != nil {
		h.Logger.Debug("caller left before the answer")
	}
	return h.finish(ctx, here, turn, send)
}

// placedError reports why a call could not be sent to its one server.
type placedError struct {
	server  string
	gone    bool
	unsent  bool
	failure *failure.Error
}

func (e *placedError) Error() string { return e.failure.Error() }

func (e *placedError) Unwrap() error { return e.failure }

// runOnce sends a non-idempotent call to the server that the ticket places it
// on. A hall that stands in for the home sends nothing: it asks the server and
// returns the answer of a call that ran, or has the call refused for good.
func (h *Home) runOnce(ctx context.Context, here *resident, ticket program.Ticket, requestID string, call *wire.Dispatch, answer *serviceAnswer) (dispatch.Result, error) {
	limpet, placed := h.place(ticket, call)
	if !placed {
		unknown := failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "the servers by which the call was placed are not known any more")
		return dispatch.Result{}, &placedError{gone: true, unsent: here.sent != call.GetCallId(), failure: unknown}
	}
	current, listed := h.Roster.Roster().Limpet(limpet.Name())
	gone := !listed || current.Incarnation() != limpet.Incarnation()
	if gone {
		unknown := failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "server %s, on which the call was placed, is gone", limpet.Name())
		return dispatch.Result{}, &placedError{server: limpet.Name(), gone: true, unsent: here.sent != call.GetCallId(), failure: unknown}
	}
	if !h.IsHome(here.record.ID()) {
		return h.standIn(ctx, limpet, call, answer)
	}
	earlier := here.sent == call.GetCallId()
	here.sent = call.GetCallId()
	result, err := h.Dispatcher.Once(ctx, requestID, limpet, call, answer.add)
	if err == nil {
		return result, nil
	}
	var unsent *dispatch.UnsentError
	notSent := errors.As(err, &unsent) && !earlier
	if notSent {
		here.sent = ""
	}
	return result, &placedError{server: limpet.Name(), unsent: notSent, failure: failure.From(err)}
}

func (h *Home) standIn(ctx context.Context, limpet host.Member, call *wire.Dispatch, answer *serviceAnswer) (dispatch.Result, error) {
	settled, err := h.Dispatcher.Settle(ctx, limpet, call.GetCallId())
	if err != nil {
		return dispatch.Result{}, &placedError{server: limpet.Name(), failure: failure.New(failure.CodeStreamBroken, failure.Unknown, "server %s can't be asked about the call", limpet.Name())}
	}
	if settled {
		return dispatch.Result{}, &placedError{server: limpet.Name(), failure: failure.New(failure.CodeCallRefused, failure.NotRun, "the program's home can't be reached; the call did not run").WithRetryAfter(retryHint)}
	}
	result, err := h.Dispatcher.Attach(ctx, limpet, call, answer.add)
	if err != nil {
		err = &placedError{server: limpet.Name(), failure: failure.From(err)}
	}
	return result, err
}

// place returns the server that the ticket places the call on.
func (h *Home) place(ticket program.Ticket, call *wire.Dispatch) (host.Member, bool) {
	placement := ticket.Placement()
	roster, known := h.Roster.ByPlacement(placement.Roster())
	if !known {
		return host.Member{}, false
	}
	limpets := slices.DeleteFunc(roster.ServiceLimpets(call.GetService().GetService()), func(limpet host.Member) bool {
		return slices.Contains(placement.Excluded(), limpet.Name())
	})
	return host.First(call.GetCallId(), limpets)
}

// judge decides what a failed non-idempotent call means for the program. It
// returns the failure for the caller and whether the turn is over: an outcome
// that will never be known, or is known to be bad, ends the turn, so that the
// program can go on. Otherwise the same ticket may be sent again, or, after a
// refusal, the fresh ticket in the failure.
func (h *Home) judge(here *resident, ticket program.Ticket, err error) (*failure.Error, bool) {
	final := failure.From(err)
	var placed *placedError
	if !errors.As(err, &placed) {
		return final, true // The answer came, but is not whole.
	}
	if final.Outcome() == failure.NotRun || (placed.unsent && h.provesFirst(here, ticket)) {
		return h.notRun(here, ticket, placed.server, final), false
	}
	if placed.gone || final.Code() == failure.CodeWrongIncarnation {
		return final, true
	}
	if final.Code() == failure.CodeStreamBroken || final.Code() == failure.CodeServerFailed {
		return final.WithRetryAfter(retryHint), false
	}
	return final, true
}

// provesFirst reports whether every earlier attempt with this ticket must have
// passed through this hall: it gave the ticket, is the program's home, and its
// lease has held ever since.
func (h *Home) provesFirst(here *resident, ticket program.Ticket) bool {
	return ticket.IssuedBy(h.issuer()) && h.Registrar.Valid() && h.IsHome(here.record.ID())
}

// notRun returns the refusal with a fresh ticket that passes over the server.
func (h *Home) notRun(here *resident, ticket program.Ticket, server string, final *failure.Error) *failure.Error {
	var excluded []string
	if server != "" {
		excluded = append(excluded, server)
	}
	fresh := program.NewTicket(here.record, h.placement(excluded, ticket.Placement().Attempt()+1), h.issuer())
	return final.WithOutcome(failure.NotRun).WithTicket(fresh.Seal(h.Book))
}
