package turns_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/wire"
)

// TestRelayedOutputIsFound guards against a stream that is taken up without the output that its
// caller has: because the keepers that reserve the turn were not asked for the event as it was
// stored, or because keepers that may have it don't answer.
func TestRelayedOutputIsFound(t *testing.T) {
	const stream = 7
	segment, err := proto.Marshal(&wire.EventSegment{})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		stream    uint64 // Of the program's other turn.
		relayed   bool   // Whether the quorum says that the other turn relayed the event.
		lacks     bool   // Whether the keepers lack the event.
		findErr   error
		lastEvent string
		want      string
		wantErr   any
	}{
		{name: "known to the quorum", stream: stream, relayed: true, lastEvent: "3", want: "output"},
		{name: "stored by an earlier list", stream: stream, lastEvent: "3", want: "output"},
		{name: "on no keeper", stream: stream, lacks: true, lastEvent: "3", wantErr: new(*turns.EventUnknownError)},
		{name: "of another stream", stream: stream + 1, relayed: true, lastEvent: "3", wantErr: new(*turns.EventUnknownError)},
		{name: "keepers fail", stream: stream, findErr: errors.New("busy"), lastEvent: "3", wantErr: new(*turns.UnavailableError)},
		{name: "no event yet", stream: stream, lacks: true, lastEvent: "0"},
		{name: "from the start", stream: stream, lastEvent: ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1<<20, segment, []byte("output"))
			for _, keeper := range f.keepers {
				keeper.stream, keeper.relayed, keeper.lacks, keeper.findErr = test.stream, test.relayed, test.lacks, test.findErr
			}
			account := f.budget.Open(buffer.PriorityStarted)
			active, err := f.client.Begin(buffer.NewContext(t.Context(), account), turns.Turn{ID: "t1", Program: "p", Budget: 100, MaxTokens: 10, Stream: stream, LastEvent: test.lastEvent})
			switch {
			case test.wantErr != nil:
				if !errors.As(err, test.wantErr) {
					t.Errorf("got error %v, want %T", err, test.wantErr)
				}
			case err != nil:
				t.Errorf("got error %v, want none", err)
			default:
				if got := string(active.Relayed()); got != test.want {
					t.Errorf("output: got %q, want %q", got, test.want)
				}
			}
			account.Release()
			for end := time.Now().Add(3 * time.Second); f.budget.Used() != 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := f.budget.Used(); got != 0 {
				t.Errorf("memory after the request: got %d bytes, want 0", got)
			}
		})
	}
}

// TestAttemptsOfStreamAreBounded guards against records and log lines that grow with the number of
// times that a caller sends a request.
func TestAttemptsOfStreamAreBounded(t *testing.T) {
	const stream = 7
	for count, want := range map[int]bool{30: true, 40: false} {
		f := newFixture(t, 8<<20)
		for _, keeper := range f.keepers {
			keeper.stream, keeper.attempts = stream, count
		}
		account := f.budget.Open(buffer.PriorityStarted)
		ctx := buffer.NewContext(t.Context(), account)
		turn := turns.Turn{ID: "t1", Program: "p", Budget: 1000, MaxTokens: 10, Stream: stream, EventRetention: time.Minute}
		active, err := f.client.Begin(ctx, turn)
		if err != nil {
			t.Fatalf("%d attempts: begin: %v", count, err)
		}
		var tooMany *turns.TooManyAttemptsError
		err = f.client.StoreEvents(ctx, active, []turns.Event{turns.NewEvent("1", nil)})
		if got := err == nil; got != want || (!got && !errors.As(err, &tooMany)) {
			t.Errorf("%d attempts: store an event: got error %v, want it stored: %t", count, err, want)
		}
		turn.ID, turn.LastEvent = "t2", "9"
		_, err = f.client.Begin(ctx, turn)
		if got := errors.As(err, &tooMany); got == want {
			t.Errorf("%d attempts: take up the stream: got error %v, want one for their number: %t", count, err, !want)
		}
		account.Release()
	}
}

