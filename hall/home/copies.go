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
	copyTimeout    = 700 * time.Millisecond
	collectTimeout = time.Second
)

// replicate keeps the record's turns from the given one on at other halls,
// those in other zones first, until enough have confirmed, and in the store
// where that can't be had. It returns how many hold them. An error means that
// another home has finished the same turn.
func (h *Home) replicate(ctx context.Context, here *resident, from uint64) (int64, error) {
	record := here.record
	targets := h.copyTargets(record.ID())
	copies := int64(0)
	for len(targets) > 0 && copies < wantedCopies {
		batch := targets[:min(int(wantedCopies-copies), len(targets))]
		targets = targets[len(batch):]
		results := h.storeAll(ctx, batch, record, from)
		for _, result := range results {
			switch result {
			case wire.StoreRecordReply_RESULT_STORED:
				copies++
			case wire.StoreRecordReply_RESULT_REFUSED:
				return copies, movedDuringCall(record.ID())
			}
		}
	}
	if copies < wantedCopies {
		err := h.Vault.Keep(ctx, record)
		if err == nil {
			here.vaulted = true
			return copies + 1, nil
		}
		if platform.IsConflict(err) {
			return copies, movedDuringCall(record.ID())
		}
		h.Logger.Error("too few copies", zap.Error(err), zap.String("program", record.ID()), zap.Uint64("turn", record.Turn()), zap.Int64("copies", copies))
	}
	return copies, nil
}

func movedDuringCall(id string) *failure.Error {
	return failure.New(failure.CodeConflict, failure.Unknown, "program %s was moved to another home during the call: send the same request again", id)
}

// unreached stands for a hall that did not answer.
const unreached = wire.StoreRecordReply_Result(-1)

func (h *Home) storeAll(ctx context.Context, halls []host.Member, record *program.Record, from uint64) []wire.StoreRecordReply_Result {
	results := make([]wire.StoreRecordReply_Result, len(halls))
	var wait sync.WaitGroup
	for index, hall := range halls {
		wait.Go(func() { results[index] = h.storeAt(ctx, hall, record, from) })
	}
	wait.Wait()
	return results
}

// storeAt sends the newest turns and, where the hall lacks earlier ones, all.
func (h *Home) storeAt(ctx context.Context, hall host.Member, record *program.Record, from uint64) wire.StoreRecordReply_Result {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for _, first := range []uint64{max(1, from), 1} {
		previous := []byte(nil)
		if first > 1 {
			previous = record.DigestAt(first - 1)
		}
		reply, err := h.Client.Hall(hall.Address()).StoreRecord(ctx, &wire.StoreRecordRequest{Record: record.ToWire(first), PreviousDigest: previous})
		if err != nil {
			h.Logger.Warn("copy not stored", zap.String("hall", hall.Name()), zap.String("program", record.ID()), zap.Error(err))
			return unreached
		}
		if reply.GetResult() != wire.StoreRecordReply_RESULT_NEEDS_ALL {
			return reply.GetResult()
		}
	}
	return unreached
}

// copyTargets returns the other halls in order of rendezvous, at first one
// from each other zone.
func (h *Home) copyTargets(id string) []host.Member {
	used := map[string]bool{h.options.Identity.Zone: true}
	var spread, rest []host.Member
	for _, hall := range host.Rank(id, h.Roster.Roster().Halls()) {
		switch {
		case hall.Name() == h.options.Identity.Name:
		case used[hall.Zone()]:
			rest = append(rest, hall)
		default:
			used[hall.Zone()] = true
			spread = append(spread, hall)
		}
	}
	return append(spread, rest...)
}

// collect asks all halls for their copy and installs the best one that agrees
// with the ticket, if it goes further than the record held here.
func (h *Home) collect(ctx context.Context, here *resident, ticket program.Ticket) {
	best := better(here.record, h.fetchAll(ctx, ticket.Program()), ticket)
	if ticket.Turn() > 0 && (best == nil || best.Turn() < ticket.Turn()) {
		if kept := h.Vault.Fetch(ctx, ticket.Program()); kept != nil {
			here.vaulted = true
			best = better(best, []*program.Record{kept}, ticket)
		}
	}
	if best != here.record {
		here.record = best
		here.server = best.Last().GetEnd().GetServer()
		here.held = h.tokens(best.Messages())
		h.Logger.Info("program taken over", zap.String("program", ticket.Program()), zap.Uint64("turn", best.Turn()))
	}
}

// better returns the record that goes furthest among those that agree with the
// ticket, or the present one.
func better(present *program.Record, found []*program.Record, ticket program.Ticket) *program.Record {
	best := present
	for _, candidate := range found {
		if candidate.Workspace() != ticket.Workspace() {
			continue
		}
		if position := candidate.Locate(ticket); position == program.PositionAhead || position == program.PositionForeign {
			continue
		}
		if best == nil || candidate.Turn() > best.Turn() || (candidate.Turn() == best.Turn() && candidate.Version() > best.Version()) {
			best = candidate
		}
	}
	return best
}

func (h *Home) fetchAll(ctx context.Context, id string) []*program.Record {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	halls := h.Roster.Roster().Halls()
	replies := make([]*wire.ProgramRecord, len(halls))
	var wait sync.WaitGroup
	for index, hall := range halls {
		if hall.Name() == h.options.Identity.Name {
			replies[index], _ = h.Archive.Fetch(id)
			continue
		}
		wait.Go(func() {
			reply, err := h.Client.Hall(hall.Address()).FetchRecord(ctx, &wire.FetchRecordRequest{ProgramId: id})
			if err != nil {
				h.Logger.Debug("copy not fetched", zap.String("hall", hall.Name()), zap.Error(err))
				return
			}
			replies[index] = reply.GetRecord()
		})
	}
	wait.Wait()
	var found []*program.Record
	for _, reply := range replies {
		if reply != nil {
			found = append(found, program.FromWire(reply))
		}
	}
	return found
}

// FetchRecord returns the copy of a program that this hall keeps for others
// or holds as its home.
func (h *Home) FetchRecord(id string) *wire.ProgramRecord {
	kept, _ := h.Archive.Fetch(id)
	own := h.ownRecord(id)
	if own != nil && len(own.GetTurns()) >= len(kept.GetTurns()) {
		return own
	}
	return kept
}

// ownRecord returns the record of a program that lives here. While a call of
// it runs there is none; that call's turn is refused by the copies if another
// home finishes one meanwhile.
func (h *Home) ownRecord(id string) *wire.ProgramRecord {
	h.mutex.Lock()
	here, found := h.programs[id]
	h.mutex.Unlock()
	if !found {
		return nil
	}
	select {
	case here.turn <- struct{}{}:
		defer func() { <-here.turn }()
	default:
		return nil
	}
	if here.record == nil {
		return nil
	}
	return here.record.ToWire(1)
}

// hallsDigest identifies the set of halls by name and incarnation.
func hallsDigest(roster *host.Roster) uint64 {
	digest := xxhash.New()
	for _, hall := range roster.Halls() {
		_, _ = fmt.Fprintf(digest, "%s\x00%d\x00", hall.Name(), hall.Incarnation())
	}
	return digest.Sum64()
}
