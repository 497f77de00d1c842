package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/limit"
)

// epsilon is the tolerance for rounding errors in sums of tokens.
const epsilon = 1e-6

// meter checks that no interval admits more than burst plus rate times its length.
// It models all halls together as one leaky bucket that must never overflow.
type meter struct {
	rate, burst float64
	level       float64
	last        time.Time
}

func (m *meter) admit(now time.Time) error {
	m.level = max(0, m.level-m.rate*now.Sub(m.last).Seconds()) + 1
	m.last = now
	if m.level > m.burst+epsilon {
		return fmt.Errorf("%.3f tokens spent at once, burst is %.0f", m.level, m.burst)
	}
	return nil
}

// windowMeter checks that no window admits more than burst plus rate times its
// length.
type windowMeter struct {
	rate, burst float64
	window      time.Duration
	admitted    []time.Time
}

func (m *windowMeter) admit(now time.Time) error {
	for len(m.admitted) > 0 && now.Sub(m.admitted[0]) >= m.window {
		m.admitted = m.admitted[1:]
	}
	m.admitted = append(m.admitted, now)
	if allowed := m.rate*m.window.Seconds() + m.burst; float64(len(m.admitted)) > allowed+epsilon {
		return fmt.Errorf("%d requests in a window of %v, allowed are %.3f", len(m.admitted), m.window, allowed)
	}
	return nil
}

// admitter is a meter or a windowMeter.
type admitter interface{ admit(now time.Time) error }

// cluster simulates several halls that lend to each other over a network that
// delays, loses and duplicates messages.
type cluster struct {
	now     time.Time
	rate    float64
	burst   float64
	buckets []*limit.Bucket
	shares  []float64
	pending []message
	window  time.Duration
	meter   admitter
}

// message is an event that takes effect at a hall at a later time.
type message struct {
	deliverAt time.Time
	deliver   func()
}

func newCluster(rt *rapid.T, window time.Duration) *cluster {
	hallCount := rapid.IntRange(1, 5).Draw(rt, "halls")
	c := &cluster{
		window: window,
		now:    time.Unix(1000, 0), rate: float64(rapid.IntRange(1, 500).Draw(rt, "rate")), burst: float64(rapid.IntRange(1, 200).Draw(rt, "burst")),
	}
	for range hallCount {
		c.buckets = append(c.buckets, c.newBucket(1/float64(hallCount)))
		c.shares = append(c.shares, 1/float64(hallCount))
	}
	c.meter = &meter{rate: c.rate, burst: c.burst, last: c.now}
	if window > 0 {
		c.meter = &windowMeter{rate: c.rate, burst: c.burst, window: window}
	}
	return c
}

func (c *cluster) newBucket(share float64) *limit.Bucket {
	bucket := limit.NewBucket(c.now, c.window)
	bucket.Configure(c.now, c.rate, c.burst)
	bucket.SetShare(c.now, share)
	return bucket
}

func (c *cluster) schedule(delay time.Duration, deliver func()) {
	c.pending = append(c.pending, message{deliverAt: c.now.Add(delay), deliver: deliver})
}

func (c *cluster) advance(length time.Duration) {
	c.now = c.now.Add(length)
	var remaining []message
	for _, event := range c.pending {
		if event.deliverAt.After(c.now) {
			remaining = append(remaining, event)
			continue
		}
		event.deliver()
	}
	c.pending = remaining
}

func drawHall(rt *rapid.T, c *cluster, name string) int {
	return rapid.IntRange(0, len(c.buckets)-1).Draw(rt, name)
}

func drawDelay(rt *rapid.T, name string) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 60, 300, 700}).Draw(rt, name)) * time.Millisecond
}

// TestLentCapacityIsNotRefilled lends tokens, lets the lender refill and spends the
// tokens of both halls. A lender that refills the capacity of an open loan lets the
// two halls together exceed the burst.
func TestLentCapacityIsNotRefilled(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, borrower := limit.NewBucket(now, 0), limit.NewBucket(now, 0)
	for _, bucket := range []*limit.Bucket{lender, borrower} {
		bucket.Configure(now, 1000, 20)
		bucket.SetShare(now, 0.5)
	}
	now = now.Add(2 * time.Second)
	borrower.Accept(now, now, "lender", lender.Lend(now, 10, nil))
	now = now.Add(limit.LoanLifetime / 2)
	spent := 0
	for _, bucket := range []*limit.Bucket{lender, borrower} {
		for bucket.Take(now) {
			spent++
		}
	}
	if got, maxSpent := spent, 20; got > maxSpent {
		t.Errorf("spent at once by lender and borrower: got %d, want at most the burst of %d", got, maxSpent)
	}
}

func TestHallsTogetherStayWithinLimit(t *testing.T) {
	for range 10 {
		checkLimit(t, 0)
	}
}

