package zonechoice_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/zonechoice"
)

const (
	service = "models"
	step    = 50 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// servers returns the servers of a zone, each with 8 slots and the requests.
func servers(zone string, count int, requests float64) []zonechoice.Server {
	list := make([]zonechoice.Server, 0, count)
	for index := range count {
		list = append(list, zonechoice.Server{ID: fmt.Sprintf("%s-%d", zone, index), Zone: zone, Slots: 8, Requests: requests})
	}
	return list
}

func newChooser(zone string, seed uint64) *zonechoice.Chooser {
	return zonechoice.New(zonechoice.Options{Zone: zone, Always: true, Seed: seed, Logger: zap.NewNop()})
}

// run updates the chooser for the duration and returns the time at its end.
func run(chooser *zonechoice.Chooser, now time.Time, duration time.Duration, list []zonechoice.Server) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(step) {
		chooser.Update(now, service, list)
	}
	return now
}

// TestPortionByLoad checks the portion that two seconds of steady load lead to: with room in
// the own zone no request may pay for the way, and nothing is gained by sending requests to a
// zone whose wait is as long.
func TestPortionByLoad(t *testing.T) {
	slow := servers("a", 4, 6)
	for index := range slow {
		slow[index].Pace = 250
	}
	for _, test := range []struct {
		name       string
		own, other []zonechoice.Server
		wantMin    float64
		wantMax    float64
	}{
		{"own zone with room", servers("a", 4, 6), servers("b", 4, 0), 0, 0},
		{"own zone with queues", servers("a", 4, 12), servers("b", 4, 2), 0.5, 1},
		{"queues everywhere", servers("a", 4, 12), servers("b", 4, 12), 0, 0},
		{"shorter queues in the own zone", servers("a", 4, 10), servers("b", 4, 14), 0, 0},
		{"slow machines in the own zone", slow, servers("b", 4, 2), 0.05, 1},
		{"no other zone", servers("a", 4, 20), nil, 0, 0},
	} {
		chooser := newChooser("a", 1)
		run(chooser, start, 2*time.Second, append(test.own, test.other...))
		if got := chooser.Portions()[service]; got < test.wantMin || got > test.wantMax {
			t.Errorf("%s: portion: got %.2f, want %.2f to %.2f", test.name, got, test.wantMin, test.wantMax)
		}
	}
}

// TestUnusableZone checks that all requests leave at once a zone that is cut off, emptied or
// excluded, and return within 1.5 s once it has servers with room: a portion that follows the
// load slowly must not hold requests in a zone that cannot serve them, or away from it.
func TestUnusableZone(t *testing.T) {
	failed := servers("a", 4, 0)
	for index := range failed {
		failed[index].HasFailed = true
	}
	for name, own := range map[string][]zonechoice.Server{"cut off": failed, "emptied": nil} {
		chooser := newChooser("a", 1)
		now := run(chooser, start, time.Second, append(servers("a", 4, 1), servers("b", 4, 1)...))
		now = run(chooser, now, step, append(own, servers("b", 4, 1)...))
		for range 20 {
			plan := chooser.Plan(service)
			if first, _, _ := plan.Servers(); !plan.MayLeave() || first == "" {
				t.Fatalf("%s: plan: got %v, want one that may leave", name, plan)
			}
			chooser.Record(service, plan, "b", "", 0)
		}
		now = run(chooser, now, step, append(servers("a", 4, 1), servers("b", 4, 1)...))
		if got := chooser.Portions()[service]; got < 0.8 {
			t.Errorf("%s: portion just after the return: got %.2f, want a gradual one", name, got)
		}
		run(chooser, now, 1500*time.Millisecond, append(servers("a", 4, 1), servers("b", 4, 1)...))
		if got := chooser.Portions()[service]; got != 0 {
			t.Errorf("%s: portion 1.5 s after the return: got %.2f, want 0", name, got)
		}
	}
}

