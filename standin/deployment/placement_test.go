package deployment_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"limpethall.dev/kernel/table"
	client "limpethall.dev/limpet/engine"
	"limpethall.dev/limpet/engine/chat"
	"limpethall.dev/standin/deployment"
)

func placing(fencing bool) func(options *deployment.Options) {
	return func(options *deployment.Options) {
		options.Engine.Fencing = fencing
		options.Engine.LoadLength = 10 * time.Second
	}
}

// assign assigns models to the first four servers that stand before engines.
func (w *world) assign(models ...string) {
	w.t.Helper()
	var edits []table.Edit
	for _, index := range []int{0, 1, 3, 4} {
		edits = append(edits, table.NewPutAssignment(table.NewAssignment(w.LimpetName(index), models)))
	}
	w.change(edits...)
}

func (w *world) checkHeld(want ...string) {
	w.t.Helper()
	for index, running := range w.Engines() {
		got := running.Models()
		slices.Sort(got)
		if !slices.Equal(got, want) {
			w.t.Errorf("engine-%d: holds %v, want %v", index+1, got, want)
		}
	}
}

func TestAssignedModelsAreLoadedWithinTheWeightStoresRate(t *testing.T) {
	inWorld(t, placing(true), func(w *world) {
		w.assign("magnet", "talian")
		time.Sleep(2 * time.Minute)
		w.checkHeld("magnet", "talian")
		if got, most := w.Weights().Most(), 2; got > most {
			t.Errorf("loads at once: got %d, want at most %d", got, most)
		}
		answer := func() string {
			_, text, err := w.client("kovacs").Do(w.ctx, http.MethodGet, "/v1/models", nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
		if got := answer(); !containsText(got, "talian") {
			t.Errorf("models: got %s, want talian among them", got)
		}
		program := w.open(w.client("kovacs"), 0)
		if _, err := program.Turn(w.ctx, "talian", "question answer=5", false); err != nil {
			t.Errorf("turn on the new model: %v", err)
		}
		w.assign("talian")
		time.Sleep(time.Minute)
		w.checkHeld("talian")
		if got := answer(); containsText(got, "magnet") {
			t.Errorf("models: got %s, want magnet gone", got)
		}
	})
}

// TestOrdersOfAnEarlierLimpet replaces limpets in the middle of loads. Each
// engine must end with what is wanted, and one that checks must refuse orders
// with the earlier limpet's number.
func TestOrdersOfAnEarlierLimpet(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		inWorldNamed(t, map[bool]string{true: "checking engine", false: "ignoring engine"}[fencing], placing(fencing), func(w *world) {
			w.assign("magnet", "talian")
			time.Sleep(5 * time.Second)
			var before []uint64
			for index, limpet := range []int{0, 1, 3, 4} {
				before = append(before, w.Engines()[index].Fence())
				w.KillLimpet(limpet)
				if err := w.RestartLimpet(limpet); err != nil {
					w.t.Fatal(err)
				}
			}
			w.assign("magnet", "border")
			time.Sleep(3 * time.Minute)
			w.checkHeld("border", "magnet")
			for index, running := range w.Engines() {
				if got := running.Fence(); got <= before[index] {
					w.t.Errorf("engine-%d: got fencing number %d after %d, want a higher one", index+1, got, before[index])
				}
				late := chat.New(client.Options{Network: w.network.Host("late"), Address: running.Address()})
				err := late.Order(context.Background(), client.Order{Kind: client.OrderRelease, Model: "magnet", Fence: 1})
				var stale *client.StaleOrderError
				if got := errors.As(err, &stale); got != fencing {
					w.t.Errorf("engine-%d: an order with an old number was refused: got %v, want %v", index+1, got, fencing)
				}
			}
		})
	}
}
