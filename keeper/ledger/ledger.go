// Package ledger is what one keeper knows: the turns of programs that keep
// their history, and the token reservations of programs that have a budget.
//
// Turns never change, so copies can't disagree. A reservation is either open,
// at the most that its turn may produce, or settled for good. A keeper that may
// lack records, because its disk is empty or it was away, answers that it is
// not ready until it has copied from the others.
//
// # Usage
//
//	l, err := ledger.Open(archive, rule, logger)
//	reply, err := l.Begin(now, request)
//	err = l.Finish(now, request)
//	err = l.SetReady(true)
package ledger

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

const (
	// spareRetention is the part of a record's retention that is added on disk,
	// so that a chain in use is not written anew with each turn.
	spareRetention = 1
	// maxChain bounds the walk along a chain of turns.
	maxChain = 4096
)

// never is the expiry of records that are kept for good.
var never = time.Unix(1<<40, 0)

// turnEntry is what is held in memory of a stored turn.
type turnEntry struct {
	previous  string
	workspace string
	placement string
	expires   time.Time // As on disk.
}

// newTurnEntry returns the entry of a turn.
func newTurnEntry(turn *wire.Turn, expires time.Time) turnEntry {
	return turnEntry{previous: turn.GetPrevious(), workspace: turn.GetWorkspace(), placement: turn.GetPlacement(), expires: expires}
}

// reservationEntry is one turn's part of a program's budget.
type reservationEntry struct {
	tokens  int64
	settled bool
	expires time.Time // As on disk.
}

// Ledger is safe for concurrent use.
type Ledger struct {
	archive *archive.Archive
	logger  *zap.Logger
	ready   atomic.Bool
	lacking atomic.Pointer[func(placement string) bool]

	mutex    sync.Mutex
	turns    map[string]turnEntry
	programs map[string]map[string]reservationEntry
}

// Open reads what the archive holds.
func Open(kept *archive.Archive, now time.Time, logger *zap.Logger) (*Ledger, error) {
	l := &Ledger{archive: kept, logger: logger, turns: make(map[string]turnEntry), programs: make(map[string]map[string]reservationEntry)}
	_, err := kept.Scan(nil, func(record archive.Record) bool {
		if record.Expires.After(now) {
			l.load(record)
		}
		return true
	})
	return l, err
}

// Empty reports whether nothing is kept here.
func (l *Ledger) Empty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.turns) == 0 && len(l.programs) == 0
}

// Sizes returns how many turns and programs are kept here.
func (l *Ledger) Sizes() (turns, programs int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.turns), len(l.programs)
}

// SetReady says whether this keeper has all that belongs to it. The disk
// remembers it: after a restart a keeper lacks only what it never promised to
// hold.
func (l *Ledger) SetReady(ready bool) error {
	if ready == l.ready.Load() {
		return nil
	}
	value := []byte{0}
	if ready {
		value[0] = 1
	}
	if err := l.archive.Store(archive.Record{Key: completeKey, Value: value, Expires: never}); err != nil {
		return err
	}
	l.ready.Store(ready)
	return nil
}

// Ready reports whether this keeper has all that belongs to it.
func (l *Ledger) Ready() bool { return l.ready.Load() }

// SetLacking says which placements came to this keeper by a change of the list
// and are not copied yet; nil for none.
func (l *Ledger) SetLacking(lacking func(placement string) bool) {
	l.lacking.Store(&lacking)
}

func (l *Ledger) lacks(placement string) bool {
	lacking := l.lacking.Load()
	return lacking != nil && *lacking != nil && (*lacking)(placement)
}

// Begin reserves tokens if the program's budget holds them, and syncs the
// reservation. A repeated request gets the answer of the first.
func (l *Ledger) Begin(now time.Time, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	if !l.Ready() || l.lacks(request.GetReservation().GetProgram()) {
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_NOT_READY}, nil
	}
	reply := &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_ADMITTED}
	if request.GetBudget() > 0 {
		spent, admitted, records := l.reserve(now, request)
		reply.SpentTokens = spent
		if !admitted {
			reply.Verdict = wire.BeginVerdict_BEGIN_VERDICT_EXHAUSTED
			return reply, nil
		}
		if err := l.archive.Store(records...); err != nil {
			return nil, err
		}
	}
	if request.GetPrevious() != "" && request.GetWantHistory() {
		found, err := l.Find(request.GetPrevious(), request.GetWorkspace())
		if err != nil {
			return nil, err
		}
		reply.History = found
	}
	return reply, nil
}

