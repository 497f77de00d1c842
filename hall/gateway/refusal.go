package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Refusal is an answer of the hall itself. Statuses 429 and 503 promise that
// the request has not run and never will.
type Refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Error gives status and reason.
func (r *Refusal) Error() string { return fmt.Sprintf("%d: %s", r.status, r.reason) }

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.status }

func refuse(status int, reason string, arguments ...any) *Refusal {
	return &Refusal{status: status, reason: fmt.Sprintf(reason, arguments...)}
}

// later is a refusal of a request that did not run, with when to come back.
func later(after time.Duration, reason string, arguments ...any) *Refusal {
	refusal := refuse(http.StatusServiceUnavailable, reason, arguments...)
	refusal.retryAfter = after
	return refusal
}

// write sends the refusal.
func (r *Refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	text := r.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	// The caller may have gone; there is nobody else to tell.
	_, _ = w.Write([]byte(text))
}
