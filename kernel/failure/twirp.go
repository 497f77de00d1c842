package failure

import (
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
