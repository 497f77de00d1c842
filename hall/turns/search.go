package turns

import (
	"context"
	"errors"
	"slices"
	"time"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

// searchWidth is how many more keepers are asked for a turn at a time.
const searchWidth = 2

// findHistory looks for the chain of the previous turn.
func (c *Client) findHistory(ctx context.Context, active *ActiveTurn) error {
	history, err := c.findChain(ctx, active, active.turn.Previous)
	if err != nil {
		return err
	}
	active.setHistory(ctx, history)
	return nil
}

// findChain looks for a turn, or an event, and those that it continues. It puts the chain
// together from what several keepers have, if none has all of it: each turn is on a quorum of
// the replicas, but a keeper that was down for a moment lacks the turns of that time.
func (c *Client) findChain(ctx context.Context, active *ActiveTurn, newest string) (*wire.FindTurnReply, error) {
	groups := [][]replication.Keeper{c.sources(active.programKey), c.keepers.List().All()}
	history := &wire.FindTurnReply{}
	for turn := newest; turn != ""; {
		search := &turnSearch{client: c, queried: make(map[string]bool), request: &wire.FindTurnRequest{Turn: turn, Workspace: active.turn.Workspace}}
		reply, err := search.run(ctx, groups)
		var notFound *TurnNotFoundError
		switch {
		case errors.As(err, &notFound) && turn != newest:
			// A turn that continues it is stored, so this one was stored as well.
			return nil, search.unavailable(errIncomplete)
		case err != nil:
			return nil, err
		case reply.GetVerdict() == wire.FindVerdict_FIND_VERDICT_FOREIGN:
			return nil, &WrongWorkspaceError{turn: newest}
		}
		history.Parts = slices.Concat(reply.GetParts(), history.GetParts())
		if history.Placement == "" {
			history.Placement = reply.GetPlacement()
		}
		turn = reply.GetMissing()
	}
	history.Verdict = wire.FindVerdict_FIND_VERDICT_FOUND
	return history, nil
}

// turnSearch is the search of the keepers for one turn and those that it continues.
type turnSearch struct {
	client      *Client
	request     *wire.FindTurnRequest
	queried     map[string]bool
	absentCount int
	lastErr     error // Why the last inconclusive reply was inconclusive.
}

// run asks the groups of keepers in turn. The reply holds the whole chain of the turn, or
// the newest part of it and the turn that is missing. The first group holds the program's
// replicas and the last one all keepers, since another program may have begun the chain.
// The turn does not exist only if every keeper says so.
func (s *turnSearch) run(ctx context.Context, groups [][]replication.Keeper) (*wire.FindTurnReply, error) {
	for _, group := range groups {
		if reply := s.query(ctx, group); reply != nil {
			return reply, nil
		}
		if isFull(s.lastErr) {
			break
		}
	}
	if s.lastErr == nil && s.absentCount >= s.client.rule.Quorum() {
		return nil, &TurnNotFoundError{turn: s.request.GetTurn()}
	}
	return nil, s.unavailable(errNoKeepers)
}

// unavailable returns the error of an inconclusive search. cause is used if no keeper gave
// one.
func (s *turnSearch) unavailable(cause error) error {
	if s.lastErr != nil {
		cause = s.lastErr
	}
	return &UnavailableError{operation: "find the previous turn", answered: s.absentCount, needed: len(s.queried), cause: cause}
}

// query asks the given keepers that were not asked before and returns the first reply with the
// whole chain. If there is none, it returns the longest part of the chain, or nil. Once it has
// a part, it waits no longer than hedgeDelay for more replies.
//
// Each reply may hold a whole chain, so it asks one keeper first, and searchWidth more for each
// reply that does not settle the search and after each hedgeDelay. Each keeper has callTimeout to
// answer. One that is still silent when the search ends has not failed.
func (s *turnSearch) query(ctx context.Context, keepers []replication.Keeper) *wire.FindTurnReply {
	searchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	keepers = slices.DeleteFunc(slices.Clone(keepers), func(keeper replication.Keeper) bool { return s.queried[keeper.Name] })
	replies := make(chan callResult)
	pending := 0
	ask := func(count int) {
		for range min(count, len(keepers)) {
			s.ask(searchCtx, keepers[0], replies)
			keepers = keepers[1:]
			pending++
		}
	}
	ask(1)
	var longest *wire.FindTurnReply
	var partTimeout <-chan time.Time
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for pending > 0 {
		var result callResult
		select {
		case result = <-replies:
		case <-partTimeout:
			return longest
		case <-ctx.Done():
			// The replies that are missing are dropped by those who asked.
			s.lastErr = ctx.Err()
			return longest
		case <-hedge.C:
			ask(searchWidth)
			continue
		}
		pending--
		if result.err != nil {
			s.lastErr = result.err
			if isFull(result.err) {
				return longest // It would find no memory from another keeper either.
			}
			ask(searchWidth)
			continue
		}
		reply := result.reply.(*wire.FindTurnReply)
		switch reply.GetVerdict() {
		case wire.FindVerdict_FIND_VERDICT_FOUND, wire.FindVerdict_FIND_VERDICT_FOREIGN:
			returnParts(ctx, longest)
			return reply
		case wire.FindVerdict_FIND_VERDICT_PARTIAL:
			if len(reply.GetParts()) > len(longest.GetParts()) {
				longest, reply = reply, longest
			}
			returnParts(ctx, reply)
			if partTimeout == nil {
				partTimeout = time.After(hedgeDelay)
			}
		case wire.FindVerdict_FIND_VERDICT_ABSENT:
			s.absentCount++
		default:
			s.lastErr = errIncomplete
		}
		ask(searchWidth)
	}
	return longest
}

// ask asks one keeper in the background. The memory of a reply that nobody waits for any more is
// returned.
func (s *turnSearch) ask(ctx context.Context, keeper replication.Keeper, replies chan<- callResult) {
	s.queried[keeper.Name] = true
	account := buffer.FromContext(ctx)
	account.Hold()
	go func() {
		defer account.Release()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		caller, route := s.client.callerOf(keeper)
		var reply *wire.FindTurnReply
		err := task.Guard(s.client.logger, "turn search", func() (err error) {
			reply, err = caller.find(callCtx, s.request)
			return err
		})
		s.client.recordResult(callCtx, keeper, route, err)
		select {
		case replies <- callResult{reply: reply, err: err}:
		case <-ctx.Done():
			returnParts(ctx, reply)
		}
	}()
}
