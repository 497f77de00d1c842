package serverlimit

import (
	"math"
	"time"
)

// maxLimit is the limit above which a server counts as unlimited: all halls together
// do not send as many requests to one server.
const maxLimit = 1e6

// Statement is what one response says about the limit of its server. The zero value
// says nothing.
type Statement struct {
	known   bool
	limited bool
	rate    float64
}

// Unlimited returns the statement of a response that names no limit.
func Unlimited() Statement { return Statement{known: true} }

// Limited returns the statement of a response that names a limit in requests per
// second. It says nothing if the rate is not a finite number of zero or more.
func Limited(rate float64) Statement {
	switch {
	case math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0:
		return Statement{}
	case rate > maxLimit:
		return Unlimited()
	}
	return Statement{known: true, limited: true, rate: rate}
}

// IsKnown reports whether the response says anything about a limit.
func (s Statement) IsKnown() bool { return s.known }

// IsLimited reports whether the response names a limit.
func (s Statement) IsLimited() bool { return s.limited }

// Rate returns the limit in requests per second, zero if there is none.
func (s Statement) Rate() float64 { return s.rate }

// IsStricterThan reports whether s allows fewer requests than other.
func (s Statement) IsStricterThan(other Statement) bool {
	return s.limited && (!other.limited || s.rate < other.rate)
}

// Observation is a statement with the time span in which the server made it.
type Observation struct {
	statement  Statement
	sentAt     time.Time
	receivedAt time.Time
}

// NewObservation returns the observation of a response to a request that was sent at
// sentAt.
func NewObservation(statement Statement, sentAt, receivedAt time.Time) Observation {
	return Observation{statement: statement, sentAt: sentAt, receivedAt: receivedAt}
}

// Statement returns what the server said.
func (o Observation) Statement() Statement { return o.statement }

// Age returns the time since the response was received.
func (o Observation) Age(now time.Time) time.Duration { return now.Sub(o.receivedAt) }

// merge returns which of two observations holds. Responses may arrive late and out of
// order, so one observation is certainly later only if its request was sent after
// the response of the other had arrived. If their time spans overlap, the stricter
// statement holds.
func (o Observation) merge(other Observation) Observation {
	switch {
	case !other.statement.known:
		return o
	case !o.statement.known || !other.sentAt.Before(o.receivedAt):
		return other
	case !o.sentAt.Before(other.receivedAt):
		return o
	case other.statement.IsStricterThan(o.statement):
		return other
	}
	return o
}
