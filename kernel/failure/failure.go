// Package failure holds the one error form that callers see.
//
// Every refusal or failure that leaves a process is a *failure.Error. It
// states a code for programs, a message that says what to do, and the outcome
// of the request: whether it ran, did not run, or whether that is unknown. An
// outcome of NotRun is a promise and is only given where it was proved.
//
// # Usage
//
//	return failure.New(failure.CodeRateLimited, failure.NotRun,
//		"workspace %q is over its rate", name).WithRetryAfter(wait)
//
// A receiver finds it with errors.As:
//
//	var refused *failure.Error
//	if errors.As(err, &refused) && refused.Outcome() == failure.NotRun { ... }
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"limpethall.dev/kernel/wire"
)

// Outcome tells whether a request ran.
type Outcome int

// The outcomes. The zero value is Unknown, the one that promises nothing.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the outcome as written in JSON answers.
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

// Code names a kind of failure, stable across versions.
type Code string

// The codes that callers may see.
const (
	CodeBadRequest       Code = "badRequest"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "notFound"
	CodeTooLarge         Code = "tooLarge"
	CodeConflict         Code = "conflict"
	CodeStaleTicket      Code = "staleTicket"
	CodeHistoryLost      Code = "historyLost"
	CodeProgramEnded     Code = "programEnded"
	CodeBudgetSpent      Code = "budgetSpent"
	CodeRateLimited      Code = "rateLimited"
	CodeQueueFull        Code = "queueFull"
	CodeNoServer         Code = "noServer"
	CodeServerLeaving    Code = "serverLeaving"
	CodeServerFailed     Code = "serverFailed"
	CodeServerDied       Code = "serverDied"
	CodeTruncated        Code = "truncatedAnswer"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeSuspectBlocked   Code = "suspectBlocked"
	CodeConfigurationOld Code = "configurationUnknown"
	CodeStreamBroken     Code = "streamBroken"
	CodeWithdrawn        Code = "keyWithdrawn"
	CodeCanceled         Code = "canceled"
	CodeInternal         Code = "internal"
	CodeWrongIncarnation Code = "wrongIncarnation"
	CodeUnknownModel     Code = "unknownModel"
	CodeMethodNotAllowed Code = "methodNotAllowed"
	CodeTimeout          Code = "timeout"
	CodeCallRefused      Code = "callRefusedForGood"
	CodeProgramBusy      Code = "programBusy"
)

// statusOf maps each code to the HTTP status of its answer.
func statusOf(code Code) int {
	switch code {
	case CodeBadRequest, CodeUnknownModel:
		return http.StatusBadRequest
	case CodeUnauthorized, CodeWithdrawn:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case CodeConflict, CodeStaleTicket, CodeCallRefused:
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
	case CodeTruncated, CodeServerFailed, CodeServerDied, CodeStreamBroken, CodeOutcomeUnknown:
		return http.StatusBadGateway
	case CodeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Error is a failure as told to a caller.
type Error struct {
	code       Code
	message    string
	outcome    Outcome
	retryAfter time.Duration
	ticket     string
}

// New returns an Error with a formatted message.
func New(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// Error returns code, outcome and message in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.code, e.outcome, e.message)
}

// Code returns the kind of failure.
func (e *Error) Code() Code { return e.code }

// Message returns the text for a person.
func (e *Error) Message() string { return e.message }

// Outcome returns whether the request ran.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns how long the caller should wait, zero if not stated.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Ticket returns the ticket to go on with, empty if the old one stays valid.
func (e *Error) Ticket() string { return e.ticket }

// Status returns the HTTP status of the answer.
func (e *Error) Status() int { return statusOf(e.code) }

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.retryAfter = wait
	return &changed
}

// WithTicket returns a copy that carries a ticket to go on with.
func (e *Error) WithTicket(ticket string) *Error {
	changed := *e
	changed.ticket = ticket
	return &changed
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	changed := *e
	changed.outcome = outcome
	return &changed
}

// Repeatable returns the failure as told to the caller of a non-idempotent
// call that carries a ticket or an idempotency key. Such a request may be a
// repetition of one that ran. A refusal that was made without looking at the
// call itself therefore promises nothing about it: its outcome is Unknown.
func (e *Error) Repeatable() *Error {
	switch e.code {
	case CodeRateLimited, CodeProgramBusy, CodeConfigurationOld, CodeHistoryLost, CodeProgramEnded, CodeTooLarge, CodeCanceled, CodeNoServer:
		return e.WithOutcome(Unknown)
	default:
		return e
	}
}

// From returns err as an *Error. An error of another type becomes
// CodeInternal with outcome Unknown, since nothing is known about its effect.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(CodeInternal, Unknown, "internal error: %v", err)
}

// IsNotRun reports whether err promises that the request did not run.
func IsNotRun(err error) bool {
	var known *Error
	return errors.As(err, &known) && known.outcome == NotRun
}

// HasCode reports whether err is an *Error with the given code.
func HasCode(err error, code Code) bool {
	var known *Error
	return errors.As(err, &known) && known.code == code
}

// ToWire converts the error for the protocol between processes.
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
func FromWire(f *wire.Failure) *Error {
	return &Error{
		code:       Code(f.GetCode()),
		message:    f.GetMessage(),
		outcome:    Outcome(f.GetOutcome()),
		retryAfter: time.Duration(f.GetRetryAfterMilliseconds()) * time.Millisecond,
		ticket:     f.GetTicket(),
	}
}
