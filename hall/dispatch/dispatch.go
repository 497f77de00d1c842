// Package dispatch brings calls to limpets: it chooses servers, reads the
// streams of answers, resumes those that break, and tells truly what became
// of a call that did not end well.
//
// # Usage
//
//	d := dispatch.New(fleet, client, policy, logger)
//	result, err := d.Model(ctx, dispatch.ModelRequest{...}, emit)
//	result, err := d.Service(ctx, dispatch.ServiceRequest{...}, emit)
//	result, err := d.Once(ctx, limpet, request, emit)
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/fleet"
	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/wire"
)

const (
	// maxServers is how many servers are tried for one call.
	maxServers = 4
	// maxResumes is how often one stream is resumed.
	maxResumes = 3
	// resumePause is the wait before a stream is resumed again.
	resumePause = 200 * time.Millisecond
	cancelWait  = time.Second
)

// Dispatcher sends calls. It is safe for concurrent use.
type Dispatcher struct {
	fleet  *fleet.Fleet
	client *peer.Client
	policy route.Policy
	logger *zap.Logger
	now    func() time.Time
}

// New returns a dispatcher. The logger gets one line for each routing
// decision.
func New(servers *fleet.Fleet, client *peer.Client, policy route.Policy, logger *zap.Logger, now func() time.Time) *Dispatcher {
	return &Dispatcher{fleet: servers, client: client, policy: policy, logger: logger, now: now}
}

// Emit passes on one frame with a part of the answer. An error stops the
// call.
type Emit func(frame *wire.Frame) error // The call then fails with this error.

// Result is a whole answer.
type Result struct {
	server string
	end    *wire.End
}

// Server returns the backend server that answered.
func (r Result) Server() string { return r.server }

// End returns how the answer ended.
func (r Result) End() *wire.End { return r.end }

// ModelRequest is a call to a model engine.
type ModelRequest struct {
	RequestID string
	Dispatch  *wire.Dispatch
	// Holder is the server believed to hold HeldTokens of the prompt.
	Holder     string
	HeldTokens int64
}

// Model runs a model call on the server that the policy prefers and, as long
// as no part of the answer was passed on, on others if that one fails.
func (d *Dispatcher) Model(ctx context.Context, request ModelRequest, emit Emit) (Result, error) {
	model := request.Dispatch.GetModel()
	wanted := route.NewRequest(request.Dispatch.GetProgramId(), model.GetPromptTokens(), model.GetMaxTokens(), request.Holder, request.HeldTokens)
	find := func() []route.Candidate { return d.fleet.ModelCandidates(model.GetModel(), d.now()) }
	noServer := failure.New(failure.CodeNoServer, failure.NotRun, "no server takes calls for model %q now", model.GetModel()).WithRetryAfter(time.Second)
	return d.tryServers(ctx, request.RequestID, wanted, request.Dispatch, find, noServer, emit)
}

// ServiceRequest is a call to a plain service that may be repeated.
type ServiceRequest struct {
	RequestID string
	Dispatch  *wire.Dispatch
}

// Service runs an idempotent service call.
func (d *Dispatcher) Service(ctx context.Context, request ServiceRequest, emit Emit) (Result, error) {
	name := request.Dispatch.GetService().GetService()
	wanted := route.NewRequest(request.Dispatch.GetProgramId(), 0, 1, "", 0)
	find := func() []route.Candidate { return d.fleet.ServiceCandidates(name, d.now()) }
	noServer := failure.New(failure.CodeNoServer, failure.NotRun, "no server of service %q takes calls now", name).WithRetryAfter(time.Second)
	return d.tryServers(ctx, request.RequestID, wanted, request.Dispatch, find, noServer, emit)
}

// tryServers asks the policy again after each failure, without the servers
// that failed.
func (d *Dispatcher) tryServers(ctx context.Context, requestID string, wanted route.Request, call *wire.Dispatch, find func() []route.Candidate, noServer error, emit Emit) (Result, error) {
	tried := make(map[string]bool)
	last := noServer
	for len(tried) < maxServers {
		candidates := without(find(), tried)
		if len(candidates) == 0 {
			return Result{}, last
		}
		decision := d.policy.Choose(wanted, candidates)
		server := decision.Order()[0]
		d.logger.Info("route", zap.String("request", requestID), zap.String("program", call.GetProgramId()), zap.String("call", call.GetCallId()),
			zap.String("server", server), zap.String("reason", decision.Reason()), zap.String("scores", decision.Summary()))
		tried[server] = true
		limpet, found := d.fleet.Limpet(server)
		if !found {
			continue
		}
		passed := false
		watched := func(frame *wire.Frame) error {
			passed = true
			return emit(frame)
		}
		d.fleet.Sent(server, 1+call.GetModel().GetPromptTokens()/10)
		end, err := d.follow(ctx, limpet, call, watched)
		if err == nil {
			return Result{server: server, end: end}, nil
		}
		last = err
		if passed || !mayRetry(ctx, err) {
			return Result{server: server}, err
		}
		d.logger.Info("try another server", zap.String("request", requestID), zap.String("server", server), zap.Error(err))
	}
	return Result{}, last
}

// mayRetry reports whether another server may succeed with a call that has no
// effect of its own.
func mayRetry(ctx context.Context, err error) bool {
	var known *failure.Error
	if ctx.Err() != nil || !errors.As(err, &known) {
		return false
	}
	switch known.Code() {
	case failure.CodeBadRequest, failure.CodeCanceled, failure.CodeConflict, failure.CodeServerDied:
		return false
	default:
		return true
	}
}

