package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// completeChat handles POST /v1/chat/completions.
func (s *Server) completeChat(ctx context.Context, c *app.RequestContext, r request) error {
	body, call, err := readModelCall(c, r)
	if err != nil {
		return err
	}
	if _, err := s.Limiter.Admit(ctx, r.workspace, ratelimit.RunningProgram); err != nil {
		return err
	}
	turn := &wire.TurnRequest{RequestId: r.id, Workspace: r.workspace, Model: call, Idempotent: true, Stream: body.Stream}
	writer := newCompletionWriter(c, r.id, body.Model, "", body.Stream, s.Now())
	return writer.close(s.Home.RunChat(ctx, turn, writer.handleFrame))
}

// runTurn handles POST /v1/programs/PROGRAM/turns.
func (s *Server) runTurn(ctx context.Context, c *app.RequestContext, r request) error {
	body, call, err := readModelCall(c, r)
	if err != nil {
		return err
	}
	if body.Ticket == "" {
		return badRequest("ticket is missing: send the ticket from the last response of this program")
	}
	if _, err := s.Limiter.Admit(ctx, r.workspace, ratelimit.RunningProgram); err != nil {
		return err
	}
	programID := c.Param("program")
	turn := &wire.TurnRequest{
		RequestId: r.id, Workspace: r.workspace, ProgramId: programID, Ticket: body.Ticket,
		Model: call, Idempotent: true, Stream: body.Stream,
	}
	writer := newCompletionWriter(c, r.id, body.Model, programID, body.Stream, s.Now())
	return writer.close(s.runAtHome(ctx, turn, writer.handleFrame))
}

// completionWriter writes the response of a model as one JSON object or as
// server-sent events. A stream that fails ends with an error event and without
// [DONE], so that the client can't mistake it for a complete response.
type completionWriter struct {
	c         *app.RequestContext
	requestID string
	model     string
	programID string
	stream    bool
	created   int64
	events    *sse.Writer
	ended     bool
}

func newCompletionWriter(c *app.RequestContext, requestID, model, programID string, stream bool, now time.Time) *completionWriter {
	return &completionWriter{c: c, requestID: requestID, model: model, programID: programID, stream: stream, created: now.Unix()}
}

// handleFrame implements home.Send.
func (w *completionWriter) handleFrame(frame *wire.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Delta:
		if w.stream {
			return w.writeEvent(choice{Delta: body.Delta.GetJson()}, nil, nil)
		}
	case *wire.Frame_TurnEnd:
		return w.writeEnd(body.TurnEnd)
	}
	return nil
}

func (w *completionWriter) writeEnd(end *wire.TurnEnd) error {
	w.ended = true
	reason := end.GetFinishReason()
	if w.programID != "" {
		w.c.Header(ticketHeader, end.GetTicket())
	}
	if !w.stream {
		response := w.newCompletion("chat.completion", choice{Message: end.GetMessage(), FinishReason: &reason})
		response.Usage = newUsage(end.GetUsage())
		response.Program = newTurnDocument(w.programID, end)
		return writeJSON(w.c, response)
	}
	if end.GetRepeated() {
		if err := w.writeEvent(choice{Delta: end.GetMessage()}, nil, nil); err != nil {
			return err
		}
	}
	if err := w.writeEvent(choice{Delta: json.RawMessage("{}"), FinishReason: &reason}, newUsage(end.GetUsage()), newTurnDocument(w.programID, end)); err != nil {
		return err
	}
	return w.events.WriteEvent("", "", []byte("[DONE]"))
}

// close ends a started stream with an error event if the turn failed. It
// returns the error of the turn, which the caller writes if no response started.
func (w *completionWriter) close(err error) error {
	if err == nil && !w.ended {
		err = failure.New(failure.CodeTruncatedAnswer, failure.Unknown, "the response ended before it was complete")
	}
	if err == nil || w.events == nil {
		return err
	}
	apiErr := failure.From(err)
	if cause := asKeyWithdrawn(err); cause != nil {
		apiErr = cause
	}
	event, marshalErr := json.Marshal(errorResponse{Error: newErrorDocument(apiErr, w.requestID)})
	if marshalErr != nil {
		return errors.Join(err, marshalErr)
	}
	_ = w.events.WriteEvent("", "error", event)
	return err
}

func (w *completionWriter) writeEvent(part choice, tokens *usage, turn *turnDocument) error {
	if w.events == nil {
		w.events = sse.NewWriter(w.c)
	}
	response := w.newCompletion("chat.completion.chunk", part)
	response.Usage = tokens
	response.Program = turn
	event, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return w.events.WriteEvent("", "", event)
}

func (w *completionWriter) newCompletion(object string, part choice) completion {
	return completion{ID: w.requestID, Object: object, Created: w.created, Model: w.model, Choices: []choice{part}}
}
