package balance_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/backend"
)

// newComparing returns a balancer of servers "0", "1" and so on with 8 slots, and its detector.
func newComparing(count int, compares bool) (*balance.Balancer, *outlier.Detector) {
	directory, detector := backend.NewDirectory(), outlier.New("hall", time.Now, zap.NewNop())
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }, Outliers: detector, ComparesServers: compares})
	var options []backend.Options
	for index := range count {
		options = append(options, backend.Options{ID: fmt.Sprint(index), Zone: "a"})
	}
	publish(directory, options...)
	return b, detector
}

// countChoices returns how many of the requests that end at once go to each server.
func countChoices(t *testing.T, b *balance.Balancer, now time.Time, requests int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range requests {
		choice, err := b.Choose(now, balance.Query{Service: modelService, Work: 50 * time.Millisecond})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		counts[choice.Server().ID()]++
		choice.Done()
	}
	return counts
}

// reportLoad reports the load of a server as part of a response.
func reportLoad(t *testing.T, b *balance.Balancer, now time.Time, serverID string, load balance.Load) {
	t.Helper()
	tried := make(map[string]bool)
	for index := range 20 {
		tried[fmt.Sprint(index)] = fmt.Sprint(index) != serverID
	}
	choice, err := b.Choose(now, balance.Query{Service: modelService, Tried: tried})
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	choice.Done()
	choice.ReportLoad(now, load)
}

// TestServiceThatIsNotCompared checks that a deployment which doesn't compare servers is
// served as before, also while one of its servers fails: the first server with the lowest
// delay is chosen, and a load report clears a failure.
func TestServiceThatIsNotCompared(t *testing.T) {
	b, detector := newComparing(5, false)
	for range 5 {
		detector.Record(outlier.Observation{Service: "models", Server: "0", Result: outlier.Failed})
	}
	now := time.Now()
	if got := countChoices(t, b, now, 50)["0"]; got != 50 {
		t.Errorf("requests to the first of equal servers: got %d, want 50", got)
	}
	failed := choose(t, b, "")
	failed.ReportFailure(now)
	failed.ReportLoad(now, balance.Load{Slots: 8})
	failed.Done()
	if got := countChoices(t, b, now, 50)["0"]; got != 50 {
		t.Errorf("requests to a server that reported its load after a failure: got %d, want 50", got)
	}
	reportLoad(t, b, now, "1", balance.Load{Slots: 8, Pace: 100})
	if got := countChoices(t, b, now, 50)["0"]; got != 0 {
		t.Errorf("requests to the failing server after another one reported its pace: got %d, want 0", got)
	}
}

// TestFailureAfterReport checks that a load report does not clear the failure of a server,
// which looks idle because it fails at once, and that an answer does.
func TestFailureAfterReport(t *testing.T) {
	b, _ := newComparing(2, true)
	now := time.Now()
	failed := choose(t, b, "")
	failed.ReportFailure(now)
	failed.ReportLoad(now, balance.Load{Slots: 8})
	failed.Done()
	if got := countChoices(t, b, now, 50)[failed.Server().ID()]; got != 0 {
		t.Errorf("requests to a server that failed and reported its load: got %d, want 0", got)
	}
	failed.ReportAnswer()
	if got := countChoices(t, b, now, 50)[failed.Server().ID()]; got == 0 {
		t.Error("requests to a server that answered: got 0, want some")
	}
}

// TestEjectedServer checks that a server which fails all requests gets none while others can
// take them, and all if it is the only one that was not tried.
func TestEjectedServer(t *testing.T) {
	b, detector := newComparing(10, true)
	for range 3 {
		detector.Record(outlier.Observation{Service: "models", Server: "3", Result: outlier.Failed})
	}
	if got := countChoices(t, b, time.Now(), 200)["3"]; got != 0 {
		t.Errorf("requests to the ejected server: got %d, want 0", got)
	}
	time.Sleep(150 * time.Millisecond) // The next assessment has forgotten the failures.
	if got := countChoices(t, b, time.Now(), 200)["3"]; got != 0 {
		t.Errorf("requests to the ejected server after the next assessment: got %d, want 0", got)
	}
	reportLoad(t, b, time.Now(), "3", balance.Load{}) // Fails the test if the server is not chosen.
}

