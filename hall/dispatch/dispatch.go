// Package dispatch sends calls to limpets. It selects the backend server, reads
// the response stream, resumes a stream that breaks, and classifies a failed
// call by whether it ran.
//
// # Usage
//
//	d := dispatch.New(fleet, client, policy, logger, time.Now)
//	result, err := d.CallModel(ctx, dispatch.ModelRequest{...}, emit)
//	result, err := d.CallService(ctx, dispatch.ServiceRequest{...}, emit)
//	result, err := d.CallAtMostOnce(ctx, requestID, limpet, call, emit)
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/fleet"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// maxServers is the maximum number of servers tried for one call.
	maxServers = 4
	// maxResumes is the maximum number of times one stream is resumed.
	maxResumes = 3
	// resumeBackoff is multiplied by the number of resumes already made. The
	// first resume is immediate.
	resumeBackoff = 200 * time.Millisecond
	cancelTimeout = time.Second
)

// Dispatcher sends calls to limpets. It is safe for concurrent use.
type Dispatcher struct {
	fleet  *fleet.Fleet
	client *peer.Client
	policy route.Policy
	logger *zap.Logger
	now    func() time.Time
}

// New returns a dispatcher that chooses servers of the fleet limpets by policy. now
// returns the current time. logger receives one line for each routing decision.
func New(limpets *fleet.Fleet, client *peer.Client, policy route.Policy, logger *zap.Logger, now func() time.Time) *Dispatcher {
	return &Dispatcher{fleet: limpets, client: client, policy: policy, logger: logger, now: now}
}

// Emit forwards one frame that carries a part of the response. If it returns an
// error, the dispatcher asks the limpet to cancel the call and returns that error.
type Emit func(frame *wire.Frame) error

// Result is a complete response.
type Result struct {
	server string
	end    *wire.End
}

// Server returns the backend server that answered.
func (r Result) Server() string { return r.server }

// End returns the frame that completed the response.
func (r Result) End() *wire.End { return r.end }

// ModelRequest is a call to a model.
type ModelRequest struct {
	RequestID string
	Dispatch  *wire.Dispatch
	// PrefixServer is the server expected to have the first PrefixTokens of the
	// prompt in its cache.
	PrefixServer string
	PrefixTokens int64
}

// CallModel runs a model call on the server that the policy prefers. If that
// server fails before any part of the response was emitted, CallModel tries
// others.
func (d *Dispatcher) CallModel(ctx context.Context, request ModelRequest, emit Emit) (Result, error) {
	model := request.Dispatch.GetModel()
	routeRequest := route.NewRequest(request.Dispatch.GetProgramId(), model.GetPromptTokens(), model.GetMaxTokens(), request.PrefixServer, request.PrefixTokens)
	findCandidates := func() []route.Candidate { return d.fleet.ModelCandidates(model.GetModel(), d.now()) }
	noServer := failure.New(failure.CodeNoServer, failure.NotRun, "no server currently accepts calls for model %q", model.GetModel()).WithRetryAfter(time.Second)
	return d.tryServers(ctx, request.RequestID, routeRequest, request.Dispatch, findCandidates, noServer, emit)
}

// ServiceRequest is an idempotent call to a plain service.
type ServiceRequest struct {
	RequestID string
	Dispatch  *wire.Dispatch
}

// CallService runs an idempotent service call and, like CallModel, tries other
// servers after a failure.
func (d *Dispatcher) CallService(ctx context.Context, request ServiceRequest, emit Emit) (Result, error) {
	name := request.Dispatch.GetService().GetService()
	routeRequest := route.NewRequest(request.Dispatch.GetProgramId(), 0, 1, "", 0)
	findCandidates := func() []route.Candidate { return d.fleet.ServiceCandidates(name, d.now()) }
	noServer := failure.New(failure.CodeNoServer, failure.NotRun, "no server of service %q currently accepts calls", name).WithRetryAfter(time.Second)
	return d.tryServers(ctx, request.RequestID, routeRequest, request.Dispatch, findCandidates, noServer, emit)
}

