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

// maxRuns is how often a call is run of which the caller has seen nothing.
const maxRuns = 3

// errBudgetCut stops a stream that has used up what the budget grants.
var errBudgetCut = errors.New("budget used up")

// modelRun is one call to a model engine, with a program or without.
type modelRun struct {
	request  *wire.TurnRequest
	record   *program.Record
	messages [][]byte
	cacheKey string
	holder   string
	held     int64
	digest   []byte
	granted  int64
}

// modelAnswer is what came of a modelRun.
type modelAnswer struct {
	server string
	answer *program.Answer
	finish string
	usage  *wire.Usage
}

// runModel asks a model engine for the next message of the program.
func (h *Home) runModel(ctx context.Context, here *resident, request *wire.TurnRequest, digest []byte, send Send) error {
	record := here.record
	added := h.tokens(request.GetModel().GetMessages())
	granted, err := record.Reserve(added, h.askedTokens(request))
	if err != nil {
		return err
	}
	run := modelRun{
		request: request, record: record, messages: append(record.Messages(), request.GetModel().GetMessages()...),
		cacheKey: record.ID(), holder: here.server, held: here.held, digest: digest, granted: granted,
	}
	got, err := h.runSafely(ctx, run, send)
	record.Settle(added+granted, usedTokens(added, got, err))
	if err != nil {
		return err
	}
	here.server = got.server
	here.held = h.tokens(run.messages) + got.answer.Tokens()
	turn := &wire.TurnRecord{
		Messages: request.GetModel().GetMessages(), Answer: got.answer.Message(), RequestDigest: digest,
		End: &wire.TurnEnd{Message: got.answer.Message(), FinishReason: got.finish, Usage: got.usage, Server: got.server},
	}
	return h.finish(context.WithoutCancel(ctx), here, turn, send)
}

// RunChat carries out a model call outside a program. Its budget is that of
// one program of the workspace.
func (h *Home) RunChat(ctx context.Context, request *wire.TurnRequest, send Send) error {
	row, found := h.Follower.Table().Row(request.GetWorkspace())
	if !found {
		return failure.New(failure.CodeForbidden, failure.NotRun, "workspace %q has no row in the table", request.GetWorkspace())
	}
	record := program.New("", request.GetWorkspace(), "", row.Budget())
	messages := request.GetModel().GetMessages()
	added := h.tokens(messages)
	granted, err := record.Reserve(added, h.askedTokens(request))
	if err != nil {
		return err
	}
	holder, held := h.Prefixes.Find(request.GetWorkspace(), messages)
	run := modelRun{request: request, record: record, messages: messages, holder: holder, held: held, digest: digestOf(request), granted: granted}
	got, err := h.runSafely(ctx, run, send)
	if err != nil {
		return err
	}
	message := got.answer.Message()
	h.Prefixes.Remember(request.GetWorkspace(), append(messages[:len(messages):len(messages)], message), got.server, added+got.answer.Tokens())
	end := &wire.TurnEnd{Message: message, FinishReason: got.finish, Usage: got.usage, Server: got.server}
	return send(&wire.Frame{Body: &wire.Frame_TurnEnd{TurnEnd: end}})
}

// runSafely runs the call, again if need be as long as the caller has seen
// nothing of an answer, and notes it as suspect when its server dies.
func (h *Home) runSafely(ctx context.Context, run modelRun, send Send) (modelAnswer, error) {
	got := modelAnswer{answer: program.NewAnswer()}
	var err error
	for number := range maxRuns {
		if err := h.Suspects.Check(run.digest); err != nil {
			return got, err
		}
		got, err = h.runOnEngine(ctx, run, number, send)
		if err == nil {
			return got, nil
		}
		if failure.HasCode(err, failure.CodeServerDied) {
			h.noteDeath(ctx, run.digest)
		}
		seen := run.request.GetStream() && got.answer.Tokens() > 0
		if seen || !rerunnable(ctx, err) {
			return got, err
		}
		h.Logger.Info("call runs again", zap.String("request", run.request.GetRequestId()), zap.Error(err))
	}
	return got, err
}

// rerunnable reports whether a model call may succeed elsewhere.
func rerunnable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch failure.From(err).Code() {
	case failure.CodeServerDied, failure.CodeStreamBroken, failure.CodeTruncated, failure.CodeServerFailed:
		return true
	default:
		return false
	}
}

func (h *Home) runOnEngine(ctx context.Context, run modelRun, number int, send Send) (modelAnswer, error) {
	got := modelAnswer{answer: program.NewAnswer()}
	release, alone, err := h.Suspects.Enter(ctx, run.digest)
	if err != nil {
		return got, err
	}
	defer release()
	model := run.request.GetModel()
	call := dispatch.ModelRequest{
		RequestID: run.request.GetRequestId(), Holder: run.holder, HeldTokens: run.held,
		Dispatch: &wire.Dispatch{
			CallId:    fmt.Sprintf("%s.%d", run.request.GetRequestId(), number),
			ProgramId: run.record.ID(), Workspace: run.record.Workspace(), Weight: h.weight(run.record.Workspace()),
			ServiceSoFar: run.record.Spent(), Digest: fmt.Sprintf("%x", run.digest), Alone: alone,
			Model: &wire.ModelCall{
				Model: model.GetModel(), Messages: run.messages, MaxTokens: run.granted, Options: model.GetOptions(),
				CacheKey: run.cacheKey, PromptTokens: h.tokens(run.messages),
			},
		},
	}
	result, err := h.Dispatcher.Model(ctx, call, func(frame *wire.Frame) error {
		return run.take(frame, got.answer, send)
	})
	got.server = result.Server()
	got.finish = result.End().GetFinishReason()
	got.usage = result.End().GetUsage()
	if errors.Is(err, errBudgetCut) {
		got.finish = "length"
		return got, nil
	}
	return got, err
}

// take adds a delta to the answer and passes it on, up to the granted tokens.
func (r modelRun) take(frame *wire.Frame, answer *program.Answer, send Send) error {
	delta := frame.GetDelta()
	if delta == nil {
		return nil
	}
	if answer.Tokens()+delta.GetTokens() > r.granted {
		return errBudgetCut
	}
	answer.Add(delta)
	if !r.request.GetStream() {
		return nil
	}
	return send(&wire.Frame{Body: &wire.Frame_Delta{Delta: delta}})
}

// usedTokens returns what a call is charged. A failed call is charged for
// what it generated.
func usedTokens(added int64, got modelAnswer, err error) int64 {
	generated := max(got.answer.Tokens(), got.usage.GetCompletionTokens())
	if err != nil && generated == 0 {
		return 0
	}
	return added + generated
}

// noteDeath makes a request suspect that ran when its server died.
func (h *Home) noteDeath(ctx context.Context, digest []byte) {
	if err := h.Suspects.Note(context.WithoutCancel(ctx), digest); err != nil {
		h.Logger.Error("suspect not noted for the other halls", zap.Error(err))
	}
}

func (h *Home) askedTokens(request *wire.TurnRequest) int64 {
	if asked := request.GetModel().GetMaxTokens(); asked > 0 {
		return asked
	}
	return h.options.MaxAnswerTokens
}

// tokens estimates how many tokens messages take.
func (h *Home) tokens(messages [][]byte) int64 {
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
