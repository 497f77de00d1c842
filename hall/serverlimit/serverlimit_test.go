package serverlimit_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

const (
	serverID     = "server-1"
	messageDelay = 2 * time.Millisecond
	// boundWindow is the window over which the platform bounds requests to a limited
	// server.
	boundWindow = 4 * time.Second
)

// maxRequests is the platform's bound of requests in boundWindow.
func maxRequests(rate float64) int { return int(1.5*rate*boundWindow.Seconds() + 5) }

// cluster consists of halls that call each other directly.
type cluster struct {
	mutex    sync.Mutex
	members  []host.Member
	limiters map[string]*serverlimit.Limiter
	silent   map[string]bool // Halls that are cut off from all others.
	calls    int
	sends    []time.Time
}

func newCluster(halls int) *cluster {
	c := &cluster{limiters: make(map[string]*serverlimit.Limiter), silent: make(map[string]bool)}
	for index := range halls {
		c.add(fmt.Sprintf("hall-%d", index))
	}
	return c
}

// add starts a hall that has seen no limit, or starts it again.
func (c *cluster) add(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limiters[name] == nil {
		c.members = append(slices.Clone(c.members), host.NewHall(name, "zone", name, 1))
	}
	c.limiters[name] = serverlimit.New(name, c.halls, func(hall host.Member) serverlimit.Peer { return peer{cluster: c, name: hall.Address()} },
		serverlimit.NewTracker(zap.NewNop()), zap.NewNop())
}

func (c *cluster) remove(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.members = slices.DeleteFunc(slices.Clone(c.members), func(member host.Member) bool { return member.Name() == name })
}

func (c *cluster) halls() []host.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.members
}

func (c *cluster) limiter(name string) *serverlimit.Limiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limiters[name]
}

func (c *cluster) silence(name string, silent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent[name] = silent
}

func (c *cluster) isSilent(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.silent[name]
}

func (c *cluster) isLimited(name string) bool {
	_, limited := c.limiter(name).Tracker().Limit(serverID)
	return limited
}

// nameLimit makes each hall see a response that names the rate.
func (c *cluster) nameLimit(statement serverlimit.Statement) {
	for _, member := range c.halls() {
		now := time.Now()
		c.limiter(member.Name()).Tracker().Observe(now, serverID, serverlimit.NewObservation(statement, now.Add(-messageDelay), now))
	}
}

// request sends one request through a hall if the limit allows it.
func (c *cluster) request(ctx context.Context, name string, maxWait time.Duration) bool {
	wait, err := c.limiter(name).Acquire(ctx, serverID, maxWait)
	if err != nil {
		return false
	}
	time.Sleep(wait)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sends = append(c.sends, time.Now())
	return true
}

// load sends requests at random times through random halls, and through each hall from
// time to time.
func (c *cluster) load(ctx context.Context, perSecond float64, duration, maxWait time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		halls := c.halls()
		name := halls[random.IntN(len(halls))].Name()
		group.Go(func() { c.request(ctx, name, maxWait) })
	}
	group.Wait()
}

