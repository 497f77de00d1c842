package gateway

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/eventstream"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/buffer"
)

const (
	// maxBatchEvents and maxBatchBytes limit the events that are stored and relayed together.
	maxBatchEvents = 16
	maxBatchBytes  = 64 << 10
	// maxUnstoredEvents is the number of events that are kept while they can't be stored.
	maxUnstoredEvents = 64
	// storeRetryInterval is the time after which events are stored again that could not be
	// stored. Events are relayed without delay until then.
	storeRetryInterval = 3 * time.Second
)

// eventBatch holds events of a stream until they are stored and relayed together. They are stored
// first because this hall may fail at any time: the caller then takes up the stream at another
// hall, which needs all events that the caller has for the output of the turn.
type eventBatch struct {
	account *buffer.Account
	text    *buffer.Output // Events as they are relayed.
	count   int64          // Events with data.
	output  *buffer.Output // Of the turn.
	begin   int            // Where the output begins that is stored with the next event that has an ID.
	lastID  string         // Of the newest event with an ID.
	events  []turns.Event  // Not stored yet.
	memory  int64          // That they use.
	failed  time.Time      // When storing events failed, zero if it has not since events were stored.
	broken  bool           // Whether events were dropped before they were stored. Later ones are not stored either.
}

// newEventBatch returns the batch of a stream that goes on after the given event and the output up
// to there, both empty if it starts at the beginning. That output is stored again for this attempt.
func newEventBatch(account *buffer.Account, output *buffer.Output, lastEvent string, relayed []byte) *eventBatch {
	b := &eventBatch{account: account, text: buffer.NewOutput(account), output: output, begin: output.Len(), lastID: lastEvent}
	if lastEvent != "" {
		b.events = append(b.events, turns.NewEvent(lastEvent, relayed))
	}
	return b
}

// add adds an event, and its data to the output of the turn. It returns a *buffer.FullError if
// there is no memory for it.
func (b *eventBatch) add(event eventstream.Event) error {
	data, hasData := event.Data()
	if hasData {
		data = append(data, '\n')
		b.count++
	}
	if err := b.text.Append(event.Bytes()...); err != nil {
		return err
	}
	if err := b.output.Append(data...); err != nil {
		return err
	}
	id, hasID := event.ID()
	if !hasID || id == b.lastID {
		return nil
	}
	b.lastID = id
	b.keep(id)
	return nil
}

// keep keeps the output since the last event with an ID until it is stored with this one.
func (b *eventBatch) keep(id string) {
	stored := turns.NewEvent(id, b.output.Bytes()[b.begin:])
	b.begin = b.output.Len()
	if b.broken || b.account.Take(stored.Memory()) != nil {
		b.giveUp()
		return
	}
	b.memory += stored.Memory()
	b.events = append(b.events, turns.NewEvent(id, bytes.Clone(stored.Data())))
}

// isFull reports whether the batch must be relayed before more events are added.
func (b *eventBatch) isFull() bool {
	return b != nil && (b.count >= maxBatchEvents || b.text.Len() >= maxBatchBytes)
}

// forget drops the events that were to be stored.
func (b *eventBatch) forget() {
	b.account.Return(b.memory)
	b.events, b.memory = nil, 0
}

// giveUp ends storing events of the stream.
func (b *eventBatch) giveUp() {
	b.broken = true
	b.forget()
}

// relayBatch stores the events that wait to be relayed, and writes them to the caller. If they
// can't be stored, the stream goes on: its caller can't take it up after them, but can begin it
// again. Once the request has ended, nothing is written any more.
func (h *requestHandler) relayBatch(ctx context.Context, progress *streamProgress) error {
	batch := h.events
	if batch == nil || batch.text.Len() == 0 {
		return nil
	}
	h.storeEvents(ctx)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	// The caller may get events although the write fails.
	progress.events += batch.count
	progress.lastEventID = batch.lastID
	defer batch.text.Reset()
	batch.count = 0
	if _, err := h.writer.Write(batch.text.Bytes()); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// storeEvents stores the events of the batch, unless that failed a moment ago.
func (h *requestHandler) storeEvents(ctx context.Context) {
	batch, start := h.events, time.Now()
	if len(batch.events) == 0 || start.Sub(batch.failed) < storeRetryInterval {
		return
	}
	err := h.gateway.options.Turns.StoreEvents(ctx, h.turn, batch.events)
	h.eventsDuration += time.Since(start)
	switch {
	case err == nil:
		batch.failed = time.Time{}
		batch.forget()
		return
	case ctx.Err() != nil:
		return
	}
	batch.failed = time.Now()
	count := len(batch.events)
	if count >= maxUnstoredEvents {
		batch.giveUp()
	}
	h.gateway.options.Logger.Warn("events of a stream not stored, its caller can't take it up after them", zap.String("requestId", h.request.ID),
		zap.String("lastEvent", batch.lastID), zap.Int("events", count), zap.Bool("again", !batch.broken), zap.Duration("took", time.Since(start)), zap.Error(err))
}
