package turns

import (
	"context"
	"sync"
	"time"

	"limpethall.dev/kernel/wire"
)

// ActiveTurn is a turn that was admitted and may run.
type ActiveTurn struct {
	turn       Turn
	programKey string // Workspace and program: callers choose program IDs, so they are unique only within a workspace.
	placement  string
	history    [][]byte
	settleOnce sync.Once
	resumed    *string // Version of the turn that this one takes up, nil if unknown.
	others     reservationSet
	relayed    []byte // Output that the caller has got before.
	events     eventLog
}

func newActiveTurn(turn Turn, programKey string) *ActiveTurn {
	return &ActiveTurn{turn: turn, programKey: programKey, placement: programKey, events: eventLog{expires: time.Now().Add(turn.EventRetention)}}
}

// History returns the inputs and outputs that the turn continues, the oldest
// first.
func (t *ActiveTurn) History() [][]byte { return t.history }

// Placement returns the placement key, which all turns of one chain share.
func (t *ActiveTurn) Placement() string { return t.placement }

// Relayed returns the output of the stream up to the last event that the caller has: the data of
// each event, followed by a line feed. It is empty if the turn takes up no stream, or one whose
// events are not stored.
func (t *ActiveTurn) Relayed() []byte { return t.relayed }

// ResumedVersion returns the software version of the backend servers at which the stream
// that the turn takes up began. It is not known if no keeper has a record of it, or if
// the turn that began the stream is not named and the turns that may have begun it have several.
func (t *ActiveTurn) ResumedVersion() (version string, known bool) {
	if t.turn.Resumes == "" {
		return t.others.onlyVersion(t.turn.Stream)
	}
	if t.resumed == nil {
		return "", false
	}
	return *t.resumed, true
}

// setHistory uses the history of a reply, or returns its memory.
func (t *ActiveTurn) setHistory(ctx context.Context, reply *wire.FindTurnReply) {
	if reply.GetVerdict() != wire.FindVerdict_FIND_VERDICT_FOUND || t.history != nil {
		returnParts(ctx, reply)
		return
	}
	t.history = reply.GetParts()
	t.placement = reply.GetPlacement()
}

// earlierAttempts returns the turns of the same stream that may have relayed events, or a
// *TooManyAttemptsError.
func (t *ActiveTurn) earlierAttempts() ([]string, error) {
	attempts := t.others.attemptsOf(t.turn.Stream)
	if len(attempts) > maxAttempts {
		return nil, &TooManyAttemptsError{count: len(attempts)}
	}
	return attempts, nil
}

// exceedsBudget reports whether the turn and the known reservations of the program
// together exceed its budget.
func (t *ActiveTurn) exceedsBudget() bool {
	return t.turn.Budget > 0 && t.others.tokens()+t.turn.MaxTokens > t.turn.Budget
}

func (t *ActiveTurn) reservation(tokens int64, settled bool) *wire.Reservation {
	if !t.turn.needsReservation() {
		return nil
	}
	return &wire.Reservation{
		Program: t.programKey, Turn: t.turn.ID, Tokens: tokens, Settled: settled, ServerVersion: t.turn.ServerVersion, Stream: t.turn.Stream,
		ExpiresUnixMilliseconds: t.reservationExpiry().UnixMilli(),
	}
}

// partlyKnownReservations returns the reservations of the program's other turns that not
// all keepers knew when the turn began.
func (t *ActiveTurn) partlyKnownReservations() []*wire.Reservation {
	return t.others.partlyKnown(t.programKey, t.reservationExpiry())
}

func (t *ActiveTurn) reservationExpiry() time.Time { return time.Now().Add(2 * t.turn.Retention) }