// probe makes all halls probe those that did not answer, as their tasks do.
func (c *cluster) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range c.halls() {
			if limiter := c.limiter(member.Name()); limiter != nil && !c.isSilent(member.Name()) {
				go limiter.Probe(ctx)
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// highest returns the highest number of requests in boundWindow.
func (c *cluster) highest() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	slices.SortFunc(c.sends, time.Time.Compare)
	highest, first := 0, 0
	for index, at := range c.sends {
		for at.Sub(c.sends[first]) >= boundWindow {
			first++
		}
		highest = max(highest, index-first+1)
	}
	return highest
}

// peer calls one hall of the cluster.
type peer struct {
	cluster *cluster
	name    string
}

// Acquire implements serverlimit.Peer.
func (p peer) Acquire(ctx context.Context, request *wire.AcquireRequest) (*wire.AcquireReply, error) {
	p.cluster.mutex.Lock()
	p.cluster.calls++
	p.cluster.mutex.Unlock()
	if p.cluster.isSilent(p.name) || p.cluster.isSilent(request.GetHall()) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(messageDelay)
	reply := p.cluster.limiter(p.name).Grant(request)
	time.Sleep(messageDelay)
	return reply, nil
}

// Inform implements serverlimit.Peer.
func (p peer) Inform(_ context.Context, request *wire.InformRequest) (*wire.Empty, error) {
	time.Sleep(messageDelay)
	p.cluster.limiter(p.name).Inform(request)
	return &wire.Empty{}, nil
}

// TestAllHallsLearnOfLimit guards against a server that gets its first request from each
// of many halls because they have not seen its limit: a limit that one hall saw, and its
// end, must reach all halls in seconds, and a hall that starts must learn of it.
func TestAllHallsLearnOfLimit(t *testing.T) {
	for _, halls := range []int{4, 26, 510} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(halls)
			spread := func(duration time.Duration) {
				for end := time.Now().Add(duration); time.Now().Before(end); {
					var group sync.WaitGroup
					for _, member := range c.halls() {
						group.Go(func() { c.limiter(member.Name()).Spread(t.Context()) })
					}
					time.Sleep(time.Second)
					group.Wait()
				}
			}
			countLimited := func() int {
				count := 0
				for _, member := range c.halls() {
					if c.isLimited(member.Name()) {
						count++
					}
				}
				return count
			}
			observe := func(statement serverlimit.Statement) {
				now := time.Now()
				c.limiter("hall-0").Tracker().Observe(now, serverID, serverlimit.NewObservation(statement, now, now))
			}
			observe(serverlimit.Limited(1))
			spread(30 * time.Second)
			if got := countLimited(); got != halls {
				t.Errorf("halls that know the limit after 30 s: got %d, want %d", got, halls)
			}
			c.add("hall-new")
			spread(8 * time.Second)
			if !c.isLimited("hall-new") {
				t.Errorf("hall that started 8 s ago among %d: does not know the limit, want it to", halls)
			}
			observe(serverlimit.Unlimited())
			spread(30 * time.Second)
			if got := countLimited(); got != 0 {
				t.Errorf("halls of %d that keep to a limit 30 s after its end: got %d, want 0", halls, got)
			}
		})
	}
}

// TestLimitHoldsForAnyNumberOfHalls guards against a limit that is divided among halls
// until a part is below one request: the halls together must keep to it, and use it, at
// one call for a request.
func TestLimitHoldsForAnyNumberOfHalls(t *testing.T) {
	const duration = 60 * time.Second
	for _, halls := range []int{4, 26, 510} {
		for _, rate := range []float64{1, 3.3, 20} {
			t.Run(fmt.Sprintf("%d halls, %g requests/s", halls, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(halls)
					c.nameLimit(serverlimit.Limited(rate))
					c.load(t.Context(), 4*rate, duration, 500*time.Millisecond)
					if got := c.highest(); got > maxRequests(rate) {
						t.Errorf("requests in %s: got %d, want at most %d", boundWindow, got, maxRequests(rate))
					}
					if got, want := float64(len(c.sends)), 0.9*rate*duration.Seconds(); got < want {
						t.Errorf("requests in %s: got %.0f, want at least %.0f", duration, got, want)
					}
					if got, want := c.calls, int(4*rate*duration.Seconds()*1.2)+1; got > want {
						t.Errorf("calls between halls: got %d, want at most %d, one for a request", got, want)
					}
				})
			})
		}
	}
}

// TestLimitHoldsWhileHallsChange guards against a server that gets more than its limit
// while the halls that own it fall silent, leave and start again.
func TestLimitHoldsWhileHallsChange(t *testing.T) {
	const rate = 4.0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(8)
			c.nameLimit(serverlimit.Limited(rate))
			ctx, cancel := context.WithCancel(t.Context())
			go c.probe(ctx)
			done := make(chan struct{})
			go func() {
				defer close(done)
				random := rand.New(rand.NewPCG(seed, 1))
				for ctx.Err() == nil {
					name := host.Top(serverID, c.halls(), 2)[random.IntN(2)].Name()
					c.silence(name, true)
					time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
					if random.IntN(2) == 0 {
						c.remove(name)
						time.Sleep(time.Second)
						c.mutex.Lock()
						delete(c.limiters, name)
						c.mutex.Unlock()
						c.add(name)
					}
					c.silence(name, false)
					time.Sleep(2 * time.Second)
				}
			}()
			for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
				halls := c.halls()
				name := halls[rand.IntN(len(halls))].Name()
				if c.isSilent(name) || c.limiter(name) == nil {
					continue
				}
				if !c.isLimited(name) {
					now := time.Now() // A hall that has just started sends once and sees the limit.
					c.limiter(name).Tracker().Observe(now, serverID, serverlimit.NewObservation(serverlimit.Limited(rate), now, now))
					continue
				}
				go c.request(ctx, name, 300*time.Millisecond)
			}
			cancel()
			<-done
			time.Sleep(time.Second)
			if got := c.highest(); got > maxRequests(rate) {
				t.Errorf("seed %d: requests in %s: got %d, want at most %d", seed, boundWindow, got, maxRequests(rate))
			}
			if got := len(c.sends); got < int(rate*40*0.7) {
				t.Errorf("seed %d: requests in 40 s: got %d, want at least %.0f", seed, got, rate*40*0.7)
			}
		})
	}
}

