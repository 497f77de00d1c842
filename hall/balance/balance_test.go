package balance_test

import (
	"errors"
	"fmt"
	"slices"
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
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, backend.Options{ID: "one", Zone: "a"}, backend.Options{ID: "two", Zone: "a"}, backend.Options{ID: "three", Zone: "b"})
	first := choose(t, b, "program")
	first.SetAffinity(time.Now(), balance.Query{Service: modelService, AffinityKey: "program"})
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
			b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 2 }})
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
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 5 }})
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
		balancers = append(balancers, balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return halls }}))
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
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
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

// limitOf returns a function for balance.Query that names a limit for the given servers.
func limitOf(servers ...string) func(string) (float64, bool) {
	return func(id string) (float64, bool) {
		if slices.Contains(servers, id) {
			return 5, true
		}
		return 0, false
	}
}

// TestLimitedServerIsUsedWhileItsWaitIsShort guards against requests that wait for the
// limit of a server although another one is faster, and against limits that are not used.
func TestLimitedServerIsUsedWhileItsWaitIsShort(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, backend.Options{ID: "limited", Zone: "a"}, backend.Options{ID: "free", Zone: "b"})
	query := balance.Query{Service: modelService, Limit: limitOf("limited"), MaxWait: 500 * time.Millisecond}
	now := time.Now()
	first, err := b.Choose(now, query)
	if err != nil || first.Server().ID() != "limited" || !first.IsLimited() {
		t.Fatalf("first choice: got %v, error %v, want the limited server in the same zone", first, err)
	}
	if got := first.MaxWait(); got > 10*time.Millisecond {
		t.Errorf("wait for the limit while the other server is free: got up to %s, want at most 10 ms", got)
	}
	first.ReportLimitWait(now, 200*time.Millisecond)
	if next, err := b.Choose(now, query); err != nil || next.Server().ID() != "free" {
		t.Errorf("choice while the limit means a wait of 200 ms: got %v, error %v, want the free server", next, err)
	}
	later := now.Add(250 * time.Millisecond)
	next, err := b.Choose(later, query)
	if err != nil || next.Server().ID() != "limited" {
		t.Fatalf("choice after the wait: got %v, error %v, want the limited server", next, err)
	}
	next.ReportLimitRefusal(later, 100*time.Millisecond)
	if next, err := b.Choose(later, query); err != nil || next.Server().ID() != "free" {
		t.Errorf("choice after a refusal: got %v, error %v, want the free server", next, err)
	}
}

// TestProgramsAreNotStartedAtFullServers guards against the requests over the limits of
// some servers that all go to the remaining ones and queue there until their deadlines.
// Running programs may queue.
func TestProgramsAreNotStartedAtFullServers(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, backend.Options{ID: "limited", Zone: "a"}, backend.Options{ID: "free", Zone: "a"})
	now := time.Now()
	running := balance.Query{Service: modelService, Limit: limitOf("limited"), MaxWait: 100 * time.Millisecond}
	starting := balance.Query{Service: modelService, Limit: limitOf("limited"), MaxWait: -100 * time.Millisecond}
	for range 8 {
		choice, err := b.Choose(now, balance.Query{Service: modelService, Tried: map[string]bool{"limited": true}})
		if err != nil {
			t.Fatal(err)
		}
		defer choice.Done()
	}
	choice, err := b.Choose(now, starting)
	if err != nil || choice.Server().ID() != "limited" || choice.MaxWait() >= 0 {
		t.Fatalf("server of a new program: got %v, error %v, want the limited one, if its limit is unused", choice, err)
	}
	choice.ReportLimitRefusal(now, 50*time.Millisecond)
	var noServerErr *balance.NoServerError
	if err := b.CheckLimits(now, starting); !errors.As(err, &noServerErr) || noServerErr.RetryAfter() != 50*time.Millisecond || noServerErr.LimitRate() != 5 {
		t.Errorf("new program while one server is full and one at its limit: got error %v, want a NoServerError that names when to return", err)
	}
	if choice, err := b.Choose(now, running); err != nil || choice.Server().ID() != "limited" {
		t.Errorf("server of a running program: got %v, error %v, want it to wait for the limited one", choice, err)
	}
	if choice, err := b.Choose(now, balance.Query{Service: modelService, Limit: limitOf("limited"), MaxWait: 100 * time.Millisecond, SkipLimited: true}); err != nil || choice.Server().ID() != "free" {
		t.Errorf("server of a running program that was refused often: got %v, error %v, want it to queue at the full one", choice, err)
	}
}

// TestPreferredVersionIsAllowed guards against streams that are bound to a version which
// their query excludes, because it is the only one that has servers.
func TestPreferredVersionIsAllowed(t *testing.T) {
	directory := backend.NewDirectory()
	publish(directory, backend.Options{ID: "one", Zone: "a", Version: "v1"}, backend.Options{ID: "two", Zone: "a", Version: "v1"})
	balancer := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	other := "v2"
	for _, tc := range []struct {
		query   balance.Query
		allowed bool
	}{
		{balance.Query{Service: modelService}, true},
		{balance.Query{Service: modelService, ExcludedVersion: "v2"}, true},
		{balance.Query{Service: modelService, ExcludedVersion: "v1"}, false},
		{balance.Query{Service: modelService, Version: &other}, false},
	} {
		version, err := balancer.PreferredVersion(time.Now(), tc.query)
		if allowed := err == nil; allowed != tc.allowed || (allowed && version != "v1") {
			t.Errorf("query %+v: got version %q and error %v, want allowed %t", tc.query, version, err, tc.allowed)
		}
	}
}
