// Package ledger holds the records of one keeper: the turns of programs that keep
// their history, and the token reservations of programs that have a budget. The events of
// a stream that another attempt may take up are stored as a chain of turns.
//
// Turns are immutable, so replicas can't disagree about them. A reservation is
// either open, counted at the most tokens that its turn may produce, or settled,
// which is final. A keeper that may lack records, because its disk is empty or
// it was removed from the member list, replies that it is not ready until it has
// copied the records of the other keepers.
//
// # Usage
//
//	l, err := ledger.Open(archive, now, logger)
//	reply, err := l.Begin(now, request)
//	err = l.Finish(now, request)
//	err = l.SetReady(true)
package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/callerid"
	"limpethall.dev/kernel/wire"
)

const (
	// extraRetentionFactor is the extra time for which a record is stored, as a
	// multiple of the retention requested. It saves rewriting a whole chain of
	// turns each time a turn is appended.
	extraRetentionFactor = 1
	// maxChainLength bounds the number of turns followed along a chain.
	maxChainLength = 4096
)

// noExpiry is the expiry time of records that are never removed.
var noExpiry = time.Unix(1<<40, 0)

// Ledger indexes the turns and reservations of an archive. It is safe for
// concurrent use.
type Ledger struct {
	archive *archive.Archive
	logger  *zap.Logger
	ready   atomic.Bool
	copied  *wire.KeeperList // As of Open.
	pending func(placement string) bool
	// refusedAt is when a refusal for the memory of the index was logged, in Unix nanoseconds.
	refusedAt atomic.Int64

	merging   sync.Mutex // Held while copied turns are stored. It is locked before the others.
	extending sync.Mutex // Held while a chain is extended. It is locked before mutex.
	mutex     sync.Mutex
	index
}

// Open loads the unexpired records of the archive.
func Open(disk *archive.Archive, now time.Time, logger *zap.Logger) (*Ledger, error) {
	l := &Ledger{archive: disk, logger: logger, index: newIndex()}
	_, err := disk.Scan(nil, func(record archive.Record) bool {
		if record.Expires.After(now) {
			l.load(record)
		}
		return true
	})
	for _, entry := range l.turns {
		l.noteGap(entry.previous, entry.placement, entry.expires())
	}
	return l, err
}

// Empty reports whether the ledger holds no turns and no reservations.
func (l *Ledger) Empty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.turns) == 0 && len(l.programs) == 0
}

// Counts returns the number of stored turns, and of programs with reservations.
func (l *Ledger) Counts() (turns, programs int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.turns), len(l.programs)
}

// ReservationCount returns the number of reservations of a program.
func (l *Ledger) ReservationCount(program string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.programs[program])
}

// SetReady sets whether this keeper holds all records that it is a replica for.
// The state is stored on disk: after a restart, a keeper lacks only records that
// it never acknowledged.
func (l *Ledger) SetReady(ready bool) error {
	if ready == l.ready.Load() {
		return nil
	}
	if err := l.archive.Writable(); err != nil {
		return err
	}
	value := []byte{0}
	if ready {
		value[0] = 1
	}
	if err := l.archive.Store(archive.Record{Key: completeKey, Value: value, Expires: noExpiry}); err != nil {
		return err
	}
	l.ready.Store(ready)
	return nil
}

// Ready reports whether this keeper holds all records that it is a replica for.
func (l *Ledger) Ready() bool { return l.ready.Load() }

// SetCopied stores the member list up to which records were copied.
func (l *Ledger) SetCopied(members *wire.KeeperList) error {
	if err := l.archive.Writable(); err != nil {
		return err
	}
	value, err := proto.Marshal(members)
	if err != nil {
		return err
	}
	return l.archive.Store(archive.Record{Key: copiedKey, Value: value, Expires: noExpiry})
}

// Copied returns the member list that SetCopied stored before the ledger was opened, nil
// if there is none.
func (l *Ledger) Copied() *wire.KeeperList { return l.copied }

// SetPending sets the function that reports which placements were assigned to this keeper
// by a change of the member list and have not been copied yet. It must be called before
// the first Begin.
func (l *Ledger) SetPending(pending func(placement string) bool) { l.pending = pending }

func (l *Ledger) isPending(placement string) bool { return l.pending != nil && l.pending(placement) }

// Begin is like BeginTurn with the history in the reply.
func (l *Ledger) Begin(now time.Time, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	reply, history, err := l.BeginTurn(now, request)
	if err != nil || history == nil {
		return reply, err
	}
	reply.History, err = history.Reply()
	return reply, err
}