// TestEventsWaitForKeepers guards against events that are relayed without being stored because
// keepers are gone for a moment, and against streams that wait for keepers which have no memory for
// their events, or for longer than their callers do.
func TestEventsWaitForKeepers(t *testing.T) {
	const callerGapLimit = 2 * time.Second
	noMemory := twirp.NewError(twirp.Unavailable, "no memory")
	for _, test := range []struct {
		name       string
		pause      time.Duration
		finishErr  error
		healsAfter time.Duration // Zero for never.
		want       bool          // Whether the event is stored.
		within     time.Duration
	}{
		{name: "silent for a moment", pause: 3 * time.Second, healsAfter: 300 * time.Millisecond, want: true, within: callerGapLimit},
		{name: "silent", pause: 3 * time.Second, within: callerGapLimit},
		{name: "no memory", finishErr: noMemory, within: 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 8<<20)
			account := f.budget.Open(buffer.PriorityStarted)
			defer account.Release()
			ctx := buffer.NewContext(t.Context(), account)
			active, err := f.client.Begin(ctx, turns.Turn{ID: "t1", Program: "p", Budget: 100, MaxTokens: 10, Stream: 7, EventRetention: time.Minute})
			if err != nil {
				t.Fatalf("begin: %v", err)
			}
			for _, keeper := range f.keepers {
				keeper.setFinish(test.pause, test.finishErr)
				if test.healsAfter > 0 {
					time.AfterFunc(test.healsAfter, func() { keeper.setFinish(0, nil) })
				}
			}
			start := time.Now()
			err = f.client.StoreEvents(ctx, active, []turns.Event{turns.NewEvent("1", nil)})
			if got := err == nil; got != test.want {
				t.Errorf("store an event: got error %v, want it stored: %t", err, test.want)
			}
			if got := time.Since(start); got > test.within {
				t.Errorf("time to store an event: got %s, want at most %s", got, test.within)
			}
		})
	}
}

// TestEventsAreStoredAsChains guards against events that are not on a quorum when StoreEvents
// returns, against chains that are too long for keepers to follow, and against events whose order
// changes if they are stored again.
func TestEventsAreStoredAsChains(t *testing.T) {
	const count, maxChain = 200, 100
	f := newFixture(t, 8<<20)
	account := f.budget.Open(buffer.PriorityStarted)
	ctx := buffer.NewContext(t.Context(), account)
	active, err := f.client.Begin(ctx, turns.Turn{ID: "t1", Program: "p", Budget: 100, MaxTokens: 10, Stream: 7, EventRetention: time.Minute})
	if err != nil {
		t.Fatalf("begin: %v", err)
	}
	for number := range count {
		event := turns.NewEvent(fmt.Sprint(number), fmt.Appendf(nil, "%d\n", number))
		if err := f.client.StoreEvents(ctx, active, []turns.Event{event}); err != nil {
			t.Fatalf("store event %d: %v", number, err)
		}
	}
	records, copies := make(map[string]*wire.Turn), make(map[string]int)
	for _, keeper := range f.keepers {
		keeper.mutex.Lock()
		for _, request := range keeper.finished {
			if !request.GetEvent() {
				continue
			}
			records[request.GetTurn().GetId()] = request.GetTurn()
			copies[request.GetTurn().GetId()]++
		}
		keeper.mutex.Unlock()
	}
	if len(records) != count {
		t.Fatalf("stored events: got %d, want %d", len(records), count)
	}
	var last *wire.Turn
	for id, record := range records {
		if copies[id] < 2 {
			t.Errorf("event %q: got %d copies, want at least 2", record.GetOutput(), copies[id])
		}
		if bytes.Equal(record.GetOutput(), fmt.Appendf(nil, "%d\n", count-1)) {
			last = record
		}
	}
	number, chain := count-1, 1
	for record := last; record != nil; number-- {
		if got, want := string(record.GetOutput()), fmt.Sprintf("%d\n", number); got != want {
			t.Fatalf("event %d: got output %q, want %q", number, got, want)
		}
		previous := record.GetPrevious()
		chain++
		if previous == "" {
			segment := &wire.EventSegment{}
			if err := proto.Unmarshal(record.GetInput(), segment); err != nil {
				t.Fatal(err)
			}
			previous, chain = segment.GetContinues(), 1
		}
		if chain > maxChain {
			t.Fatalf("chain: got %d events, want at most %d", chain, maxChain)
		}
		record = records[previous]
	}
	if number != -1 {
		t.Errorf("events before the first one that is linked: got %d, want 0", number+1)
	}
	account.Release()
}
