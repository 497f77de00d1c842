package turns

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/callerid"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// segmentEvents is the number of events that keepers store as one chain. It bounds the work
	// to store an event, for which a keeper follows the chain.
	segmentEvents = 64
	// eventBytes is the memory of an event beside its data, while it is stored.
	eventBytes = 512
	// storeEventsTimeout bounds storing events. Callers give up a stream after a pause of 2 s.
	storeEventsTimeout = 1500 * time.Millisecond
	// maxAttempts bounds the attempts of one stream that may have relayed events.
	maxAttempts = 32
	// noEvent is the ID that callers name as the last one of a stream whose events count from
	// one, if they have got none.
	noEvent = "0"
)

// Event is an event of the stream of a turn.
type Event struct {
	id   string
	data []byte
}

// NewEvent returns an event with an ID. data is what the event adds to the turn's output.
func NewEvent(id string, data []byte) Event { return Event{id: id, data: data} }

// ID returns the ID of the event.
func (e Event) ID() string { return e.id }

// Data returns what the event adds to the output.
func (e Event) Data() []byte { return e.data }

// Memory returns the memory in bytes that the event uses while it is stored.
func (e Event) Memory() int64 { return int64(len(e.data)) + eventBytes }

// EventUnknownError reports that no keeper has the last event that a caller has got.
type EventUnknownError struct{ event string }

// Error names the event.
func (e *EventUnknownError) Error() string {
	return fmt.Sprintf("no attempt of this stream that relayed event %q is known", e.event)
}

// TooManyAttemptsError reports that so many attempts of a stream may have relayed events that it
// can't be taken up.
type TooManyAttemptsError struct{ count int }

// Error states the number of attempts.
func (e *TooManyAttemptsError) Error() string {
	return fmt.Sprintf("%d attempts of this stream are not settled, of at most %d", e.count, maxAttempts)
}

// eventLog names the events of a turn's stream that were stored, in order.
type eventLog struct {
	last    string
	count   int
	expires time.Time
}

// append returns the record of the next event, without its data.
func (l *eventLog) append(active *ActiveTurn, event Event) (*wire.Turn, error) {
	record := &wire.Turn{
		Id:        callerid.OfEvent(active.programKey, active.turn.ID, encodable(strings.TrimSpace(event.id))),
		Workspace: active.turn.Workspace, Previous: l.last, Placement: active.programKey, ExpiresUnixMilliseconds: l.expires.UnixMilli(),
	}
	if l.count%segmentEvents == 0 {
		earlier, err := active.earlierAttempts()
		if err != nil {
			return nil, err
		}
		segment, err := proto.Marshal(&wire.EventSegment{Continues: l.last, Replaces: earlier})
		if err != nil {
			return nil, fmt.Errorf("encode the segment: %w", err)
		}
		record.Previous, record.Input = "", segment
	}
	l.last = record.GetId()
	l.count++
	return record, nil
}

