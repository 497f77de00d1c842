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

var modelService = &catalog.Service{Name: "models", Slots: 8, ColdRate: 20}

// publish replaces the servers in the directory, each with 8 slots.
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
	choice, err := b.Choose(time.Now(), balance.Query{Service: modelService, AffinityKey: key})
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	return choice
}

// TestProgramStaysAtItsServer checks that the turns of a program go to the server
// that holds its history until the queue there costs more than computing the
// history at another server.
func TestProgramStaysAtItsServer(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 1 })
	publish(directory, backend.Options{ID: "one", Zone: "a"}, backend.Options{ID: "two", Zone: "a"}, backend.Options{ID: "three", Zone: "b"})
	first := choose(t, b, "program")
	first.SetAffinity("program")
	serverID := first.Server().ID()
	first.Done()
	for range 10 {
		next := choose(t, b, "program")
		if got := next.Server().ID(); got != serverID {
			t.Errorf("server of the next turn: got %s, want %s", got, serverID)
		}
		next.Done()
	}
	busy := choose(t, b, "program")
	busy.ReportLoad(time.Now(), balance.Load{Running: 8, Waiting: 10, Slots: 8})
	if got := choose(t, b, "program").Server().ID(); got == serverID {
		t.Errorf("server of a turn while ten requests wait at %s: got that server, want another", serverID)
	}
}

// TestHallsChooseSameServer checks that halls of one zone that share no state
// select the same server for a new program.
func TestHallsChooseSameServer(t *testing.T) {
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
			t.Errorf("servers of %s: got %s and %s, want the same", key, chosen[0], chosen[1])
		}
	}
}

// TestColdServerGetsPortionOfOneHall checks that a hall sends a cold server no more
// than its portion of the cold rate in any second.
func TestColdServerGetsPortionOfOneHall(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 5 })
	now := time.Now()
	publish(directory, backend.Options{ID: "cold", Zone: "a", ColdUntil: now.Add(time.Minute)})
	sent := 0
	for range 30 {
		if choice, err := b.Choose(now, balance.Query{Service: modelService}); err == nil {
			sent++
			choice.Done()
		} else {
			var noServer *balance.NoServerError
			if !errors.As(err, &noServer) {
				t.Fatalf("error: got %v, want a NoServerError", err)
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	if got, want := sent, 4; got != want {
		t.Errorf("requests in 600 ms to a server with a cold rate of 20/s shared by five halls: got %d, want %d", got, want)
	}
}

// TestManyHallsShareColdServer has more halls than the cold rate allows requests in
// a second, so each hall may send less than one. The server must still be used,
// and no second may exceed 1.5 times the cold rate plus 5 requests.
func TestManyHallsShareColdServer(t *testing.T) {
	const (
		halls        = 60
		duration     = 6 * time.Second
		step         = 10 * time.Millisecond
		maxPerSecond = 20*1.5 + 5 // Limit of a cold server with this rate, in requests per second.
		minUsed      = 0.5        // Fraction of the cold rate that must be used.
	)
	start := time.Now()
	var balancers []*balance.Balancer
	for range halls {
		directory := backend.NewDirectory()
		publish(directory, backend.Options{ID: "cold", Zone: "a", ColdUntil: start.Add(time.Minute)})
		balancers = append(balancers, balance.New("a", directory, func() int { return halls }))
	}
	var sends []time.Time
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		for _, balancer := range balancers {
			choice, err := balancer.Choose(now, balance.Query{Service: modelService})
			if err != nil {
				continue
			}
			choice.Done()
			sends = append(sends, now)
		}
	}
	for index, windowStart := range sends {
		count := 0
		for _, sentAt := range sends[index:] {
			if sentAt.Sub(windowStart) < time.Second {
				count++
			}
		}
		if count > maxPerSecond {
			t.Fatalf("requests in a second: got %d, want at most %.0f", count, maxPerSecond)
		}
	}
	if got, want := float64(len(sends)), minUsed*modelService.ColdRate*duration.Seconds(); got < want {
		t.Errorf("requests in %s: got %.0f, want at least %.0f", duration, got, want)
	}
}

// TestFailedServerIsUsedLast checks that a server with a recent failure is avoided
// and used again after failureWindow.
func TestFailedServerIsUsedLast(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New("a", directory, func() int { return 1 })
	publish(directory, backend.Options{ID: "near", Zone: "a"}, backend.Options{ID: "far", Zone: "b"})
	now := time.Now()
	chooseAt := func(now time.Time) string {
		choice, err := b.Choose(now, balance.Query{Service: modelService})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		defer choice.Done()
		if choice.Server().ID() == "near" {
			choice.ReportFailure(now)
		}
		return choice.Server().ID()
	}
	for _, step := range []struct {
		after time.Duration
		want  string
	}{{0, "near"}, {time.Millisecond, "far"}, {time.Second, "far"}, {2 * time.Second, "near"}} {
		if got := chooseAt(now.Add(step.after)); got != step.want {
			t.Errorf("server %s after the first request: got %s, want %s", step.after, got, step.want)
		}
	}
}

// TestSplitFollowsWeights checks that the programs of a split route are distributed
// by weight and that each program stays with one service.
func TestSplitFollowsWeights(t *testing.T) {
	splits := []catalog.Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}
	const count = 5000
	selected := 0
	for index := range count {
		name := fmt.Sprintf("program-%d", index)
		got := balance.PickSplit(splits, name)
		if again := balance.PickSplit(splits, name); again != got {
			t.Fatalf("service of %s: got %s and then %s, want the same", name, got, again)
		}
		if got == "new" {
			selected++
		}
	}
	if fraction := float64(selected) / count; fraction < 0.08 || fraction > 0.12 {
		t.Errorf("fraction of programs at the new service: got %.3f, want 0.10", fraction)
	}
}
