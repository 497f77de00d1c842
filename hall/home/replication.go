package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

const (
	replicaStoreTimeout = 700 * time.Millisecond
	replicaFetchTimeout = time.Second
)

// replicate stores the record's turns, starting with fromTurn, on other halls,
// preferring halls in other zones, until replicaTarget halls have confirmed. If
// too few confirm, it falls back to the key-value store. It returns the number
// of replicas. An error means that another hall, acting as home, has completed
// the same turn.
func (h *Home) replicate(ctx context.Context, hosted *hostedProgram, fromTurn uint64) (int64, error) {
	record := hosted.record
	remaining := h.replicaTargets(record.ID())
	replicas := int64(0)
	for len(remaining) > 0 && replicas < replicaTarget {
		batch := remaining[:min(int(replicaTarget-replicas), len(remaining))]
		remaining = remaining[len(batch):]
		results := h.storeReplicas(ctx, batch, record, fromTurn)
		for _, result := range results {
			switch result {
			case wire.StoreRecordReply_RESULT_STORED:
				replicas++
			case wire.StoreRecordReply_RESULT_REFUSED:
				return replicas, newHomeChangedError(record.ID())
			}
		}
	}
	if replicas < replicaTarget {
		err := h.Records.Put(ctx, record)
		if err == nil {
			hosted.inStore = true
			return replicas + 1, nil
		}
		if platform.IsConflict(err) {
			return replicas, newHomeChangedError(record.ID())
		}
		h.Logger.Error("too few copies", zap.Error(err), zap.String("program", record.ID()), zap.Uint64("turn", record.TurnCount()), zap.Int64("copies", replicas))
	}
	return replicas, nil
}

func newHomeChangedError(id string) *failure.Error {
	return failure.New(failure.CodeConflict, failure.Unknown, "program %s moved to another home hall during the call; send the same request again", id)
}

// resultUnreachable is the result for a hall that did not answer.
const resultUnreachable = wire.StoreRecordReply_Result(-1)

func (h *Home) storeReplicas(ctx context.Context, halls []host.Member, record *program.Record, fromTurn uint64) []wire.StoreRecordReply_Result {
	results := make([]wire.StoreRecordReply_Result, len(halls))
	var group sync.WaitGroup
	for index, hall := range halls {
		group.Go(func() { results[index] = h.storeReplica(ctx, hall, record, fromTurn) })
	}
	group.Wait()
	return results
}

// storeReplica sends the turns from fromTurn on. If the hall lacks earlier
// turns, it sends the whole record.
func (h *Home) storeReplica(ctx context.Context, hall host.Member, record *program.Record, fromTurn uint64) wire.StoreRecordReply_Result {
	ctx, cancel := context.WithTimeout(ctx, replicaStoreTimeout)
	defer cancel()
	for _, firstTurn := range []uint64{max(1, fromTurn), 1} {
		previousDigest := []byte(nil)
		if firstTurn > 1 {
			previousDigest = record.DigestAt(firstTurn - 1)
		}
		reply, err := h.Client.Hall(hall.Address()).StoreRecord(ctx, &wire.StoreRecordRequest{Record: record.ToWire(firstTurn), PreviousDigest: previousDigest})
		if err != nil {
			h.Logger.Warn("failed to store replica", zap.String("hall", hall.Name()), zap.String("program", record.ID()), zap.Error(err))
			return resultUnreachable
		}
		if reply.GetResult() != wire.StoreRecordReply_RESULT_NEEDS_ALL {
			return reply.GetResult()
		}
	}
	return resultUnreachable
}

// replicaTargets returns the other halls in rendezvous order, except that the
// first hall of each other zone comes before all the rest.
func (h *Home) replicaTargets(id string) []host.Member {
	usedZones := map[string]bool{h.options.Identity.Zone: true}
	var firstInZone, rest []host.Member
	for _, hall := range host.Rank(id, h.Roster.Roster().Halls()) {
		switch {
		case hall.Name() == h.options.Identity.Name:
		case usedZones[hall.Zone()]:
			rest = append(rest, hall)
		default:
			usedZones[hall.Zone()] = true
			firstInZone = append(firstInZone, hall)
		}
	}
	return append(firstInZone, rest...)
}

