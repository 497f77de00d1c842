package gate

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

// Backend is the server behind a gate: a model engine or a plain service.
type Backend interface{ isBackend() }

// ModelBackend is a model engine.
type ModelBackend struct {
	engine engine.Engine
	claims *pin.Claims
}

// NewModelBackend returns a backend; claims keeps account of its memory.
func NewModelBackend(model engine.Engine, claims *pin.Claims) ModelBackend {
	return ModelBackend{engine: model, claims: claims}
}

// Engine returns the engine.
func (b ModelBackend) Engine() engine.Engine { return b.engine }

// ServiceBackend is a plain service.
type ServiceBackend struct {
	service *plain.Service
	timeout time.Duration
}

// NewServiceBackend returns a backend whose calls may take up to timeout.
func NewServiceBackend(service *plain.Service, timeout time.Duration) ServiceBackend {
	return ServiceBackend{service: service, timeout: timeout}
}

func (ModelBackend) isBackend()   {}
func (ServiceBackend) isBackend() {}

// run carries one call to its end and reports the completion.
func (g *Gate) run(ctx context.Context, cancel context.CancelFunc, running *call.Call, cost int64) {
	defer cancel()
	done := completion{call: running, cost: cost, actual: cost}
	var last *wire.Frame
	switch backend := g.backend.(type) {
	case ModelBackend:
		last = g.runModel(ctx, backend, running, &done)
	case ServiceBackend:
		last = g.runService(ctx, backend, running)
	}
	running.Finish(g.now(), last)
	g.events.Put(g.stopped, done)
}

func (g *Gate) runModel(ctx context.Context, backend ModelBackend, running *call.Call, done *completion) *wire.Frame {
	request := running.Dispatch().GetModel()
	if request == nil {
		return call.FailureFrame(failure.New(failure.CodeBadRequest, failure.NotRun, "this server is a model engine"))
	}
	if program := running.Dispatch().GetProgramId(); program != "" {
		backend.claims.Renew(program, g.now())
	}
	var first time.Time
	emit := func(delta *wire.Delta) {
		if first.IsZero() {
			first = g.now()
		}
		running.Append(&wire.Frame{Body: &wire.Frame_Delta{Delta: delta}})
	}
	end, err := backend.engine.Generate(ctx, running.ID(), request, emit)
	if err != nil {
		return call.FailureFrame(g.engineFailure(err))
	}
	generated := end.GetUsage().GetCompletionTokens()
	computed := max(0, end.GetUsage().GetPromptTokens()-end.GetUsage().GetCachedTokens())
	done.actual = generated + computed/promptDiscount
	if generated > 1 {
		done.latency = g.now().Sub(first) / time.Duration(generated-1)
	}
	return &wire.Frame{Body: &wire.Frame_End{End: end}}
}

// engineFailure converts an engine's error. A model call has no effect beyond
// its answer, so one that failed may be run again elsewhere.
func (g *Gate) engineFailure(err error) *failure.Error {
	var died *engine.DiedError
	var refused *engine.RefusedError
	var truncated *engine.TruncatedError
	var unreachable *engine.UnreachableError
	switch {
	case errors.As(err, &died):
		g.TurnedCold("engine went away")
		return failure.New(failure.CodeServerDied, failure.Unknown, "server %s went away during the call", g.options.Name)
	case errors.As(err, &unreachable):
		return failure.New(failure.CodeServerFailed, failure.NotRun, "server %s can't be reached", g.options.Name)
	case errors.As(err, &truncated):
		g.logger.Warn("answer dropped", zap.Error(err))
		return failure.New(failure.CodeTruncated, failure.Unknown, "server %s gave an answer that is not whole", g.options.Name)
	case errors.As(err, &refused) && refused.Status() < http.StatusInternalServerError && refused.Status() != http.StatusTooManyRequests:
		return failure.New(failure.CodeBadRequest, failure.NotRun, "%v", err)
	case errors.Is(err, context.Canceled):
		return failure.New(failure.CodeCanceled, failure.Unknown, "the call was canceled")
	default:
		return failure.New(failure.CodeServerFailed, failure.Unknown, "server %s failed: %v", g.options.Name, err)
	}
}

func (g *Gate) runService(ctx context.Context, backend ServiceBackend, running *call.Call) *wire.Frame {
	dispatch := running.Dispatch()
	if dispatch.GetService() == nil {
		return call.FailureFrame(failure.New(failure.CodeBadRequest, failure.NotRun, "this server is a plain service"))
	}
	ctx, cancel := context.WithTimeout(ctx, backend.timeout)
	defer cancel()
	onHead := func(head *wire.ServiceHead) {
		running.Append(&wire.Frame{Body: &wire.Frame_Head{Head: head}})
	}
	onData := func(data []byte) {
		running.Append(&wire.Frame{Body: &wire.Frame_Data{Data: data}})
	}
	end, err := backend.service.Call(ctx, running.ID(), dispatch.GetService(), dispatch.GetAtMostOnce(), onHead, onData)
	if err != nil {
		return call.FailureFrame(err)
	}
	return &wire.Frame{Body: &wire.Frame_End{End: end}}
}
