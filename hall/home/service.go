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

// serviceResponse buffers the response of a plain service.
type serviceResponse struct {
	head *wire.ServiceHead
	body []byte
}

func (r *serviceResponse) addFrame(frame *wire.Frame) error {
	if head := frame.GetHead(); head != nil {
		r.head = head
		r.body = nil
	}
	r.body = append(r.body, frame.GetData()...)
	return nil
}

// checkComplete compares the length of the body with the length in the end
// frame.
func (r *serviceResponse) checkComplete(end *wire.End) error {
	if r.head == nil || int64(len(r.body)) != end.GetBodyBytes() {
		return failure.New(failure.CodeTruncatedAnswer, failure.Ran, "the service ran the request, but its response is incomplete")
	}
	return nil
}

func (h *Home) runService(ctx context.Context, hosted *hostedProgram, ticket program.Ticket, request *wire.TurnRequest, digest []byte, send Send) error {
	// The call continues if its caller disconnects, so that its outcome becomes
	// known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.ServiceTimeout)
	defer cancel()
	response := &serviceResponse{}
	call := &wire.Dispatch{
		CallId:    fmt.Sprintf("%s.%d.%d", hosted.record.ID(), hosted.record.TurnCount()+1, ticket.Placement().Attempt()),
		ProgramId: hosted.record.ID(), Workspace: hosted.record.Workspace(), Weight: h.weight(hosted.record.Workspace()),
		Digest: fmt.Sprintf("%x", digest), Service: request.GetService(), AtMostOnce: !request.GetIdempotent(),
	}
	var result dispatch.Result
	var err error
	if request.GetIdempotent() {
		call.CallId += "." + request.GetRequestId()
		result, err = h.Dispatcher.CallService(ctx, dispatch.ServiceRequest{RequestID: request.GetRequestId(), Dispatch: call}, response.addFrame)
		if err != nil {
			return err
		}
	} else {
		result, err = h.runAtMostOnce(ctx, hosted, ticket, request.GetRequestId(), call, response)
	}
	if err == nil {
		err = response.checkComplete(result.End())
	}
	turn := &wire.TurnRecord{RequestDigest: digest, End: &wire.TurnEnd{Server: result.Server()}}
	if err != nil {
		callFailure, finished := h.classifyFailure(hosted, ticket, err)
		if !finished {
			return callFailure
		}
		turn.Failure = callFailure.ToWire()
		return h.finishTurn(ctx, hosted, turn, send)
	}
	turn.ServiceHead = response.head
	turn.ServiceBody = response.body
	if err := sendServiceResponse(turn, send); err != nil {
		h.Logger.Debug("caller disconnected before the response")
	}
	return h.finishTurn(ctx, hosted, turn, send)
}

// placedCallError reports that a non-idempotent call got no response from the
// only server that may run it.
type placedCallError struct {
	server     string
	serverGone bool
	notSent    bool
	failure    *failure.Error
}

func (e *placedCallError) Error() string { return e.failure.Error() }

func (e *placedCallError) Unwrap() error { return e.failure }

// runAtMostOnce sends a non-idempotent call to the server that the ticket places
// it on. A hall that is not the program's home sends nothing: it only resolves
// the outcome of a call that the home may have sent.
func (h *Home) runAtMostOnce(ctx context.Context, hosted *hostedProgram, ticket program.Ticket, requestID string, call *wire.Dispatch, response *serviceResponse) (dispatch.Result, error) {
	limpet, known := h.placedServer(ticket, call)
	if !known {
		unknown := failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "the roster that the call was placed with is no longer known")
		return dispatch.Result{}, &placedCallError{serverGone: true, notSent: hosted.lastSentCallID != call.GetCallId(), failure: unknown}
	}
	current, listed := h.Roster.Roster().Limpet(limpet.Name())
	serverGone := !listed || current.Incarnation() != limpet.Incarnation()
	if serverGone {
		unknown := failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "server %s, which the call was placed on, has left the roster or restarted", limpet.Name())
		return dispatch.Result{}, &placedCallError{server: limpet.Name(), serverGone: true, notSent: hosted.lastSentCallID != call.GetCallId(), failure: unknown}
	}
	if !h.IsHome(hosted.record.ID()) {
		return h.resolveOutcome(ctx, limpet, call, response)
	}
	sentBefore := hosted.lastSentCallID == call.GetCallId()
	hosted.lastSentCallID = call.GetCallId()
	result, err := h.Dispatcher.CallAtMostOnce(ctx, requestID, limpet, call, response.addFrame)
	if err == nil {
		return result, nil
	}
	var unsentError *dispatch.UnsentError
	notSent := errors.As(err, &unsentError) && !sentBefore
	if notSent {
		hosted.lastSentCallID = ""
	}
	return result, &placedCallError{server: limpet.Name(), notSent: notSent, failure: failure.From(err)}
}

