package scheduler

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/call"
	"limpethall.dev/limpet/engine"
	"limpethall.dev/limpet/pin"
	"limpethall.dev/limpet/plain"
)

// Backend is the backend server of a scheduler: a model engine or an HTTP
// service.
type Backend interface{ isBackend() }

// ModelBackend is a backend server that is a model engine.
type ModelBackend struct {
	engine engine.Engine
	pins   *pin.Tracker
}

// NewModelBackend returns a backend; pins tracks the programs whose memory the
// engine keeps.
func NewModelBackend(client engine.Engine, pins *pin.Tracker) ModelBackend {
	return ModelBackend{engine: client, pins: pins}
}

// Engine returns the client of the engine.
func (b ModelBackend) Engine() engine.Engine { return b.engine }

// ServiceBackend is a backend server that is a plain service.
type ServiceBackend struct {
	service *plain.Client
	timeout time.Duration
}

// NewServiceBackend returns a backend; timeout bounds each call.
func NewServiceBackend(service *plain.Client, timeout time.Duration) ServiceBackend {
	return ServiceBackend{service: service, timeout: timeout}
}

func (ModelBackend) isBackend()   {}
func (ServiceBackend) isBackend() {}

// run executes one call and reports its completion to the event loop.
func (s *Scheduler) run(ctx context.Context, cancel context.CancelFunc, c *call.Call, estimatedCost int64) {
	defer cancel()
	result := completion{call: c, estimatedCost: estimatedCost, actualCost: estimatedCost}
	var final *wire.Frame
	switch backend := s.backend.(type) {
	case ModelBackend:
		final = s.runModel(ctx, backend, c, &result)
	case ServiceBackend:
		final = s.runService(ctx, backend, c)
	}
	c.Finish(s.now(), final)
	s.events.Put(s.stopped, result)
}

func (s *Scheduler) runModel(ctx context.Context, backend ModelBackend, c *call.Call, result *completion) *wire.Frame {
	request := c.Dispatch().GetModel()
	if request == nil {
		return call.FailureFrame(failure.New(failure.CodeBadRequest, failure.NotRun, "this server is a model engine and accepts only model calls"))
	}
	if program := c.Dispatch().GetProgramId(); program != "" {
		backend.pins.Pin(program, s.now())
	}
	var firstDeltaAt time.Time
	emit := func(delta *wire.Delta) {
		if firstDeltaAt.IsZero() {
			firstDeltaAt = s.now()
		}
		c.Append(&wire.Frame{Body: &wire.Frame_Delta{Delta: delta}})
	}
	end, err := backend.engine.Generate(ctx, c.ID(), request, emit)
	if err != nil {
		return call.FailureFrame(s.failureOf(err))
	}
	generatedTokens := end.GetUsage().GetCompletionTokens()
	uncachedPromptTokens := max(0, end.GetUsage().GetPromptTokens()-end.GetUsage().GetCachedTokens())
	result.actualCost = generatedTokens + uncachedPromptTokens/promptTokensPerGenerated
	if generatedTokens > 1 {
		result.tokenLatency = s.now().Sub(firstDeltaAt) / time.Duration(generatedTokens-1)
	}
	return &wire.Frame{Body: &wire.Frame_End{End: end}}
}

// failureOf converts an error of the engine to a failure. A model call has no
// side effects, so a failed one may be retried on another server.
func (s *Scheduler) failureOf(err error) *failure.Error {
	var connectionLost *engine.ConnectionLostError
	var statusError *engine.StatusError
	var truncated *engine.TruncatedError
	var unreachable *engine.UnreachableError
	switch {
	case errors.As(err, &connectionLost):
		s.MarkCold("connection to engine lost")
		return failure.New(failure.CodeServerDied, failure.Unknown, "connection to server %s lost during the call", s.options.Name)
	case errors.As(err, &unreachable):
		return failure.New(failure.CodeServerFailed, failure.NotRun, "can't connect to server %s", s.options.Name)
	case errors.As(err, &truncated):
		s.logger.Warn("discarded an incomplete or mismatched response", zap.Error(err))
		return failure.New(failure.CodeTruncatedAnswer, failure.Unknown, "server %s returned an incomplete response", s.options.Name)
	case errors.As(err, &statusError) && statusError.Status() < http.StatusInternalServerError && statusError.Status() != http.StatusTooManyRequests:
		return failure.New(failure.CodeBadRequest, failure.NotRun, "%v", err)
	case errors.Is(err, context.Canceled):
		return failure.New(failure.CodeCanceled, failure.Unknown, "the call was canceled")
	default:
		return failure.New(failure.CodeServerFailed, failure.Unknown, "server %s failed: %v", s.options.Name, err)
	}
}

func (s *Scheduler) runService(ctx context.Context, backend ServiceBackend, c *call.Call) *wire.Frame {
	dispatch := c.Dispatch()
	if dispatch.GetService() == nil {
		return call.FailureFrame(failure.New(failure.CodeBadRequest, failure.NotRun, "this server is a plain service and accepts only service calls"))
	}
	ctx, cancel := context.WithTimeout(ctx, backend.timeout)
	defer cancel()
	onHead := func(head *wire.ServiceHead) {
		c.Append(&wire.Frame{Body: &wire.Frame_Head{Head: head}})
	}
	onData := func(data []byte) {
		c.Append(&wire.Frame{Body: &wire.Frame_Data{Data: data}})
	}
	end, err := backend.service.Call(ctx, c.ID(), dispatch.GetService(), dispatch.GetAtMostOnce(), onHead, onData)
	if err != nil {
		return call.FailureFrame(err)
	}
	return &wire.Frame{Body: &wire.Frame_End{End: end}}
}
