package window_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/window"
)

var options = window.Options{Cold: 2, Warm: 16, WarmUp: 10 * time.Second}

func TestWindowGrowsOnlyWhenWarm(t *testing.T) {
	now := time.Unix(1000, 0)
	bound := window.New(options, now)
	for range 100 {
		bound.Observe(now, time.Millisecond)
	}
	if got, want := bound.Size(now), options.Cold; got != want {
		t.Errorf("in the warm-up time: got %d, want %d", got, want)
	}
	now = now.Add(options.WarmUp)
	answers := 0
	for bound.Size(now) < options.Warm {
		bound.Observe(now, time.Millisecond)
		answers++
	}
	if got, most := answers, 60; got > most {
		t.Errorf("answers until the window is open: got %d, want at most %d", got, most)
	}
}

func TestWindowClosesWhenLatencyJumps(t *testing.T) {
	now := time.Unix(1000, 0)
	bound := window.New(options, now)
	now = now.Add(options.WarmUp)
	for range 200 {
		bound.Observe(now, time.Millisecond)
	}
	closed := false
	for range 3 {
		closed = bound.Observe(now, 20*time.Millisecond)
	}
	if !closed || bound.Size(now) != options.Cold {
		t.Errorf("after three slow answers: got closed %v and size %d, want true and %d", closed, bound.Size(now), options.Cold)
	}
	now = now.Add(options.WarmUp)
	for range 100 {
		bound.Observe(now, time.Millisecond)
	}
	if got, want := bound.Size(now), options.Warm; got != want {
		t.Errorf("after it is warm again: got %d, want %d", got, want)
	}
}

func TestWindowBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		reset := now
		bound := window.New(options, now)
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "milliseconds")) * time.Millisecond)
			},
			"answer": func(rt *rapid.T) {
				if bound.Observe(now, time.Duration(rapid.IntRange(1, 100).Draw(rt, "latency"))*time.Millisecond) {
					reset = now
				}
			},
			"reset": func(*rapid.T) { bound.Reset(now); reset = now },
			"": func(rt *rapid.T) {
				size := bound.Size(now)
				if size < options.Cold || size > options.Warm {
					rt.Fatalf("size: got %d, want %d to %d", size, options.Cold, options.Warm)
				}
				if now.Sub(reset) < options.WarmUp && size != options.Cold {
					rt.Fatalf("size %s after a reset: got %d, want %d", now.Sub(reset), size, options.Cold)
				}
			},
		})
	})
}