// Finish settles the reservation and stores the turn, which is synced before
// it returns. A settlement alone is not waited for: until it is on disk the
// reservation counts at its most, which never admits too much.
func (l *Ledger) Finish(now time.Time, request *wire.FinishTurnRequest) error {
	var records []archive.Record
	l.mutex.Lock()
	if reservation := request.GetReservation(); reservation.GetProgram() != "" {
		records = append(records, l.putReservation(reservation)...)
	}
	turn := request.GetTurn()
	if turn != nil {
		records = append(records, l.putTurn(now, turn)...)
	}
	l.mutex.Unlock()
	if turn == nil {
		return l.archive.StoreLater(records...)
	}
	return l.archive.Store(records...)
}

// Find returns the history up to a turn of the workspace.
func (l *Ledger) Find(turn, workspace string) (*wire.FindTurnReply, error) {
	chain, verdict := l.chain(turn, workspace)
	reply := &wire.FindTurnReply{Verdict: verdict}
	if verdict != wire.FindVerdict_FIND_VERDICT_FOUND {
		return reply, nil
	}
	for index := len(chain) - 1; index >= 0; index-- {
		stored, err := l.read(chain[index].id, chain[index].entry)
		if err != nil {
			return nil, err
		}
		reply.Parts = append(reply.Parts, stored.GetInput(), stored.GetOutput())
	}
	reply.Placement = chain[0].entry.placement
	return reply, nil
}

// Expire forgets what has expired.
func (l *Ledger) Expire(now time.Time) error {
	l.mutex.Lock()
	for id, entry := range l.turns {
		if entry.expires.Before(now) {
			delete(l.turns, id)
		}
	}
	for program, reservations := range l.programs {
		for turn, entry := range reservations {
			if entry.expires.Before(now) {
				delete(reservations, turn)
			}
		}
		if len(reservations) == 0 {
			delete(l.programs, program)
		}
	}
	l.mutex.Unlock()
	return l.archive.Expire(now)
}

// reserve adds the reservation if the budget holds it; what else the program
// has reserved is kept at least as long.
func (l *Ledger) reserve(now time.Time, request *wire.BeginTurnRequest) (spent int64, admitted bool, records []archive.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := request.GetReservation()
	known := l.programs[own.GetProgram()]
	for turn, entry := range known {
		if turn != own.GetTurn() {
			spent += entry.tokens
		}
	}
	if spent+own.GetTokens() > request.GetBudget() {
		return spent, false, nil
	}
	records = l.putReservation(own)
	wanted := time.UnixMilli(own.GetExpiresUnixMilliseconds())
	for turn, entry := range known {
		if entry.expires.Before(wanted) {
			entry.expires = wanted.Add(wanted.Sub(now) * spareRetention)
			known[turn] = entry
			records = append(records, reservationRecord(own.GetProgram(), turn, entry))
		}
	}
	return spent, true, records
}

// putReservation keeps a reservation unless it is settled already; the mutex is
// held.
func (l *Ledger) putReservation(reservation *wire.Reservation) []archive.Record {
	known := l.programs[reservation.GetProgram()]
	if known == nil {
		known = make(map[string]reservationEntry)
		l.programs[reservation.GetProgram()] = known
	}
	entry, found := known[reservation.GetTurn()]
	if found && (entry.settled || !reservation.GetSettled()) {
		return nil
	}
	if !found {
		entry.expires = time.UnixMilli(reservation.GetExpiresUnixMilliseconds())
	}
	entry.tokens = reservation.GetTokens()
	entry.settled = reservation.GetSettled()
	known[reservation.GetTurn()] = entry
	return []archive.Record{reservationRecord(reservation.GetProgram(), reservation.GetTurn(), entry)}
}

