package window_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/window"
)

var options = window.Options{Cold: 2, Warm: 16, WarmUp: 10 * time.Second}

func TestWindowGrowsOnlyAfterWarmUp(t *testing.T) {
	now := time.Unix(1000, 0)
	w := window.New(options, now)
	for range 100 {
		w.Observe(now, time.Millisecond)
	}
	if got, want := w.Size(now), options.Cold; got != want {
		t.Errorf("size during warm-up: got %d, want %d", got, want)
	}
	now = now.Add(options.WarmUp)
	answers := 0
	for w.Size(now) < options.Warm {
		w.Observe(now, time.Millisecond)
		answers++
	}
	if got, most := answers, 60; got > most {
		t.Errorf("answers until the warm limit: got %d, want at most %d", got, most)
	}
}

func TestWindowResetsAfterLatencyJump(t *testing.T) {
	now := time.Unix(1000, 0)
	w := window.New(options, now)
	now = now.Add(options.WarmUp)
	for range 200 {
		w.Observe(now, time.Millisecond)
	}
	reset := false
	for range 3 {
		reset = w.Observe(now, 20*time.Millisecond)
	}
	if !reset || w.Size(now) != options.Cold {
		t.Errorf("after three slow answers: got reset %v and size %d, want true and %d", reset, w.Size(now), options.Cold)
	}
	now = now.Add(options.WarmUp)
	for range 100 {
		w.Observe(now, time.Millisecond)
	}
	if got, want := w.Size(now), options.Warm; got != want {
		t.Errorf("size after another warm-up: got %d, want %d", got, want)
	}
}

func TestWindowSizeStaysInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		lastReset := now
		w := window.New(options, now)
		rt.Repeat(map[string]func(*rapid.T){
			"time passes": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "milliseconds")) * time.Millisecond)
			},
			"answer": func(rt *rapid.T) {
				if w.Observe(now, time.Duration(rapid.IntRange(1, 100).Draw(rt, "latency"))*time.Millisecond) {
					lastReset = now
				}
			},
			"reset": func(*rapid.T) { w.Reset(now); lastReset = now },
			"": func(rt *rapid.T) {
				size := w.Size(now)
				if size < options.Cold || size > options.Warm {
					rt.Fatalf("size: got %d, want %d to %d", size, options.Cold, options.Warm)
				}
				if now.Sub(lastReset) < options.WarmUp && size != options.Cold {
					rt.Fatalf("size %s after a reset: got %d, want %d", now.Sub(lastReset), size, options.Cold)
				}
			},
		})
	})
}
