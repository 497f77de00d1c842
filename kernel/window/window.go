// Package window limits the number of concurrent calls to a backend server.
//
// A server that has just started, or has become cold again, can handle only a
// few calls. Its window stays at the configured cold limit during the configured
// warm-up time. It then grows by half for each full window of answers with normal
// latency, up to the warm limit. A new incarnation of the server, a cleared cache
// or a jump in latency resets it to the cold limit.
//
// # Usage
//
//	w := window.New(window.Options{ColdLimit: 2, WarmLimit: 32, WarmUpTime: 10 * time.Second}, now)
//	if running < w.Limit(now) { start the next call }
//	w.Observe(now, latencyPerToken)
//	w.Reset(now)
package window

import "time"

const (
	// latencyJumpFactor is the multiple of the average latency above which an
	// answer counts as slow.
	latencyJumpFactor = 4.0
	// slowAnswersToReset is the number of consecutive slow answers that reset the
	// window.
	slowAnswersToReset = 3
	// averageSmoothing is the weight of a new latency in the moving average.
	averageSmoothing = 0.1
	// minObservations is the number of answers needed before the average is used
	// to detect slow answers.
	minObservations = 20
)

// Options configures a Window.
type Options struct {
	// ColdLimit is the maximum number of concurrent calls to a cold server.
	ColdLimit int
	// WarmLimit is the maximum number of concurrent calls to a warm server.
	WarmLimit int
	// WarmUpTime is the time after a start or reset during which a server counts
	// as cold.
	WarmUpTime time.Duration
}

// Window is the current limit on concurrent calls. It is not safe for concurrent
// use.
type Window struct {
	options        Options
	limit          int
	resetAt        time.Time
	normalAnswers  int
	averageLatency time.Duration
	observations   int
	slowAnswers    int
}

// New returns a Window for a server that is assumed to be cold.
func New(options Options, now time.Time) *Window {
	return &Window{options: options, limit: options.ColdLimit, resetAt: now}
}

// Limit returns the number of calls that may run concurrently.
func (w *Window) Limit(now time.Time) int {
	if w.IsCold(now) {
		return w.options.ColdLimit
	}
	return w.limit
}

// IsCold reports whether less than the warm-up time has passed since the last
// reset.
func (w *Window) IsCold(now time.Time) bool {
	return now.Sub(w.resetAt) < w.options.WarmUpTime
}

// Reset resets the window to the cold limit and restarts the warm-up time.
func (w *Window) Reset(now time.Time) {
	w.limit = w.options.ColdLimit
	w.resetAt = now
	w.normalAnswers = 0
	w.slowAnswers = 0
}

// Observe records the latency per token of an answer. It reports whether it reset
// the window.
func (w *Window) Observe(now time.Time, latency time.Duration) bool {
	if w.observations >= minObservations && latency > time.Duration(latencyJumpFactor*float64(w.averageLatency)) {
		return w.recordSlow(now)
	}
	w.slowAnswers = 0
	w.updateAverage(latency)
	if !w.IsCold(now) {
		w.grow()
	}
	return false
}

func (w *Window) recordSlow(now time.Time) bool {
	w.slowAnswers++
	w.normalAnswers = 0
	if w.slowAnswers < slowAnswersToReset || w.IsCold(now) {
		return false
	}
	w.Reset(now)
	return true
}

func (w *Window) updateAverage(latency time.Duration) {
	if w.observations == 0 {
		w.averageLatency = latency
	}
	w.observations++
	w.averageLatency += time.Duration(averageSmoothing * float64(latency-w.averageLatency))
}

func (w *Window) grow() {
	w.normalAnswers++
	if w.normalAnswers < w.limit {
		return
	}
	w.normalAnswers = 0
	w.limit = min(w.options.WarmLimit, w.limit+max(1, w.limit/2))
}
