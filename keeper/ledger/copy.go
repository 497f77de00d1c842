package ledger

import (
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

// pageBytes is about how much one page of a copy holds.
const pageBytes = 512 << 10

// Page returns a page of the records whose placement passes belongs, and where
// the next page begins, nil for nowhere.
func (l *Ledger) Page(after []byte, belongs func(placement string) bool) (*wire.CopyReply, error) {
	reply := &wire.CopyReply{Ready: l.Ready()}
	if len(after) == 0 {
		after = nil
	}
	size := 0
	next, err := l.archive.Scan(after, func(record archive.Record) bool {
		size += l.addToPage(reply, record, belongs)
		return size < pageBytes
	})
	reply.Next = next
	return reply, err
}

// addToPage adds a record if it belongs there and returns its size.
func (l *Ledger) addToPage(reply *wire.CopyReply, record archive.Record, belongs func(placement string) bool) int {
	found, err := decode(record)
	if err != nil {
		l.logger.Error("stored record not understood", zap.String("key", record.Key), zap.Error(err))
		return 0
	}
	switch kept := found.(type) {
	case storedTurn:
		if belongs(kept.turn.GetPlacement()) {
			reply.Turns = append(reply.Turns, kept.turn)
			return len(record.Value)
		}
	case storedReservation:
		if belongs(kept.reservation.GetProgram()) {
			reply.Reservations = append(reply.Reservations, kept.reservation)
			return len(record.Value)
		}
	case storedReady: // Says something of this disk alone.
	}
	return 0
}

// Merge takes in a page of another keeper and syncs it.
func (l *Ledger) Merge(now time.Time, page *wire.CopyReply) error {
	var records []archive.Record
	l.mutex.Lock()
	for _, reservation := range page.GetReservations() {
		records = append(records, l.putReservation(reservation)...)
	}
	for _, turn := range page.GetTurns() {
		records = append(records, l.mergeTurn(now, turn)...)
	}
	l.mutex.Unlock()
	return l.archive.Store(records...)
}

// mergeTurn keeps a copied turn until the other keeper would drop it; the
// mutex is held.
func (l *Ledger) mergeTurn(now time.Time, turn *wire.Turn) []archive.Record {
	expires := time.UnixMilli(turn.GetExpiresUnixMilliseconds())
	if _, found := l.turns[turn.GetId()]; found || !expires.After(now) {
		return nil
	}
	record, err := turnRecord(turn, expires)
	if err != nil {
		l.logger.Error("turn can't be encoded", zap.String("turn", turn.GetId()), zap.Error(err))
		return nil
	}
	l.turns[turn.GetId()] = newTurnEntry(turn, expires)
	return []archive.Record{record}
}
