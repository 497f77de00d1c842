package balance_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/zonechoice"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

// newZoned returns the balancer of the only hall of zone a, with two servers in it and two in
// zone b.
func newZoned(always bool) (*balance.Balancer, *backend.Directory) {
	directory := backend.NewDirectory()
	chooser := zonechoice.New(zonechoice.Options{Zone: "a", Always: always, Seed: 1, Logger: zap.NewNop()})
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }, ZoneChoice: chooser})
	publish(directory, zoneOptions()...)
	return b, directory
}

func zoneOptions() []backend.Options {
	return []backend.Options{{ID: "a1", Zone: "a"}, {ID: "a2", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "b2", Zone: "b"}}
}

// TestWithoutPaceChoicesAreUnchanged compares a balancer that may choose zones by load with
// one that cannot, for a service whose servers state no pace: it must be served as before.
func TestWithoutPaceChoicesAreUnchanged(t *testing.T) {
	directory := backend.NewDirectory()
	before := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, zoneOptions()...)
	zoned, _ := newZoned(false)
	now := time.Now()
	for index := range 60 {
		var got [2]string
		for which, b := range []*balance.Balancer{before, zoned} {
			choice, err := b.Choose(now, balance.Query{Service: modelService, AffinityKey: fmt.Sprint(index % 7)})
			if err != nil {
				t.Fatalf("choose: %v", err)
			}
			got[which] = choice.Server().ID()
			if index%3 == 0 {
				choice.ReportLoad(now, balance.Load{Running: index % 8, Slots: 8})
			}
			if index%4 == 0 {
				choice.Done()
			}
		}
		if got[0] != got[1] {
			t.Fatalf("server of request %d: got %s, want %s as without zone choice", index, got[1], got[0])
		}
		now = now.Add(20 * time.Millisecond)
	}
	if outcomes, portions := zoned.ZoneOutcomes(); len(outcomes) > 0 || len(portions) > 0 {
		t.Errorf("counted requests and portions: got %v and %v, want none", outcomes, portions)
	}
}

// TestRequestsStayWhileOwnZoneHasRoom fills the own zone to three quarters, with idle servers
// in the other zone: no request must leave, as it did when the way cost a constant. Once the
// servers of the own zone have long queues, requests must leave.
func TestRequestsStayWhileOwnZoneHasRoom(t *testing.T) {
	b, _ := newZoned(true)
	now := time.Now()
	zones := make(map[string]int)
	for index := range 60 {
		choice, err := b.Choose(now, balance.Query{Service: modelService})
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		zones[choice.Server().Zone()]++
		if index == 11 {
			if zones["b"] > 0 {
				t.Errorf("requests that left a zone with 12 of 16 slots in use: got %d, want 0", zones["b"])
			}
		}
		now = now.Add(60 * time.Millisecond)
	}
	if zones["b"] < 10 {
		t.Errorf("requests that left, of 60 in a zone with 16 slots: got %d, want at least 10", zones["b"])
	}
	outcomes, _ := b.ZoneOutcomes()
	if got := outcomes[zonechoice.Outcome{Other: true, Reason: zonechoice.ReasonPortion}]; got == 0 {
		t.Errorf("outcomes: got %v, want requests that left by the portion", outcomes)
	}
}

// TestRequestsLeaveZoneThatCannotServe checks that a request leaves at once if the servers of
// its zone failed, are excluded, or were tried before.
func TestRequestsLeaveZoneThatCannotServe(t *testing.T) {
	for name, prepare := range map[string]func(b *balance.Balancer, directory *backend.Directory, query *balance.Query){
		"failed": func(b *balance.Balancer, _ *backend.Directory, _ *balance.Query) {
			for _, tried := range []string{"a1", "a2"} {
				other := map[string]bool{"a1": true, "a2": true}
				delete(other, tried)
				choice, err := b.Choose(time.Now(), balance.Query{Service: modelService, Tried: other})
				if err != nil || choice.Server().ID() != tried {
					t.Fatalf("choose: got %v and error %v, want %s", choice, err, tried)
				}
				choice.ReportFailure(time.Now())
				choice.Done()
			}
		},
		"excluded": func(_ *balance.Balancer, directory *backend.Directory, _ *balance.Query) {
			var servers []backend.Server
			for _, options := range zoneOptions() {
				options.Service = "models"
				servers = append(servers, backend.NewServer(options))
			}
			directory.Publish(backend.NewList(2, time.Now(), servers, map[string]bool{"a": true}))
		},
		"tried": func(_ *balance.Balancer, _ *backend.Directory, query *balance.Query) {
			query.Tried = map[string]bool{"a1": true, "a2": true}
		},
	} {
		b, directory := newZoned(true)
		query := balance.Query{Service: modelService}
		prepare(b, directory, &query)
		choice, err := b.Choose(time.Now(), query)
		if err != nil {
			t.Fatalf("%s: choose: %v", name, err)
		}
		if got, want := choice.Server().Zone(), "b"; got != want {
			t.Errorf("%s: zone of the request: got %s, want %s", name, got, want)
		}
	}
}

