package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// completeChat answers POST /v1/chat/completions.
func (e *Entry) completeChat(ctx context.Context, c *app.RequestContext, r request) error {
	call, model, err := readCall(c, r)
	if err != nil {
		return err
	}
	if err := e.Allowance.Admit(ctx, r.workspace, allowance.Continuing); err != nil {
		return err
	}
	turn := &wire.TurnRequest{RequestId: r.id, Workspace: r.workspace, Model: model, Idempotent: true, Stream: call.Stream}
	writer := newAnswerWriter(c, r.id, call.Model, "", call.Stream, e.Now())
	return writer.close(e.Home.RunChat(ctx, turn, writer.take))
}

// runTurn answers POST /v1/programs/PROGRAM/turns.
func (e *Entry) runTurn(ctx context.Context, c *app.RequestContext, r request) error {
	call, model, err := readCall(c, r)
	if err != nil {
		return err
	}
	if call.Ticket == "" {
		return badRequest("ticket is missing: send the one of the last answer of this program")
	}
	if err := e.Allowance.Admit(ctx, r.workspace, allowance.Continuing); err != nil {
		return err
	}
	programID := c.Param("program")
	turn := &wire.TurnRequest{
		RequestId: r.id, Workspace: r.workspace, ProgramId: programID, Ticket: call.Ticket,
		Model: model, Idempotent: true, Stream: call.Stream,
	}
	writer := newAnswerWriter(c, r.id, call.Model, programID, call.Stream, e.Now())
	return writer.close(e.atHome(ctx, turn, writer.take))
}

// answerWriter writes a model's answer as one JSON object or as server-sent
// events. A stream that fails ends with an error event and without the end
// mark, so that it can't be taken for a whole answer.
type answerWriter struct {
	c         *app.RequestContext
	requestID string
	model     string
	program   string
	streamed  bool
	created   int64
	events    *sse.Writer
	ended     bool
}

func newAnswerWriter(c *app.RequestContext, requestID, model, program string, streamed bool, now time.Time) *answerWriter {
	return &answerWriter{c: c, requestID: requestID, model: model, program: program, streamed: streamed, created: now.Unix()}
}

// take accepts the frames of a turn.
func (w *answerWriter) take(frame *wire.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Delta:
		if w.streamed {
			return w.event(choice{Delta: body.Delta.GetJson()}, nil, nil)
		}
	case *wire.Frame_TurnEnd:
		return w.end(body.TurnEnd)
	}
	return nil
}

func (w *answerWriter) end(end *wire.TurnEnd) error {
	w.ended = true
	reason := end.GetFinishReason()
	if w.program != "" {
		w.c.Header(ticketHeader, end.GetTicket())
	}
	if !w.streamed {
		answer := w.completion("chat.completion", choice{Message: end.GetMessage(), FinishReason: &reason})
		answer.Usage = usageOf(end.GetUsage())
		answer.Program = turnOf(w.program, end)
		return writeJSON(w.c, answer)
	}
	if end.GetRepeated() {
		if err := w.event(choice{Delta: end.GetMessage()}, nil, nil); err != nil {
			return err
		}
	}
	if err := w.event(choice{Delta: json.RawMessage("{}"), FinishReason: &reason}, usageOf(end.GetUsage()), turnOf(w.program, end)); err != nil {
		return err
	}
	return w.events.WriteEvent("", "", []byte("[DONE]"))
}

// close ends the answer with the error of the turn, if any.
func (w *answerWriter) close(err error) error {
	if err == nil && !w.ended {
		err = failure.New(failure.CodeTruncated, failure.Unknown, "the answer ended before it was whole")
	}
	if err == nil || w.events == nil {
		return err
	}
	known := failure.From(err)
	if cause := withdrawalOf(err); cause != nil {
		known = cause
	}
	text, marshalErr := json.Marshal(errorAnswer{Error: errorOf(known, w.requestID)})
	if marshalErr != nil {
		return errors.Join(err, marshalErr)
	}
	_ = w.events.WriteEvent("", "error", text)
	return err
}

func (w *answerWriter) event(part choice, used *usage, turn *turnDocument) error {
	if w.events == nil {
		w.events = sse.NewWriter(w.c)
	}
	answer := w.completion("chat.completion.chunk", part)
	answer.Usage = used
	answer.Program = turn
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return w.events.WriteEvent("", "", text)
}

func (w *answerWriter) completion(object string, part choice) completion {
	return completion{ID: w.requestID, Object: object, Created: w.created, Model: w.model, Choices: []choice{part}}
}
