package ledger_test

import (
	"testing"
	"time"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/callerid"
	"limpethall.dev/kernel/wire"
)

const (
	stream      = 7
	otherStream = 8
)

// storeEvent stores an event of a turn's stream.
func storeEvent(t *testing.T, l *ledger.Ledger, turn, event, previous string, now time.Time) {
	t.Helper()
	record := newTurn(callerid.OfEvent("w/p", turn, event), previous, "w")
	record.ExpiresUnixMilliseconds = now.Add(retention).UnixMilli()
	if err := l.Finish(now, &wire.FinishTurnRequest{Turn: record, Event: true}); err != nil {
		t.Fatalf("store event %s of %s: %v", event, turn, err)
	}
}

// TestRelayedEventIsReported guards against a stream that is taken up without the events that
// its caller has, because a keeper that has them does not say so: after a restart, the settlement
// of the reservation, or a copy to another keeper.
func TestRelayedEventIsReported(t *testing.T) {
	dir := t.TempDir()
	l, disk := openLedger(t, dir)
	if err := l.SetReady(true); err != nil {
		t.Fatal(err)
	}
	for turn, stream := range map[string]uint64{"first": stream, "second": stream, "other": otherStream} {
		reservation := newReservation(turn, 10, false)
		reservation.Stream = stream
		if _, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: reservation, Workspace: "w"}); err != nil {
			t.Fatalf("begin %s: %v", turn, err)
		}
	}
	storeEvent(t, l, "first", "1", "", time.Now())
	storeEvent(t, l, "first", "2", callerid.OfEvent("w/p", "first", "1"), time.Now())
	storeEvent(t, l, "second", "1", "", time.Now())
	storeEvent(t, l, "other", "2", "", time.Now())
	if err := l.Finish(time.Now(), &wire.FinishTurnRequest{Reservation: newReservation("first", 5, true)}); err != nil {
		t.Fatalf("settle: %v", err)
	}
	for name, l := range restartAndCopy(t, dir, l, disk) {
		for lastEvent, want := range map[string]map[string]bool{
			"":  {"first": false, "second": false, "other": false},
			"1": {"first": true, "second": true, "other": false},
			"2": {"first": true, "second": false, "other": false},
			"3": {"first": false, "second": false, "other": false},
		} {
			reservation := newReservation("later", 1, false)
			reservation.Stream = stream
			reply, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: reservation, Workspace: "w", WantReservations: true, LastEvent: lastEvent})
			if err != nil {
				t.Fatalf("begin: %v", err)
			}
			if got := len(reply.GetReservations()); got != len(want) {
				t.Errorf("%s: got %d reservations, want %d", name, got, len(want))
			}
			for _, listed := range reply.GetReservations() {
				if got := listed.GetRelayed(); got != want[listed.GetTurn()] {
					t.Errorf("%s: event %q of %s: got relayed %t, want %t", name, lastEvent, listed.GetTurn(), got, want[listed.GetTurn()])
				}
			}
		}
	}
}

// TestEventsExpire guards against events that use the memory of the index for longer than their
// stream can be taken up, and against events of a stream of which the first ones expire earlier.
func TestEventsExpire(t *testing.T) {
	l := newReadyLedger(t)
	begun := time.Now()
	storeEvent(t, l, "first", "1", "", begun)
	storeEvent(t, l, "first", "2", callerid.OfEvent("w/p", "first", "1"), begun)
	for _, step := range []struct {
		after time.Duration
		want  wire.FindVerdict
	}{
		{retention - time.Second, wire.FindVerdict_FIND_VERDICT_FOUND},
		{retention + time.Second, wire.FindVerdict_FIND_VERDICT_ABSENT},
	} {
		if err := l.Expire(begun.Add(step.after)); err != nil {
			t.Fatalf("expire: %v", err)
		}
		reply, err := l.Find(callerid.OfEvent("w/p", "first", "2"), "w")
		if err != nil {
			t.Fatalf("find: %v", err)
		}
		if got := reply.GetVerdict(); got != step.want {
			t.Errorf("events %s after they were stored: got %s, want %s", step.after, got, step.want)
		}
	}
	if got := l.IndexBytes(); got != 0 {
		t.Errorf("index once all events have expired: got %d bytes, want 0", got)
	}
}
