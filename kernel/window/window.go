// Package window bounds how many calls a backend server runs at once.
//
// A server that has just started, or has turned cold again, bears little. Its
// window stays at the stated cold limit until the stated warm-up time has
// passed and then grows by half for each full window of answers in time, up
// to the warm limit. A new incarnation, an emptied cache or a jump in latency
// sets it back.
//
// # Usage
//
//	bound := window.New(window.Options{Cold: 2, Warm: 32, WarmUp: 10 * time.Second}, now)
//	if running < bound.Size(now) { start the next call }
//	bound.Observe(now, latencyPerToken)
//	bound.Reset(now)
package window

import "time"

const (
	// jumpFactor is the rise over the usual latency that counts as cold.
	jumpFactor = 4.0
	// jumpCount is how many such answers in a row set the window back.
	jumpCount = 3
	// smoothing is the weight of a new latency in the usual one.
	smoothing = 0.1
	// learned is how many answers make the usual latency trustworthy.
	learned = 20
)

// Options are the stated limits of a server.
type Options struct {
	// Cold is how many calls a cold server bears at once.
	Cold int
	// Warm is how many calls a warm server is given at once.
	Warm int
	// WarmUp is how long after its start a server may be cold.
	WarmUp time.Duration
}

// Window is the present bound. It is not safe for concurrent use.
type Window struct {
	options  Options
	size     int
	coldAt   time.Time
	inTime   int
	usual    time.Duration
	observed int
	slow     int
}

// New returns a window for a server that is taken to be cold.
func New(options Options, now time.Time) *Window {
	return &Window{options: options, size: options.Cold, coldAt: now}
}

// Size returns how many calls may run now.
func (w *Window) Size(now time.Time) int {
	if w.Cold(now) {
		return w.options.Cold
	}
	return w.size
}

// Cold reports whether the warm-up time still runs.
func (w *Window) Cold(now time.Time) bool {
	return now.Sub(w.coldAt) < w.options.WarmUp
}

// Reset sets the window back to the cold limit.
func (w *Window) Reset(now time.Time) {
	w.size = w.options.Cold
	w.coldAt = now
	w.inTime = 0
	w.slow = 0
}

// Observe takes in the latency of an answer for each token and reports
// whether it set the window back.
func (w *Window) Observe(now time.Time, latency time.Duration) bool {
	if w.observed >= learned && latency > time.Duration(jumpFactor*float64(w.usual)) {
		return w.observeSlow(now)
	}
	w.slow = 0
	w.learn(latency)
	if !w.Cold(now) {
		w.grow()
	}
	return false
}

func (w *Window) observeSlow(now time.Time) bool {
	w.slow++
	w.inTime = 0
	if w.slow < jumpCount || w.Cold(now) {
		return false
	}
	w.Reset(now)
	return true
}

func (w *Window) learn(latency time.Duration) {
	if w.observed == 0 {
		w.usual = latency
	}
	w.observed++
	w.usual += time.Duration(smoothing * float64(latency-w.usual))
}

func (w *Window) grow() {
	w.inTime++
	if w.inTime < w.size {
		return
	}
	w.inTime = 0
	w.size = min(w.options.Warm, w.size+max(1, w.size/2))
}