// tryServers runs the call on one server after another. The policy chooses anew
// after each failure, among the servers that were not tried yet.
func (d *Dispatcher) tryServers(ctx context.Context, requestID string, routeRequest route.Request, call *wire.Dispatch, findCandidates func() []route.Candidate, noServer error, emit Emit) (Result, error) {
	tried := make(map[string]bool)
	lastErr := noServer
	for len(tried) < maxServers {
		candidates := withoutServers(findCandidates(), tried)
		if len(candidates) == 0 {
			return Result{}, lastErr
		}
		decision := d.policy.Choose(routeRequest, candidates)
		server := decision.Order()[0]
		d.logger.Info("route", zap.String("request", requestID), zap.String("program", call.GetProgramId()), zap.String("call", call.GetCallId()),
			zap.String("server", server), zap.String("reason", decision.Reason()), zap.String("scores", decision.Summary()))
		tried[server] = true
		limpet, found := d.fleet.Limpet(server)
		if !found {
			continue
		}
		emitted := false
		trackingEmit := func(frame *wire.Frame) error {
			emitted = true
			return emit(frame)
		}
		d.fleet.AddOutstanding(server, 1+call.GetModel().GetPromptTokens()/10)
		end, err := d.runOnLimpet(ctx, limpet, call, trackingEmit)
		if err == nil {
			return Result{server: server, end: end}, nil
		}
		lastErr = err
		if emitted || !mayRetry(ctx, err) {
			return Result{server: server}, err
		}
		d.logger.Info("call failed, trying another server", zap.String("request", requestID), zap.String("server", server), zap.Error(err))
	}
	return Result{}, lastErr
}

// mayRetry reports whether a call without side effects may succeed on another
// server.
func mayRetry(ctx context.Context, err error) bool {
	var callFailure *failure.Error
	if ctx.Err() != nil || !errors.As(err, &callFailure) {
		return false
	}
	switch callFailure.Code() {
	// After CodeServerDied, the caller of CallModel records the request as suspect
	// before it retries the call.
	case failure.CodeBadRequest, failure.CodeCanceled, failure.CodeConflict, failure.CodeServerDied:
		return false
	default:
		return true
	}
}

func withoutServers(candidates []route.Candidate, tried map[string]bool) []route.Candidate {
	var remaining []route.Candidate
	for _, candidate := range candidates {
		if !tried[candidate.Server()] {
			remaining = append(remaining, candidate)
		}
	}
	return remaining
}

// runOnLimpet runs one call on one limpet. A stream that breaks is resumed at the next
// expected frame. Frames of another call are dropped.
func (d *Dispatcher) runOnLimpet(ctx context.Context, limpet host.Member, call *wire.Dispatch, emit Emit) (*wire.End, error) {
	reader := &streamReader{dispatcher: d, limpet: limpet, call: call, emit: emit}
	end, err := reader.attempt(ctx, false)
	for resumes := 0; err != nil && reader.resumable(ctx, err) && resumes < maxResumes; resumes++ {
		d.logger.Info("stream broken, resuming", zap.String("call", call.GetCallId()), zap.String("server", limpet.Name()), zap.Uint64("offset", reader.offset), zap.Error(err))
		task.Sleep(ctx, time.Duration(resumes)*resumeBackoff)
		end, err = reader.attempt(ctx, true)
	}
	if err != nil {
		if ctx.Err() != nil || reader.emitErr != nil {
			d.cancel(limpet, call.GetCallId())
		}
		return nil, reader.classify(ctx, err)
	}
	d.fleet.RecordStatus(end.GetStatus())
	return end, nil
}

// streamReader reads the response of one call from one limpet, over several
// streams if it is resumed.
type streamReader struct {
	dispatcher *Dispatcher
	limpet     host.Member
	call       *wire.Dispatch
	emit       Emit
	offset     uint64 // Offset of the next expected frame.
	maybeSent  bool   // Whether the limpet may have received the call.
	emitErr    error  // Error by which emit stopped the call.
}

