package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/rollout"
	"limpethall.dev/kernel/connection"
)

// deadlineMargin is how long before the deadline a request that its caller cancels counts as
// one whose deadline passed: the caller's own deadline began one network latency earlier.
const deadlineMargin = 50 * time.Millisecond

// sample is what one send tells about the software version of its server. A nil sample, of a
// deployment without roll-outs, records nothing.
type sample struct {
	rollouts  Rollouts
	outcome   rollout.Outcome
	closed    func()
	sentAt    time.Time
	readDelay time.Duration // Expected, and not part of the time that is compared.
	deadline  time.Time
	body      *sampledBody // Nil before the response.
	abandoned bool         // Whether the exchange ended for a reason that is not the server's.
	ended     bool
}

// newSample begins the sample of a send, which uses up the permission of the request.
func (h *requestHandler) newSample(choice *balance.Choice, now time.Time) *sample {
	rollouts := h.gateway.options.Rollouts
	if rollouts == nil {
		return nil
	}
	h.permission = permission{}
	server := choice.Server()
	_, readDelay := choice.ExpectedRead()
	return &sample{
		readDelay: readDelay,
		rollouts:  rollouts, sentAt: now, deadline: h.deadline, closed: rollouts.Opened(server.Service(), server.Version()),
		outcome: rollout.Outcome{Service: server.Service(), Route: h.route.Name, Server: server.ID(), Version: server.Version(), Cold: server.Cold(now)},
	}
}

// work returns the time until the server responded, without that for reading the prompt:
// servers of a new version hold none yet.
func (s *sample) work(respondedAt time.Time) time.Duration {
	return max(0, respondedAt.Sub(s.sentAt)-s.readDelay)
}

// observe begins to observe a response of the server, which ran the request.
func (s *sample) observe(response *Response) {
	if s == nil {
		return
	}
	s.outcome.FirstByte = s.work(time.Now())
	s.outcome.Failed = response.Status >= http.StatusInternalServerError
	s.body = &sampledBody{body: response.Body}
	response.Body = s.body
}

// readError returns the error with which reading the body of the response ended, nil if it
// did not fail.
func (s *sample) readError() error {
	if s == nil {
		return nil
	}
	return s.body.err
}

// breakOff records why the response was broken off; nil if it was not, or not by the server.
func (s *sample) breakOff(ctx context.Context, err error) {
	switch {
	case s == nil || err == nil:
	case s.isServerFailure(ctx, err):
		s.outcome.Failed = true
	default:
		s.abandoned = true
	}
}

// isServerFailure reports whether an exchange that ended with err is a failure of the server.
func (s *sample) isServerFailure(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errDeadline) && time.Until(s.deadline) > deadlineMargin {
		return false
	}
	reason := reasonOf(err)
	return reason != breakCaller && reason != breakMemory
}

// endWithoutResponse ends the sample of a send without a response from a server that ran the
// request: the server said that it did not run it, or err tells what happened. A server that
// could not be reached, maybe because it crashed, is no evidence about its version.
func (s *sample) endWithoutResponse(ctx context.Context, err error) {
	if s == nil {
		return
	}
	var incompleteErr *connection.IncompleteResponseError
	if errors.As(err, &incompleteErr) {
		s.outcome.FirstByte = s.work(time.Now())
		s.breakOff(ctx, err)
	} else {
		s.abandoned = true
	}
	s.end()
}

// end ends the sample after its exchange. Further calls have no effect.
func (s *sample) end() {
	if s == nil || s.ended {
		return
	}
	s.ended = true
	s.closed()
	begun := s.body != nil && !s.body.firstByteAt.IsZero()
	if begun {
		s.outcome.FirstByte = s.work(s.body.firstByteAt)
	}
	if !s.abandoned || begun || s.outcome.Failed {
		s.rollouts.Record(s.outcome)
	}
}

// sampledBody notes the time of the first byte of a body, and the error that ends it.
type sampledBody struct {
	body        io.Reader
	firstByteAt time.Time
	err         error
}

// Read implements io.Reader.
func (b *sampledBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 && b.firstByteAt.IsZero() {
		b.firstByteAt = time.Now()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}