// StoreEvents stores events of the turn's stream on a quorum. If it is called before they are
// relayed, another hall can continue the stream with all of its output, whatever happens to
// this one. While keepers don't answer, it tries again until storeEventsTimeout. After an error,
// the same events are to be stored again before later ones. The error is an *UnavailableError or a
// *TooManyAttemptsError.
func (c *Client) StoreEvents(ctx context.Context, active *ActiveTurn, events []Event) error {
	log := active.events
	requests := make([]net.Buffers, 0, len(events))
	for _, event := range events {
		record, err := log.append(active, event)
		if err != nil {
			return err
		}
		segment := record.GetInput()
		record.Input = nil
		encoded, err := encodeFinish(&wire.FinishTurnRequest{Turn: record, Event: true}, segment, event.data)
		if err != nil {
			return fmt.Errorf("encode the event: %w", err)
		}
		requests = append(requests, encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, storeEventsTimeout)
	defer cancel()
	err := c.storeAll(ctx, active.programKey, requests)
	for err != nil && !answered(err) && ctx.Err() == nil {
		task.Sleep(ctx, probeInterval)
		err = c.storeAll(ctx, active.programKey, requests)
	}
	if err != nil {
		return err
	}
	active.events = log
	return nil
}

// storeAll stores encoded events at the same time.
func (c *Client) storeAll(ctx context.Context, placement string, requests []net.Buffers) error {
	account := buffer.FromContext(ctx)
	results := make(chan error, len(requests))
	for _, encoded := range requests {
		account.Hold()
		go func() {
			defer account.Release()
			results <- task.Guard(c.logger, "store an event", func() error { return c.store(ctx, "store an event", placement, encoded) })
		}()
	}
	var errs []error
	for range requests {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// relayedStream is what an attempt relayed of a stream, up to the last event that the caller has.
type relayedStream struct {
	turn     string
	replaces []string // Earlier attempts.
	output   []byte
}

// findRelayed finds the output up to the last event that the caller has. If several attempts
// relayed this event, the caller has it from the newest one.
//
// An event is relayed once a quorum has it, so the quorum that reserved this turn has told which
// attempts have relayed it. Only an event that was stored by an earlier list of keepers may be
// missing there. It is looked for at all keepers.
func (c *Client) findRelayed(ctx context.Context, active *ActiveTurn) error {
	attempts, err := active.earlierAttempts()
	if err != nil {
		return err
	}
	relayed := slices.DeleteFunc(slices.Clone(attempts), func(turn string) bool { return !active.others.byTurn[turn].GetRelayed() })
	if len(relayed) == 0 && active.turn.LastEvent != noEvent {
		relayed = attempts
	}
	newest, err := c.findNewest(ctx, active, relayed)
	switch {
	case err != nil:
		return err
	case newest.turn == "" && active.turn.LastEvent != noEvent:
		return &EventUnknownError{event: active.turn.LastEvent}
	}
	active.relayed = newest.output
	c.logger.Info("stream taken up", zap.String("requestId", active.turn.ID), zap.String("from", newest.turn), zap.String("lastEvent", active.turn.LastEvent),
		zap.Int("bytes", len(newest.output)), zap.Int("attempts", len(attempts)))
	return nil
}

// findNewest finds what the newest of the turns relayed that have relayed the last event that the
// caller has, the zero value if none has.
func (c *Client) findNewest(ctx context.Context, active *ActiveTurn, attempts []string) (*relayedStream, error) {
	newest := &relayedStream{}
	for _, turn := range attempts {
		found, err := c.findStream(ctx, active, turn)
		var notFound *TurnNotFoundError
		switch {
		case errors.As(err, &notFound):
		case err != nil:
			return nil, err
		case newest.turn == "" || slices.Contains(found.replaces, newest.turn):
			newest = found
		}
	}
	return newest, nil
}

// findStream finds what a turn relayed, segment by segment from the last one. The error is a
// *TurnNotFoundError if it did not relay the last event that the caller has.
func (c *Client) findStream(ctx context.Context, active *ActiveTurn, turn string) (*relayedStream, error) {
	found, account := &relayedStream{turn: turn}, buffer.FromContext(ctx)
	last := callerid.OfEvent(active.programKey, turn, active.turn.LastEvent)
	for next := last; next != ""; {
		chain, err := c.findChain(ctx, active, next)
		var notFound *TurnNotFoundError
		if errors.As(err, &notFound) && next != last {
			return nil, &UnavailableError{operation: "find the events of the stream", cause: errIncomplete}
		}
		if err != nil {
			return nil, err
		}
		segment, output, err := joinEvents(chain.GetParts())
		if err != nil {
			return nil, err
		}
		if err := account.Take(int64(len(output))); err != nil {
			return nil, err
		}
		returnParts(ctx, chain)
		found.output, found.replaces = append(output, found.output...), segment.GetReplaces()
		next = segment.GetContinues()
	}
	return found, nil
}

// joinEvents returns the segment and the output of a chain of events.
func joinEvents(parts [][]byte) (segment *wire.EventSegment, output []byte, err error) {
	segment = &wire.EventSegment{}
	for index, part := range parts {
		switch {
		case index == 0:
			err = proto.Unmarshal(part, segment)
		case index%2 == 1:
			output = append(output, part...)
		}
	}
	return segment, output, err
}
