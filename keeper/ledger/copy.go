package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

// pageBytes is the approximate size of a page of records. A page ends with the
// record that reaches it.
const pageBytes = 512 << 10

// Page returns the next page of the records whose placement satisfies include,
// starting after the given cursor; an empty cursor starts at the first record.
// The reply's next is the cursor of the following page, nil after the last one.
func (l *Ledger) Page(after []byte, include func(placement string) bool) (*wire.CopyReply, error) {
	reply := &wire.CopyReply{Ready: l.Ready()}
	size := 0
	for _, key := range l.selectRecords(string(after), include) {
		if size >= pageBytes {
			return reply, nil
		}
		added, err := l.addToPage(reply, key)
		if err != nil {
			return nil, err
		}
		size += added
		reply.Next = []byte(key)
	}
	reply.Next = nil
	return reply, nil
}

// selectRecords returns the sorted keys of the indexed records after the given key whose
// placement satisfies include.
func (l *Ledger) selectRecords(after string, include func(placement string) bool) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var keys []string
	for program, reservations := range l.programs {
		if !include(program) {
			continue
		}
		for turn := range reservations {
			if key := reservationKey(program, turn); key > after {
				keys = append(keys, key)
			}
		}
	}
	for id, entry := range l.turns {
		if key := turnPrefix + id; key > after && include(entry.placement) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// addToPage adds the record with this key unless it has expired, and returns the number of
// bytes added.
func (l *Ledger) addToPage(reply *wire.CopyReply, key string) (int, error) {
	if id, isTurn := strings.CutPrefix(key, turnPrefix); isTurn {
		l.mutex.Lock()
		entry, found := l.lookup(id)
		l.mutex.Unlock()
		if !found || entry.unreadable {
			return 0, nil
		}
		turn, err := l.readTurn(link{id: id, entry: entry})
		if err != nil {
			l.noteUnreadable(id, err)
			return 0, err
		}
		reply.Turns = append(reply.Turns, turn)
		return proto.Size(turn), nil
	}
	program, turn, _ := strings.Cut(strings.TrimPrefix(key, reservationPrefix), keySeparator)
	l.mutex.Lock()
	entry, found := l.programs[program][turn]
	l.mutex.Unlock()
	if !found {
		return 0, nil
	}
	reservation := newReservationRecord(program, turn, entry)
	reply.Reservations = append(reply.Reservations, reservation)
	return proto.Size(reservation), nil
}

// Merge adds a page of another keeper's records and syncs them to disk.
func (l *Ledger) Merge(now time.Time, page *wire.CopyReply) error {
	if err := l.archive.Writable(); err != nil {
		return err
	}
	l.merging.Lock()
	defer l.merging.Unlock()
	var records []archive.Record
	l.mutex.Lock()
	for _, reservation := range page.GetReservations() {
		records = append(records, l.putReservation(reservation)...)
	}
	l.mutex.Unlock()
	return l.mergeTurns(now, page.GetTurns(), records)
}

// mergeTurns syncs those of the copied turns that are not present, with the expiry of the
// copied records, together with the other records. The caller must hold merging.
func (l *Ledger) mergeTurns(now time.Time, turns []*wire.Turn, records []archive.Record) error {
	turns = l.missing(now, turns)
	encoded := make([]archive.Record, 0, len(turns))
	for _, turn := range turns {
		record, err := encodeTurn(turn, time.UnixMilli(turn.GetExpiresUnixMilliseconds()))
		if err != nil {
			return err
		}
		encoded = append(encoded, record)
	}
	if err := l.archive.Store(append(records, encoded...)...); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for index, turn := range turns {
		l.addTurn(turn, encoded[index])
		l.noteGap(turn.GetPrevious(), turn.GetPlacement(), encoded[index].Expires)
	}
	return nil
}

// missing returns those of the turns that are neither expired nor present.
func (l *Ledger) missing(now time.Time, turns []*wire.Turn) (missing []*wire.Turn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, turn := range turns {
		entry, found := l.turns[turn.GetId()]
		if (!found || entry.unreadable) && time.UnixMilli(turn.GetExpiresUnixMilliseconds()).After(now) {
			missing = append(missing, turn)
		}
	}
	return missing
}