// TestHallsTogetherStayWithinWindowLimit counts over windows, in each of which the
// buckets make the burst available again.
func TestHallsTogetherStayWithinWindowLimit(t *testing.T) {
	for range 10 {
		checkLimit(t, 2*time.Second)
	}
}

// TestWindowLimitHoldsUnderVaryingLoad alternates phases without load, with light
// load and with heavy load at one hall.
func TestWindowLimitHoldsUnderVaryingLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 2 * time.Second
		now := time.Unix(1000, 0)
		rate := float64(rapid.IntRange(1, 100).Draw(rt, "rate"))
		burst := float64(rapid.IntRange(1, 200).Draw(rt, "burst"))
		bucket := limit.NewBucket(now, window)
		bucket.Configure(now, rate, burst)
		bucket.SetShare(now, 1)
		meter := &windowMeter{rate: rate, burst: burst, window: window}
		for range rapid.IntRange(1, 12).Draw(rt, "load phases") {
			duration := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "milliseconds")) * time.Millisecond
			pause := time.Duration(rapid.SampledFrom([]int{1, 7, 100, 900, 5000}).Draw(rt, "pause")) * time.Millisecond
			batch := rapid.SampledFrom([]int{0, 1, 3, 1000}).Draw(rt, "batch size")
			for end := now.Add(duration); now.Before(end); now = now.Add(pause) {
				for index := 0; index < batch && bucket.Take(now); index++ {
					if err := meter.admit(now); err != nil {
						rt.Fatal(err)
					}
				}
			}
		}
	})
}

// TestRestartedHallRefillsImmediately restarts a hall whose earlier incarnation had
// lent as much as it may. Clients that the restart disconnected retry immediately, so
// the hall must refill from its start. It must not hold more than the part of its
// capacity that cannot be lent, because it does not know the open loans.
func TestRestartedHallRefillsImmediately(t *testing.T) {
	const (
		rate         = 100.0
		burst        = 50.0
		afterRestart = 200 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	lender, borrower := limit.NewBucket(now, 0), limit.NewBucket(now, 0)
	lender.Configure(now, rate, burst)
	lender.SetShare(now, 1)
	now = now.Add(2 * time.Second)
	lent := lender.Lend(now, burst, nil)
	borrower.Accept(now, now, "lender", lent)
	restarted := limit.NewBucket(now, 0)
	restarted.Configure(now, rate, burst)
	restarted.SetShare(now, 1)
	now = now.Add(afterRestart)
	if got, want := restarted.Tokens(now), rate*afterRestart.Seconds(); got < want-epsilon {
		t.Errorf("tokens %s after the restart: got %.1f, want at least %.1f", afterRestart, got, want)
	}
	now = now.Add(limit.LoanLifetime - afterRestart - time.Millisecond)
	if got, maxTokens := restarted.Tokens(now)+borrower.Tokens(now), burst; got > maxTokens+epsilon {
		t.Errorf("tokens of the restarted hall and its borrower: got %.1f, want at most the burst of %.0f", got, maxTokens)
	}
}

// TestBurstOfEachWindowIsUsable keeps a workspace far above its rate. A plain token
// bucket provides the burst only in the first window; every later window must admit
// burst plus rate times length too.
func TestBurstOfEachWindowIsUsable(t *testing.T) {
	const (
		rate    = 50.0
		burst   = 50.0
		window  = 5 * time.Second
		step    = 10 * time.Millisecond
		minUsed = 0.97
	)
	now := time.Unix(1000, 0)
	bucket := limit.NewBucket(now, window)
	bucket.Configure(now, rate, burst)
	bucket.SetShare(now, 1)
	measureFrom := now.Add(3 * window) // The deficit is only known after the first windows.
	end := measureFrom.Add(4 * window)
	admitted := 0
	for ; now.Before(end); now = now.Add(step) {
		for bucket.Take(now) {
			if !now.Before(measureFrom) {
				admitted++
			}
		}
	}
	allowed := 4 * (rate*window.Seconds() + burst)
	if got := float64(admitted) / allowed; got < minUsed {
		t.Errorf("admitted fraction of what four windows allow: got %.3f, want at least %.2f", got, minUsed)
	}
}

func checkLimit(t *testing.T, window time.Duration) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt, window)
		rt.Repeat(map[string]func(*rapid.T){
			"advance the clock": func(rt *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 150, 300, 3000}).Draw(rt, "milliseconds")) * time.Millisecond)
			},
			"send requests": func(rt *rapid.T) {
				c.spend(rt, drawHall(rt, c, "hall"), rapid.IntRange(1, 60).Draw(rt, "requests"))
			},
			"take and return tokens": func(rt *rapid.T) {
				bucket, taken := c.buckets[drawHall(rt, c, "hall")], 0
				for range rapid.IntRange(1, 20).Draw(rt, "requests") {
					if bucket.Take(c.now) {
						taken++
					}
				}
				for range taken {
					bucket.Return(c.now)
				}
			},
			"spend all tokens of all halls": func(rt *rapid.T) {
				for hall := range c.buckets {
					c.spend(rt, hall, 500)
				}
			},
			"borrow tokens": func(rt *rapid.T) { c.borrow(rt) },
			"transfer a share": func(rt *rapid.T) {
				source, target := drawHall(rt, c, "from"), drawHall(rt, c, "to")
				part := c.shares[source] * rapid.Float64Range(0, 1).Draw(rt, "part")
				c.setShare(source, c.shares[source]-part)
				if rapid.Bool().Draw(rt, "arrives") {
					c.schedule(drawDelay(rt, "delay"), func() { c.setShare(target, c.shares[target]+part) })
				}
			},
			"restart a hall": func(rt *rapid.T) {
				hall := drawHall(rt, c, "hall")
				c.buckets[hall] = c.newBucket(c.shares[hall])
			},
		})
	})
}

