package program

import (
	"bytes"
	"sync"
	"time"

	"limpethall.dev/kernel/wire"
)

// ReplicaStore stores replicas of the programs of other halls in memory. It is
// safe for concurrent use.
type ReplicaStore struct {
	mutex    sync.Mutex
	replicas map[string]*replica
}

type replica struct {
	record   *Record
	storedAt time.Time
}

// NewReplicaStore returns an empty store.
func NewReplicaStore() *ReplicaStore {
	return &ReplicaStore{replicas: make(map[string]*replica)}
}

// Store stores a received record. A record with all turns replaces the existing
// replica. A record that starts at a later turn is merged into the replica;
// previousDigest is then the digest of the turn that precedes it, and the result is
// RESULT_NEEDS_ALL if the replica lacks that turn. The result is RESULT_REFUSED if
// the received history contradicts the replica or is older, so that two halls that
// both act as the program's home can't both finish a turn on the same replicas.
func (s *ReplicaStore) Store(received *wire.ProgramRecord, previousDigest []byte, now time.Time) wire.StoreRecordReply_Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	incoming := FromWire(received)
	existing, found := s.replicas[received.GetProgramId()]
	if received.GetFirstTurn() <= 1 {
		if found && !incoming.canReplace(existing.record) {
			return wire.StoreRecordReply_RESULT_REFUSED
		}
		s.replicas[received.GetProgramId()] = &replica{record: incoming, storedAt: now}
		return wire.StoreRecordReply_RESULT_STORED
	}
	if !found {
		return wire.StoreRecordReply_RESULT_NEEDS_ALL
	}
	return s.mergeTurns(existing, received, previousDigest, now)
}

// mergeTurns replaces the turns of the existing replica after the preceding turn
// with the received ones.
func (s *ReplicaStore) mergeTurns(existing *replica, received *wire.ProgramRecord, previousDigest []byte, now time.Time) wire.StoreRecordReply_Result {
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

// Get returns the replica of a program.
func (s *ReplicaStore) Get(id string) (*wire.ProgramRecord, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	existing, found := s.replicas[id]
	if !found {
		return nil, false
	}
	return existing.record.ToWire(1), true
}

// Expire removes the replicas that were last stored at least the idle time ago
// and returns their number.
func (s *ReplicaStore) Expire(now time.Time, idle time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	removed := 0
	for id, existing := range s.replicas {
		if now.Sub(existing.storedAt) >= idle {
			delete(s.replicas, id)
			removed++
		}
	}
	return removed
}

// Len returns the number of replicas.
func (s *ReplicaStore) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.replicas)
}
