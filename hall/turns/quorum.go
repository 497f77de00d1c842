package turns

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

// callResult is the result of one call to a keeper.
type callResult struct {
	reply any
	err   error
}

// quorumCall is a call to several replicas. replies is closed after the last
// reply; stop ends the wait for more. Each value sent on extra requests a call to
// one further replica.
type quorumCall struct {
	replies chan callResult
	stop    context.CancelFunc
	extra   chan struct{}
}

// callAnother requests a call to one further replica, if any is left.
func (q *quorumCall) callAnother() {
	select {
	case q.extra <- struct{}{}:
	default:
	}
}

// callFunc makes one call to a keeper.
type callFunc func(ctx context.Context, keeper replication.Keeper, caller *caller) (any, error)

// callReplicas calls a quorum of the replicas, and one further replica for each
// that fails. After hedgeDelay it calls, once, one further replica for each call
// that is still pending. Calls in progress are not canceled by stop, so that a
// record reaches as many disks as possible.
func (c *Client) callReplicas(ctx context.Context, placement string, fn callFunc) *quorumCall {
	replicas := c.replicas(placement)
	callCtx, stop := context.WithCancel(ctx)
	buffer.FromContext(ctx).Hold()
	q := &quorumCall{replies: make(chan callResult, len(replicas)), stop: stop, extra: make(chan struct{}, len(replicas))}
	task.Go(c.logger, "keeper replies", func() { c.collectReplies(callCtx, q, replicas, fn) })
	return q
}

func (c *Client) collectReplies(ctx context.Context, q *quorumCall, replicas []replication.Keeper, fn callFunc) {
	account := buffer.FromContext(ctx)
	defer account.Release()
	defer close(q.replies)
	defer q.stop()
	results := make(chan callResult, len(replicas))
	next, pending := 0, 0
	callNext := func() {
		if next < len(replicas) {
			keeper := replicas[next]
			next++
			pending++
			account.Hold()
			go func() {
				defer account.Release()
				results <- c.callKeeper(ctx, keeper, fn)
			}()
		}
	}
	for range min(c.rule.Quorum(), len(replicas)) {
		callNext()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for pending > 0 {
		select {
		case <-ctx.Done():
			return
		case result := <-results:
			pending--
			if result.err != nil && !isFull(result.err) {
				callNext() // A reply for which this hall has no memory would find none from another keeper.
			}
			q.replies <- result
		case <-q.extra:
			callNext()
		case <-hedge.C:
			for range pending {
				callNext()
			}
		}
	}
}

// callKeeper calls one keeper. The call is not canceled with ctx.
func (c *Client) callKeeper(ctx context.Context, keeper replication.Keeper, fn callFunc) callResult {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	caller, route := c.callerOf(keeper)
	var reply any
	err := task.Guard(c.logger, "keeper call", func() (err error) {
		reply, err = fn(callCtx, keeper, caller)
		return err
	})
	c.recordResult(callCtx, keeper, route, err)
	return callResult{reply: reply, err: err}
}

// answered reports whether the error of a call says that its keeper works: it replied with an
// error of its own, or it or this hall has no memory for the call at the moment.
func answered(err error) bool {
	var replied twirp.Error
	var status *StatusError
	return errors.As(err, &replied) || isFull(err) || (errors.As(err, &status) && status.status == http.StatusServiceUnavailable)
}

// recordResult records whether a keeper failed. After a timeout it closes the idle
// connections to all keepers, because they may be broken too. The result of a call
// on a route that is no longer used, such as one to a former address of the keeper, says
// nothing about the current one and is ignored.
func (c *Client) recordResult(ctx context.Context, keeper replication.Keeper, route keeperRoute, err error) {
	if errors.Is(err, errStaleList) || (err != nil && errors.Is(ctx.Err(), context.Canceled)) {
		return // A keeper with a newer list works, and a canceled call says nothing about its keeper.
	}
	if answered(err) {
		c.logger.Info("call to a keeper not served", zap.String("keeper", keeper.Name), zap.Error(err))
		err = nil
	}
	if err != nil {
		listed := c.keepers.List().All()
		if index := slices.IndexFunc(listed, func(k replication.Keeper) bool { return k.Name == keeper.Name }); index >= 0 {
			keeper = listed[index]
		}
	}
	c.mutex.Lock()
	_, failedBefore := c.failedAt[keeper.Name]
	if route != c.currentRoute(keeper) {
		c.mutex.Unlock()
		return
	}
	if err == nil {
		delete(c.failedAt, keeper.Name)
	} else {
		c.failedAt[keeper.Name] = time.Now()
		delete(c.viaHall, keeper.Name)
	}
	c.mutex.Unlock()
	switch {
	case err == nil && failedBefore:
		c.logger.Info("keeper answers again", zap.String("keeper", keeper.Name))
	case err != nil && !failedBefore:
		c.logger.Warn("keeper does not answer", zap.String("keeper", keeper.Name), zap.Error(err))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
}

// replicas returns the replicas of a placement key, unresponsive ones last.
func (c *Client) replicas(placement string) []replication.Keeper {
	replicas := slices.Clone(c.keepers.List().Replicas(c.rule, placement))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	slices.SortStableFunc(replicas, func(a, b replication.Keeper) int {
		return c.unresponsive(a) - c.unresponsive(b)
	})
	return replicas
}

// unresponsive returns 1 for a keeper that failed and has not replied since, and 0
// otherwise. The caller holds the mutex.
func (c *Client) unresponsive(keeper replication.Keeper) int {
	if _, found := c.failedAt[keeper.Name]; found {
		return 1
	}
	return 0
}

// QuorumReachable reports whether at least a quorum of the listed keepers that are
// not leaving, or all of them if there are fewer, are responsive, and at least one.
// If not, the hall is not ready for traffic.
func (c *Client) QuorumReachable() bool {
	responsive := 0
	active := c.keepers.List().Active()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range active {
		responsive += 1 - c.unresponsive(keeper)
	}
	return responsive >= min(c.rule.Quorum(), max(1, len(active)))
}

// Probe probes unresponsive keepers until they reply again, directly or through
// another hall. It returns when the context ends.
func (c *Client) Probe(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		task.Sleep(ctx, probeInterval)
		for _, keeper := range c.pruneAndListUnresponsive() {
			if c.beginProbe(keeper) {
				task.Go(c.logger, "keeper probe", func() { c.probe(ctx, keeper) })
			}
		}
		if round%directProbeRounds == 0 {
			c.transport.CloseExpired()
			for _, keeper := range c.forwardedKeepers() {
				task.Go(c.logger, "direct keeper probe", func() { c.probeDirect(ctx, keeper) })
			}
		}
	}
	return nil
}

// beginProbe marks a probe of the keeper as in progress. It returns false if one
// is in progress already.
func (c *Client) beginProbe(keeper replication.Keeper) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probing[keeper.Name] {
		return false
	}
	c.probing[keeper.Name] = true
	return true
}

