package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"limpethall.dev/hall/outlier"
)

const (
	// minSilence and minGap are the least times without a first event, and between two
	// events, after which a server counts as silent. Shorter pauses have other causes, such
	// as the hall's own processor or a lost packet.
	minSilence = 300 * time.Millisecond
	minGap     = time.Second
	// usualTimes and usualGaps are how many times longer than its upper usual time, or than
	// the usual gap, a server may take.
	usualTimes = 2
	usualGaps  = 4
	// silenceInterval is the interval at which it is decided again what becomes of a request
	// whose server is silent.
	silenceInterval = 100 * time.Millisecond
)

// silenceError reports a request that was canceled because its server was silent.
type silenceError struct {
	server string
	limit  time.Duration
}

// Error implements error.
func (e *silenceError) Error() string {
	return fmt.Sprintf("backend server %s sent nothing for %s", e.server, e.limit)
}

// silenceLimits returns how long a server may send nothing before the first event and between
// events, zero for no limit.
func silenceLimits(usual outlier.Usual, readDelay time.Duration, eventTokens int64) (first, gap time.Duration) {
	if usual.Upper() > 0 {
		first = max(minSilence, usualTimes*(usual.Upper()+readDelay))
	}
	if usual.PerToken() > 0 {
		gap = max(minGap, usualGaps*usual.PerToken()*time.Duration(eventTokens))
	}
	return first, gap
}

// silencePlan is what becomes of a request whose server is silent.
type silencePlan string

const (
	silenceWaits silencePlan = "waits" // The request waits for its server.
	silenceMoves silencePlan = "moves" // Another server may serve it.
	silenceEnds  silencePlan = "ends"  // The caller may repeat it in time.
)

// planSilence decides what becomes of a request whose server is silent. A request that may not
// run twice waits. One that has no attempt left ends only if more than its own silence speaks
// against the server.
func planSilence(repeatable, attemptLeft, unusual, ejected bool) silencePlan {
	switch {
	case repeatable && attemptLeft && unusual:
		return silenceMoves
	case repeatable && !attemptLeft && ejected:
		return silenceEnds
	default:
		return silenceWaits
	}
}

// silenceWatch cancels an exchange whose server sends nothing for too long. It measures only
// while the hall waits for the server, and not while it writes to a slow caller.
type silenceWatch struct {
	exchange    *exchange
	cancel      context.CancelCauseFunc
	first, gap  time.Duration // Limits, zero for none.
	repeatable  bool
	attemptLeft bool

	mutex    sync.Mutex
	timer    *time.Timer // Nil until the watch waits for the first time.
	firesAt  time.Time   // Zero if the timer does not run.
	begun    bool        // Whether part of the response body has arrived.
	waiting  bool
	deadline time.Time
	limit    time.Duration // That ends at the deadline.
	expired  bool
	ended    bool
	silent   *silenceError // Set when the watch canceled the exchange.
}

// newSilenceWatch returns a watch of the exchange. The context, which is to be used for the
// exchange, ends with a *silenceError as its cause if the watch cancels it.
func newSilenceWatch(ctx context.Context, e *exchange) (*silenceWatch, context.Context) {
	h := e.handler
	_, readDelay := e.choice.ExpectedRead()
	w := &silenceWatch{exchange: e, repeatable: h.route.IsRepeatable(), attemptLeft: h.possibleRuns+1 < h.maxAttempts()}
	w.first, w.gap = silenceLimits(h.gateway.options.Outliers.Usual(h.service.Name, h.route.Name), readDelay, max(1, h.service.EventTokens))
	ctx, w.cancel = context.WithCancelCause(ctx)
	return w, ctx
}

// wait begins to measure: from the send to the first byte, then from one read to the next.
func (w *silenceWatch) wait() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	start, limit := w.exchange.sentAt, w.first
	if w.begun {
		start, limit = time.Now(), w.gap
	}
	if limit == 0 || w.ended {
		return
	}
	w.waiting, w.deadline, w.limit = true, start.Add(limit), limit
	if w.firesAt.IsZero() || w.deadline.Before(w.firesAt) {
		w.schedule(w.deadline)
	}
}

// schedule has check called at the given time. Setting the timer for each read costs more than
// a call now and then that finds nothing to do.
func (w *silenceWatch) schedule(at time.Time) {
	w.firesAt = at
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(at), w.check)
		return
	}
	w.timer.Reset(time.Until(at))
}

// pause ends measuring until the next wait.
func (w *silenceWatch) pause() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waiting = false
}

// markBegun records that the response has begun, from where the limit between events holds.
func (w *silenceWatch) markBegun() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.begun = true
}

// end makes all further waits without effect.
func (w *silenceWatch) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
}

// canceled returns why the watch canceled the exchange, nil if it didn't.
func (w *silenceWatch) canceled() *silenceError {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent
}

// stop ends the watch at the end of the exchange, which must be closed already.
func (w *silenceWatch) stop() {
	w.mutex.Lock()
	w.waiting, w.ended = false, true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mutex.Unlock()
	w.cancel(nil)
}

// check is called by the timer. The hall may have stopped to wait since, or wait for another
// deadline.
func (w *silenceWatch) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.firesAt = time.Time{}
	if !w.waiting {
		return
	}
	if time.Now().Before(w.deadline) {
		w.schedule(w.deadline)
		return
	}
	h, server := w.exchange.handler, w.exchange.choice.Server().ID()
	detector := h.gateway.options.Outliers
	first := !w.expired
	if first {
		w.expired = true
		w.exchange.record(outlier.Observation{Result: outlier.Silent})
	}
	unusual := detector.IsSilenceUnusual(h.service.Name, server)
	if first && unusual {
		w.exchange.choice.ReportFailure(time.Now())
	}
	plan := planSilence(w.repeatable, w.attemptLeft, unusual, detector.IsEjected(h.service.Name, server))
	if first || plan != silenceWaits {
		h.gateway.options.Meters.recordSilence(plan)
		h.gateway.options.Logger.Info("backend server is silent", zap.String("requestId", h.request.ID), zap.String("server", server),
			zap.Duration("limit", w.limit), zap.Bool("begun", w.begun), zap.Bool("attemptLeft", w.attemptLeft), zap.String("request", string(plan)))
	}
	if plan == silenceWaits {
		w.schedule(time.Now().Add(silenceInterval))
		return
	}
	w.waiting, w.silent = false, &silenceError{server: server, limit: w.limit}
	w.cancel(w.silent)
}

// watchedBody measures the silence of a server during reads of its response.
type watchedBody struct {
	body  io.Reader
	watch *silenceWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(data []byte) (int, error) {
	b.watch.wait()
	count, err := b.body.Read(data)
	b.watch.pause()
	if count > 0 {
		b.watch.markBegun()
	}
	return count, err
}

// isSilence reports whether the exchange was canceled because its server was silent.
func isSilence(err error) bool {
	var silent *silenceError
	return errors.As(err, &silent)
}

func (m *Meters) recordSilence(plan silencePlan) {
	if m != nil {
		m.silences.Add(context.Background(), 1, metric.WithAttributes(attribute.String("request", string(plan))))
	}
}
