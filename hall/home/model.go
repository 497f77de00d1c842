package home

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"limpethall.dev/hall/dispatch"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

// maxAttempts limits the attempts of a call while nothing of its answer has been
// sent to the caller.
const maxAttempts = 3

// errTokensExhausted stops a stream that exceeds the tokens granted from the
// program's budget.
var errTokensExhausted = errors.New("granted tokens exhausted")

// modelCall is a call to a model engine, within a program or outside one.
type modelCall struct {
	request       *wire.TurnRequest
	record        *program.Record
	messages      [][]byte
	cacheKey      string
	prefixServer  string
	prefixTokens  int64
	digest        []byte
	grantedTokens int64
}

// modelResult is the outcome of an attempt of a modelCall.
type modelResult struct {
	server       string
	answer       *program.Answer
	finishReason string
	usage        *wire.Usage
}

// runModel runs a turn of the program on a model engine.
func (h *Home) runModel(ctx context.Context, hosted *hostedProgram, request *wire.TurnRequest, digest []byte, send Send) error {
	record := hosted.record
	newTokens := h.estimateTokens(request.GetModel().GetMessages())
	grantedTokens, err := record.Reserve(newTokens, h.requestedTokens(request))
	if err != nil {
		return err
	}
	call := modelCall{
		request: request, record: record, messages: append(record.Messages(), request.GetModel().GetMessages()...),
		cacheKey: record.ID(), prefixServer: hosted.cacheServer, prefixTokens: hosted.cachedTokens, digest: digest, grantedTokens: grantedTokens,
	}
	result, err := h.runWithRetries(ctx, call, send)
	record.Settle(newTokens+grantedTokens, chargedTokens(newTokens, result, err))
	if err != nil {
		return err
	}
	hosted.cacheServer = result.server
	hosted.cachedTokens = h.estimateTokens(call.messages) + result.answer.Tokens()
	turn := &wire.TurnRecord{
		Messages: request.GetModel().GetMessages(), Answer: result.answer.Message(), RequestDigest: digest,
		End: &wire.TurnEnd{Message: result.answer.Message(), FinishReason: result.finishReason, Usage: result.usage, Server: result.server},
	}
	return h.finishTurn(context.WithoutCancel(ctx), hosted, turn, send)
}

// RunChat runs a model call outside a program. Its budget is the budget of one
// program of the workspace.
func (h *Home) RunChat(ctx context.Context, request *wire.TurnRequest, send Send) error {
	row, found := h.Follower.Table().Row(request.GetWorkspace())
	if !found {
		return failure.New(failure.CodeForbidden, failure.NotRun, "workspace %q is not in the workspace table", request.GetWorkspace())
	}
	record := program.New("", request.GetWorkspace(), "", row.Budget())
	messages := request.GetModel().GetMessages()
	promptTokens := h.estimateTokens(messages)
	grantedTokens, err := record.Reserve(promptTokens, h.requestedTokens(request))
	if err != nil {
		return err
	}
	prefixServer, prefixTokens := h.PrefixCache.Find(request.GetWorkspace(), messages)
	call := modelCall{request: request, record: record, messages: messages, prefixServer: prefixServer, prefixTokens: prefixTokens, digest: requestDigest(request), grantedTokens: grantedTokens}
	result, err := h.runWithRetries(ctx, call, send)
	if err != nil {
		return err
	}
	message := result.answer.Message()
	h.PrefixCache.Add(request.GetWorkspace(), append(messages[:len(messages):len(messages)], message), result.server, promptTokens+result.answer.Tokens())
	end := &wire.TurnEnd{Message: message, FinishReason: result.finishReason, Usage: result.usage, Server: result.server}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// runWithRetries runs the call. It retries failed attempts until a part of the
// answer has been sent to the caller. A call during which the server dies is
// recorded as suspect.
func (h *Home) runWithRetries(ctx context.Context, call modelCall, send Send) (modelResult, error) {
	result := modelResult{answer: program.NewAnswer()}
	var err error
	for attempt := range maxAttempts {
		if err := h.Suspects.Check(call.digest); err != nil {
			return result, err
		}
		result, err = h.runAttempt(ctx, call, attempt, send)
		if err == nil {
			return result, nil
		}
		if failure.HasCode(err, failure.CodeServerDied) {
			h.recordServerDeath(ctx, call.digest)
		}
		partlySent := call.request.GetStream() && result.answer.Tokens() > 0
		if partlySent || !retryable(ctx, err) {
			return result, err
		}
		h.Logger.Info("retrying call", zap.String("request", call.request.GetRequestId()), zap.Error(err))
	}
	return result, err
}

// retryable reports whether a failed model call may succeed on another server.
func retryable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.From(err).Code() {
	case failure.CodeServerDied, failure.CodeStreamBroken, failure.CodeTruncatedAnswer, failure.CodeServerFailed:
		return true
	default:
		return false
	}
}