// TestFailureRateCosts checks that a server which fails one of five requests, too few for an
// ejection, gets none while others are idle.
func TestFailureRateCosts(t *testing.T) {
	b, detector := newComparing(10, true)
	for index := range 5 {
		result := outlier.Answered
		if index == 0 {
			result = outlier.Failed
		}
		detector.Record(outlier.Observation{Service: "models", Server: "3", Result: result})
	}
	if got := countChoices(t, b, time.Now(), 200)["3"]; got != 0 || detector.Ejections() != 0 {
		t.Errorf("requests to the server, and ejections: got %d and %d, want 0 and 0", got, detector.Ejections())
	}
}

// TestIdleServerIsNotFlooded checks that halls which see one server idle, and others that had
// one request half a second ago, don't all choose the same.
func TestIdleServerIsNotFlooded(t *testing.T) {
	const halls = 200
	idle := 0
	for range halls {
		b, _ := newComparing(10, true)
		now := time.Now()
		for index := 1; index < 10; index++ {
			reportLoad(t, b, now.Add(-500*time.Millisecond), fmt.Sprint(index), balance.Load{Running: 1, Slots: 8, Pace: 100})
		}
		idle += countChoices(t, b, now, 1)["0"]
	}
	if idle == halls {
		t.Errorf("halls that chose the idle server: got all %d, want some to choose others", idle)
	}
	b, _ := newComparing(10, true)
	now := time.Now()
	counts := countChoices(t, b, now, 1000)
	for index := range 10 {
		if got := counts[fmt.Sprint(index)]; got < 50 || got > 200 {
			t.Errorf("requests to server %d of ten equal ones: got %d of 1000, want about 100", index, got)
		}
	}
}

// TestHalfSpeed checks that a quarter of the servers, which run at half speed, get no request
// while the others have free slots, and their part of a burst that would take longer at the queue
// of the others.
func TestHalfSpeed(t *testing.T) {
	b, detector := newComparing(8, true)
	for range 30 {
		for index := range 8 {
			work := 40 * time.Millisecond
			if index < 2 {
				work *= 2
			}
			detector.Record(outlier.Observation{Service: "models", Server: fmt.Sprint(index), Work: work})
		}
	}
	slow := 0
	for request := range 120 {
		choice, err := b.Choose(time.Now(), balance.Query{Service: modelService, Work: 400 * time.Millisecond})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		if id := choice.Server().ID(); id == "0" || id == "1" {
			slow++
		}
		if request < 48 && slow > 0 {
			t.Fatalf("requests to slow servers after %d requests to 6 fast servers with 8 slots: got %d, want 0", request, slow)
		}
	}
	if slow < 8 || slow > 24 {
		t.Errorf("requests of a burst to the 2 slow servers: got %d of 120, want 8 to 24", slow)
	}
}

// TestSlowForAMoment checks that servers on whose machines work takes 2.5 times as long get no
// request while the report is new, and some once it says little: the slow ones change every
// 600 ms.
func TestSlowForAMoment(t *testing.T) {
	b, _ := newComparing(20, true)
	now := time.Now()
	for index := range 20 {
		pace := 100
		if index < 3 {
			pace = 250
		}
		reportLoad(t, b, now, fmt.Sprint(index), balance.Load{Slots: 8, Pace: pace})
	}
	slow := func(now time.Time) int {
		counts := countChoices(t, b, now, 1000)
		return counts["0"] + counts["1"] + counts["2"]
	}
	if got := slow(now.Add(100 * time.Millisecond)); got != 0 {
		t.Errorf("requests to slow servers after 100 ms: got %d, want 0", got)
	}
	if got := slow(now.Add(1500 * time.Millisecond)); got < 5 {
		t.Errorf("requests to servers that were slow 1.5 s ago: got %d of 1000, want some", got)
	}
}