// recoverRecord fetches the replicas from all halls and adopts the newest one
// that is consistent with the ticket, if it is newer than the local record. If
// no hall has the turn of the ticket, it also reads the key-value store.
func (h *Home) recoverRecord(ctx context.Context, hosted *hostedProgram, ticket program.Ticket) {
	newest := newestConsistent(hosted.record, h.fetchReplicas(ctx, ticket.Program()), ticket)
	if ticket.Turn() > 0 && (newest == nil || newest.TurnCount() < ticket.Turn()) {
		if stored := h.Records.Get(ctx, ticket.Program()); stored != nil {
			hosted.inStore = true
			newest = newestConsistent(newest, []*program.Record{stored}, ticket)
		}
	}
	if newest != hosted.record {
		hosted.record = newest
		hosted.cacheServer = newest.LastTurn().GetEnd().GetServer()
		hosted.cachedTokens = h.estimateTokens(newest.Messages())
		h.Logger.Info("program recovered from a replica", zap.String("program", ticket.Program()), zap.Uint64("turn", newest.TurnCount()))
	}
}

// newestConsistent returns the newest record among current and those candidates
// that are consistent with the ticket.
func newestConsistent(current *program.Record, candidates []*program.Record, ticket program.Ticket) *program.Record {
	newest := current
	for _, candidate := range candidates {
		if candidate.Workspace() != ticket.Workspace() {
			continue
		}
		if position := candidate.Compare(ticket); position == program.PositionAhead || position == program.PositionDiverged {
			continue
		}
		if newest == nil || candidate.TurnCount() > newest.TurnCount() || (candidate.TurnCount() == newest.TurnCount() && candidate.Version() > newest.Version()) {
			newest = candidate
		}
	}
	return newest
}

func (h *Home) fetchReplicas(ctx context.Context, id string) []*program.Record {
	ctx, cancel := context.WithTimeout(ctx, replicaFetchTimeout)
	defer cancel()
	halls := h.Roster.Roster().Halls()
	replies := make([]*wire.ProgramRecord, len(halls))
	var group sync.WaitGroup
	for index, hall := range halls {
		if hall.Name() == h.options.Identity.Name {
			replies[index], _ = h.Replicas.Get(id)
			continue
		}
		group.Go(func() {
			reply, err := h.Client.Hall(hall.Address()).FetchRecord(ctx, &wire.FetchRecordRequest{ProgramId: id})
			if err != nil {
				h.Logger.Debug("failed to fetch replica", zap.String("hall", hall.Name()), zap.Error(err))
				return
			}
			replies[index] = reply.GetRecord()
		})
	}
	group.Wait()
	var records []*program.Record
	for _, reply := range replies {
		if reply != nil {
			records = append(records, program.FromWire(reply))
		}
	}
	return records
}

// FetchRecord returns this hall's record of a program, either as its home or as
// a replica, whichever has more turns. It returns nil if there is none.
func (h *Home) FetchRecord(id string) *wire.ProgramRecord {
	replica, _ := h.Replicas.Get(id)
	hosted := h.hostedRecord(id)
	if hosted != nil && len(hosted.GetTurns()) >= len(replica.GetTurns()) {
		return hosted
	}
	return replica
}

// hostedRecord returns the record of a program whose home is this hall. It
// returns nil while a call of the program runs: if another hall completes a turn
// in the meantime, the replicas refuse the turn of the running call.
func (h *Home) hostedRecord(id string) *wire.ProgramRecord {
	h.mutex.Lock()
	hosted, found := h.programs[id]
	h.mutex.Unlock()
	if !found {
		return nil
	}
	select {
	case hosted.lock <- struct{}{}:
		defer func() { <-hosted.lock }()
	default:
		return nil
	}
	if hosted.record == nil {
		return nil
	}
	return hosted.record.ToWire(1)
}

// digestHalls returns a digest of the names and incarnations of all halls.
func digestHalls(roster *host.Roster) uint64 {
	digest := xxhash.New()
	for _, hall := range roster.Halls() {
		_, _ = fmt.Fprintf(digest, "%s\x00%d\x00", hall.Name(), hall.Incarnation())
	}
	return digest.Sum64()
}
