package balance_test

import (
	"fmt"
	"testing"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

var plainService = &catalog.Service{Name: "models"}

func objectQuery(object string) balance.Query {
	return balance.Query{Service: plainService, Object: object}
}

// TestHallsAgreeOnServerOfObject checks that halls of all zones which share no state send
// requests that concern the same object to the same server.
func TestHallsAgreeOnServerOfObject(t *testing.T) {
	servers := append(newServers("a", 2), newServers("b", 2)...)
	for index := range 30 {
		object := fmt.Sprintf("object-%d", index)
		chosen := make(map[string]bool)
		for _, zone := range []string{"a", "b", "c"} {
			directory := backend.NewDirectory()
			b := balance.New(balance.Options{Zone: zone, Directory: directory, HallCount: func() int { return 3 }})
			publish(directory, servers...)
			choice, err := b.Choose(time.Now(), objectQuery(object))
			if err != nil {
				t.Fatalf("choose: %v", err)
			}
			chosen[choice.Server().ID()] = true
		}
		if len(chosen) != 1 {
			t.Errorf("servers of %s at halls of three zones: got %v, want one", object, chosen)
		}
	}
}

// TestObjectHasSecondChoice checks that halls agree on the server that gets requests for an
// object while its first choice fails, is tried already or has left.
func TestObjectHasSecondChoice(t *testing.T) {
	servers := newServers("a", 5)
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, servers...)
	now := time.Now()
	first, err := b.Choose(now, objectQuery("pallet"))
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	tried := objectQuery("pallet")
	tried.Tried = map[string]bool{first.Server().ID(): true}
	second, err := b.Choose(now, tried)
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	first.ReportFailure(now)
	if choice, err := b.Choose(now, objectQuery("pallet")); err != nil || choice.Server().ID() != second.Server().ID() {
		t.Errorf("server while the first choice fails: got error %v or another, want %s", err, second.Server().ID())
	}
	var remaining []backend.Options
	for _, server := range servers {
		if server.ID != first.Server().ID() {
			remaining = append(remaining, server)
		}
	}
	publish(directory, remaining...)
	for _, zone := range []string{"a", "b"} {
		other := balance.New(balance.Options{Zone: zone, Directory: directory, HallCount: func() int { return 1 }})
		if choice, err := other.Choose(now, objectQuery("pallet")); err != nil || choice.Server().ID() != second.Server().ID() {
			t.Errorf("server after the first choice left: got error %v or another, want %s", err, second.Server().ID())
		}
	}
}

// TestHotObjectDoesNotOverloadItsServer plays a burst of requests that all concern one
// object. They must not queue at its server while others have free slots.
func TestHotObjectDoesNotOverloadItsServer(t *testing.T) {
	const slots = 8
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, newServers("a", 4)...)
	open := make(map[string]int)
	for range 4 * slots {
		choice, err := b.Choose(time.Now(), objectQuery("hot"))
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		open[choice.Server().ID()]++
	}
	for id, got := range open {
		if got > slots+1 {
			t.Errorf("requests at %s: got %d, want at most %d, as others have free slots", id, got, slots+1)
		}
	}
}
