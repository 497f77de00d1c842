package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/eventstream"
	"limpethall.dev/kernel/buffer"
)

const (
	eventStream = "text/event-stream"
	// finishTimeout bounds storing a turn after its last event.
	finishTimeout = 2 * time.Second
)

// streamProgress is the part of a stream that was relayed to the caller.
type streamProgress struct {
	events      int64
	lastEventID string
	output      *buffer.Output // Data of the events, each followed by a line feed.
}

// serveStream relays events as they arrive. If the stream is interrupted and the
// route is resumable, another server continues it within the same response.
func (h *requestHandler) serveStream(ctx context.Context) *Refusal {
	progress := &streamProgress{output: h.output}
	response, refusal := h.forward(ctx, "")
	if refusal != nil {
		h.settleTurn(progress)
		return refusal
	}
	if !isEventStream(response.Response) {
		h.settleTurn(progress)
		refusal, retry := h.relayResponse(ctx, response)
		if retry {
			return refuse(http.StatusBadGateway, "backend server failed before completing its response")
		}
		return refusal
	}
	response.choice.SetAffinity(time.Now(), h.balancerQuery())
	response.Length = -1
	h.writeHeader(response.Response)
	begun := time.Now()
	for {
		before := progress.events
		err := response.exchange.explain(h.relayEvents(ctx, response, progress))
		response.exchange.end(ctx, err, max(0, progress.events-before-1)*max(1, h.service.EventTokens))
		response.sample.breakOff(ctx, err)
		response.release()
		if err == nil {
			h.gateway.lateness.recordStream(h.service.Name, h.producedTokens(progress), time.Since(begun))
			h.finishTurn(ctx, progress)
			return nil
		}
		response = h.resume(ctx, progress, err)
		if response == nil {
			h.abortErr = err
			h.settleTurn(progress)
			return nil
		}
	}
}

func isEventStream(response *Response) bool {
	return response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
}

// resume requests the rest of an interrupted stream from another server. It
// returns nil if the route does not allow that or no server can continue.
func (h *requestHandler) resume(ctx context.Context, progress *streamProgress, cause error) *serverResponse {
	h.possibleRuns++
	if h.tried == nil {
		h.tried = make(map[string]bool)
	}
	h.tried[h.lastChoice.Server().ID()] = true
	var callerErr *callerError
	var full *buffer.FullError
	serverFailed := !errors.As(cause, &callerErr) && !errors.As(cause, &full) && ctx.Err() == nil
	if full == nil {
		h.lastChoice.ReportFailure(time.Now())
	}
	if serverFailed && !isSilence(cause) {
		h.probeForCrash(h.lastChoice.Server())
	}
	resumable := h.route.Resumable && serverFailed
	h.gateway.options.Logger.Info("stream interrupted", zap.String("requestId", h.request.ID),
		zap.String("server", h.lastChoice.Server().ID()), zap.String("version", h.lastChoice.Server().Version()), zap.Int64("events", progress.events), zap.String("lastEvent", progress.lastEventID),
		zap.Bool("resumable", resumable), zap.String("reason", string(h.recordBreak(ctx, cause))), zap.Error(cause))
	if !resumable {
		return nil
	}
	response, refusal := h.forward(ctx, progress.lastEventID)
	if refusal != nil {
		h.refusal = refusal
		return nil
	}
	if !isEventStream(response.Response) {
		response.release()
		return nil
	}
	return response
}

// callerError reports a failed write to the caller.
type callerError struct{ cause error }

// Error describes the cause.
func (e *callerError) Error() string { return "write to the caller failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// callerWriter writes to the caller.
type callerWriter struct{ writer io.Writer }

// Write implements io.Writer. It returns a *callerError if writing fails.
func (w callerWriter) Write(data []byte) (int, error) {
	count, err := w.writer.Write(data)
	if err != nil {
		return count, &callerError{cause: err}
	}
	return count, nil
}

// relayEvents relays complete events until the stream ends. Events that are
// already buffered are flushed together.
func (h *requestHandler) relayEvents(ctx context.Context, response *serverResponse, progress *streamProgress) error {
	reader := eventstream.New(response.Body, h.account)
	defer reader.Close()
	flusher := http.NewResponseController(h.writer)
	for {
		event, err := reader.Next()
		if err != nil {
			if relayErr := h.relayBatch(ctx, progress); relayErr != nil {
				return relayErr
			}
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		response.exchange.begin()
		if h.events != nil {
			err = h.events.add(event)
		} else {
			err = h.relayEvent(event, progress)
		}
		if err != nil {
			return err
		}
		if reader.HasBuffered() && !h.events.isFull() {
			continue
		}
		if err := h.relayBatch(ctx, progress); err != nil {
			return err
		}
		if err := flusher.Flush(); err != nil {
			return &callerError{cause: err}
		}
	}
}

// relayEvent writes an event to the caller.
func (h *requestHandler) relayEvent(event eventstream.Event, progress *streamProgress) error {
	if _, err := h.writer.Write(event.Bytes()); err != nil {
		return &callerError{cause: err}
	}
	return progress.addEvent(event, h.route.KeepsHistory)
}

// addEvent records a relayed event, and its data if keepData is set. Events
// without data are not counted. It returns a *buffer.FullError if there is no memory for the
// data.
func (p *streamProgress) addEvent(event eventstream.Event, keepData bool) error {
	if id, found := event.ID(); found {
		p.lastEventID = id
	}
	data, found := event.Data()
	if !found {
		return nil
	}
	p.events++
	if !keepData {
		return nil
	}
	return p.output.Append(append(data, '\n')...)
}

// producedTokens returns the number of tokens relayed to the caller.
func (h *requestHandler) producedTokens(progress *streamProgress) int64 {
	return progress.events * max(1, h.service.EventTokens)
}

// settleTurn releases the part of the turn's reservation that was not used.
func (h *requestHandler) settleTurn(progress *streamProgress) {
	if h.turn != nil {
		h.gateway.options.Turns.Settle(h.turn, h.producedTokens(progress))
	}
}

// finishTurn stores the turn before its response ends. If that fails, the response
// is aborted, since no later turn could continue a turn that is not stored.
func (h *requestHandler) finishTurn(ctx context.Context, progress *streamProgress) {
	if h.turn == nil {
		return
	}
	if !h.route.KeepsHistory {
		h.settleTurn(progress)
		return
	}
	h.extendWriting()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := h.gateway.options.Turns.Finish(ctx, h.turn, h.producedTokens(progress), h.request.Body, progress.output.Bytes()); err != nil {
		h.abortErr = err
		h.settleTurn(progress)
		return
	}
	h.recordTurn()
}
