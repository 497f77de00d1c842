package turns

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/wire"
)

type result struct {
	reply any
	err   error
}

// results are the replies of one question. replies is closed when no more will
// come.
type results struct {
	replies chan result
	enough  context.CancelFunc
	again   chan struct{}
}

// more asks one further replica.
func (r *results) more() {
	select {
	case r.again <- struct{}{}:
	default:
	}
}

// ask puts a question to a quorum of the replicas, and to the next ones in turn
// for each that fails or is slow. The calls that are under way when enough is
// called go on, so that the records reach as many disks as they can.
func (c *Client) ask(ctx context.Context, placement string, call func(ctx context.Context, keeper wire.Keeper) (any, error)) *results {
	replicas := c.replicas(placement)
	waiting, enough := context.WithCancel(ctx)
	r := &results{replies: make(chan result, len(replicas)), enough: enough, again: make(chan struct{}, len(replicas))}
	go c.collect(waiting, r, replicas, call)
	return r
}

func (c *Client) collect(ctx context.Context, r *results, replicas []keeping.Keeper, call func(ctx context.Context, keeper wire.Keeper) (any, error)) {
	defer close(r.replies)
	defer r.enough()
	answers := make(chan result, len(replicas))
	next, open := 0, 0
	askNext := func() {
		if next < len(replicas) {
			keeper := replicas[next]
			next++
			open++
			go func() { answers <- c.call(ctx, keeper, call) }()
		}
	}
	for range min(c.rule.Quorum(), len(replicas)) {
		askNext()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for open > 0 {
		select {
		case <-ctx.Done():
			return
		case answer := <-answers:
			open--
			if answer.err != nil {
				askNext()
			}
			r.replies <- answer
		case <-r.again:
			askNext()
		case <-hedge.C:
			for range open {
				askNext()
			}
		}
	}
}

// call makes one call, which is not canceled with the question.
func (c *Client) call(ctx context.Context, keeper keeping.Keeper, call func(ctx context.Context, keeper wire.Keeper) (any, error)) result {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	client, way := c.client(keeper)
	reply, err := call(own, client)
	c.note(own, keeper, way, err)
	return result{reply: reply, err: err}
}

// note remembers a keeper that failed, and gives up its idle connections, which
// may be as dead as the one that failed. A call along a route that is no longer
// used says nothing of the present one.
func (c *Client) note(ctx context.Context, keeper keeping.Keeper, way route, err error) {
	if errors.Is(err, errStaleList) || (err != nil && errors.Is(ctx.Err(), context.Canceled)) {
		return // The keeper is well, or another one's answer was enough.
	}
	c.mutex.Lock()
	_, was := c.suspect[keeper.Name]
	if way != c.way(keeper) {
		c.mutex.Unlock()
		return
	}
	if err == nil {
		delete(c.suspect, keeper.Name)
	} else {
		c.suspect[keeper.Name] = time.Now()
		delete(c.through, keeper.Name)
	}
	c.mutex.Unlock()
	switch {
	case err == nil && was:
		c.logger.Info("keeper answers again", zap.String("keeper", keeper.Name))
	case err != nil && !was:
		var failure twirp.Error
		c.logger.Warn("keeper does not answer", zap.String("keeper", keeper.Name), zap.Error(err), zap.Bool("replied", errors.As(err, &failure)))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
}

// replicas returns the keepers of a placement, those that do not answer last.
func (c *Client) replicas(placement string) []keeping.Keeper {
	replicas := c.rule.Replicas(c.keepers.List().Holding(), placement)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	slices.SortStableFunc(replicas, func(a, b keeping.Keeper) int {
		return c.suspicion(a) - c.suspicion(b)
	})
	return replicas
}

// suspicion is 1 for a keeper that failed and has not answered since; the mutex
// is held.
func (c *Client) suspicion(keeper keeping.Keeper) int {
	if _, found := c.suspect[keeper.Name]; found {
		return 1
	}
	return 0
}

// Reachable reports whether enough keepers answer this hall to begin a turn. A
// hall without that should not be sent any.
func (c *Client) Reachable() bool {
	answering := 0
	holding := c.keepers.List().Holding()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range holding {
		answering += 1 - c.suspicion(keeper)
	}
	return answering >= min(c.rule.Quorum(), max(1, len(holding)))
}

// Probe asks the keepers that failed until they answer again, directly or through
// another hall. It runs until the context ends.
func (c *Client) Probe(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		duty.Pause(ctx, probePause)
		for _, keeper := range c.suspects() {
			if c.enterProbe(keeper) {
				go c.probe(ctx, keeper)
			}
		}
		if round%directProbeRounds == 0 {
			for _, keeper := range c.detours() {
				go c.probeDirect(ctx, keeper)
			}
		}
	}
	return nil
}

// enterProbe reports whether no probe of a keeper is under way and marks one.
func (c *Client) enterProbe(keeper keeping.Keeper) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probing[keeper.Name] {
		return false
	}
	c.probing[keeper.Name] = true
	return true
}

