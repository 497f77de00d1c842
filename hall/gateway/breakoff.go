package gateway

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/hall/eventstream"
	"limpethall.dev/kernel/buffer"
)

// breakReason is why a response counts as broken off.
type breakReason string

const (
	breakInsideEvent  breakReason = "insideEvent"  // The stream ended inside an event.
	breakEventTooLong breakReason = "eventTooLong" // An event exceeded the size limit.
	breakReset        breakReason = "reset"        // The server reset the connection.
	breakClosed       breakReason = "closed"       // The connection ended before the response.
	breakDeadline     breakReason = "deadline"     // The request's deadline passed.
	breakCanceled     breakReason = "canceled"     // The caller left.
	breakCaller       breakReason = "caller"       // Writing to the caller failed.
	breakMemory       breakReason = "memory"       // This hall has no memory for more of it.
	breakSilent       breakReason = "silent"       // The server sent nothing for too long.
	breakOther        breakReason = "other"
)

// reasonOf returns why an exchange that ended with an error was broken off.
func reasonOf(err error) breakReason {
	var cut *eventstream.CutError
	var tooLong *eventstream.TooLongError
	var caller *callerError
	var full *buffer.FullError
	switch {
	case errors.As(err, &full):
		return breakMemory
	case errors.As(err, &caller):
		return breakCaller
	case isSilence(err):
		return breakSilent
	case errors.As(err, &cut):
		return breakInsideEvent
	case errors.As(err, &tooLong):
		return breakEventTooLong
	case errors.Is(err, errDeadline), errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return breakDeadline
	case errors.Is(err, context.Canceled):
		return breakCanceled
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return breakReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return breakClosed
	default:
		return breakOther
	}
}

// recordBreak counts a response that was broken off and returns why.
func (h *requestHandler) recordBreak(ctx context.Context, err error) breakReason {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	reason := reasonOf(err)
	if meters := h.gateway.options.Meters; meters != nil {
		meters.broken.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
	}
	return reason
}
