// Package failure defines the error type that is returned to callers.
//
// Every error that a process returns to a client or to another process is a
// *failure.Error. It has a machine-readable code, a message that tells the caller
// what to do, and the outcome of the request: it ran, it did not run, or neither
// is certain. The outcome NotRun is a guarantee. It is used only if it is certain
// that the request did not run.
//
// # Usage
//
//	return failure.New(failure.CodeRateLimited, failure.NotRun,
//		"workspace %q is over its rate", name).WithRetryAfter(wait)
//
// A caller extracts it with errors.As:
//
//	var failed *failure.Error
//	if errors.As(err, &failed) && failed.Outcome() == failure.NotRun { ... }
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"limpethall.dev/kernel/wire"
)

// Outcome specifies whether a request ran.
type Outcome int

// Outcomes of a request. The zero value is Unknown, which guarantees nothing.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the outcome as encoded in JSON responses.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Code identifies a kind of failure. Codes are stable across versions.
type Code string

// Codes that may be returned to callers.
const (
	CodeBadRequest           Code = "badRequest"
	CodeUnauthorized         Code = "unauthorized"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "notFound"
	CodeTooLarge             Code = "tooLarge"
	CodeConflict             Code = "conflict"
	CodeStaleTicket          Code = "staleTicket"
	CodeHistoryLost          Code = "historyLost"
	CodeProgramEnded         Code = "programEnded"
	CodeBudgetSpent          Code = "budgetSpent"
	CodeRateLimited          Code = "rateLimited"
	CodeQueueFull            Code = "queueFull"
	CodeNoServer             Code = "noServer"
	CodeServerLeaving        Code = "serverLeaving"
	CodeServerFailed         Code = "serverFailed"
	CodeServerDied           Code = "serverDied"
	CodeTruncatedAnswer      Code = "truncatedAnswer"
	CodeOutcomeUnknown       Code = "outcomeUnknown"
	CodeSuspectBlocked       Code = "suspectBlocked"
	CodeConfigurationUnknown Code = "configurationUnknown"
	CodeStreamBroken         Code = "streamBroken"
	CodeKeyWithdrawn         Code = "keyWithdrawn"
	CodeCanceled             Code = "canceled"
	CodeInternal             Code = "internal"
	CodeWrongIncarnation     Code = "wrongIncarnation"
	CodeUnknownModel         Code = "unknownModel"
	CodeMethodNotAllowed     Code = "methodNotAllowed"
	CodeTimeout              Code = "timeout"
	CodeCallRefusedForGood   Code = "callRefusedForGood"
	CodeProgramBusy          Code = "programBusy"
)

// httpStatus returns the HTTP status of a response with the given code.
func httpStatus(code Code) int {
	switch code {
	case CodeBadRequest, CodeUnknownModel:
		return http.StatusBadRequest
	case CodeUnauthorized, CodeKeyWithdrawn:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case CodeConflict, CodeStaleTicket, CodeCallRefusedForGood:
		return http.StatusConflict
	case CodeProgramEnded, CodeHistoryLost:
		return http.StatusGone
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeSuspectBlocked:
		return http.StatusUnprocessableEntity
	case CodeBudgetSpent:
		return http.StatusPaymentRequired
	case CodeRateLimited, CodeProgramBusy:
		return http.StatusTooManyRequests
	case CodeInternal:
		return http.StatusInternalServerError
	case CodeTruncatedAnswer, CodeServerFailed, CodeServerDied, CodeStreamBroken, CodeOutcomeUnknown:
		return http.StatusBadGateway
	case CodeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Error is a failure as reported to a caller.
type Error struct {
	code       Code
	message    string
	outcome    Outcome
	retryAfter time.Duration
	ticket     string
}

// New returns an error with a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// Error returns the code, the outcome and the message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.code, e.outcome, e.message)
}

// Code returns the code of the failure.
func (e *Error) Code() Code { return e.code }

// Message returns the human-readable message.
func (e *Error) Message() string { return e.message }

// Outcome returns whether the request ran.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns how long the caller should wait before a retry, or zero if
// unspecified.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Ticket returns the ticket for the next request, or an empty string if the
// previous ticket remains valid.
func (e *Error) Ticket() string { return e.ticket }

// Status returns the HTTP status of the response.
func (e *Error) Status() int { return httpStatus(e.code) }

// WithRetryAfter returns a copy that asks the caller to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	modified := *e
	modified.retryAfter = wait
	return &modified
}

// WithTicket returns a copy with a ticket for the next request.
func (e *Error) WithTicket(ticket string) *Error {
	modified := *e
	modified.ticket = ticket
	return &modified
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	modified := *e
	modified.outcome = outcome
	return &modified
}

// AsRetryable returns the failure to report for a non-idempotent call that carries
// a ticket or an idempotency key. Such a request may be a retry of a call that
// ran. An error raised without examining the call itself therefore guarantees
// nothing about the call, and its outcome becomes Unknown.
func (e *Error) AsRetryable() *Error {
	switch e.code {
	case CodeRateLimited, CodeProgramBusy, CodeConfigurationUnknown, CodeHistoryLost, CodeProgramEnded, CodeTooLarge, CodeCanceled, CodeNoServer:
		return e.WithOutcome(Unknown)
	default:
		return e
	}
}

// From returns the *Error in err's chain. Any other error becomes CodeInternal
// with the outcome Unknown, because it does not tell whether the request ran.
func From(err error) *Error {
	var failed *Error
	if errors.As(err, &failed) {
		return failed
	}
	return New(CodeInternal, Unknown, "internal error: %v", err)
}

// IsNotRun reports whether err guarantees that the request did not run.
func IsNotRun(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.outcome == NotRun
}

// HasCode reports whether err's chain contains an *Error with the given code.
func HasCode(err error, code Code) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.code == code
}

// ToWire converts the error to its message in the protocol between processes.
func (e *Error) ToWire() *wire.Failure {
	return &wire.Failure{
		Code:                   string(e.code),
		Message:                e.message,
		Outcome:                wire.Outcome(e.outcome),
		RetryAfterMilliseconds: e.retryAfter.Milliseconds(),
		Ticket:                 e.ticket,
	}
}

// FromWire converts a failure received from another process.
func FromWire(received *wire.Failure) *Error {
	return &Error{
		code:       Code(received.GetCode()),
		message:    received.GetMessage(),
		outcome:    Outcome(received.GetOutcome()),
		retryAfter: time.Duration(received.GetRetryAfterMilliseconds()) * time.Millisecond,
		ticket:     received.GetTicket(),
	}
}