func (c *cluster) spend(rt *rapid.T, hall, count int) {
	for range count {
		if !c.buckets[hall].Take(c.now) {
			return
		}
		if err := c.meter.admit(c.now); err != nil {
			rt.Fatalf("hall %d: %v", hall, err)
		}
	}
}

func (c *cluster) setShare(hall int, share float64) {
	c.shares[hall] = share
	c.buckets[hall].SetShare(c.now, share)
}

// borrow sends a request, which is delayed and may be duplicated. The reply may get
// lost, or arrive after the borrower has restarted.
func (c *cluster) borrow(rt *rapid.T) {
	lenderIndex, borrowerIndex := drawHall(rt, c, "lender"), drawHall(rt, c, "borrower")
	if lenderIndex == borrowerIndex {
		return
	}
	borrower := c.buckets[borrowerIndex]
	amount := borrower.BorrowAmount(c.now, rapid.IntRange(1, 50).Draw(rt, "waiting"))
	sentAt := c.now
	replyDelay := drawDelay(rt, "answer")
	lost := rapid.Bool().Draw(rt, "lost")
	settled := borrower.DrainSettled(fmt.Sprint(lenderIndex))
	for range rapid.IntRange(1, 2).Draw(rt, "deliveries of the request") {
		c.schedule(drawDelay(rt, "request"), func() {
			loan := c.buckets[lenderIndex].Lend(c.now, amount, settled)
			if !lost {
				c.schedule(replyDelay, func() { borrower.Accept(sentAt, c.now, fmt.Sprint(lenderIndex), loan) })
			}
		})
	}
}

func TestLoweredLimitAppliesImmediately(t *testing.T) {
	now := time.Unix(1000, 0)
	bucket := limit.NewBucket(now, 0)
	bucket.Configure(now, 100, 100)
	bucket.SetShare(now, 1)
	now = now.Add(10 * time.Second)
	bucket.Configure(now, 10, 5)
	admitted := 0
	for bucket.Take(now) {
		admitted++
	}
	if got, want := admitted, 5; got != want {
		t.Errorf("admitted immediately after the limit was lowered: got %d, want %d", got, want)
	}
}

func TestFullRateIsUsable(t *testing.T) {
	for _, burst := range []float64{100, 10, 4} {
		t.Run(fmt.Sprint("burst ", burst), func(t *testing.T) { checkFullRate(t, burst) })
	}
}

func checkFullRate(t *testing.T, burst float64) {
	t.Helper()
	start := time.Unix(1000, 0)
	now := start
	idle, busy := limit.NewBucket(now, 0), limit.NewBucket(now, 0)
	for _, bucket := range []*limit.Bucket{idle, busy} {
		bucket.Configure(now, 100, burst)
		bucket.SetShare(now, 0.5)
	}
	admitted := 0
	for now.Before(start.Add(20 * time.Second)) {
		now = now.Add(5 * time.Millisecond)
		if busy.Take(now) {
			admitted++
			continue
		}
		sentAt := now
		now = now.Add(2 * time.Millisecond)
		busy.Accept(sentAt, now, "idle", idle.Lend(now, busy.BorrowAmount(now, 1), busy.DrainSettled("idle")))
	}
	if got, minAdmitted := admitted, 1900; got < minAdmitted {
		t.Errorf("admitted in 20 s at one of two halls with a rate of 100/s: got %d, want at least %d", got, minAdmitted)
	}
}

func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	bucket := limit.NewBucket(now, 0)
	bucket.Configure(now, 1e9, 1e9)
	bucket.SetShare(now, 1)
	now = now.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		bucket.Take(now)
	}
}