// BeginTurn reserves tokens if they fit into the program's remaining budget, and
// syncs the reservation to disk. A repeated request gets the same answer as the
// first and reserves nothing more. The history belongs into the reply, nil for none.
func (l *Ledger) BeginTurn(now time.Time, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, *History, error) {
	if !l.Ready() || l.isPending(request.GetReservation().GetProgram()) {
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_NOT_READY}, nil, nil
	}
	// Checked before a record changes in memory, which would no longer be that on disk.
	if err := l.archive.Writable(); err != nil {
		return nil, nil, err
	}
	reply := &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_ADMITTED, ResumedVersion: l.versionOf(request.GetReservation().GetProgram(), request.GetResumes())}
	if err := l.hasRoom(l.reserveFor(request)); err != nil {
		return nil, nil, err
	}
	if request.GetReservation() != nil {
		spent, admitted, records := l.reserve(now, request, reply)
		reply.SpentTokens = spent
		if !admitted {
			reply.Verdict = wire.BeginVerdict_BEGIN_VERDICT_EXHAUSTED
			return reply, nil, nil
		}
		if err := l.archive.Store(records...); err != nil {
			return nil, nil, err
		}
	}
	if request.GetPrevious() == "" || !request.GetWantHistory() {
		return reply, nil, nil
	}
	history := l.History(request.GetPrevious(), request.GetWorkspace())
	if history.Verdict() == wire.FindVerdict_FIND_VERDICT_PARTIAL {
		return reply, nil, nil // The hall searches for it, as another keeper may have the whole chain.
	}
	return reply, history, nil
}

// Finish settles the reservation and stores the turn, which is synced to disk
// before Finish returns. A settlement without a turn is not synced: until it is
// on disk, the reservation counts at its maximum, which never admits too much.
func (l *Ledger) Finish(now time.Time, request *wire.FinishTurnRequest) error {
	if err := l.archive.Writable(); err != nil {
		return err
	}
	if request.GetTurn() != nil {
		parts := int64(0)
		if request.GetEvent() {
			parts = eventParts
		}
		if err := l.hasRoom(parts); err != nil {
			return err
		}
	}
	var records []archive.Record
	l.mutex.Lock()
	if reservation := request.GetReservation(); reservation.GetProgram() != "" {
		records = append(records, l.putOrRepeatReservation(reservation)...)
	}
	for _, reservation := range request.GetOthers() {
		records = append(records, l.putReservation(reservation)...)
	}
	l.mutex.Unlock()
	if request.GetTurn() == nil {
		return l.archive.StoreNoSync(records...)
	}
	return l.storeTurn(now, request.GetTurn(), request.GetEvent(), records)
}

// Find is like History with the parts in memory.
func (l *Ledger) Find(turn, workspace string) (*wire.FindTurnReply, error) {
	return l.History(turn, workspace).Reply()
}

// Expire removes expired records from memory and from disk.
func (l *Ledger) Expire(now time.Time) error {
	l.mutex.Lock()
	l.expire(now)
	l.mutex.Unlock()
	return l.archive.Expire(now)
}

// versionOf returns the software version of the backend servers at which a turn ran, nil
// if it is unknown.
func (l *Ledger) versionOf(program, turn string) *string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.programs[program][turn].version()
}

// reserve adds the reservation if it fits into the budget, if any. The program's other
// reservations are then extended to expire no earlier than this one. They are added to
// the reply in the same step, so that of two turns that reserve at once at least one
// learns of the other.
func (l *Ledger) reserve(now time.Time, request *wire.BeginTurnRequest, reply *wire.BeginTurnReply) (spent int64, admitted bool, records []archive.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reservation := request.GetReservation()
	entries := l.programs[reservation.GetProgram()]
	for turn, entry := range entries {
		if turn == reservation.GetTurn() {
			continue
		}
		spent += entry.tokens
		if request.GetWantReservations() {
			reply.Reservations = append(reply.Reservations, &wire.Reservation{
				Turn: turn, Tokens: entry.tokens, Settled: entry.settled, ServerVersion: entry.version(), Stream: entry.stream,
				Relayed: entry.stream != 0 && entry.stream == reservation.GetStream() && l.hasEvent(reservation.GetProgram(), turn, request.GetLastEvent()),
			})
		}
	}
	if request.GetBudget() > 0 && spent+reservation.GetTokens() > request.GetBudget() {
		return spent, false, nil
	}
	records = l.putOrRepeatReservation(reservation)
	expires := time.UnixMilli(reservation.GetExpiresUnixMilliseconds())
	for turn, entry := range entries {
		if entry.expires().Before(expires) {
			entry.setExpires(expires.Add(expires.Sub(now) * extraRetentionFactor))
			entries[turn] = entry
			records = append(records, encodeReservation(reservation.GetProgram(), turn, entry))
		}
	}
	return spent, true, records
}

