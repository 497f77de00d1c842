package ledger

import (
	"fmt"
	"maps"
	"time"
	"unique"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

// Estimated memory of the index, in bytes. The slots of a map are used by 7 in 16 at least.
const (
	turnBytes        = 224 // Of a turn, without its strings.
	reservationBytes = 128 // Of a reservation, without the ID of its turn.
	programBytes     = 512 // Of a program with reservations, without its key.
	gapBytes         = 256
	// stringBytes is the most that the allocator adds to a short string.
	stringBytes = 16
)

// IndexFullError reports that the index has no memory for more turns.
type IndexFullError struct{ used, limit int64 }

// Error states the memory in use.
func (e *IndexFullError) Error() string {
	return fmt.Sprintf("no memory for more turns until stored ones expire: their index uses %d of %d bytes", e.used, e.limit)
}

// turnEntry is the in-memory index entry of a stored turn.
type turnEntry struct {
	previous        string
	placement       string // The same string for all turns of a chain, if they are added in order.
	sharedWorkspace unique.Handle[string]
	expiresAt       int64 // Of the record on disk, in Unix nanoseconds.
	size            int32 // Of the value on disk, in bytes.
	partsSize       int32 // Of input and output as parts of a history.
	// unreadable is set after the record could not be read. It is fetched from another keeper.
	unreadable bool
}

// newTurnEntry returns the index entry of a turn with the given record.
func newTurnEntry(turn *wire.Turn, record archive.Record) turnEntry {
	entry := turnEntry{previous: turn.GetPrevious(), placement: turn.GetPlacement(), sharedWorkspace: unique.Make(turn.GetWorkspace())}
	entry.setExpires(record.Expires)
	entry.setSizes(record.Value)
	return entry
}

func (e turnEntry) workspace() string { return e.sharedWorkspace.Value() }

func (e turnEntry) expires() time.Time { return time.Unix(0, e.expiresAt) }

func (e *turnEntry) setExpires(expires time.Time) { e.expiresAt = expires.UnixNano() }

// setSizes sets the sizes for an encoded turn.
func (e *turnEntry) setSizes(value []byte) {
	input, output, _ := partsOf(value) // The value was encoded or decoded before.
	e.size, e.partsSize = int32(len(value)), int32(encodedPartsSize(input, output))
}

// reservationEntry is the share of a program's budget reserved or spent by one turn.
type reservationEntry struct {
	tokens        int64
	sharedVersion unique.Handle[string] // Software version of the turn's backend servers, zero if unknown.
	stream        uint64                // Identifies the turn's stream among those of the program, zero if unknown.
	expiresAt     int64                 // Of the record on disk, in Unix nanoseconds.
	settled       bool
}

// version returns the software version of the turn's backend servers, nil if it is unknown.
func (e reservationEntry) version() *string {
	if e.sharedVersion == (unique.Handle[string]{}) {
		return nil
	}
	version := e.sharedVersion.Value()
	return &version
}

// addStream sets the software version and the stream of a reservation if they are unknown.
func (e *reservationEntry) addStream(reservation *wire.Reservation) {
	if reservation.ServerVersion != nil && e.sharedVersion == (unique.Handle[string]{}) {
		e.sharedVersion = unique.Make(reservation.GetServerVersion())
	}
	if e.stream == 0 {
		e.stream = reservation.GetStream()
	}
}

func (e reservationEntry) expires() time.Time { return time.Unix(0, e.expiresAt) }

func (e *reservationEntry) setExpires(expires time.Time) { e.expiresAt = expires.UnixNano() }

// index holds what the ledger knows without reading the disk. The ledger's mutex guards it.
type index struct {
	turns    map[string]turnEntry
	gaps     map[string]Gap                         // By missing turn.
	programs map[string]map[string]reservationEntry // By program, then by turn.
	bytes    int64                                  // Estimate for turns and programs.
	limit    int64                                  // Zero for none.
}

func newIndex() index {
	return index{turns: make(map[string]turnEntry), gaps: make(map[string]Gap), programs: make(map[string]map[string]reservationEntry)}
}

func sizeOfTurn(id string, entry turnEntry) int64 {
	return turnBytes + int64(len(id)+len(entry.previous)+len(entry.placement)) + 3*stringBytes
}

func (i *index) setTurn(id string, entry turnEntry) {
	if known, found := i.turns[id]; found {
		i.bytes -= sizeOfTurn(id, known)
	}
	if previous := i.turns[entry.previous]; previous.placement == entry.placement {
		entry.placement = previous.placement
	}
	i.bytes += sizeOfTurn(id, entry)
	i.turns[id] = entry
}

func (i *index) setReservation(program, turn string, entry reservationEntry) {
	entries := i.programs[program]
	if entries == nil {
		entries = make(map[string]reservationEntry)
		i.programs[program] = entries
		i.bytes += programBytes + int64(len(program)) + stringBytes
	}
	if _, found := entries[turn]; !found {
		i.bytes += reservationBytes + int64(len(turn)) + stringBytes
	}
	entries[turn] = entry
}

// expire removes what has expired.
func (i *index) expire(now time.Time) {
	for id, entry := range i.turns {
		if entry.expires().Before(now) {
			i.bytes -= sizeOfTurn(id, entry)
			delete(i.turns, id)
		}
	}
	maps.DeleteFunc(i.gaps, func(_ string, gap Gap) bool { return gap.expires.Before(now) })
	for program, reservations := range i.programs {
		for turn, entry := range reservations {
			if entry.expires().Before(now) {
				i.bytes -= reservationBytes + int64(len(turn)) + stringBytes
				delete(reservations, turn)
			}
		}
		if len(reservations) == 0 {
			i.bytes -= programBytes + int64(len(program)) + stringBytes
			delete(i.programs, program)
		}
	}
}

func (i *index) used() int64 { return i.bytes + gapBytes*int64(len(i.gaps)) }

// The parts of the index that events of streams, new programs, and turns of running ones leave to
// turns that have run already: one of this many.
const (
	eventParts      = 2
	newProgramParts = 4
	newTurnParts    = 8
)

// refusalInterval is the interval between log lines while the index is full.
const refusalInterval = 10 * time.Second

// SetIndexLimit bounds the memory of the index, in bytes. It must be called before the first
// Begin. What is on disk is served in any case.
func (l *Ledger) SetIndexLimit(limit int64) { l.limit = limit }

// IndexLimit returns the bound of SetIndexLimit, zero for none.
func (l *Ledger) IndexLimit() int64 { return l.limit }

// IndexBytes returns the estimated memory of the index.
func (l *Ledger) IndexBytes() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.used()
}

// reserveFor returns the part of the index that the turn leaves to others.
func (l *Ledger) reserveFor(request *wire.BeginTurnRequest) int64 {
	if request.GetPrevious() == "" && l.ReservationCount(request.GetReservation().GetProgram()) == 0 {
		return newProgramParts
	}
	return newTurnParts
}

// hasRoom returns an *IndexFullError if the index uses its limit beside the part that is left to
// others, which is one of parts, or nothing if parts is zero.
func (l *Ledger) hasRoom(parts int64) error {
	used, available := l.IndexBytes(), l.limit
	if parts > 0 {
		available -= l.limit / parts
	}
	if l.limit == 0 || used < available {
		return nil
	}
	err := &IndexFullError{used: used, limit: available}
	now := time.Now().UnixNano()
	if refused := l.refusedAt.Load(); now-refused >= int64(refusalInterval) && l.refusedAt.CompareAndSwap(refused, now) {
		l.logger.Error("turns are refused", zap.Error(err))
	}
	return err
}
