package deployment_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/table"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
)

// The row of the limited workspace.
const (
	limitedRate  = 40.0
	limitedBurst = 40
)

// admissions counts what the halls let in and checks it against the row for
// every interval.
type admissions struct {
	mutex   sync.Mutex
	level   float64
	last    time.Time
	most    float64
	let     int
	refused int
}

// note takes in one answer. Time is that of the answer, which comes a little
// after the admission; the slack covers that.
func (a *admissions) note(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if caller.IsCode(err, "rateLimited") || caller.IsCode(err, "configurationUnknown") {
		a.refused++
		return
	}
	if err != nil {
		return
	}
	now := time.Now()
	a.level = max(0, a.level-limitedRate*now.Sub(a.last).Seconds()) + 1
	a.last = now
	a.most = max(a.most, a.level)
	a.let++
}

// limitedWorld runs a test with one workspace that has little.
func limitedWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	inWorld(t, func(options *deployment.Options) {
		options.Rows[0] = table.NewRow("kovacs", 1, limitedRate, limitedBurst, 20_000, nil)
	}, func(w *world) {
		time.Sleep(10 * time.Second) // The shares settle and the buckets fill.
		test(w)
	})
}

// send sends requests at a rate for some time, each through the hall that pick
// returns, and returns what came of them.
func (w *world) send(rate float64, length time.Duration, pick func(number int) string) *admissions {
	seen := &admissions{last: time.Now()}
	var wait sync.WaitGroup
	clients := make(map[string]*caller.Client)
	for number := range int(rate * length.Seconds()) {
		address := pick(number)
		if clients[address] == nil {
			clients[address] = w.clientAt("kovacs", func() string { return address })
		}
		client := clients[address]
		wait.Go(func() {
			_, _, err := post(w.ctx, client, "/v1/services/orders/lookup", nil, `{}`)
			seen.note(err)
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
	return seen
}

func (w *world) first(int) string { return w.Halls()[0].Address() }

func (w *world) flapping(number int) string {
	addresses := w.Addresses()
	return addresses[number/50%len(addresses)]
}

func (w *world) spread(number int) string {
	addresses := w.Addresses()
	return addresses[number%len(addresses)]
}

// TestRequestsInsideTheRateAreNotRefused sends nearly the row's rate through
// halls that get very different parts of it.
func TestRequestsInsideTheRateAreNotRefused(t *testing.T) {
	cases := []struct {
		name string
		pick func(w *world) func(number int) string
	}{
		{"all at one hall", func(w *world) func(int) string { return w.first }},
		{"flapping between halls", func(w *world) func(int) string { return w.flapping }},
		{"evenly", func(w *world) func(int) string { return w.spread }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limitedWorld(t, func(w *world) {
				seen := w.send(0.95*limitedRate, 40*time.Second, c.pick(w))
				if got, want := seen.refused, 0; got != want {
					t.Errorf("refused inside the rate: got %d of %d, want %d", got, seen.let+seen.refused, want)
				}
			})
		})
	}
}

// TestNoMoreThanTheRateIsLetIn sends several times the rate while halls die,
// restart, lose the store or each other.
func TestNoMoreThanTheRateIsLetIn(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *world)
		least float64 // The part of the rate that must still be served.
	}{
		{"no fault", func(*world) {}, 0.9},
		{"a hall dies", func(w *world) { w.KillHall(3) }, 0.6},
		{"a hall restarts", func(w *world) {
			w.KillHall(3)
			if err := w.StartHall(3, "hu-central-b"); err != nil {
				w.t.Fatal(err)
			}
		}, 0.6},
		{"a hall stops and hands over", func(w *world) {
			if err := w.StopHall(w.ctx, 3); err != nil {
				w.t.Fatal(err)
			}
		}, 0.8},
		{"the store is down", func(w *world) { w.Store().Memory().SetFaults(memory.Faults{Down: true}) }, 0.9},
		{"the store loses answers", func(w *world) { w.Store().Memory().SetFaults(memory.Faults{LoseAnswers: true}) }, 0.5},
		{"a hall loses the store", func(w *world) { w.network.Cut("hall-2", "store") }, 0.5},
		{"a hall loses everybody", func(w *world) { w.isolate("hall-2") }, 0.5},
		{"halls lose each other", func(w *world) {
			for first := range 4 {
				for second := range first {
					w.network.Cut(fmt.Sprintf("hall-%d", first+1), fmt.Sprintf("hall-%d", second+1))
				}
			}
		}, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limitedWorld(t, func(w *world) {
				go func() {
					time.Sleep(5 * time.Second)
					c.fault(w)
				}()
				length := 55 * time.Second
				seen := w.send(2*limitedRate, length, func(number int) string { return w.spread(number / 3) })
				// Answers of requests that waited for their token for different
				// times come closer together than they were admitted.
				slack := limitedRate * 0.6
				if got, most := seen.most, limitedBurst+slack; got > most {
					t.Errorf("most tokens out at once: got %.1f, want at most %.1f", got, most)
				}
				if got, most := float64(seen.let), limitedBurst+limitedRate*length.Seconds()+slack; got > most {
					t.Errorf("let in: got %.0f, want at most %.0f", got, most)
				}
				if got, least := float64(seen.let), c.least*limitedRate*length.Seconds(); got < least {
					t.Errorf("let in: got %.0f, want at least %.0f", got, least)
				}
			})
		})
	}
}

// TestLoweredAndRaisedRow changes the row under load.
func TestLoweredAndRaisedRow(t *testing.T) {
	limitedWorld(t, func(w *world) {
		const burst = 10
		for _, rate := range []float64{10, 80, 5} {
			w.change(table.NewPutRow(table.NewRow("kovacs", 1, rate, burst, 20_000, nil)))
			time.Sleep(forceBound)
			began := time.Now()
			got := float64(w.send(200, 20*time.Second, w.spread).let)
			whole := rate * time.Since(began).Seconds()
			if most, least := whole+burst, 0.8*whole; got > most || got < least {
				t.Errorf("row of %.0f a second: got %.0f let in, want %.0f to %.0f", rate, got, least, most)
			}
		}
	})
}
