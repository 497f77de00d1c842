package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/limit"
)

// epsilon covers the rounding of sums of tokens.
const epsilon = 1e-6

// meter checks that for every interval no more was admitted than burst plus
// rate times length: it is one bucket over all halls that must never overflow.
type meter struct {
	rate, burst float64
	level       float64
	last        time.Time
}

func (m *meter) admit(now time.Time) error {
	m.level = max(0, m.level-m.rate*now.Sub(m.last).Seconds()) + 1
	m.last = now
	if m.level > m.burst+epsilon {
		return fmt.Errorf("%.3f tokens were out at once, burst is %.0f", m.level, m.burst)
	}
	return nil
}

// windowMeter checks that no window holds more than rate times its length plus
// burst.
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
	if most := m.rate*m.window.Seconds() + m.burst; float64(len(m.admitted)) > most+epsilon {
		return fmt.Errorf("%d requests in a window of %v, %.3f are allowed", len(m.admitted), m.window, most)
	}
	return nil
}

// admitter is a meter or a windowMeter.
type admitter interface{ admit(now time.Time) error }

// halls is a model of several halls that lend to each other by messages which
// are late, lost or repeated.
type halls struct {
	now     time.Time
	rate    float64
	burst   float64
	buckets []*limit.Bucket
	shares  []float64
	pending []message
	window  time.Duration
	meter   admitter
}

// message is something that will happen at a hall later.
type message struct {
	at    time.Time
	apply func()
}

func newHalls(rt *rapid.T, window time.Duration) *halls {
	count := rapid.IntRange(1, 5).Draw(rt, "halls")
	h := &halls{
		window: window,
		now:    time.Unix(1000, 0), rate: float64(rapid.IntRange(1, 500).Draw(rt, "rate")), burst: float64(rapid.IntRange(1, 200).Draw(rt, "burst")),
	}
	for range count {
		h.buckets = append(h.buckets, h.fresh(1/float64(count)))
		h.shares = append(h.shares, 1/float64(count))
	}
	h.meter = &meter{rate: h.rate, burst: h.burst, last: h.now}
	if window > 0 {
		h.meter = &windowMeter{rate: h.rate, burst: h.burst, window: window}
	}
	return h
}

func (h *halls) fresh(share float64) *limit.Bucket {
	bucket := limit.NewBucket(h.now, h.window)
	bucket.Configure(h.now, h.rate, h.burst)
	bucket.SetShare(h.now, share)
	return bucket
}

func (h *halls) later(delay time.Duration, apply func()) {
	h.pending = append(h.pending, message{at: h.now.Add(delay), apply: apply})
}

func (h *halls) advance(length time.Duration) {
	h.now = h.now.Add(length)
	var left []message
	for _, due := range h.pending {
		if due.at.After(h.now) {
			left = append(left, due)
			continue
		}
		due.apply()
	}
	h.pending = left
}

func draw(rt *rapid.T, h *halls, name string) int {
	return rapid.IntRange(0, len(h.buckets)-1).Draw(rt, name)
}

func delay(rt *rapid.T, name string) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 60, 300, 700}).Draw(rt, name)) * time.Millisecond
}

// TestLentCapacityStaysClosed lends, lets the lender refill, and spends all.
func TestLentCapacityStaysClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, borrower := limit.NewBucket(now, 0), limit.NewBucket(now, 0)
	for _, bucket := range []*limit.Bucket{lender, borrower} {
		bucket.Configure(now, 1000, 20)
		bucket.SetShare(now, 0.5)
	}
	now = now.Add(2 * time.Second)
	borrower.Accept(now, now, "lender", lender.Lend(now, 10, nil))
	now = now.Add(limit.LoanLength / 2)
	spent := 0
	for _, bucket := range []*limit.Bucket{lender, borrower} {
		for bucket.Take(now) {
			spent++
		}
	}
	if got, most := spent, 20; got > most {
		t.Errorf("spent at once by lender and borrower: got %d, want at most the burst of %d", got, most)
	}
}

func TestNoMoreThanTheRowOverAllHalls(t *testing.T) {
	for range 10 {
		checkRow(t, 0)
	}
}

// TestNoMoreThanTheRowInAnyWindow counts over windows, whose bursts the buckets
// make usable.
func TestNoMoreThanTheRowInAnyWindow(t *testing.T) {
	for range 10 {
		checkRow(t, 2*time.Second)
	}
}

// TestWindowsHoldThroughLoadsOfAllShapes lets spells of idleness, of light and of
// heavy load follow each other at one hall.
func TestWindowsHoldThroughLoadsOfAllShapes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 2 * time.Second
		now := time.Unix(1000, 0)
		rate := float64(rapid.IntRange(1, 100).Draw(rt, "rate"))
		burst := float64(rapid.IntRange(1, 200).Draw(rt, "burst"))
		bucket := limit.NewBucket(now, window)
		bucket.Configure(now, rate, burst)
		bucket.SetShare(now, 1)
		watched := &windowMeter{rate: rate, burst: burst, window: window}
		for range rapid.IntRange(1, 12).Draw(rt, "spells") {
			length := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "milliseconds")) * time.Millisecond
			pause := time.Duration(rapid.SampledFrom([]int{1, 7, 100, 900, 5000}).Draw(rt, "pause")) * time.Millisecond
			atOnce := rapid.SampledFrom([]int{0, 1, 3, 1000}).Draw(rt, "at once")
			for end := now.Add(length); now.Before(end); now = now.Add(pause) {
				for number := 0; number < atOnce && bucket.Take(now); number++ {
					if err := watched.admit(now); err != nil {
						rt.Fatal(err)
					}
				}
			}
		}
	})
}

