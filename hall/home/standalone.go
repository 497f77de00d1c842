package home

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"limpethall.dev/hall/dispatch"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

const (
	// retryDelay is the Retry-After of a call whose server does not answer.
	retryDelay = time.Second
	// maxServersTried limits the servers tried for a call outside a program.
	maxServersTried = 3
)

// RunService runs a service call outside a program. All requests of a workspace
// with the same idempotency key are the same call; a request without a key is
// always a new call.
func (h *Home) RunService(ctx context.Context, request *wire.TurnRequest, send Send) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.ServiceTimeout)
	defer cancel()
	digest := requestDigest(request)
	call := &wire.Dispatch{
		CallId: "single." + request.GetRequestId(), Workspace: request.GetWorkspace(), Weight: h.weight(request.GetWorkspace()),
		Digest: hex.EncodeToString(digest), Service: request.GetService(), AtMostOnce: !request.GetIdempotent(),
	}
	response := &serviceResponse{}
	var result dispatch.Result
	var err error
	switch {
	case request.GetIdempotent():
		result, err = h.Dispatcher.CallService(ctx, dispatch.ServiceRequest{RequestID: request.GetRequestId(), Dispatch: call}, response.addFrame)
	case request.GetIdempotencyKey() != "":
		result, err = h.runWithKey(ctx, request, call, response)
	default:
		result, err = h.runWithoutKey(ctx, request.GetRequestId(), call, response)
	}
	if err == nil {
		err = response.checkComplete(result.End())
	}
	if err != nil {
		return err
	}
	if err := sendServiceResponse(&wire.TurnRecord{ServiceHead: response.head, ServiceBody: response.body}, send); err != nil {
		return err
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: &wire.TurnEnd{Server: result.Server()}}})
}

// runWithoutKey runs a non-idempotent call without an idempotency key. Only this
// request knows the identifier of the call, so it is safe to try another server
// after one that received no byte of the call or refused it for good.
func (h *Home) runWithoutKey(ctx context.Context, requestID string, call *wire.Dispatch, response *serviceResponse) (dispatch.Result, error) {
	service := call.GetService().GetService()
	tried := make(map[string]bool)
	err := error(failure.New(failure.CodeNoServer, failure.NotRun, "no server of service %q currently accepts calls", service).WithRetryAfter(retryDelay))
	for len(tried) < maxServersTried {
		limpet, found := h.nextServer(service, call.GetCallId(), tried)
		if !found {
			return dispatch.Result{}, err
		}
		tried[limpet.Name()] = true
		var result dispatch.Result
		result, err = h.Dispatcher.CallAtMostOnce(ctx, requestID, limpet, call, response.addFrame)
		if err == nil {
			return result, nil
		}
		unreachable := failure.HasCode(err, failure.CodeServerFailed)
		if unreachable {
			err = failure.From(err).WithOutcome(failure.NotRun)
		}
		if !failure.IsNotRun(err) {
			return result, err
		}
	}
	return dispatch.Result{}, err
}

func (h *Home) nextServer(service, callID string, tried map[string]bool) (host.Member, bool) {
	var limpets []host.Member
	for _, candidate := range h.Fleet.ServiceCandidates(service, h.Now()) {
		limpet, found := h.Fleet.Limpet(candidate.Server())
		if found && !tried[limpet.Name()] {
			limpets = append(limpets, limpet)
		}
	}
	return host.TopMember(callID, limpets)
}

// runWithKey runs a call with an idempotency key, which any hall may have run
// before. Before it sends the call, it asks every other server that may know the
// call to refuse it for good, and returns the answer of a server that ran it. If
// one of them can't be reached, the outcome is unknown.
func (h *Home) runWithKey(ctx context.Context, request *wire.TurnRequest, call *wire.Dispatch, response *serviceResponse) (dispatch.Result, error) {
	digest := program.RequestDigest([]byte(request.GetWorkspace()), []byte(call.GetService().GetService()), []byte(request.GetIdempotencyKey()))
	call.CallId = fmt.Sprintf("key.%x", digest)
	target, found := h.nextServer(call.GetService().GetService(), call.GetCallId(), nil)
	if !found {
		return dispatch.Result{}, failure.New(failure.CodeNoServer, failure.Unknown, "no server of service %q is available to check the idempotency key", call.GetService().GetService()).WithRetryAfter(retryDelay)
	}
	for _, limpet := range h.serversThatMayKnow(call) {
		if limpet.Name() == target.Name() && limpet.Incarnation() == target.Incarnation() {
			continue
		}
		settled, err := h.Dispatcher.Settle(ctx, limpet, call.GetCallId())
		if err != nil {
			return dispatch.Result{}, failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "server %s may have run the call and cannot be reached", limpet.Name()).WithRetryAfter(retryDelay)
		}
		if !settled {
			return h.Dispatcher.Attach(ctx, limpet, call, response.addFrame)
		}
	}
	result, err := h.Dispatcher.CallAtMostOnce(ctx, request.GetRequestId(), target, call, response.addFrame)
	return result, err
}

// serversThatMayKnow returns the servers that may know a call with an
// idempotency key: the server that each remembered roster maps it to, and all
// servers of the service on the current roster.
func (h *Home) serversThatMayKnow(call *wire.Dispatch) []host.Member {
	service := call.GetService().GetService()
	type instance struct {
		name        string
		incarnation uint64
	}
	seen := make(map[instance]bool)
	var servers []host.Member
	add := func(limpet host.Member) {
		key := instance{name: limpet.Name(), incarnation: limpet.Incarnation()}
		if !seen[key] {
			seen[key] = true
			servers = append(servers, limpet)
		}
	}
	for _, roster := range h.Roster.RostersOfService(service) {
		if limpet, found := host.TopMember(call.GetCallId(), roster.ServiceLimpets(service)); found {
			add(limpet)
		}
	}
	for _, limpet := range h.Roster.Roster().ServiceLimpets(service) {
		add(limpet)
	}
	return servers
}
