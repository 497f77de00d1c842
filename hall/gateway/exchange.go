package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/connection"
)

// maxBufferedBytes is how much of a response is buffered before any of it is
// written to the caller. Until then, a response that is cut short can still be
// replaced by that of another server.
const maxBufferedBytes = 64 << 10

// minCopyBytes is the size of the buffer for a response that found no memory.
const minCopyBytes = 2 << 10

// serverResponse is an open response with the balancer's choice of its server.
type serverResponse struct {
	*Response
	choice   *balance.Choice
	exchange *exchange
	sample   *sample
}

// release closes the exchange and ends the request at the server in the balancer.
func (r *serverResponse) release() {
	r.Close()
	r.exchange.stop()
	r.choice.Done()
	r.sample.end()
}

// forward sends the request to one backend server after another until one runs
// it and responds. resumeAfter is the ID of the last event that the caller has,
// empty to start at the beginning.
func (h *requestHandler) forward(ctx context.Context, resumeAfter string) (*serverResponse, *Refusal) {
	for {
		if refusal := h.checkSendAllowed(ctx); refusal != nil {
			return nil, refusal
		}
		query := h.balancerQuery()
		choice, err := h.chooseServer(time.Now(), query)
		if err != nil {
			return nil, h.noServerRefusal(err)
		}
		h.lastChoice = choice
		if choice.IsLimited() {
			allowed, refusal := h.awaitLimit(ctx, choice)
			if refusal != nil {
				choice.Done()
				return nil, refusal
			}
			if !allowed {
				choice.Done()
				continue
			}
		}
		if !h.confirmPermission(time.Now(), choice.Server().Version()) {
			choice.Done()
			continue
		}
		h.sends++
		h.recordProgram()
		h.account.SetPriority(buffer.PriorityStarted)
		exchange, exchangeCtx := h.beginExchange(ctx, choice)
		sentAt := time.Now()
		sample := h.newSample(choice, sentAt)
		response, err := h.gateway.options.Backend.Send(exchangeCtx, choice.Server(), h.newBackendRequest(resumeAfter))
		exchange.pauseWatch()
		h.sendDuration += time.Since(sentAt)
		if err == nil {
			now := time.Now()
			h.gateway.options.Limits.Tracker().Observe(now, choice.Server().ID(), serverlimit.NewObservation(response.Limit, sentAt, now))
			h.recordDeparture(choice, response)
		}
		if err == nil && !response.NotRun {
			choice.ReportStart(query, time.Since(sentAt))
			h.reportLoad(choice, response)
			exchange.receiveHeader(response)
			sample.observe(response)
			return &serverResponse{Response: response, choice: choice, exchange: exchange, sample: sample}, nil
		}
		exchange.fail(ctx, err)
		sample.endWithoutResponse(ctx, err)
		h.skipServer(choice, response, err)
		exchange.stop()
		if refusal := h.checkRetry(ctx, err); refusal != nil {
			return nil, refusal
		}
	}
}

// checkSendAllowed returns a refusal once the deadline, the number of runs or
// the number of sends rules out another send.
func (h *requestHandler) checkSendAllowed(ctx context.Context) *Refusal {
	attempts := h.maxAttempts()
	switch {
	case ctx.Err() != nil || time.Until(h.deadline) < minRemaining:
		return h.deadlineRefusal(ctx)
	case h.possibleRuns >= attempts:
		return refuse(http.StatusBadGateway, "%d backend servers failed", h.possibleRuns)
	case h.sends >= attempts+maxExtraSends:
		return h.noServerRefusal(fmt.Errorf("%d backend servers refused the request or could not be reached", h.sends-h.possibleRuns))
	}
	return nil
}

func (h *requestHandler) maxAttempts() int {
	if h.route.Attempts > 0 {
		return h.route.Attempts
	}
	return defaultAttempts
}

