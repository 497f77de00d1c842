package deployment_test

import (
	"testing"

	"limpethall.dev/kernel/platform/memory"
)

var healthy memory.Faults

func TestProgramKeepsItsHistoryAcrossHalls(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		for number := range 5 {
			turn := w.turn(program, "question answer=8", number%2 == 0)
			if got, want := turn.Copies(), int64(2); got != want {
				t.Errorf("turn %d: got %d copies, want %d", number+1, got, want)
			}
		}
		if err := program.End(w.ctx); err != nil {
			t.Errorf("end: got error %v, want none", err)
		}
	})
}
