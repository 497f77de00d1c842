package program

import (
	"bytes"
	"sync"
	"time"

	"limpethall.dev/kernel/wire"
)

// Archive keeps copies of the programs of other halls. It is safe for
// concurrent use.
type Archive struct {
	mutex sync.Mutex
	kept  map[string]*copyEntry
}

type copyEntry struct {
	record *Record
	used   time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{kept: make(map[string]*copyEntry)}
}

// Store takes in the turns that follow the copy held here. previous is the
// digest of the turn before the first one sent. A part that does not join the
// copy needs all turns; a history that contradicts the copy is refused, so
// that two homes which both believe in their role cannot both finish a turn
// on the same copies.
func (a *Archive) Store(part *wire.ProgramRecord, previous []byte, now time.Time) wire.StoreRecordReply_Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	incoming := FromWire(part)
	held, found := a.kept[part.GetProgramId()]
	if part.GetFirstTurn() <= 1 {
		if found && !incoming.newer(held.record) {
			return wire.StoreRecordReply_RESULT_REFUSED
		}
		a.kept[part.GetProgramId()] = &copyEntry{record: incoming, used: now}
		return wire.StoreRecordReply_RESULT_STORED
	}
	if !found {
		return wire.StoreRecordReply_RESULT_NEEDS_ALL
	}
	return a.join(held, part, previous, now)
}

func (a *Archive) join(held *copyEntry, part *wire.ProgramRecord, previous []byte, now time.Time) wire.StoreRecordReply_Result {
	before := part.GetFirstTurn() - 1
	if held.record.Turn() < before {
		return wire.StoreRecordReply_RESULT_NEEDS_ALL
	}
	if !bytes.Equal(held.record.DigestAt(before), previous) {
		return wire.StoreRecordReply_RESULT_REFUSED
	}
	whole := &wire.ProgramRecord{
		ProgramId: part.GetProgramId(), Workspace: part.GetWorkspace(), ParentId: part.GetParentId(),
		Budget: part.GetBudget(), LentToChildren: part.GetLentToChildren(), Ended: part.GetEnded(),
		Servers: part.GetServers(), Version: part.GetVersion(), Spent: part.GetSpent(),
		Children: part.GetChildren(),
	}
	turns := held.record.record.GetTurns()[:before:before]
	whole.Turns = append(turns, part.GetTurns()...)
	joined := FromWire(whole)
	if !joined.newer(held.record) {
		return wire.StoreRecordReply_RESULT_REFUSED
	}
	held.record = joined
	held.used = now
	return wire.StoreRecordReply_RESULT_STORED
}

// newer reports whether the record may replace the held one.
func (r *Record) newer(held *Record) bool {
	return r.Workspace() == held.Workspace() && r.Extends(held) && r.Version() >= held.Version()
}

// Fetch returns the copy of a program.
func (a *Archive) Fetch(id string) (*wire.ProgramRecord, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	held, found := a.kept[id]
	if !found {
		return nil, false
	}
	return held.record.ToWire(1), true
}

// Expire drops copies that were not written for that long and returns how
// many.
func (a *Archive) Expire(now time.Time, idle time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	dropped := 0
	for id, held := range a.kept {
		if now.Sub(held.used) >= idle {
			delete(a.kept, id)
			dropped++
		}
	}
	return dropped
}

// Len returns how many copies are kept.
func (a *Archive) Len() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.kept)
}
