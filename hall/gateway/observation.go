package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/connection"
)

const (
	// defaultWork is the expected duration of a response of unknown length.
	defaultWork = 50 * time.Millisecond
	// maxWork bounds the effect of a length hint on the choice of a server.
	maxWork = 2 * time.Second
)

// exchange is one request at one backend server, of which a single result is recorded. It is
// nil if the servers of the service are not compared.
type exchange struct {
	handler  *requestHandler
	choice   *balance.Choice
	sentAt   time.Time
	watch    *silenceWatch
	begunAt  time.Time // Of the first event, or of the header of a response without events.
	recorded atomic.Bool
}

// beginExchange begins to observe a request that is about to be sent with the context that it
// returns.
func (h *requestHandler) beginExchange(ctx context.Context, choice *balance.Choice) (*exchange, context.Context) {
	if h.gateway.options.Outliers == nil || !h.gateway.options.Balancer.Compares(h.service.Name) {
		return nil, ctx
	}
	e := &exchange{handler: h, choice: choice, sentAt: time.Now()}
	e.watch, ctx = newSilenceWatch(ctx, e)
	e.watch.wait()
	return e, ctx
}

// stop ends the observation once the exchange is closed.
func (e *exchange) stop() {
	if e != nil {
		e.watch.stop()
	}
}

// endWatch ends the watch for silence for good.
func (e *exchange) endWatch() {
	if e != nil {
		e.watch.end()
	}
}

// pauseWatch ends the watch for silence while the hall doesn't wait for the server.
func (e *exchange) pauseWatch() {
	if e != nil {
		e.watch.pause()
	}
}

// begin records that the response has begun.
func (e *exchange) begin() {
	if e != nil && e.begunAt.IsZero() {
		e.begunAt = time.Now()
	}
}

// receiveHeader records the status of a response that ran.
func (e *exchange) receiveHeader(response *Response) {
	if e == nil {
		return
	}
	if !isEventStream(response) {
		e.begin()
		e.watch.markBegun()
	}
	if response.Status >= http.StatusInternalServerError {
		e.record(outlier.Observation{Result: outlier.Failed})
	}
	response.Body = &watchedBody{body: response.Body, watch: e.watch}
}

// fail records the error of Backend.Send. A request that was certainly not sent says nothing
// of the server's work: only this hall may be unable to reach it.
func (e *exchange) fail(ctx context.Context, err error) {
	var incompleteErr *connection.IncompleteResponseError
	if errors.As(err, &incompleteErr) {
		e.end(ctx, err, 0)
	}
}

// end records the end of the response, nil if it was complete, with the tokens that arrived
// after it had begun. What the caller or this hall broke off says nothing of the server.
func (e *exchange) end(ctx context.Context, err error, tokens int64) {
	var callerErr *callerError
	var full *buffer.FullError
	switch {
	case e == nil || errors.As(err, &callerErr) || errors.As(err, &full):
	case err == nil:
		e.recordAnswer(tokens)
	case ctx.Err() == nil:
		e.record(outlier.Observation{Result: outlier.Failed})
	case errors.Is(context.Cause(ctx), errDeadline) && e.begunAt.IsZero() && time.Since(e.sentAt) >= minSilence:
		e.record(outlier.Observation{Result: outlier.Silent})
	}
}

func (e *exchange) recordAnswer(tokens int64) {
	observation := outlier.Observation{Result: outlier.Answered}
	if !e.begunAt.IsZero() {
		_, readDelay := e.choice.ExpectedRead()
		observation.Work = max(0, e.begunAt.Sub(e.sentAt)-readDelay)
		if tokens > 0 {
			observation.PerToken = time.Since(e.begunAt) / time.Duration(tokens)
		}
	}
	if e.record(observation) {
		e.choice.ReportAnswer()
	}
}

// explain adds to the error of a read that the exchange was canceled because its server was
// silent.
func (e *exchange) explain(err error) error {
	if e == nil || err == nil {
		return err
	}
	if silent := e.watch.canceled(); silent != nil {
		return errors.Join(silent, err)
	}
	return err
}

// record records the result of the exchange. It reports whether it is the first one.
func (e *exchange) record(observation outlier.Observation) bool {
	if e.recorded.Swap(true) {
		return false
	}
	observation.Service, observation.Server, observation.Route = e.handler.service.Name, e.choice.Server().ID(), e.handler.route.Name
	e.handler.gateway.options.Outliers.Record(observation)
	return true
}

// expectedWork returns how long the response is expected to take at a usual server.
func (h *requestHandler) expectedWork() time.Duration {
	if h.request.LengthHint > 0 {
		if expected := h.gateway.lateness.expectedDuration(h.service.Name, h.request.LengthHint); expected > 0 {
			return min(maxWork, expected)
		}
	}
	return defaultWork
}