// newBackendRequest returns the request to send. Each hall may use an equal part of
// the connections that one server accepts, but at least one, so that with more
// halls than connections the total exceeds the service's limit.
func (h *requestHandler) newBackendRequest(resumeAfter string) BackendRequest {
	maxConnections := 0
	if h.service.MaxConnections > 0 {
		maxConnections = max(1, h.service.MaxConnections/max(1, h.gateway.options.HallCount()))
	}
	return BackendRequest{
		Request: h.request, Workspace: h.workspaceName(), Body: h.body, Remaining: time.Until(h.deadline),
		ResumeAfter: resumeAfter, FromStart: h.startsAnew(), MaxConnections: maxConnections,
	}
}

func (h *requestHandler) reportLoad(choice *balance.Choice, response *Response) {
	if response.Load != nil {
		choice.ReportLoad(time.Now(), *response.Load)
	}
}

// recordDeparture records that the server of a response said that it leaves. From then on
// this hall sends it no request, also if the server list does not say so yet.
func (h *requestHandler) recordDeparture(choice *balance.Choice, response *Response) {
	if !response.Leaving || !choice.ReportDeparture() {
		return
	}
	h.gateway.options.Logger.Info("backend server says that it leaves; it receives no new requests", zap.String("requestId", h.request.ID),
		zap.String("server", choice.Server().ID()), zap.String("service", choice.Server().Service()), zap.Int("status", response.Status), zap.Duration("listAge", choice.ListAge()))
}

// skipServer ends the exchange with a server that did not run the request or
// did not complete its response, and excludes the server from later attempts.
// A full connection pool or a canceled request is not held against the server.
func (h *requestHandler) skipServer(choice *balance.Choice, response *Response, err error) {
	if h.tried == nil {
		h.tried = make(map[string]bool)
	}
	h.tried[choice.Server().ID()] = true
	var limitErr *connection.LimitError
	switch {
	case err == nil:
		h.reportLoad(choice, response)
		response.Close()
	case !errors.As(err, &limitErr) && !errors.Is(err, context.Canceled):
		choice.ReportFailure(time.Now())
	}
	choice.Done()
	h.gateway.options.Logger.Info("backend server passed over", zap.String("requestId", h.request.ID),
		zap.String("server", choice.Server().ID()), zap.Bool("answered", err == nil), zap.Error(err))
}

// checkRetry returns a refusal if the request must not be sent to another server
// after err. A broken exchange counts as a possible run: the request is repeated
// only on a route that allows it, and the server is probed for a crash.
func (h *requestHandler) checkRetry(ctx context.Context, err error) *Refusal {
	var incompleteErr *connection.IncompleteResponseError
	if !errors.As(err, &incompleteErr) {
		return nil
	}
	h.possibleRuns++
	h.gateway.options.Logger.Info("response broken off", zap.String("requestId", h.request.ID), zap.String("server", h.lastChoice.Server().ID()),
		zap.String("reason", string(h.recordBreak(ctx, err))), zap.Bool("repeatable", h.route.IsRepeatable()), zap.Error(err))
	if ctx.Err() != nil {
		return h.deadlineRefusal(ctx)
	}
	if isSilence(err) {
		return h.silenceRefusal(err)
	}
	h.probeForCrash(h.lastChoice.Server())
	if !h.route.IsRepeatable() {
		return refuse(http.StatusBadGateway, "backend server failed before completing its response: %v", err)
	}
	return nil
}

// silenceRefusal is the refusal of a request whose server was silent, nil if it has an attempt
// left. The caller may repeat it.
func (h *requestHandler) silenceRefusal(err error) *Refusal {
	if h.possibleRuns < h.maxAttempts() {
		return nil
	}
	return refuse(http.StatusGatewayTimeout, "no response from the backend server: %v", err)
}