func (c *Client) leaveProbe(keeper keeping.Keeper) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, keeper.Name)
}

// probe asks a keeper that failed, first directly and then through a hall chosen
// at random.
func (c *Client) probe(ctx context.Context, keeper keeping.Keeper) {
	defer c.leaveProbe(keeper)
	if c.probeAlong(ctx, keeper, "") {
		c.logger.Info("keeper answers again", zap.String("keeper", keeper.Name))
		return
	}
	halls := c.halls()
	if len(halls) == 0 {
		return
	}
	hall := halls[rand.IntN(len(halls))]
	if c.probeAlong(ctx, keeper, hall) {
		c.logger.Info("keeper is called through another hall", zap.String("keeper", keeper.Name), zap.String("hall", hall))
	}
}

// probeDirect goes back to calling a keeper directly once that works.
func (c *Client) probeDirect(ctx context.Context, keeper keeping.Keeper) {
	if c.probeAlong(ctx, keeper, "") {
		c.logger.Info("keeper is called directly again", zap.String("keeper", keeper.Name))
	}
}

// probeAlong asks a keeper along a route and uses that from now on if the keeper
// answers.
func (c *Client) probeAlong(ctx context.Context, keeper keeping.Keeper, hall string) bool {
	own, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := (route{keeper: keeper.Address, hall: hall}).open(c.http).Find(own, &wire.FindTurnRequest{}); err != nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.suspect, keeper.Name)
	delete(c.through, keeper.Name)
	if hall != "" {
		c.through[keeper.Name] = hall
	}
	return true
}

// detours returns the listed keepers that are called through other halls.
func (c *Client) detours() []keeping.Keeper {
	var found []keeping.Keeper
	all := c.keepers.List().All()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range all {
		if c.through[keeper.Name] != "" {
			found = append(found, keeper)
		}
	}
	return found
}

// suspects returns the listed keepers that do not answer, and forgets those
// that are no longer listed.
func (c *Client) suspects() []keeping.Keeper {
	var found []keeping.Keeper
	all := c.keepers.List().All()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, keeper := range all {
		if c.suspicion(keeper) > 0 {
			found = append(found, keeper)
		}
	}
	maps.DeleteFunc(c.suspect, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(all, func(k keeping.Keeper) bool { return k.Name == name })
	})
	return found
}

// way returns the present route to a keeper; the mutex is held.
func (c *Client) way(keeper keeping.Keeper) route {
	return route{keeper: keeper.Address, hall: c.through[keeper.Name]}
}

// client returns a client of a keeper and the route that it takes.
func (c *Client) client(keeper keeping.Keeper) (wire.Keeper, route) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	way := c.way(keeper)
	known := c.clients[way]
	if known == nil {
		known = way.open(c.http)
		c.clients[way] = known
	}
	return known, way
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
