package ledger_test

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/wire"
)

// mergeTurns stores small turns of programs that have the given number of turns each.
func mergeTurns(t *testing.T, l *ledger.Ledger, from, count, perProgram int) error {
	t.Helper()
	page := &wire.CopyReply{}
	for index := from; index < from+count; index++ {
		program, previous := index/perProgram, ""
		if index%perProgram > 0 {
			previous = fmt.Sprintf("request-%08d-%d", program, index%perProgram-1)
		}
		turn := newTurn(fmt.Sprintf("request-%08d-%d", program, index%perProgram), previous, "workspace")
		turn.Placement = fmt.Sprintf("workspace/program-%08d", program)
		page.Turns = append(page.Turns, turn)
	}
	return l.Merge(time.Now(), page)
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // What became unreachable during the first one.
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// TestEstimateCoversIndex guards against keepers that exceed their memory by an index that is
// larger than what is counted.
func TestEstimateCoversIndex(t *testing.T) {
	const batches, batch = 24, 5000 // Beyond the growth of the maps at 114,688 entries, where their slots are used least.
	for _, perProgram := range []int{1, 5} {
		l := newReadyLedger(t)
		before := liveHeap()
		for index := range batches {
			if err := mergeTurns(t, l, index*batch, batch, perProgram); err != nil {
				t.Fatalf("merge: %v", err)
			}
		}
		got, want := liveHeap()-before, l.IndexBytes()
		t.Logf("%d turns, %d a program: %d bytes of heap, %d estimated", batches*batch, perProgram, got, want)
		if got > want {
			t.Errorf("memory of %d turns, %d a program: got %d bytes, want at most the estimate of %d", batches*batch, perProgram, got, want)
		}
	}
	l := newReadyLedger(t)
	before := liveHeap()
	for from := range batches {
		page := &wire.CopyReply{}
		for index := from * batch; index < (from+1)*batch; index++ {
			reservation := newReservation(fmt.Sprintf("request-%08d", index), 10, false)
			reservation.Program = fmt.Sprintf("workspace/other-%08d", index/2)
			page.Reservations = append(page.Reservations, reservation)
		}
		if err := l.Merge(time.Now(), page); err != nil {
			t.Fatalf("merge: %v", err)
		}
	}
	got, want := liveHeap()-before, l.IndexBytes()
	t.Logf("%d reservations: %d bytes of heap, %d estimated", batches*batch, got, want)
	if got > want {
		t.Errorf("memory of %d reservations: got %d bytes, want at most the estimate of %d", batches*batch, got, want)
	}
}

// TestFullIndexRefusesNewProgramsFirst guards against an index that grows without a bound, and
// against programs under way that are refused before new ones, or new ones before the events of
// streams.
func TestFullIndexRefusesNewProgramsFirst(t *testing.T) {
	l := newReadyLedger(t)
	l.SetIndexLimit(400_000)
	begin := func(program string) error {
		reservation := newReservation("next", 1, false)
		reservation.Program = program
		_, err := l.Begin(time.Now(), &wire.BeginTurnRequest{Reservation: reservation, Budget: 10, Workspace: "w"})
		return err
	}
	finish := func(id string) error {
		return l.Finish(time.Now(), &wire.FinishTurnRequest{Turn: newTurn(id, "", "w")})
	}
	finishEvent := func(id string) error {
		return l.Finish(time.Now(), &wire.FinishTurnRequest{Turn: newTurn(id, "", "w"), Event: true})
	}
	if err := begin("w/running"); err != nil {
		t.Fatalf("first program: %v", err)
	}
	wants := []struct{ event, new, running, finished bool }{
		{true, true, true, true}, {false, true, true, true}, {false, false, true, true}, {false, false, false, true}, {false, false, false, false},
	}
	stored := 0
	for step, want := range wants {
		for count := 0; step > 0 && count < 5000; count++ {
			if l.IndexBytes() >= []int64{0, 200_000, 300_000, 350_000, 400_000}[step] {
				break
			}
			if err := mergeTurns(t, l, stored, 1, 5); err != nil {
				t.Fatalf("merge: %v", err)
			}
			stored++
		}
		for _, call := range []struct {
			name string
			err  error
			want bool
		}{
			{"running program", begin("w/running"), want.running},
			{"event of a stream", finishEvent("event"), want.event},
			{"finished turn", finish("turn"), want.finished},
			{"new program", begin(fmt.Sprintf("w/new-%d", step)), want.new},
		} {
			var full *ledger.IndexFullError
			if got := !errors.As(call.err, &full); got != call.want || (call.err != nil && full == nil) {
				t.Errorf("step %d, %s: got error %v, want it served: %t", step, call.name, call.err, call.want)
			}
		}
	}
	if reply, err := l.Find("request-00000000-4", "workspace"); err != nil || reply.GetVerdict() != wire.FindVerdict_FIND_VERDICT_FOUND {
		t.Errorf("stored turn while the index is full: got %s and error %v, want it found", reply.GetVerdict(), err)
	}
	if err := l.Expire(time.Now().Add(4 * retention)); err != nil {
		t.Fatalf("expire: %v", err)
	}
	if got := l.IndexBytes(); got != 0 {
		t.Errorf("index once all has expired: got %d bytes, want 0", got)
	}
	if err := begin("w/new"); err != nil {
		t.Errorf("new program once all has expired: got error %v, want none", err)
	}
}