// deadlineRefusal is the refusal of a request whose deadline has passed or whose
// caller has disconnected. It is retryable only if the request certainly did not
// run.
func (h *requestHandler) deadlineRefusal(ctx context.Context) *Refusal {
	if h.possibleRuns == 0 {
		return refuseRetryable(defaultRetryAfter, "no backend server accepted the request before its deadline or its cancellation")
	}
	return refuse(http.StatusGatewayTimeout, "no response from the backend server: %v", context.Cause(ctx))
}

// noServerRefusal is the refusal of a request for which no further server is
// available.
func (h *requestHandler) noServerRefusal(err error) *Refusal {
	if h.possibleRuns > 0 {
		return refuse(http.StatusBadGateway, "%d backend servers failed, then: %v", h.possibleRuns, err)
	}
	retryAfter := defaultRetryAfter
	var noServerErr *balance.NoServerError
	if errors.As(err, &noServerErr) && noServerErr.LimitRate() > 0 {
		rate := noServerErr.LimitRate() / float64(max(1, h.gateway.options.HallCount()))
		retryAfter = h.gateway.returns.next(time.Now(), h.service.Name, rate, max(retryAfter, noServerErr.RetryAfter()))
	}
	return refuseRetryable(retryAfter, "%v", err)
}

// serveResponse forwards the request and relays a response that is not an event
// stream.
func (h *requestHandler) serveResponse(ctx context.Context) *Refusal {
	for {
		response, refusal := h.forward(ctx, "")
		if refusal != nil {
			return refusal
		}
		refusal, retry := h.relayResponse(ctx, response)
		if !retry {
			return refusal
		}
	}
}

// relayResponse writes one response to the caller. retry reports that the
// response was cut short before any of it was written and that the request may
// be sent to another server.
func (h *requestHandler) relayResponse(ctx context.Context, response *serverResponse) (refusal *Refusal, retry bool) {
	defer response.release()
	buffered := buffer.NewOutput(h.account)
	err := buffered.Fill(response.Body, maxBufferedBytes)
	var full *buffer.FullError
	err = response.exchange.explain(err)
	isWhole := err == nil && buffered.Len() < maxBufferedBytes
	if err != nil && !errors.As(err, &full) {
		response.sample.breakOff(ctx, err)
		response.exchange.end(ctx, err, 0)
		h.skipServer(response.choice, response.Response, err)
		refusal := h.checkRetry(ctx, connection.NewIncompleteResponseError(err))
		return refusal, refusal == nil
	}
	if response.Length < 0 && isWhole {
		response.Length = int64(buffered.Len())
	}
	response.exchange.endWatch() // The response can't be replaced any more.
	h.writeHeader(response.Response)
	if _, err := h.writer.Write(buffered.Bytes()); err != nil {
		h.abortErr = err
		return nil, false
	}
	if !isWhole {
		if err := h.copyRest(response, buffered.Bytes()); err != nil {
			h.abortErr = err
			response.sample.breakOff(ctx, response.sample.readError())
			h.recordBreak(ctx, err)
			response.exchange.end(ctx, err, 0)
			return nil, false
		}
	}
	response.exchange.end(ctx, nil, 0)
	return nil, false
}

// copyRest writes the rest of a response to the caller through the memory of its beginning, or
// through a small buffer if that found none.
func (h *requestHandler) copyRest(response *serverResponse, beginning []byte) error {
	if len(beginning) == 0 {
		beginning = make([]byte, minCopyBytes)
	}
	_, err := io.CopyBuffer(callerWriter{h.writer}, struct{ io.Reader }{response.Body}, beginning)
	return err
}

// writeHeader writes the response's status and headers to the caller.
func (h *requestHandler) writeHeader(response *Response) {
	header := h.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if _, found := header["Date"]; !found {
		header["Date"] = nil // Otherwise net/http adds headers that the server did not send.
	}
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	h.status = response.Status
	h.firstByteDelay = time.Since(h.request.Received)
	h.writer.WriteHeader(response.Status)
}