// TestRestartedHallRefillsAtOnce restarts a hall whose earlier incarnation had
// lent all that it may. Callers that its end cut off come back at once, so it must
// refill from its start, but not hold more than what can't be lent.
func TestRestartedHallRefillsAtOnce(t *testing.T) {
	const (
		rate  = 100.0
		burst = 50.0
		soon  = 200 * time.Millisecond
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
	now = now.Add(soon)
	if got, want := restarted.Tokens(now), rate*soon.Seconds(); got < want-epsilon {
		t.Errorf("tokens %s after the restart: got %.1f, want %.1f", soon, got, want)
	}
	now = now.Add(limit.LoanLength - soon - time.Millisecond)
	if got, most := restarted.Tokens(now)+borrower.Tokens(now), burst; got > most+epsilon {
		t.Errorf("tokens of the restarted hall and its borrower: got %.1f, want at most the burst of %.0f", got, most)
	}
}

// TestBurstOfEachWindowIsUsable keeps a workspace far over its rate and wants
// each later window to hold rate times length plus burst too.
func TestBurstOfEachWindowIsUsable(t *testing.T) {
	const (
		rate   = 50.0
		burst  = 50.0
		window = 5 * time.Second
		step   = 10 * time.Millisecond
		wanted = 0.97
	)
	now := time.Unix(1000, 0)
	bucket := limit.NewBucket(now, window)
	bucket.Configure(now, rate, burst)
	bucket.SetShare(now, 1)
	begin := now.Add(3 * window) // The deficit is known after some windows.
	end := begin.Add(4 * window)
	count := 0
	for ; now.Before(end); now = now.Add(step) {
		for bucket.Take(now) {
			if !now.Before(begin) {
				count++
			}
		}
	}
	whole := 4 * (rate*window.Seconds() + burst)
	if got := float64(count) / whole; got < wanted {
		t.Errorf("admitted part of what four windows may hold: got %.3f, want at least %.2f", got, wanted)
	}
}

func checkRow(t *testing.T, window time.Duration) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		h := newHalls(rt, window)
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(rt *rapid.T) {
				h.advance(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 150, 300, 3000}).Draw(rt, "milliseconds")) * time.Millisecond)
			},
			"requests come": func(rt *rapid.T) {
				h.spend(rt, draw(rt, h, "hall"), rapid.IntRange(1, 60).Draw(rt, "requests"))
			},
			"every hall spends all it has": func(rt *rapid.T) {
				for hall := range h.buckets {
					h.spend(rt, hall, 500)
				}
			},
			"a hall borrows": func(rt *rapid.T) { h.borrow(rt) },
			"a share moves": func(rt *rapid.T) {
				from, to := draw(rt, h, "from"), draw(rt, h, "to")
				part := h.shares[from] * rapid.Float64Range(0, 1).Draw(rt, "part")
				h.setShare(from, h.shares[from]-part)
				if rapid.Bool().Draw(rt, "arrives") {
					h.later(delay(rt, "delay"), func() { h.setShare(to, h.shares[to]+part) })
				}
			},
			"a hall restarts": func(rt *rapid.T) {
				hall := draw(rt, h, "hall")
				h.buckets[hall] = h.fresh(h.shares[hall])
			},
		})
	})
}

func (h *halls) spend(rt *rapid.T, hall, most int) {
	for range most {
		if !h.buckets[hall].Take(h.now) {
			return
		}
		if err := h.meter.admit(h.now); err != nil {
			rt.Fatalf("hall %d: %v", hall, err)
		}
	}
}

func (h *halls) setShare(hall int, share float64) {
	h.shares[hall] = share
	h.buckets[hall].SetShare(h.now, share)
}

// borrow sends a request that arrives late and an answer that arrives later,
// never, or after the borrower was replaced.
func (h *halls) borrow(rt *rapid.T) {
	from, to := draw(rt, h, "lender"), draw(rt, h, "borrower")
	if from == to {
		return
	}
	borrower := h.buckets[to]
	wanted := borrower.Wanted(h.now, rapid.IntRange(1, 50).Draw(rt, "waiting"))
	asked := h.now
	back := delay(rt, "answer")
	lost := rapid.Bool().Draw(rt, "lost")
	settled := borrower.Settled(fmt.Sprint(from))
	for range rapid.IntRange(1, 2).Draw(rt, "deliveries of the request") {
		h.later(delay(rt, "request"), func() {
			loan := h.buckets[from].Lend(h.now, wanted, settled)
			if !lost {
				h.later(back, func() { borrower.Accept(asked, h.now, fmt.Sprint(from), loan) })
			}
		})
	}
}

func TestLoweredRowHoldsOnceInstalled(t *testing.T) {
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
		t.Errorf("admitted at once after the row was lowered: got %d, want %d", got, want)
	}
}

func TestWholeRateIsUsable(t *testing.T) {
	for _, burst := range []float64{100, 10, 4} {
		t.Run(fmt.Sprint("burst ", burst), func(t *testing.T) { checkWholeRate(t, burst) })
	}
}

func checkWholeRate(t *testing.T, burst float64) {
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
		asked := now
		now = now.Add(2 * time.Millisecond)
		busy.Accept(asked, now, "idle", idle.Lend(now, busy.Wanted(now, 1), busy.Settled("idle")))
	}
	if got, least := admitted, 1900; got < least {
		t.Errorf("admitted in 20 s at one of two halls, row of 100 a second: got %d, want at least %d", got, least)
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