// putTurn keeps a turn and what it continues; the mutex is held.
func (l *Ledger) putTurn(now time.Time, turn *wire.Turn) []archive.Record {
	wanted := time.UnixMilli(turn.GetExpiresUnixMilliseconds())
	var records []archive.Record
	if _, found := l.turns[turn.GetId()]; !found {
		record, err := turnRecord(turn, wanted.Add(wanted.Sub(now)*spareRetention))
		if err != nil {
			l.logger.Error("turn can't be encoded", zap.String("turn", turn.GetId()), zap.Error(err))
			return nil
		}
		l.turns[turn.GetId()] = newTurnEntry(turn, record.Expires)
		records = append(records, record)
	}
	return append(records, l.extend(now, turn.GetPrevious(), wanted)...)
}

// extend keeps a chain until the time at least; the mutex is held.
func (l *Ledger) extend(now time.Time, id string, until time.Time) []archive.Record {
	var records []archive.Record
	for range maxChain {
		entry, found := l.turns[id]
		if !found {
			break
		}
		if entry.expires.Before(until) {
			value, err := l.archive.Read(turnPrefix+id, entry.expires)
			if err != nil {
				l.logger.Error("stored turn can't be read", zap.String("turn", id), zap.Error(err))
				break
			}
			entry.expires = until.Add(until.Sub(now) * spareRetention)
			l.turns[id] = entry
			records = append(records, archive.Record{Key: turnPrefix + id, Value: value, Expires: entry.expires})
		}
		id = entry.previous
	}
	return records
}

type link struct {
	id    string
	entry turnEntry
}

// chain returns the turn and what it continues, the newest first.
func (l *Ledger) chain(turn, workspace string) ([]link, wire.FindVerdict) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn == "" {
		return nil, wire.FindVerdict_FIND_VERDICT_ABSENT
	}
	var chain []link
	for id := turn; id != ""; {
		entry, found := l.turns[id]
		switch {
		case !found && id == turn && l.Ready():
			return nil, wire.FindVerdict_FIND_VERDICT_ABSENT
		case !found || len(chain) == maxChain:
			return nil, wire.FindVerdict_FIND_VERDICT_UNCERTAIN
		case entry.workspace != workspace:
			return nil, wire.FindVerdict_FIND_VERDICT_FOREIGN
		}
		chain = append(chain, link{id: id, entry: entry})
		id = entry.previous
	}
	return chain, wire.FindVerdict_FIND_VERDICT_FOUND
}

func (l *Ledger) read(id string, entry turnEntry) (*wire.Turn, error) {
	value, err := l.archive.Read(turnPrefix+id, entry.expires)
	if err != nil {
		return nil, err
	}
	found, err := decode(archive.Record{Key: turnPrefix + id, Value: value, Expires: entry.expires})
	if err != nil {
		return nil, err
	}
	return found.(storedTurn).turn, nil
}

// load takes in a record at the start.
func (l *Ledger) load(record archive.Record) {
	found, err := decode(record)
	if err != nil {
		l.logger.Error("stored record not understood", zap.String("key", record.Key), zap.Error(err))
		return
	}
	switch kept := found.(type) {
	case storedReady:
		l.ready.Store(kept.ready)
	case storedTurn:
		l.turns[kept.turn.GetId()] = newTurnEntry(kept.turn, record.Expires)
	case storedReservation:
		l.loadReservation(kept.reservation, record.Expires)
	}
}

func (l *Ledger) loadReservation(reservation *wire.Reservation, expires time.Time) {
	known := l.programs[reservation.GetProgram()]
	if known == nil {
		known = make(map[string]reservationEntry)
		l.programs[reservation.GetProgram()] = known
	}
	entry := known[reservation.GetTurn()]
	if !entry.settled {
		entry.tokens, entry.settled = reservation.GetTokens(), reservation.GetSettled()
	}
	entry.expires = expires
	known[reservation.GetTurn()] = entry
}
