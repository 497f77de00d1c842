package failure

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Metadata keys of a Twirp error that carries a failure.
const (
	MetaCode       = "code"
	metaOutcome    = "outcome"
	metaRetryAfter = "retryAfterMilliseconds"
	metaTicket     = "ticket"
)

// ToTwirp encodes err as a Twirp error, from which FromTwirp decodes it.
func ToTwirp(err error) error {
	failed := From(err)
	return twirp.NewError(twirp.FailedPrecondition, failed.message).
		WithMeta(MetaCode, string(failed.code)).
		WithMeta(metaOutcome, strconv.Itoa(int(failed.outcome))).
		WithMeta(metaRetryAfter, strconv.FormatInt(failed.retryAfter.Milliseconds(), 10)).
		WithMeta(metaTicket, failed.ticket)
}

// FromTwirp decodes the failure from a Twirp error. Missing metadata gives zero
// values, among them the outcome Unknown.
func FromTwirp(err twirp.Error) *Error {
	outcome, _ := strconv.Atoi(err.Meta(metaOutcome))
	retryAfter, _ := strconv.ParseInt(err.Meta(metaRetryAfter), 10, 64)
	return &Error{
		code: Code(err.Meta(MetaCode)), message: err.Msg(), outcome: Outcome(outcome),
		retryAfter: time.Duration(retryAfter) * time.Millisecond, ticket: err.Meta(metaTicket),
	}
}

// IsRefused reports whether err is that of a Twirp call that a host has refused before it
// read the call, for lack of memory. The host works and may take the next call.
func IsRefused(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Code() != twirp.Unavailable {
		return false
	}
	// Twirp clients use the same code for other answers that are no Twirp errors, and add the status.
	status := twirpErr.Meta("status_code")
	return status == "" || status == strconv.Itoa(http.StatusServiceUnavailable)
}
