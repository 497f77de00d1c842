package keeper

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/wire"
)

// maxFetchedTurns is the number of turns requested by one call.
const maxFetchedTurns = 256

// errMemberNotReady reports that a member lacks turns which it may copy later.
var errMemberNotReady = errors.New("member has not copied all records")

// Fetch implements wire.Keeper.
func (k *Keeper) Fetch(ctx context.Context, request *wire.FetchRequest) (*wire.CopyReply, error) {
	started := time.Now()
	var reply *wire.CopyReply
	err := buffer.FromContext(ctx).Take(k.pageMemory(sentCopies, int64(k.ledger.FetchSize(request.GetTurns()))))
	if err == nil {
		reply, err = k.ledger.Fetch(request.GetTurns())
	}
	k.instruments.record(ctx, "fetch", "answered", started, err)
	return reply, callError(err)
}

// fillGaps fetches from the other members the turns that stored turns continue, but that
// this keeper lacks. Without them, it could neither return the history of such a program
// nor extend the retention of the program's earlier turns. A turn that none of the members
// has is given up.
func (k *Keeper) fillGaps(ctx context.Context) {
	for ctx.Err() == nil {
		noted := k.ledger.Gaps()
		members := k.otherMembers()
		if len(noted) == 0 || len(members) == 0 {
			return
		}
		// A fetched turn may continue another one that is missing too.
		if missing := k.fetchFromAll(ctx, noted, len(members)); len(missing) == len(noted) {
			return
		}
	}
}

// fetchFromAll asks all other members for the missing turns and returns those that are
// still missing.
func (k *Keeper) fetchFromAll(ctx context.Context, noted []ledger.Gap, memberCount int) []ledger.Gap {
	started := time.Now()
	list, missing := k.membership.List(), slices.Clone(noted)
	failed := make(map[string]error)
	for position := range memberCount {
		for source, gaps := range k.groupBySource(list, missing, position) {
			if failed[source.Name] == nil {
				failed[source.Name] = k.fetchTurns(ctx, source, gaps)
			}
		}
		missing = k.stillMissing(missing)
	}
	maps.DeleteFunc(failed, func(_ string, err error) bool { return err == nil })
	for name, err := range failed {
		k.logger.Warn("failed to fetch missing turns", zap.String("from", name), zap.Error(err))
	}
	k.logger.Info("fetched missing turns", zap.Int("noted", len(noted)), zap.Int("stillMissing", len(missing)), zap.Int("failedMembers", len(failed)), zap.Duration("took", time.Since(started)))
	if len(failed) == 0 {
		for _, gap := range missing {
			k.ledger.ForgetGap(gap)
		}
	}
	return missing
}

func (k *Keeper) otherMembers() []replication.Keeper {
	return slices.DeleteFunc(slices.Clone(k.membership.List().All()), func(member replication.Keeper) bool { return member.Name == k.options.Name })
}

// groupBySource groups the gaps by the member to ask for them at the given position. The
// replicas of a gap's placement are asked first, then all others, which may have turns
// that were stored by an earlier list.
func (k *Keeper) groupBySource(list *replication.MemberList, gaps []ledger.Gap, position int) map[replication.Keeper][]ledger.Gap {
	grouped := make(map[replication.Keeper][]ledger.Gap)
	for _, gap := range gaps {
		sources := slices.Clone(list.Replicas(k.rule, gap.Placement()))
		for _, member := range list.All() {
			if !slices.Contains(sources, member) {
				sources = append(sources, member)
			}
		}
		sources = slices.DeleteFunc(sources, func(member replication.Keeper) bool { return member.Name == k.options.Name })
		if position < len(sources) {
			grouped[sources[position]] = append(grouped[sources[position]], gap)
		}
	}
	return grouped
}

// fetchTurns fetches from one member those of the missing turns that it has.
func (k *Keeper) fetchTurns(ctx context.Context, source replication.Keeper, gaps []ledger.Gap) error {
	for batch := range slices.Chunk(gaps, maxFetchedTurns) {
		request := &wire.FetchRequest{}
		for _, gap := range batch {
			request.Turns = append(request.Turns, gap.Turn())
		}
		for len(request.Turns) > 0 {
			reply, err := k.fetchSome(ctx, source, request)
			if err != nil {
				return err
			}
			next := slices.Index(request.GetTurns(), reply.next)
			if !reply.ready && reply.count < len(request.GetTurns()) {
				return errMemberNotReady
			}
			if next <= 0 {
				break
			}
			request.Turns = request.Turns[next:]
		}
	}
	return nil
}

// fetchedTurns tells what a member has sent of the missing turns.
type fetchedTurns struct {
	count int
	ready bool   // Whether the member has all turns that it is a replica for.
	next  string // The first turn that did not fit into the reply, empty for none.
}

// fetchSome fetches and stores those of the missing turns that one reply has.
func (k *Keeper) fetchSome(ctx context.Context, source replication.Keeper, request *wire.FetchRequest) (fetchedTurns, error) {
	account := k.calls.Open(buffer.PriorityNew)
	defer account.Release()
	if err := k.waitForPage(ctx, account, receivedCopies, usualPageBytes); err != nil {
		return fetchedTurns{}, err
	}
	client := k.countingClientOf(source, account)
	var reply *wire.CopyReply
	err := k.retryRefused(ctx, func() (err error) {
		reply, err = k.fetchTurnsOnce(ctx, client, request)
		return err
	})
	if err != nil {
		k.transport.CloseIdleConnections()
		return fetchedTurns{}, err
	}
	fetched := fetchedTurns{count: len(reply.GetTurns()), ready: reply.GetReady(), next: string(reply.GetNext())}
	return fetched, k.ledger.FillGaps(time.Now(), reply.GetTurns())
}

func (k *Keeper) fetchTurnsOnce(ctx context.Context, client wire.Keeper, request *wire.FetchRequest) (*wire.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return client.Fetch(ctx, request)
}

// stillMissing returns the gaps that are not filled. A filled gap may have uncovered
// another one, which is noted for the next time.
func (k *Keeper) stillMissing(gaps []ledger.Gap) []ledger.Gap {
	noted := make(map[string]bool)
	for _, gap := range k.ledger.Gaps() {
		noted[gap.Turn()] = true
	}
	return slices.DeleteFunc(gaps, func(gap ledger.Gap) bool { return !noted[gap.Turn()] })
}
