package ledger

import (
	"cmp"
	"container/heap"
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

// pageReservationBytes is the size of a reservation on a page beside its names.
const pageReservationBytes = 64

// recordName names a record of the index. Names are ordered like the keys of their records.
type recordName struct {
	program string // Of a reservation, empty for a turn.
	turn    string
	isTurn  bool
}

func (n recordName) key() string {
	if n.isTurn {
		return turnPrefix + n.turn
	}
	return reservationKey(n.program, n.turn)
}

// parseRecordName returns the name of the record with this key. The name of an empty key is
// before all others.
func parseRecordName(key string) recordName {
	if turn, isTurn := strings.CutPrefix(key, turnPrefix); isTurn {
		return recordName{turn: turn, isTurn: true}
	}
	program, turn, _ := strings.Cut(strings.TrimPrefix(key, reservationPrefix), keySeparator)
	return recordName{program: program, turn: turn}
}

func (n recordName) compare(other recordName) int {
	switch {
	case n.isTurn == other.isTurn:
		return cmp.Or(cmp.Compare(n.program, other.program), cmp.Compare(n.turn, other.turn))
	case n.isTurn:
		return 1
	}
	return -1
}

// Selection is the names of a page of records, which are not read yet.
type Selection struct {
	ledger  *Ledger
	names   []selectedName // A heap with the last name first, until they are sorted.
	size    int            // Of the records, in bytes.
	partial bool           // Whether records follow.
}

type selectedName struct {
	recordName
	size int
}

// SelectPage selects the next page of the records whose placement satisfies include, starting
// after the given cursor; an empty cursor starts at the first record.
func (l *Ledger) SelectPage(after []byte, include func(placement string) bool) *Selection {
	s := &Selection{ledger: l}
	first := parseRecordName(string(after))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for program, reservations := range l.programs {
		if !include(program) {
			continue
		}
		for turn := range reservations {
			if name := (recordName{program: program, turn: turn}); name.compare(first) > 0 {
				s.add(selectedName{recordName: name, size: len(program) + len(turn) + pageReservationBytes})
			}
		}
	}
	for id, entry := range l.turns {
		if name := (recordName{turn: id, isTurn: true}); name.compare(first) > 0 && include(entry.placement) {
			s.add(selectedName{recordName: name, size: int(entry.size)})
		}
	}
	slices.SortFunc(s.names, func(a, b selectedName) int { return a.compare(b.recordName) })
	return s
}

// Len implements heap.Interface.
func (s *Selection) Len() int { return len(s.names) }

// Less implements heap.Interface.
func (s *Selection) Less(i, j int) bool { return s.names[i].compare(s.names[j].recordName) > 0 }

// Swap implements heap.Interface.
func (s *Selection) Swap(i, j int) { s.names[i], s.names[j] = s.names[j], s.names[i] }

// Push implements heap.Interface.
func (s *Selection) Push(name any) { s.names = append(s.names, name.(selectedName)) }

// Pop implements heap.Interface.
func (s *Selection) Pop() any {
	last := s.names[len(s.names)-1]
	s.names = s.names[:len(s.names)-1]
	return last
}

// add adds a name, and removes the last ones that the page doesn't need to reach its size.
func (s *Selection) add(name selectedName) {
	if s.size >= pageBytes && name.compare(s.names[0].recordName) > 0 {
		s.partial = true
		return
	}
	heap.Push(s, name)
	s.size += name.size
	for s.size-s.names[0].size >= pageBytes {
		s.size -= heap.Pop(s).(selectedName).size
		s.partial = true
	}
}

// Size returns the approximate size of the page in bytes.
func (s *Selection) Size() int { return s.size }

// Read returns the page. The reply's next is the cursor of the following page, nil after the
// last one.
func (s *Selection) Read() (*wire.CopyReply, error) {
	reply := &wire.CopyReply{Ready: s.ledger.Ready()}
	for _, name := range s.names {
		if _, err := s.ledger.addToPage(reply, name.recordName); err != nil {
			return nil, err
		}
	}
	if s.partial {
		reply.Next = []byte(s.names[len(s.names)-1].key())
	}
	return reply, nil
}

// Page selects and reads the next page.
func (l *Ledger) Page(after []byte, include func(placement string) bool) (*wire.CopyReply, error) {
	return l.SelectPage(after, include).Read()
}

// addToPage adds a record unless it has expired, and returns the number of bytes added.
func (l *Ledger) addToPage(reply *wire.CopyReply, name recordName) (int, error) {
	if name.isTurn {
		l.mutex.Lock()
		entry, found := l.lookup(name.turn)
		l.mutex.Unlock()
		if !found || entry.unreadable {
			return 0, nil
		}
		turn, err := l.readTurn(link{id: name.turn, entry: entry})
		if err != nil {
			l.noteUnreadable(name.turn, err)
			return 0, err
		}
		reply.Turns = append(reply.Turns, turn)
		return proto.Size(turn), nil
	}
	l.mutex.Lock()
	entry, found := l.programs[name.program][name.turn]
	l.mutex.Unlock()
	if !found {
		return 0, nil
	}
	reservation := newReservationRecord(name.program, name.turn, entry)
	reply.Reservations = append(reply.Reservations, reservation)
	return proto.Size(reservation), nil
}

// Merge adds a page of another keeper's records and syncs them to disk.
func (l *Ledger) Merge(now time.Time, page *wire.CopyReply) error {
	if err := l.archive.Writable(); err != nil {
		return err
	}
	if err := l.hasRoom(0); err != nil {
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