// hasEvent reports whether the event of a turn's stream is stored, readable or not. The caller
// must hold the mutex.
func (l *Ledger) hasEvent(program, turn, event string) bool {
	_, found := l.turns[callerid.OfEvent(program, turn, event)]
	return found
}

// putOrRepeatReservation is like putReservation, but returns the record also if the
// reservation is known. The request that made it known may not have synced it yet.
func (l *Ledger) putOrRepeatReservation(reservation *wire.Reservation) []archive.Record {
	if records := l.putReservation(reservation); len(records) > 0 {
		return records
	}
	entry := l.programs[reservation.GetProgram()][reservation.GetTurn()]
	return []archive.Record{encodeReservation(reservation.GetProgram(), reservation.GetTurn(), entry)}
}

// putReservation adds or settles a reservation and returns the records to store.
// A settled reservation never changes. The caller must hold the mutex.
func (l *Ledger) putReservation(reservation *wire.Reservation) []archive.Record {
	entry, found := l.programs[reservation.GetProgram()][reservation.GetTurn()]
	if found && (entry.settled || !reservation.GetSettled()) {
		return nil
	}
	if !found {
		entry.setExpires(time.UnixMilli(reservation.GetExpiresUnixMilliseconds()))
	}
	entry.addStream(reservation)
	entry.tokens = reservation.GetTokens()
	entry.settled = reservation.GetSettled()
	l.setReservation(reservation.GetProgram(), reservation.GetTurn(), entry)
	return []archive.Record{encodeReservation(reservation.GetProgram(), reservation.GetTurn(), entry)}
}

// storeTurn extends the chain that a turn continues, and syncs the turn together with the
// other records. The index names a record only once it can be read.
func (l *Ledger) storeTurn(now time.Time, turn *wire.Turn, isEvent bool, others []archive.Record) error {
	expires := time.UnixMilli(turn.GetExpiresUnixMilliseconds())
	if err := l.extendChain(now, turn.GetPrevious(), turn.GetPlacement(), expires); err != nil {
		return err
	}
	if !isEvent {
		expires = expires.Add(expires.Sub(now) * extraRetentionFactor) // All events of a stream expire at once.
	}
	record, err := l.turnRecord(turn, expires)
	if err != nil {
		return err
	}
	if err := l.archive.Store(append(others, record)...); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.addTurn(turn, record)
	return nil
}

// addTurn adds a stored turn to the index, unless a later expiry of it is known. The caller
// must hold the mutex.
func (l *Ledger) addTurn(turn *wire.Turn, record archive.Record) {
	if entry, found := l.turns[turn.GetId()]; found && !entry.unreadable && !entry.expires().Before(record.Expires) {
		return
	}
	l.setTurn(turn.GetId(), newTurnEntry(turn, record))
	delete(l.gaps, turn.GetId())
}

// turnRecord returns the record of a turn. That of a known turn is stored again without
// a change, as it may have been written without a sync.
func (l *Ledger) turnRecord(turn *wire.Turn, expires time.Time) (archive.Record, error) {
	l.mutex.Lock()
	entry, found := l.turns[turn.GetId()]
	l.mutex.Unlock()
	if !found {
		return encodeTurn(turn, expires)
	}
	value, err := l.read(link{id: turn.GetId(), entry: entry}, nil)
	if err != nil {
		return encodeTurn(turn, entry.expires())
	}
	return archive.Record{Key: turnPrefix + turn.GetId(), Value: value, Expires: entry.expires()}, nil
}

// load adds a record from disk to the index when the ledger is opened.
func (l *Ledger) load(record archive.Record) {
	decoded, err := decodeRecord(record)
	if err != nil {
		l.logger.Error("failed to decode stored record", zap.String("key", record.Key), zap.Error(err))
		return
	}
	switch decoded := decoded.(type) {
	case completeRecord:
		l.ready.Store(decoded.complete)
	case copiedRecord:
		l.copied = decoded.members
	case turnRecord:
		l.setTurn(decoded.turn.GetId(), newTurnEntry(decoded.turn, record))
	case reservationRecord:
		l.loadReservation(decoded.reservation, record.Expires)
	}
}

// loadReservation adds a reservation to the index. Extending a reservation leaves
// its earlier record on disk. Records are loaded in order of expiry, so the latest
// expiry is kept, but an open record never replaces a settled one.
func (l *Ledger) loadReservation(reservation *wire.Reservation, expires time.Time) {
	entry := l.programs[reservation.GetProgram()][reservation.GetTurn()]
	if !entry.settled {
		entry.tokens, entry.settled = reservation.GetTokens(), reservation.GetSettled()
	}
	entry.addStream(reservation)
	entry.setExpires(expires)
	l.setReservation(reservation.GetProgram(), reservation.GetTurn(), entry)
}