// resolveOutcome asks the server to refuse the call for good. If the server has
// run the call or is running it, resolveOutcome returns its response.
func (h *Home) resolveOutcome(ctx context.Context, limpet host.Member, call *wire.Dispatch, response *serviceResponse) (dispatch.Result, error) {
	settled, err := h.Dispatcher.Settle(ctx, limpet, call.GetCallId())
	if err != nil {
		return dispatch.Result{}, &placedCallError{server: limpet.Name(), failure: failure.New(failure.CodeStreamBroken, failure.Unknown, "server %s cannot be reached to resolve the call", limpet.Name())}
	}
	if settled {
		return dispatch.Result{}, &placedCallError{server: limpet.Name(), failure: failure.New(failure.CodeCallRefusedForGood, failure.NotRun, "the program's home hall cannot be reached; the call did not run").WithRetryAfter(retryDelay)}
	}
	result, err := h.Dispatcher.Attach(ctx, limpet, call, response.addFrame)
	if err != nil {
		err = &placedCallError{server: limpet.Name(), failure: failure.From(err)}
	}
	return result, err
}

// placedServer returns the server that the ticket places the call on.
func (h *Home) placedServer(ticket program.Ticket, call *wire.Dispatch) (host.Member, bool) {
	placement := ticket.Placement()
	roster, known := h.Roster.RosterByPlacement(placement.RosterDigest())
	if !known {
		return host.Member{}, false
	}
	limpets := slices.DeleteFunc(roster.ServiceLimpets(call.GetService().GetService()), func(limpet host.Member) bool {
		return slices.Contains(placement.Excluded(), limpet.Name())
	})
	return host.TopMember(call.GetCallId(), limpets)
}

// classifyFailure returns the failure to report for a failed non-idempotent call
// and whether the turn is finished. A call with a final failure, or with an
// outcome that can never be known, finishes the turn, so that the program can
// continue. Otherwise the caller may send the same ticket again or, if the call
// did not run, the new ticket in the failure.
func (h *Home) classifyFailure(hosted *hostedProgram, ticket program.Ticket, err error) (*failure.Error, bool) {
	callFailure := failure.From(err)
	var placedError *placedCallError
	if !errors.As(err, &placedError) {
		return callFailure, true // The server responded, but the response is incomplete.
	}
	if callFailure.Outcome() == failure.NotRun || (placedError.notSent && h.coversAllAttempts(hosted, ticket)) {
		return h.withNewTicket(hosted, ticket, placedError.server, callFailure), false
	}
	if placedError.serverGone || callFailure.Code() == failure.CodeWrongIncarnation {
		return callFailure, true
	}
	if callFailure.Code() == failure.CodeStreamBroken || callFailure.Code() == failure.CodeServerFailed {
		return callFailure.WithRetryAfter(retryDelay), false
	}
	return callFailure, true
}

// coversAllAttempts reports whether every earlier attempt with this ticket must
// have gone through this hall: the hall issued the ticket, is the program's home,
// and has held its lease without interruption since.
func (h *Home) coversAllAttempts(hosted *hostedProgram, ticket program.Ticket) bool {
	return ticket.IssuedBy(h.issuer()) && h.Registrar.LeaseValid() && h.IsHome(hosted.record.ID())
}

// withNewTicket returns the failure with outcome NotRun and a new ticket that
// excludes the server.
func (h *Home) withNewTicket(hosted *hostedProgram, ticket program.Ticket, server string, callFailure *failure.Error) *failure.Error {
	var excluded []string
	if server != "" {
		excluded = append(excluded, server)
	}
	renewed := program.NewTicket(hosted.record, h.placement(excluded, ticket.Placement().Attempt()+1), h.issuer())
	return callFailure.WithOutcome(failure.NotRun).WithTicket(renewed.Seal(h.Keyring))
}
