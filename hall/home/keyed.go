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
	// retryHint is when to ask again about a call whose server is silent.
	retryHint = time.Second
	// maxPlaces is how many servers are tried for a call without a program.
	maxPlaces = 3
)

// RunSingle carries out a service call outside a program. With an
// idempotency key, the call is the same for every request of the workspace
// with that key; without one, each request is a new call.
func (h *Home) RunSingle(ctx context.Context, request *wire.TurnRequest, send Send) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.ServiceTimeout)
	defer cancel()
	digest := digestOf(request)
	call := &wire.Dispatch{
		CallId: "single." + request.GetRequestId(), Workspace: request.GetWorkspace(), Weight: h.weight(request.GetWorkspace()),
		Digest: hex.EncodeToString(digest), Service: request.GetService(), AtMostOnce: !request.GetIdempotent(),
	}
	answer := &serviceAnswer{}
	var result dispatch.Result
	var err error
	switch {
	case request.GetIdempotent():
		result, err = h.Dispatcher.Service(ctx, dispatch.ServiceRequest{RequestID: request.GetRequestId(), Dispatch: call}, answer.add)
	case request.GetIdempotencyKey() != "":
		result, err = h.runKeyed(ctx, request, call, answer)
	default:
		result, err = h.runNew(ctx, request.GetRequestId(), call, answer)
	}
	if err == nil {
		err = answer.complete(result.End())
	}
	if err != nil {
		return err
	}
	if err := sendService(&wire.TurnRecord{ServiceHead: answer.head, ServiceBody: answer.body}, send); err != nil {
		return err
	}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: &wire.TurnEnd{Server: result.Server()}}})
}

// runNew runs a call whose identifier only this request knows. As long as a
// server swears the call off, or got no byte of it, another one is tried.
func (h *Home) runNew(ctx context.Context, requestID string, call *wire.Dispatch, answer *serviceAnswer) (dispatch.Result, error) {
	service := call.GetService().GetService()
	tried := make(map[string]bool)
	err := error(failure.New(failure.CodeNoServer, failure.NotRun, "no server of service %q takes calls now", service).WithRetryAfter(retryHint))
	for len(tried) < maxPlaces {
		limpet, found := h.nextServer(service, call.GetCallId(), tried)
		if !found {
			return dispatch.Result{}, err
		}
		tried[limpet.Name()] = true
		var result dispatch.Result
		result, err = h.Dispatcher.Once(ctx, requestID, limpet, call, answer.add)
		if err == nil {
			return result, nil
		}
		unsent := failure.HasCode(err, failure.CodeServerFailed)
		if unsent {
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
	return host.First(callID, limpets)
}

// runKeyed runs a call that any hall may have run before. It asks every
// server that the key mapped to by a roster that this hall remembers, and all
// present ones, before it places the call.
func (h *Home) runKeyed(ctx context.Context, request *wire.TurnRequest, call *wire.Dispatch, answer *serviceAnswer) (dispatch.Result, error) {
	identifier := program.RequestDigest([]byte(request.GetWorkspace()), []byte(call.GetService().GetService()), []byte(request.GetIdempotencyKey()))
	call.CallId = fmt.Sprintf("key.%x", identifier)
	target, found := h.nextServer(call.GetService().GetService(), call.GetCallId(), nil)
	if !found {
		return dispatch.Result{}, failure.New(failure.CodeNoServer, failure.Unknown, "no server of service %q can be asked about the key now", call.GetService().GetService()).WithRetryAfter(retryHint)
	}
	for _, limpet := range h.earlierServers(call) {
		if limpet.Name() == target.Name() && limpet.Incarnation() == target.Incarnation() {
			continue
		}
		settled, err := h.Dispatcher.Settle(ctx, limpet, call.GetCallId())
		if err != nil {
			return dispatch.Result{}, failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "server %s may have run the call and can't be asked", limpet.Name()).WithRetryAfter(retryHint)
		}
		if !settled {
			return h.Dispatcher.Attach(ctx, limpet, call, answer.add)
		}
	}
	result, err := h.Dispatcher.Once(ctx, request.GetRequestId(), target, call, answer.add)
	return result, err
}

// earlierServers returns the servers that may know a keyed call: for each
// remembered roster the one it maps to, and all present ones.
func (h *Home) earlierServers(call *wire.Dispatch) []host.Member {
	service := call.GetService().GetService()
	type place struct {
		name        string
		incarnation uint64
	}
	seen := make(map[place]bool)
	var servers []host.Member
	add := func(limpet host.Member) {
		key := place{name: limpet.Name(), incarnation: limpet.Incarnation()}
		if !seen[key] {
			seen[key] = true
			servers = append(servers, limpet)
		}
	}
	for _, roster := range h.Roster.Placements(service) {
		if limpet, found := host.First(call.GetCallId(), roster.ServiceLimpets(service)); found {
			add(limpet)
		}
	}
	for _, limpet := range h.Roster.Roster().ServiceLimpets(service) {
		add(limpet)
	}
	return servers
}