// TestPortionOfRequests checks that the requests which may leave are spread evenly in time:
// with a random draw, several halls would by chance send many at once.
func TestPortionOfRequests(t *testing.T) {
	chooser := newChooser("a", 1)
	run(chooser, start, 400*time.Millisecond, append(servers("a", 4, 11), servers("b", 4, 2)...))
	portion := chooser.Portions()[service]
	leaving, sent := 0, 0
	for sent = 1; sent <= 200; sent++ {
		plan, again := chooser.Plan(service), chooser.Plan(service)
		if plan != again {
			t.Fatalf("second plan for one request: got %v, want %v", again, plan)
		}
		if plan.MayLeave() {
			leaving++
		}
		chooser.Record(service, plan, "a", "", 0)
		if got, want := float64(leaving), portion*float64(sent); math.Abs(got-want) > 1.01 {
			t.Fatalf("requests that may leave, of %d: got %v, want %.1f", sent, got, want)
		}
	}
	if portion < 0.2 || portion > 0.41 {
		t.Errorf("portion after 400 ms: got %.2f, want 0.2 to 0.41", portion)
	}
}

// TestDrawsAreSpread lets the eight halls of a zone draw from the same load reports. If all of
// them drew the server that looks best, they would flood it within the age of a report.
func TestDrawsAreSpread(t *testing.T) {
	own, other := servers("a", 4, 20), append(servers("b", 6, 5), servers("c", 6, 5)...)
	other[0].Requests, other[1].Requests = 0, 8 // 8 and 0 free slots, the others have 3.
	drawn, preferred := make(map[string]int), make(map[string]int)
	for hall := range 8 {
		chooser := newChooser("a", uint64(1+hall*7919))
		run(chooser, start, 2*time.Second, append(own, other...))
		for range 40 {
			plan := chooser.Prefer(service, chooser.Plan(service), map[string]bool{"c-1": true, "c-2": true})
			first, second, third := plan.Servers()
			drawn[first]++
			drawn[second]++
			if preferred[third]++; !plan.Allows(first) || !plan.Allows(second) || !plan.Allows(third) || plan.Allows("c-0") != (first == "c-0" || second == "c-0") {
				t.Fatalf("allowed servers: got others than %s, %s and %s", first, second, third)
			}
			chooser.Record(service, plan, "b", "", 0)
		}
	}
	const draws, room = 8 * 40 * 2, 8 + 10*3
	for _, server := range other {
		want := draws * (8 - server.Requests) / room
		if got := float64(drawn[server.ID]); got > 1.3*want+5 || got < 0.7*want-5 {
			t.Errorf("draws of %s with %v requests: got %v, want about %.0f", server.ID, server.Requests, got, want)
		}
	}
	if got := preferred["c-1"]; got < 128 || got > 192 || got+preferred["c-2"] != 320 {
		t.Errorf("draws of two preferred servers: got %v, want about 160 of each and no others", preferred)
	}
}

// TestCost checks that the way is measured where servers are fast, is never taken for less
// than the round trip, and that bytes have their price.
func TestCost(t *testing.T) {
	chooser := newChooser("a", 1)
	if got, want := chooser.Cost(service, "b", 0), time.Millisecond; got != want {
		t.Errorf("cost without measurements: got %v, want %v", got, want)
	}
	for index := range 400 {
		load := time.Duration(index%4) * 20 * time.Millisecond
		chooser.RecordStart(service, "a", 10*time.Millisecond+load)
		chooser.RecordStart(service, "b", 16*time.Millisecond+load)
		chooser.RecordStart(service, "c", 5*time.Millisecond)
	}
	if got := chooser.Cost(service, "b", 0); got < 5*time.Millisecond || got > 7*time.Millisecond {
		t.Errorf("cost of a zone that is 6 ms away: got %v, want 5 to 7 ms", got)
	}
	if got, want := chooser.Cost(service, "c", 200_000), 3*time.Millisecond; got != want {
		t.Errorf("cost of 200 KB to a zone that answers sooner: got %v, want %v", got, want)
	}
	if got := chooser.Cost(service, "a", 200_000); got != 0 {
		t.Errorf("cost of the own zone: got %v, want 0", got)
	}
}

// TestPaceTurnsServiceOn checks that a service is left alone until one of its servers has
// stated its pace.
func TestPaceTurnsServiceOn(t *testing.T) {
	chooser := zonechoice.New(zonechoice.Options{Zone: "a", Logger: zap.NewNop()})
	if chooser.IsOn(service) {
		t.Error("before a pace is stated: got on, want off")
	}
	chooser.RecordPace(service)
	if !chooser.IsOn(service) || chooser.IsOn("others") {
		t.Errorf("after a pace is stated: got %v and %v for another service, want on and off", chooser.IsOn(service), chooser.IsOn("others"))
	}
}
