package balance_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

var models = &catalog.Service{Name: "models", Slots: 8, ColdRate: 20}

func publish(directory *backend.Directory, options ...backend.Options) {
	servers := make([]backend.Server, 0, len(options))
	for _, option := range options {
		option.Service, option.Slots = "models", 8
		servers = append(servers, backend.NewServer(option))
	}
	directory.Publish(backend.NewList(1, time.Now(), servers, nil))
}

func choose(t *testing.T, b *balance.Balancer, key string) *balance.Choice {
	t.Helper()
	choice, err := b.Choose(time.Now(), balance.Query{Service: models, Key: key})
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	return choice
}

// TestProgramStaysWithItsHistory wants a program's turns at one server, until
// its queue costs more than computing the history again.
func TestProgramStaysWithItsHistory(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 1 })
	publish(directory, backend.Options{ID: "one", Zone: "a"}, backend.Options{ID: "two", Zone: "a"}, backend.Options{ID: "three", Zone: "b"})
	first := choose(t, b, "program")
	first.Keep("program")
	home := first.Server().ID()
	first.Done()
	for range 10 {
		next := choose(t, b, "program")
		if got := next.Server().ID(); got != home {
			t.Errorf("server of the next turn: got %s, want %s", got, home)
		}
		next.Done()
	}
	busy := choose(t, b, "program")
	busy.Report(time.Now(), balance.Load{Running: 8, Waiting: 10, Slots: 8})
	if got := choose(t, b, "program").Server().ID(); got == home {
		t.Errorf("server of a turn with ten waiting at %s: got it, want another", home)
	}
}

// TestHallsChooseAlike wants halls of one zone that know nothing of each other
// to put a program on the same server.
func TestHallsChooseAlike(t *testing.T) {
	options := []backend.Options{{ID: "one", Zone: "a"}, {ID: "two", Zone: "a"}, {ID: "three", Zone: "a"}}
	for index := range 20 {
		key := fmt.Sprintf("program-%d", index)
		var chosen []string
		for range 2 {
			directory := backend.NewDirectory()
			b := balance.New("a", directory, func() int { return 2 })
			publish(directory, options...)
			chosen = append(chosen, choose(t, b, key).Server().ID())
		}
		if chosen[0] != chosen[1] {
			t.Errorf("servers of %s: got %s and %s, want one", key, chosen[0], chosen[1])
		}
	}
}

// TestColdServerGetsTheHallsPart wants no more at a cold server in any second
// than this hall's part of what it bears.
func TestColdServerGetsTheHallsPart(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 5 })
	now := time.Now()
	publish(directory, backend.Options{ID: "cold", Zone: "a", ColdUntil: now.Add(time.Minute)})
	sent := 0
	for range 30 {
		if choice, err := b.Choose(now, balance.Query{Service: models}); err == nil {
			sent++
			choice.Done()
		} else {
			var none *balance.NoServerError
			if !errors.As(err, &none) {
				t.Fatalf("error: got %v, want a NoServerError", err)
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	if got, want := sent, 4; got != want {
		t.Errorf("requests in 600 ms to a server that bears 20 a second of five halls: got %d, want %d", got, want)
	}
}

// TestManyHallsShareAColdServer has more halls than a cold server bears requests in
// a second. It must be used, and within what it bears.
func TestManyHallsShareAColdServer(t *testing.T) {
	const (
		halls  = 60
		span   = 6 * time.Second
		pause  = 10 * time.Millisecond
		most   = 20*1.5 + 5 // What a cold server of this rate is stated to bear in a second.
		wanted = 0.5        // Part of the rate that must be used.
	)
	began := time.Now()
	var members []*balance.Balancer
	for range halls {
		directory := backend.NewDirectory()
		publish(directory, backend.Options{ID: "cold", Zone: "a", ColdUntil: began.Add(time.Minute)})
		members = append(members, balance.New("a", directory, func() int { return halls }))
	}
	var sends []time.Time
	for now := began; now.Before(began.Add(span)); now = now.Add(pause) {
		for _, member := range members {
			choice, err := member.Choose(now, balance.Query{Service: models})
			if err != nil {
				continue
			}
			choice.Done()
			sends = append(sends, now)
		}
	}
	for first, from := range sends {
		within := 0
		for _, at := range sends[first:] {
			if at.Sub(from) < time.Second {
				within++
			}
		}
		if within > most {
			t.Fatalf("requests in a second: got %d, want at most %.0f", within, most)
		}
	}
	if got, want := float64(len(sends)), wanted*models.ColdRate*span.Seconds(); got < want {
		t.Errorf("requests in %s: got %.0f, want at least %.0f", span, got, want)
	}
}

// TestFailedServerComesLast wants a server that failed to be passed over for a
// while and then used again.
func TestFailedServerComesLast(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 1 })
	publish(directory, backend.Options{ID: "near", Zone: "a"}, backend.Options{ID: "far", Zone: "b"})
	now := time.Now()
	at := func(now time.Time) string {
		choice, err := b.Choose(now, balance.Query{Service: models})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		defer choice.Done()
		if choice.Server().ID() == "near" {
			choice.Fail(now)
		}
		return choice.Server().ID()
	}
	for _, step := range []struct {
		after time.Duration
		want  string
	}{{0, "near"}, {time.Millisecond, "far"}, {time.Second, "far"}, {2 * time.Second, "near"}} {
		if got := at(now.Add(step.after)); got != step.want {
			t.Errorf("server %s after the first request: got %s, want %s", step.after, got, step.want)
		}
	}
}

// TestSplit wants a split route to follow its weights and a program to stay
// with one service.
func TestSplit(t *testing.T) {
	splits := []catalog.Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}
	const count = 5000
	taken := 0
	for index := range count {
		name := fmt.Sprintf("program-%d", index)
		got := balance.PickSplit(splits, name)
		if again := balance.PickSplit(splits, name); again != got {
			t.Fatalf("service of %s: got %s and then %s, want one", name, got, again)
		}
		if got == "new" {
			taken++
		}
	}
	if part := float64(taken) / count; part < 0.08 || part > 0.12 {
		t.Errorf("part of the new service: got %.3f, want 0.10", part)
	}
}