// TestProgramReturnsToItsHistory checks that a program goes on at the server in another zone
// that holds its history: reading it again at home would take longer than the way.
func TestProgramReturnsToItsHistory(t *testing.T) {
	b, _ := newZoned(true)
	query := balance.Query{Service: modelService, AffinityKey: "program", Prompt: []balance.PromptPart{balance.NewPromptPart("history", 20_000)}}
	abroad := query
	abroad.Tried = map[string]bool{"a1": true, "a2": true}
	first, err := b.Choose(time.Now(), abroad)
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	first.SetAffinity(time.Now(), query)
	first.Done()
	next, err := b.Choose(time.Now(), query)
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	if got, want := next.Server().ID(), first.Server().ID(); got != want {
		t.Errorf("server of the next turn: got %s, want %s", got, want)
	}
	if got, want := next.ZoneReason(), zonechoice.ReasonHistory; got != want {
		t.Errorf("reason: got %s, want %s", got, want)
	}
}

// TestExplainChoosesAsForRequests guards against an explanation that differs from what the next
// request gets, or that changes it: questions of operators must not move requests.
func TestExplainChoosesAsForRequests(t *testing.T) {
	b, _ := newZoned(true)
	now := time.Now()
	for index := range 80 {
		query := balance.Query{Service: modelService, AffinityKey: fmt.Sprint(index % 9)}
		first, second := b.Explain(now, query), b.Explain(now, query)
		choice, err := b.Choose(now, query)
		if err != nil || first.Err() != nil || second.Err() != nil {
			t.Fatalf("errors: got %v, %v and %v, want none", err, first.Err(), second.Err())
		}
		if got, again, want := first.Choice().Server().ID(), second.Choice().Server().ID(), choice.Server().ID(); got != want || again != want {
			t.Fatalf("explained servers of request %d: got %s and %s, want %s", index, got, again, want)
		}
		if got, want := first.Choice().ZoneReason(), choice.ZoneReason(); choice.Server().Zone() == "b" && got != want {
			t.Errorf("explained reason of request %d: got %s, want %s", index, got, want)
		}
		excluded := 0
		for _, candidate := range first.Candidates() {
			if candidate.Excluded() != "" {
				excluded++
			}
		}
		if got, want := len(first.Candidates()), 4; got != want {
			t.Errorf("candidates of request %d: got %d, want %d", index, got, want)
		}
		if index == 0 && excluded != 2 {
			t.Errorf("excluded servers while the own zone has room: got %d, want the 2 of the other zone", excluded)
		}
		now = now.Add(40 * time.Millisecond)
	}
	outcomes, _ := b.ZoneOutcomes()
	counted := int64(0)
	for _, count := range outcomes {
		counted += count
	}
	if got, want := counted, int64(80); got != want {
		t.Errorf("counted requests: got %d, want %d", got, want)
	}
}

// TestSharedFirstPartLeavesToItsServers checks that requests with a shared first part leave a
// zone without servers to those that are to hold the part: two drawn ones alone would mostly
// have to read it.
func TestSharedFirstPartLeavesToItsServers(t *testing.T) {
	b, directory := newZoned(true)
	var options []backend.Options
	for index := range 12 {
		options = append(options, backend.Options{ID: fmt.Sprintf("b-%d", index), Zone: "b"})
	}
	publish(directory, options...)
	service := &catalog.Service{Name: "models", Slots: 8, CacheTokens: 20_000}
	now, atHolders := time.Now(), 0
	for index := range 40 {
		query := balance.Query{Service: service, Prompt: []balance.PromptPart{balance.NewPromptPart(fmt.Sprint("head-", index), 10_000), balance.NewPromptPart("rest", 100)}}
		choice, err := b.Choose(now, query)
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		if choice.Reason() == balance.ReasonFirstPart {
			atHolders++
		}
		choice.Done()
		now = now.Add(20 * time.Millisecond)
	}
	if got, want := atHolders, 40; got != want {
		t.Errorf("requests at a server that is to hold their first part: got %d, want %d", got, want)
	}
}
