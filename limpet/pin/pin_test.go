package pin_test

import (
	"slices"
	"testing"
	"time"

	"limpethall.dev/limpet/pin"
)

func TestReconcile(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name  string
		setup func(pins *pin.Tracker)
		held  []string
		now   time.Time
		want  []string
	}{
		{"a live program keeps its memory", func(pins *pin.Tracker) { pins.Pin("p", at(0)) }, []string{"p"}, at(9), nil},
		{"an idle program loses its memory", func(pins *pin.Tracker) { pins.Pin("p", at(0)) }, []string{"p"}, at(10), []string{"p"}},
		{"a renewed pin keeps the memory", func(pins *pin.Tracker) { pins.Pin("p", at(0)); pins.Pin("p", at(5)) }, []string{"p"}, at(12), nil},
		{"an ended program loses its memory at once", func(pins *pin.Tracker) { pins.Pin("p", at(0)); pins.Unpin("p", at(1)) }, []string{"p"}, at(1), []string{"p"}},
		{"an ended program loses its memory after an outdated report that omitted it", func(pins *pin.Tracker) {
			pins.Pin("p", at(0))
			pins.Unpin("p", at(1))
			pins.Reconcile(nil, at(2))
		}, []string{"p"}, at(3), []string{"p"}},
		{"held memory without a pin gets one", func(*pin.Tracker) {}, []string{"p"}, at(0), nil},
		{"an added pin expires without renewal", func(pins *pin.Tracker) { pins.Reconcile([]string{"p"}, at(0)) }, []string{"p"}, at(10), []string{"p"}},
	}
	for _, c := range cases {
		pins := pin.New(10 * time.Second)
		c.setup(pins)
		if got := pins.Reconcile(c.held, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v to release, want %v", c.name, got, c.want)
		}
	}
}

func TestExpiredPinsAreDropped(t *testing.T) {
	pins := pin.New(time.Second)
	pins.Pin("p", time.Unix(0, 0))
	pins.Reconcile(nil, time.Unix(2, 0))
	if got, want := pins.Len(), 0; got != want {
		t.Errorf("pins after their retention: got %d, want %d", got, want)
	}
}