// TestLimitHoldsWithHallsCutOff guards against halls that are cut off from all others and
// each send as much as the server takes from all. The owner of the limit is among them or
// not.
func TestLimitHoldsWithHallsCutOff(t *testing.T) {
	const rate = 3.0
	for _, firstCut := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(26)
			c.nameLimit(serverlimit.Limited(rate))
			for _, member := range host.Rank(serverID, c.halls())[firstCut : firstCut+8] {
				c.silence(member.Name(), true)
			}
			c.load(t.Context(), 8*rate, 60*time.Second, 500*time.Millisecond)
			if got := c.highest(); got > maxRequests(rate) {
				t.Errorf("requests in %s with the halls from rank %d on cut off: got %d, want at most %d", boundWindow, firstCut, got, maxRequests(rate))
			}
		})
	}
}

// TestNewestStatementHolds guards against responses that arrive late or out of order and
// change what a later response said, and against halls that go on with a limit that
// another hall has seen end.
func TestNewestStatementHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	type response struct {
		statement      serverlimit.Statement
		sent, received int
	}
	limited, unlimited := serverlimit.Limited, serverlimit.Unlimited()
	for name, test := range map[string]struct {
		responses []response
		want      serverlimit.Statement
	}{
		"none":                    {[]response{{unlimited, 0, 10}}, serverlimit.Statement{}},
		"changed":                 {[]response{{limited(5), 0, 10}, {limited(9), 20, 30}}, limited(9)},
		"ended":                   {[]response{{limited(5), 0, 10}, {unlimited, 20, 30}}, unlimited},
		"came back":               {[]response{{limited(5), 0, 10}, {unlimited, 20, 30}, {limited(4), 40, 50}}, limited(4)},
		"late response without":   {[]response{{limited(5), 20, 30}, {unlimited, 0, 40}}, limited(5)},
		"older limit":             {[]response{{limited(5), 0, 10}, {unlimited, 50, 60}, {limited(5), 20, 40}}, unlimited},
		"overlapping is stricter": {[]response{{limited(5), 0, 10}, {limited(3), 5, 15}}, limited(3)},
		"malformed":               {[]response{{limited(5), 0, 10}, {limited(math.NaN()), 20, 30}, {limited(-1), 20, 30}}, limited(5)},
		"huge":                    {[]response{{limited(5), 0, 10}, {limited(1e300), 20, 30}}, unlimited},
	} {
		tracker := serverlimit.NewTracker(zap.NewNop())
		for _, response := range test.responses {
			tracker.Observe(at(response.received), serverID, serverlimit.NewObservation(response.statement, at(response.sent), at(response.received)))
		}
		if got := tracker.Current(serverID).Statement(); got != test.want {
			t.Errorf("%s: got %+v, want %+v", name, got, test.want)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.nameLimit(serverlimit.Limited(1))
		time.Sleep(time.Second)
		now := time.Now()
		ownerName := host.Top(serverID, c.halls(), 1)[0].Name()
		c.limiter(ownerName).Tracker().Observe(now, serverID, serverlimit.NewObservation(serverlimit.Unlimited(), now, now))
		for _, member := range c.halls() {
			if _, err := c.limiter(member.Name()).Acquire(t.Context(), serverID, 0); err != nil {
				t.Errorf("%s: got %v, want no limit, as %s saw it end", member.Name(), err, ownerName)
			}
			if c.isLimited(member.Name()) {
				t.Errorf("%s: got a limit after %s told that it ended, want none", member.Name(), ownerName)
			}
		}
	})
}

// TestRefusalTellsWhenToAskAgain guards against refused callers that all come back at
// once.
func TestRefusalTellsWhenToAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.nameLimit(serverlimit.Limited(40))
		seen := make(map[time.Duration]bool)
		for number := range 10 {
			_, err := c.limiter("hall-0").Acquire(t.Context(), serverID, 0)
			var exceededErr *serverlimit.ExceededError
			if !errors.As(err, &exceededErr) {
				if number > 0 {
					t.Errorf("request %d of 10 at once: got %v, want an ExceededError", number, err)
				}
				continue
			}
			if got := exceededErr.RetryAfter(); got <= 0 || got > time.Second || seen[got] {
				t.Errorf("retry after: got %s, want a time of its own up to 1 s", got)
			}
			seen[exceededErr.RetryAfter()] = true
		}
	})
}
