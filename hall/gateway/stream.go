package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"
)

const (
	eventStream = "text/event-stream"
	// streamBuffer is the size of the buffer that events are read into.
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// finishTime bounds the storing of a turn after its last event.
	finishTime = 2 * time.Second
)

var errEventTooLong = errors.New("event is too long")

// progress is what of a stream was passed on.
type progress struct {
	events int64
	lastID string
	output []byte // The data of the events, a line feed after each.
}

// serveStream passes events on as they come. A stream that breaks off goes on
// at another server where the route allows it, within the same answer.
func (c *call) serveStream(ctx context.Context) *Refusal {
	passed := &progress{}
	answer, refusal := c.exchange(ctx, "")
	if refusal != nil {
		c.settle(passed)
		return refusal
	}
	if !isEventStream(answer.Answer) {
		c.settle(passed)
		refusal, again := c.passPlain(ctx, answer)
		if again {
			return refuse(http.StatusBadGateway, "the backend server broke off its answer")
		}
		return refusal
	}
	answer.choice.Keep(c.key)
	answer.Length = -1
	c.begin(answer.Answer)
	for {
		err := c.passEvents(answer, passed)
		answer.end()
		if err == nil {
			c.finish(ctx, passed)
			return nil
		}
		answer = c.resume(ctx, passed, err)
		if answer == nil {
			c.aborted = err
			c.settle(passed)
			return nil
		}
	}
}

func isEventStream(answer *Answer) bool {
	return answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream)
}

// resume asks another server to go on after the last event, and returns nil if
// none may or can.
func (c *call) resume(ctx context.Context, passed *progress, cause error) *sent {
	c.last.Fail(time.Now())
	c.runs++
	if c.tried == nil {
		c.tried = make(map[string]bool)
	}
	c.tried[c.last.Server().ID()] = true
	var gone *callerError
	byServer := !errors.As(cause, &gone) && ctx.Err() == nil
	if byServer {
		c.suspectCrash(c.last.Server())
	}
	resumable := c.route.Resumable && byServer
	c.gateway.options.Logger.Info("stream broke off", zap.String("requestId", c.request.ID),
		zap.String("server", c.last.Server().ID()), zap.Int64("events", passed.events), zap.String("lastEvent", passed.lastID),
		zap.Bool("resumable", resumable), zap.Error(cause))
	if !resumable {
		return nil
	}
	answer, refusal := c.exchange(ctx, passed.lastID)
	if refusal != nil {
		c.refused = refusal
		return nil
	}
	if !isEventStream(answer.Answer) {
		answer.end()
		return nil
	}
	return answer
}

// callerError reports that the caller no longer takes the answer.
type callerError struct{ cause error }

// Error gives the cause.
func (e *callerError) Error() string { return "caller does not take the answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// passEvents passes whole events on until the stream ends. Events that are in
// already go out together.
func (c *call) passEvents(answer *sent, passed *progress) error {
	reader := bufio.NewReaderSize(answer.Body, streamBuffer)
	flusher := http.NewResponseController(c.writer)
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			return nil
		case err != nil && errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(event) > maxEvent:
			return errEventTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 || !endsEvent(event) {
			continue
		}
		if _, err := c.writer.Write(event); err != nil {
			return &callerError{cause: err}
		}
		passed.take(event, c.route.KeepsHistory)
		event = event[:0]
		if reader.Buffered() == 0 {
			if err := flusher.Flush(); err != nil {
				return &callerError{cause: err}
			}
		}
	}
}

// endsEvent reports whether the bytes end with an empty line.
func endsEvent(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || len(bytes.Trim(event, "\r\n")) == 0
}

// take counts an event that was passed on and keeps its data.
func (p *progress) take(event []byte, keepData bool) {
	hasData := false
	var data []byte
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			p.lastID = string(value)
		case "data":
			if hasData && keepData {
				data = append(data, '\n')
			}
			hasData = true
			if keepData {
				data = append(data, value...)
			}
		}
	}
	if !hasData {
		return
	}
	p.events++
	if keepData {
		p.output = append(append(p.output, data...), '\n')
	}
}

// tokens returns what was handed out.
func (c *call) tokens(passed *progress) int64 {
	return passed.events * max(1, c.service.EventTokens)
}

// settle gives back what the turn did not use.
func (c *call) settle(passed *progress) {
	if c.begun != nil {
		c.gateway.options.Turns.Settle(c.begun, c.tokens(passed))
	}
}

// finish stores a turn before its answer ends. If it can't be stored, the
// answer is broken off, since a later turn could not continue it.
func (c *call) finish(ctx context.Context, passed *progress) {
	if c.begun == nil {
		return
	}
	if !c.route.KeepsHistory {
		c.settle(passed)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTime)
	defer cancel()
	if err := c.gateway.options.Turns.Finish(ctx, c.begun, c.tokens(passed), c.request.Body, passed.output); err != nil {
		c.aborted = err
		c.settle(passed)
	}
}