func without(candidates []route.Candidate, tried map[string]bool) []route.Candidate {
	var left []route.Candidate
	for _, candidate := range candidates {
		if !tried[candidate.Server()] {
			left = append(left, candidate)
		}
	}
	return left
}

// follow runs one call on one limpet and resumes its stream where it breaks.
// Frames of another call are dropped.
func (d *Dispatcher) follow(ctx context.Context, limpet host.Member, call *wire.Dispatch, emit Emit) (*wire.End, error) {
	reading := &reading{dispatcher: d, limpet: limpet, call: call, emit: emit}
	end, err := reading.attempt(ctx, false)
	for resumes := 0; err != nil && reading.resumable(ctx, err) && resumes < maxResumes; resumes++ {
		d.logger.Info("stream broke, resuming", zap.String("call", call.GetCallId()), zap.String("server", limpet.Name()), zap.Uint64("offset", reading.offset), zap.Error(err))
		duty.Pause(ctx, time.Duration(resumes)*resumePause)
		end, err = reading.attempt(ctx, true)
	}
	if err != nil {
		if ctx.Err() != nil || reading.refused != nil {
			d.cancel(limpet, call.GetCallId())
		}
		return nil, reading.classify(ctx, err)
	}
	d.fleet.Report(end.GetStatus())
	return end, nil
}

// reading is the state of following one call on one limpet.
type reading struct {
	dispatcher *Dispatcher
	limpet     host.Member
	call       *wire.Dispatch
	emit       Emit
	offset     uint64
	sent       bool
	refused    error // What emit returned to stop the call.
}

func (r *reading) attempt(ctx context.Context, attachOnly bool) (*wire.End, error) {
	request := &wire.Dispatch{
		CallId: r.call.GetCallId(), ProgramId: r.call.GetProgramId(), Workspace: r.call.GetWorkspace(),
		Weight: r.call.GetWeight(), ServiceSoFar: r.call.GetServiceSoFar(), LimpetIncarnation: r.limpet.Incarnation(),
		AtMostOnce: r.call.GetAtMostOnce(), Alone: r.call.GetAlone(), Offset: r.offset, AttachOnly: attachOnly,
		Digest: r.call.GetDigest(), Model: r.call.GetModel(), Service: r.call.GetService(),
	}
	stream, err := r.dispatcher.client.Open(ctx, r.limpet.Address(), peer.CallPath, request)
	if err != nil {
		r.sent = r.sent || !peer.IsUnsent(err)
		return nil, err
	}
	r.sent = true
	defer stream.Close()
	for {
		frame, err := stream.Read()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		end, over, err := r.take(frame)
		if over {
			stream.Finish()
		}
		if over || err != nil {
			return end, err
		}
	}
}

func (r *reading) take(frame *wire.Frame) (*wire.End, bool, error) {
	if frame.GetCallId() != r.call.GetCallId() {
		r.dispatcher.logger.Warn("frame of another call dropped", zap.String("call", r.call.GetCallId()), zap.String("got", frame.GetCallId()))
		return nil, false, nil
	}
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Failure:
		return nil, true, failure.FromWire(body.Failure)
	case *wire.Frame_End:
		if frame.GetOffset() != r.offset {
			return nil, false, r.gap(frame)
		}
		return body.End, true, nil
	default:
		return nil, false, r.part(frame)
	}
}

func (r *reading) part(frame *wire.Frame) error {
	if frame.GetOffset() < r.offset {
		return nil // Seen before the stream was resumed.
	}
	if frame.GetOffset() > r.offset {
		return r.gap(frame)
	}
	if err := r.emit(frame); err != nil {
		r.refused = err
		return err
	}
	r.offset++
	return nil
}

func (r *reading) gap(frame *wire.Frame) error {
	return fmt.Errorf("frame %d came where %d was due", frame.GetOffset(), r.offset)
}

// resumable reports whether the call may still be found at the limpet.
func (r *reading) resumable(ctx context.Context, err error) bool {
	var final *failure.Error
	return ctx.Err() == nil && r.sent && r.refused == nil && !errors.As(err, &final)
}

// classify turns a transport error into a failure with a true outcome.
func (r *reading) classify(ctx context.Context, err error) error {
	var final *failure.Error
	switch {
	case errors.As(err, &final):
		return final
	case r.refused != nil:
		return r.refused
	case ctx.Err() != nil:
		return failure.New(failure.CodeCanceled, failure.Unknown, "the caller has gone")
	case !r.sent:
		r.dispatcher.fleet.Failed(r.limpet.Name())
		return failure.New(failure.CodeServerFailed, failure.NotRun, "server %s can't be reached", r.limpet.Name()).WithRetryAfter(time.Second)
	default:
		r.dispatcher.fleet.Failed(r.limpet.Name())
		return failure.New(failure.CodeStreamBroken, failure.Unknown, "contact with server %s was lost during the call", r.limpet.Name())
	}
}

func (d *Dispatcher) cancel(limpet host.Member, callID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	if _, err := d.client.Limpet(limpet.Address()).Cancel(ctx, &wire.CancelRequest{CallId: callID}); err != nil {
		d.logger.Debug("call not canceled", zap.String("call", callID), zap.Error(err))
	}
}
