package failure

import (
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// The metadata of a Twirp error that carries a failure.
const (
	MetaCode       = "code"
	metaOutcome    = "outcome"
	metaRetryAfter = "retryAfterMilliseconds"
	metaTicket     = "ticket"
)

// ToTwirp returns err as a Twirp error that FromTwirp turns back.
func ToTwirp(err error) error {
	known := From(err)
	return twirp.NewError(twirp.FailedPrecondition, known.message).
		WithMeta(MetaCode, string(known.code)).
		WithMeta(metaOutcome, strconv.Itoa(int(known.outcome))).
		WithMeta(metaRetryAfter, strconv.FormatInt(known.retryAfter.Milliseconds(), 10)).
		WithMeta(metaTicket, known.ticket)
}

// FromTwirp returns the failure that a Twirp error carries.
func FromTwirp(err twirp.Error) *Error {
	outcome, _ := strconv.Atoi(err.Meta(metaOutcome))
	retryAfter, _ := strconv.ParseInt(err.Meta(metaRetryAfter), 10, 64)
	return &Error{
		code: Code(err.Meta(MetaCode)), message: err.Msg(), outcome: Outcome(outcome),
		retryAfter: time.Duration(retryAfter) * time.Millisecond, ticket: err.Meta(metaTicket),
	}
}
