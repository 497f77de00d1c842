package turns

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/wire"
)

// historySource selects the keeper that returns the history when a quorum reserves a turn, so
// that it is sent and kept once. This is the first responsive one in the hall's availability
// zone, or else the first: a keeper that is called anyway, on the shortest way. If it fails or
// is slow, the keepers called after it return the history.
type historySource struct {
	client  *Client
	keeper  string
	started time.Time
	failed  atomic.Bool
	found   atomic.Bool
}

func (c *Client) newHistorySource(active *ActiveTurn) *historySource {
	source := &historySource{client: c, started: time.Now()}
	if sources := c.sources(active.programKey); len(sources) > 0 {
		source.keeper = sources[0].Name
	}
	return source
}

// begin calls the method Begin of one keeper, which returns the history only if it is the
// source.
func (s *historySource) begin(ctx context.Context, keeper replication.Keeper, caller *caller, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	isSource := keeper.Name == s.keeper || s.failed.Load() || time.Since(s.started) >= hedgeDelay
	if !isSource || s.found.Load() {
		request = proto.Clone(request).(*wire.BeginTurnRequest)
		request.WantHistory = false
	}
	reply, err := s.client.begin(ctx, caller, request)
	switch {
	case reply.GetHistory().GetVerdict() == wire.FindVerdict_FIND_VERDICT_FOUND:
		s.found.Store(true)
	case keeper.Name == s.keeper:
		s.failed.Store(true)
	}
	return reply, err
}

// begin calls a keeper. If the keeper replies that its list is older than that of the
// request, it calls it again with the members.
func (c *Client) begin(ctx context.Context, caller *caller, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	reply, err := caller.begin(ctx, request)
	if err != nil || reply.GetVerdict() != wire.BeginVerdict_BEGIN_VERDICT_NOT_READY || reply.GetKeepers() == nil {
		return reply, err
	}
	list := c.keepers.List()
	if list.Digest() != request.GetKeepers().GetDigest() {
		return reply, nil
	}
	repeated := proto.Clone(request).(*wire.BeginTurnRequest)
	repeated.Keepers = list.ToWire(true)
	return caller.begin(ctx, repeated)
}

// sources returns the replicas of a placement key. A turn is stored at the first ones, as many
// as a quorum, if they respond. Of these, the ones in this hall's availability zone are first.
func (c *Client) sources(placement string) []replication.Keeper {
	replicas := c.replicas(placement)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	slices.SortStableFunc(replicas[:min(c.rule.Quorum(), len(replicas))], func(a, b replication.Keeper) int { return c.distance(a) - c.distance(b) })
	return replicas
}

// distance returns 0 for a responsive keeper in this hall's availability zone, 1 for another
// responsive one, and 2 for the rest. The caller holds the mutex.
func (c *Client) distance(keeper replication.Keeper) int {
	switch {
	case c.unresponsive(keeper) > 0:
		return 2
	case keeper.Zone != c.zone:
		return 1
	default:
		return 0
	}
}

// isFull reports whether this hall has no memory for a reply.
func isFull(err error) bool {
	var full *buffer.FullError
	return errors.As(err, &full)
}

// returnParts returns the memory of a history that is not used.
func returnParts(ctx context.Context, reply *wire.FindTurnReply) {
	size := 0
	for _, part := range reply.GetParts() {
		size += len(part) + partBytes
	}
	buffer.FromContext(ctx).Return(int64(size))
}