func (c *Client) endProbe(keeper replication.Keeper) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, keeper.Name)
}

// probe probes an unresponsive keeper, first directly and then through a hall
// chosen at random.
func (c *Client) probe(ctx context.Context, keeper replication.Keeper) {
	defer c.endProbe(keeper)
	if c.probeRoute(ctx, keeper, endpoint{}) {
		c.logger.Info("keeper answers again", zap.String("keeper", keeper.Name))
		return
	}
	halls := c.otherHalls()
	if len(halls) == 0 {
		return
	}
	hall := halls[rand.IntN(len(halls))]
	if c.probeRoute(ctx, keeper, endpoint{name: hall.Name(), address: hall.Address()}) {
		c.logger.Info("keeper is called through another hall", zap.String("keeper", keeper.Name), zap.String("hall", hall.Address()))
	}
}

// probeDirect switches a keeper back to direct calls if a direct probe succeeds.
func (c *Client) probeDirect(ctx context.Context, keeper replication.Keeper) {
	if c.probeRoute(ctx, keeper, endpoint{}) {
		c.logger.Info("keeper is called directly again", zap.String("keeper", keeper.Name))
	}
}

// probeRoute probes a keeper through a hall, or directly if that is the zero value. If the
// keeper replies, later calls use the same route.
func (c *Client) probeRoute(ctx context.Context, keeper replication.Keeper, hall endpoint) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := newRoute(keeper, hall).newCaller(c.httpClient).find(probeCtx, &wire.FindTurnRequest{}); err != nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.failedAt, keeper.Name)
	delete(c.viaHall, keeper.Name)
	if hall != (endpoint{}) {
		c.viaHall[keeper.Name] = hall
	}
	return true
}

// forwardedKeepers returns the listed keepers that are called through other halls.
func (c *Client) forwardedKeepers() []replication.Keeper {
	var found []replication.Keeper
	all := c.keepers.List().All()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range all {
		if c.viaHall[keeper.Name] != (endpoint{}) {
			found = append(found, keeper)
		}
	}
	return found
}

// pruneAndListUnresponsive returns the listed keepers that do not reply, and deletes
// the recorded failures of those that are no longer listed.
func (c *Client) pruneAndListUnresponsive() []replication.Keeper {
	var found []replication.Keeper
	all := c.keepers.List().All()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range all {
		if c.unresponsive(keeper) > 0 {
			found = append(found, keeper)
		}
	}
	maps.DeleteFunc(c.failedAt, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(all, func(k replication.Keeper) bool { return k.Name == name })
	})
	return found
}

// currentRoute returns the route of calls to a keeper. The caller holds the mutex.
func (c *Client) currentRoute(keeper replication.Keeper) keeperRoute {
	return newRoute(keeper, c.viaHall[keeper.Name])
}

// callerOf returns a caller of a keeper and the route that it uses.
func (c *Client) callerOf(keeper replication.Keeper) (*caller, keeperRoute) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	route := c.currentRoute(keeper)
	found := c.callers[route]
	if found == nil {
		found = route.newCaller(c.httpClient)
		c.callers[route] = found
	}
	return found, route
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