// attempt opens a stream at the current offset and reads it to its end. With
// attachOnly, the limpet does not start a call that it does not know.
func (r *streamReader) attempt(ctx context.Context, attachOnly bool) (*wire.End, error) {
	request := &wire.Dispatch{
		CallId: r.call.GetCallId(), ProgramId: r.call.GetProgramId(), Workspace: r.call.GetWorkspace(),
		Weight: r.call.GetWeight(), ServiceSoFar: r.call.GetServiceSoFar(), LimpetIncarnation: r.limpet.Incarnation(),
		AtMostOnce: r.call.GetAtMostOnce(), Alone: r.call.GetAlone(), Offset: r.offset, AttachOnly: attachOnly,
		Digest: r.call.GetDigest(), Model: r.call.GetModel(), Service: r.call.GetService(),
	}
	stream, err := r.dispatcher.client.Open(ctx, r.limpet.Address(), peer.CallPath, request)
	if err != nil {
		r.maybeSent = r.maybeSent || !peer.IsUnsent(err)
		return nil, err
	}
	r.maybeSent = true
	defer stream.Close()
	for {
		frame, err := stream.Read()
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		end, done, err := r.handleFrame(frame)
		if done {
			stream.Finish()
		}
		if done || err != nil {
			return end, err
		}
	}
}

// handleFrame processes one frame and reports whether it was the last one.
func (r *streamReader) handleFrame(frame *wire.Frame) (*wire.End, bool, error) {
	if frame.GetCallId() != r.call.GetCallId() {
		r.dispatcher.logger.Warn("frame of another call dropped", zap.String("call", r.call.GetCallId()), zap.String("got", frame.GetCallId()))
		return nil, false, nil
	}
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Failure:
		return nil, true, failure.FromWire(body.Failure)
	case *wire.Frame_End:
		if frame.GetOffset() != r.offset {
			return nil, false, r.offsetError(frame)
		}
		return body.End, true, nil
	default:
		return nil, false, r.emitPart(frame)
	}
}

// emitPart emits a frame once, in the order of the offsets.
func (r *streamReader) emitPart(frame *wire.Frame) error {
	if frame.GetOffset() < r.offset {
		return nil // Emitted before the stream was resumed.
	}
	if frame.GetOffset() > r.offset {
		return r.offsetError(frame)
	}
	if err := r.emit(frame); err != nil {
		r.emitErr = err
		return err
	}
	r.offset++
	return nil
}

func (r *streamReader) offsetError(frame *wire.Frame) error {
	return fmt.Errorf("received frame at offset %d, expected offset %d", frame.GetOffset(), r.offset)
}

// resumable reports whether the limpet may still have the call, so that its
// stream can be resumed.
func (r *streamReader) resumable(ctx context.Context, err error) bool {
	var limpetFailure *failure.Error
	return ctx.Err() == nil && r.maybeSent && r.emitErr == nil && !errors.As(err, &limpetFailure)
}

// classify converts an error of the call into a failure. A transport error has
// outcome NotRun only if the call was never sent; otherwise it is Unknown,
// because the call may have run.
func (r *streamReader) classify(ctx context.Context, err error) error {
	var limpetFailure *failure.Error
	switch {
	case errors.As(err, &limpetFailure):
		return limpetFailure
	case r.emitErr != nil:
		return r.emitErr
	case ctx.Err() != nil:
		return failure.New(failure.CodeCanceled, failure.Unknown, "the caller disconnected")
	case !r.maybeSent:
		r.dispatcher.fleet.MarkUnreachable(r.limpet.Name())
		return failure.New(failure.CodeServerFailed, failure.NotRun, "server %s is unreachable", r.limpet.Name()).WithRetryAfter(time.Second)
	default:
		r.dispatcher.fleet.MarkUnreachable(r.limpet.Name())
		return failure.New(failure.CodeStreamBroken, failure.Unknown, "lost the connection to server %s during the call", r.limpet.Name())
	}
}

// cancel asks the limpet to cancel the call. It uses a context of its own,
// because that of the call may be canceled already.
func (d *Dispatcher) cancel(limpet host.Member, callID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := d.client.Limpet(limpet.Address()).Cancel(ctx, &wire.CancelRequest{CallId: callID}); err != nil {
		d.logger.Debug("could not cancel the call", zap.String("call", callID), zap.Error(err))
	}
}
