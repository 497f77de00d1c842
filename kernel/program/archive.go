package program

import (
	"bytes"
	"sync"
	"time"

	"limpethall.dev/kernel/wire"
)

// Archive stores replicas of the programs of other halls in memory. It is safe
// for concurrent use.
type Archive struct {
	mutex    sync.Mutex
	replicas map[string]*replica
}

type replica struct {
	record   *Record
	storedAt time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{replicas: make(map[string]*replica)}
}

// Store stores a received record. A record with all turns replaces the existing
// replica. A record that starts at a later turn is merged into the replica;
// previousDigest is then the digest of the turn that precedes it, and the result is
// RESULT_NEEDS_ALL if the replica lacks that turn. The result is RESULT_REFUSED if
// the received history contradicts the replica or is older, so that two halls that
// both act as the program's home can't both finish a turn on the same replicas.
func (a *Archive) Store(received *wire.ProgramRecord, previousDigest []byte, now time.Time) wire.StoreRecordReply_Result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	incoming := FromWire(received)
	existing, found := a.replicas[received.GetProgramId()]
	if received.GetFirstTurn() <= 1 {
		if found && !incoming.canReplace(existing.record) {
			return wire.StoreRecordReply_RESULT_REFUSED
		}
		a.replicas[received.GetProgramId()] = &replica{record: incoming, storedAt: now}
		return wire.StoreRecordReply_RESULT_STORED
	}
	if !found {
		return wire.StoreRecordReply_RESULT_NEEDS_ALL
	}
	return a.mergeTurns(existing, received, previousDigest, now)
}

// mergeTurns replaces the turns of the existing replica after the preceding turn
// with the received ones.
func (a *Archive) mergeTurns(existing *replica, received *wire.ProgramRecord, previousDigest []byte, now time.Time) wire.StoreRecordReply_Result {
	precedingTurn := received.GetFirstTurn() - 1
	if existing.record.TurnCount() < precedingTurn {
		return wire.StoreRecordReply_RESULT_NEEDS_ALL
	}
	if !bytes.Equal(existing.record.DigestAt(precedingTurn), previousDigest) {
		return wire.StoreRecordReply_RESULT_REFUSED
	}
	merged := &wire.ProgramRecord{
		ProgramId: received.GetProgramId(), Workspace: received.GetWorkspace(), ParentId: received.GetParentId(),
		Budget: received.GetBudget(), LentToChildren: received.GetLentToChildren(), Ended: received.GetEnded(),
		Servers: received.GetServers(), Version: received.GetVersion(), Spent: received.GetSpent(),
		Children: received.GetChildren(),
	}
	turns := existing.record.data.GetTurns()[:precedingTurn:precedingTurn]
	merged.Turns = append(turns, received.GetTurns()...)
	mergedRecord := FromWire(merged)
	if !mergedRecord.canReplace(existing.record) {
		return wire.StoreRecordReply_RESULT_REFUSED
	}
	existing.record = mergedRecord
	existing.storedAt = now
	return wire.StoreRecordReply_RESULT_STORED
}

// canReplace reports whether the record may replace the existing one: it belongs
// to the same workspace, extends the history of the existing record and has no
// lower version.
func (r *Record) canReplace(existing *Record) bool {
	return r.Workspace() == existing.Workspace() && r.Extends(existing) && r.Version() >= existing.Version()
}

// Fetch returns the replica of a program.
func (a *Archive) Fetch(id string) (*wire.ProgramRecord, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	existing, found := a.replicas[id]
	if !found {
		return nil, false
	}
	return existing.record.ToWire(1), true
}

// Expire removes the replicas that were last stored at least the idle time ago
// and returns their number.
func (a *Archive) Expire(now time.Time, idle time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	removed := 0
	for id, existing := range a.replicas {
		if now.Sub(existing.storedAt) >= idle {
			delete(a.replicas, id)
			removed++
		}
	}
	return removed
}

// Len returns the number of replicas.
func (a *Archive) Len() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.replicas)
}
