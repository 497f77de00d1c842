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

// Limits of the workspace in tests of the rate limiter.
const (
	limitedRate  = 40.0
	limitedBurst = 40
)

// admissionCounter counts admitted and refused requests. It adds the admitted ones
// to a leaky bucket that drains at the workspace's rate; the highest level is by
// how many requests any interval exceeded that rate.
type admissionCounter struct {
	mutex          sync.Mutex
	bucketLevel    float64
	lastResponse   time.Time
	maxBucketLevel float64
	admitted       int
	refused        int
}

// record adds the result of one request. It uses the time of the response, which
// is slightly after the admission; the slack in the checks allows for that.
func (a *admissionCounter) record(err error) {
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
	a.bucketLevel = max(0, a.bucketLevel-limitedRate*now.Sub(a.lastResponse).Seconds()) + 1
	a.lastResponse = now
	a.maxBucketLevel = max(a.maxBucketLevel, a.bucketLevel)
	a.admitted++
}

// runWithLimitedWorkspace runs a test in which one workspace has a low rate limit.
func runWithLimitedWorkspace(t *testing.T, test func(env *testEnv)) {
	t.Helper()
	runInTestEnv(t, func(options *deployment.Options) {
		options.Rows[0] = table.NewRow("kovacs", 1, limitedRate, limitedBurst, 20_000, nil)
	}, func(env *testEnv) {
		time.Sleep(10 * time.Second) // Wait until the shares are distributed and the buckets are full.
		test(env)
	})
}

// sendAtRate sends requests at a constant rate, given per second, for a duration,
// each to the address that pickAddress returns, and counts their results.
func (env *testEnv) sendAtRate(rate float64, duration time.Duration, pickAddress func(number int) string) *admissionCounter {
	counter := &admissionCounter{lastResponse: time.Now()}
	var wait sync.WaitGroup
	clients := make(map[string]*caller.Client)
	for number := range int(rate * duration.Seconds()) {
		address := pickAddress(number)
		if clients[address] == nil {
			clients[address] = env.clientWithPicker("kovacs", func() string { return address })
		}
		client := clients[address]
		wait.Go(func() {
			_, _, err := post(env.ctx, client, "/v1/services/orders/lookup", nil, `{}`)
			counter.record(err)
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
	return counter
}

func (env *testEnv) pickFirst(int) string { return env.Halls()[0].Address() }

func (env *testEnv) pickAlternating(number int) string {
	addresses := env.Addresses()
	return addresses[number/50%len(addresses)]
}

func (env *testEnv) pickRoundRobin(number int) string {
	addresses := env.Addresses()
	return addresses[number%len(addresses)]
}

// TestRequestsWithinRateLimitAreAdmitted sends requests at slightly less than the
// rate limit, in different distributions over the halls.
func TestRequestsWithinRateLimitAreAdmitted(t *testing.T) {
	cases := []struct {
		name string
		pick func(env *testEnv) func(number int) string
	}{
		{"one hall", func(env *testEnv) func(int) string { return env.pickFirst }},
		{"alternating between halls", func(env *testEnv) func(int) string { return env.pickAlternating }},
		{"evenly", func(env *testEnv) func(int) string { return env.pickRoundRobin }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithLimitedWorkspace(t, func(env *testEnv) {
				counter := env.sendAtRate(0.95*limitedRate, 40*time.Second, c.pick(env))
				if got, want := counter.refused, 0; got != want {
					t.Errorf("refused within the rate limit: got %d of %d, want %d", got, counter.admitted+counter.refused, want)
				}
			})
		})
	}
}

// TestRateLimitIsNotExceeded sends requests at twice the rate limit while halls
// crash, restart, or lose the connection to the store or to each other.
func TestRateLimitIsNotExceeded(t *testing.T) {
	cases := []struct {
		name        string
		fault       func(env *testEnv)
		minFraction float64 // Fraction of the rate that must still be admitted.
	}{
		{"no fault", func(*testEnv) {}, 0.9},
		{"hall crashes", func(env *testEnv) { env.KillHall(3) }, 0.6},
		{"hall crashes and restarts", func(env *testEnv) {
			env.KillHall(3)
			if err := env.StartHall(3, "hu-central-b"); err != nil {
				env.t.Fatal(err)
			}
		}, 0.6},
		{"hall stops and transfers its share", func(env *testEnv) {
			if err := env.StopHall(env.ctx, 3); err != nil {
				env.t.Fatal(err)
			}
		}, 0.8},
		{"store is down", func(env *testEnv) { env.Store().Memory().SetFaults(memory.Faults{Down: true}) }, 0.9},
		{"store loses responses", func(env *testEnv) { env.Store().Memory().SetFaults(memory.Faults{LoseAnswers: true}) }, 0.5},
		{"hall can't reach the store", func(env *testEnv) { env.network.Cut("hall-2", "store") }, 0.5},
		{"hall can't reach any other process", func(env *testEnv) { env.disconnectHall("hall-2") }, 0.5},
		{"halls can't reach each other", func(env *testEnv) {
			for first := range 4 {
				for second := range first {
					env.network.Cut(fmt.Sprintf("hall-%d", first+1), fmt.Sprintf("hall-%d", second+1))
				}
			}
		}, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithLimitedWorkspace(t, func(env *testEnv) {
				go func() {
					time.Sleep(5 * time.Second)
					c.fault(env)
				}()
				duration := 55 * time.Second
				counter := env.sendAtRate(2*limitedRate, duration, func(number int) string { return env.pickRoundRobin(number / 3) })
				// Requests wait for their tokens for different times, so responses
				// can be closer together than the admissions were.
				slack := limitedRate * 0.6
				if got, maximum := counter.maxBucketLevel, limitedBurst+slack; got > maximum {
					t.Errorf("largest burst: got %.1f requests, want at most %.1f", got, maximum)
				}
				if got, maximum := float64(counter.admitted), limitedBurst+limitedRate*duration.Seconds()+slack; got > maximum {
					t.Errorf("admitted: got %.0f, want at most %.0f", got, maximum)
				}
				if got, minimum := float64(counter.admitted), c.minFraction*limitedRate*duration.Seconds(); got < minimum {
					t.Errorf("admitted: got %.0f, want at least %.0f", got, minimum)
				}
			})
		})
	}
}

// TestRateLimitChangesUnderLoad lowers and raises the rate limit under load.
func TestRateLimitChangesUnderLoad(t *testing.T) {
	runWithLimitedWorkspace(t, func(env *testEnv) {
		const burst = 10
		for _, rate := range []float64{10, 80, 5} {
			env.applyEdits(table.NewPutRow(table.NewRow("kovacs", 1, rate, burst, 20_000, nil)))
			time.Sleep(propagationDeadline)
			start := time.Now()
			got := float64(env.sendAtRate(200, 20*time.Second, env.pickRoundRobin).admitted)
			expected := rate * time.Since(start).Seconds()
			if maximum, minimum := expected+burst, 0.8*expected; got > maximum || got < minimum {
				t.Errorf("rate of %.0f requests per second: got %.0f admitted, want %.0f to %.0f", rate, got, minimum, maximum)
			}
		}
	})
}
