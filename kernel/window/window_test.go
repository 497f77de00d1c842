package window_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/window"
)

var options = window.Options{ColdLimit: 2, WarmLimit: 16, WarmUpTime: 10 * time.Second}

func TestWindowGrowsOnlyAfterWarmUp(t *testing.T) {
	now := time.Unix(1000, 0)
	w := window.New(options, now)
	for range 100 {
		w.Observe(now, time.Millisecond)
	}
	if got, want := w.Limit(now), options.ColdLimit; got != want {
		t.Errorf("limit during warm-up: got %d, want %d", got, want)
	}
	now = now.Add(options.WarmUpTime)
	answers := 0
	for w.Limit(now) < options.WarmLimit {
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
	now = now.Add(options.WarmUpTime)
	for range 200 {
		w.Observe(now, time.Millisecond)
	}
	reset := false
	for range 3 {
		reset = w.Observe(now, 20*time.Millisecond)
	}
	if !reset || w.Limit(now) != options.ColdLimit {
		t.Errorf("after three slow answers: got reset %v and limit %d, want true and %d", reset, w.Limit(now), options.ColdLimit)
	}
	now = now.Add(options.WarmUpTime)
	for range 100 {
		w.Observe(now, time.Millisecond)
	}
	if got, want := w.Limit(now), options.WarmLimit; got != want {
		t.Errorf("limit after another warm-up: got %d, want %d", got, want)
	}
}

func TestWindowLimitStaysInBounds(t *testing.T) {
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
				limit := w.Limit(now)
				if limit < options.ColdLimit || limit > options.WarmLimit {
					rt.Fatalf("limit: got %d, want %d to %d", limit, options.ColdLimit, options.WarmLimit)
				}
				if now.Sub(lastReset) < options.WarmUpTime && limit != options.ColdLimit {
					rt.Fatalf("limit %s after a reset: got %d, want %d", now.Sub(lastReset), limit, options.ColdLimit)
				}
			},
		})
	})
}
