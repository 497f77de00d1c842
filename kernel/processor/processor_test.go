package processor_test

import (
	"math"
	"testing"
	"time"

	"limpethall.dev/kernel/processor"
)

// TestQuantileCountsLastIntervalOnly guards against a delay that is reported long after the load
// that caused it, and against an infinite or missing bound.
func TestQuantileCountsLastIntervalOnly(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.001, 0.1, math.Inf(1)}
	for _, test := range []struct {
		name          string
		before, after []uint64
		want          time.Duration
	}{
		{"nothing counted", []uint64{0, 5, 0, 7}, []uint64{0, 5, 0, 7}, 0},
		{"long delays before", []uint64{0, 0, 90, 10}, []uint64{0, 1000, 90, 10}, time.Millisecond},
		{"2% wait long", []uint64{0, 0, 0, 0}, []uint64{0, 98, 2, 0}, 100 * time.Millisecond},
		{"beyond the last bound", []uint64{0, 0, 0, 0}, []uint64{0, 0, 0, 3}, 100 * time.Millisecond},
	} {
		if got := processor.Quantile(bounds, test.before, test.after, 0.99); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestUsageIsThatOfTheInterval guards against processor time that is not related to the time
// between two checks: it works without pause, which is reported as half a core if the clock says
// that twice the time has passed.
func TestUsageIsThatOfTheInterval(t *testing.T) {
	started := time.Now()
	now := started
	watcher := processor.New(0.5, func() time.Time { return now })
	for time.Since(started) < 200*time.Millisecond { // Uses the processor.
	}
	now = started.Add(2 * time.Since(started))
	watcher.Check(t.Context())
	if got := watcher.Current().Cores(); got <= 0 || got > 0.75 {
		t.Errorf("cores: got %g, want more than 0 and at most about 0.5", got)
	}
}