func (h *Home) runAttempt(ctx context.Context, call modelCall, attempt int, send Send) (modelResult, error) {
	result := modelResult{answer: program.NewAnswer()}
	releaseSuspect, alone, err := h.Suspects.AcquireRun(ctx, call.digest)
	if err != nil {
		return result, err
	}
	defer releaseSuspect()
	model := call.request.GetModel()
	dispatchRequest := dispatch.ModelRequest{
		RequestID: call.request.GetRequestId(), PrefixServer: call.prefixServer, PrefixTokens: call.prefixTokens,
		Dispatch: &wire.Dispatch{
			CallId:    fmt.Sprintf("%s.%d", call.request.GetRequestId(), attempt),
			ProgramId: call.record.ID(), Workspace: call.record.Workspace(), Weight: h.weight(call.record.Workspace()),
			ServiceSoFar: call.record.Spent(), Digest: fmt.Sprintf("%x", call.digest), Alone: alone,
			Model: &wire.ModelCall{
				Model: model.GetModel(), Messages: call.messages, MaxTokens: call.grantedTokens, Options: model.GetOptions(),
				CacheKey: call.cacheKey, PromptTokens: h.estimateTokens(call.messages),
			},
		},
	}
	dispatched, err := h.Dispatcher.CallModel(ctx, dispatchRequest, func(frame *wire.Frame) error {
		return call.forwardDelta(frame, result.answer, send)
	})
	result.server = dispatched.Server()
	result.finishReason = dispatched.End().GetFinishReason()
	result.usage = dispatched.End().GetUsage()
	if errors.Is(err, errTokensExhausted) {
		result.finishReason = "length"
		return result, nil
	}
	return result, err
}

// forwardDelta adds a delta to the answer and, for a streaming request, sends it
// to the caller. It fails with errTokensExhausted if the answer would exceed the
// granted tokens.
func (c modelCall) forwardDelta(frame *wire.Frame, answer *program.Answer, send Send) error {
	delta := frame.GetDelta()
	if delta == nil {
		return nil
	}
	if answer.Tokens()+delta.GetTokens() > c.grantedTokens {
		return errTokensExhausted
	}
	answer.Add(delta)
	if !c.request.GetStream() {
		return nil
	}
	return send(&wire.Frame{Body: &wire.Frame_Delta{Delta: delta}})
}

// chargedTokens returns the tokens charged for a call. A failed call is charged
// only if it generated tokens.
func chargedTokens(newTokens int64, result modelResult, err error) int64 {
	generated := max(result.answer.Tokens(), result.usage.GetCompletionTokens())
	if err != nil && generated == 0 {
		return 0
	}
	return newTokens + generated
}

// recordServerDeath records as suspect a request during which the server died.
func (h *Home) recordServerDeath(ctx context.Context, digest []byte) {
	if err := h.Suspects.RecordCrash(context.WithoutCancel(ctx), digest); err != nil {
		h.Logger.Error("failed to report suspect request to the other halls", zap.Error(err))
	}
}

func (h *Home) requestedTokens(request *wire.TurnRequest) int64 {
	if requested := request.GetModel().GetMaxTokens(); requested > 0 {
		return requested
	}
	return h.options.DefaultMaxAnswerTokens
}

// estimateTokens estimates the number of tokens in the messages.
func (h *Home) estimateTokens(messages [][]byte) int64 {
	total := int64(0)
	for _, message := range messages {
		total += int64(len(message)/h.options.BytesPerToken + 1)
	}
	return total
}

func (h *Home) weight(workspace string) int64 {
	row, found := h.Follower.Table().Row(workspace)
	if !found {
		return 1
	}
	return row.Weight()
}
