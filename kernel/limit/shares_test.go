package limit_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/limit"
)

// TestSlicesKeepOneHolder changes the share table in random ways. No slice may be
// lost or get a second holder.
func TestSlicesKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shares := limit.NewShares(limit.NewHolder("hall-0", 1, 1))
		hall := func(name string) string { return fmt.Sprintf("hall-%d", rapid.IntRange(0, 5).Draw(rt, name)) }
		holders := func(name string) []limit.Holder {
			var drawn []limit.Holder
			for _, number := range rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID[int]).Draw(rt, name) {
				drawn = append(drawn, limit.NewHolder(fmt.Sprintf("hall-%d", number), 1, 1))
			}
			return drawn
		}
		rt.Repeat(map[string]func(*rapid.T){
			"confirm": func(rt *rapid.T) {
				shares = shares.Confirm(limit.NewHolder(hall("hall"), rapid.Uint64Range(1, 5).Draw(rt, "incarnation"), rapid.Uint64().Draw(rt, "registration")))
			},
			"transfer slices": func(rt *rapid.T) {
				moved := limit.AllSlices().Last(rapid.IntRange(0, limit.SliceCount).Draw(rt, "slices"))
				shares = shares.Transfer(hall("from"), limit.NewHolder(hall("to"), 1, 1), moved)
			},
			"rebalance": func(*rapid.T) { shares, _ = shares.Rebalance(hall("hall"), holders("live halls")) },
			"remove":    func(*rapid.T) { shares = shares.Remove(hall("hall"), holders("successors")) },
			"": func(rt *rapid.T) {
				total := 0
				for _, share := range shares.All() {
					total += share.Slices().Len()
				}
				if got, want := total, limit.SliceCount; got != want {
					rt.Fatalf("slices of all halls: got %d, want %d", got, want)
				}
				data, err := json.Marshal(shares)
				if err != nil {
					rt.Fatal(err)
				}
				var decoded limit.Shares // Decoding rejects a second holder.
				if err := json.Unmarshal(data, &decoded); err != nil {
					rt.Fatal(err)
				}
				if got, want := fmt.Sprint(decoded), fmt.Sprint(shares); got != want {
					rt.Fatalf("decoded table: got %s, want %s", got, want)
				}
			},
		})
	})
}

// TestRebalanceServesAllHallsInOneStep gives the slices of the hall that started
// first to all others with a single write. The limits of a workspace must then lie
// with several halls, and no hall may hold much more than an equal part.
func TestRebalanceServesAllHallsInOneStep(t *testing.T) {
	for _, count := range []int{2, 4, 5, 26, 510} {
		var live []limit.Holder
		for index := range count {
			live = append(live, limit.NewHolder(fmt.Sprintf("hall-%03d", index), 1, 1))
		}
		shares, _ := limit.NewShares(limit.NewHolder("hall-000", 1, 1)).Rebalance("hall-000", live)
		if got, want := len(shares.All()), count; got != want {
			t.Errorf("%d halls: got %d with a share, want all", count, got)
		}
		equal := float64(limit.SliceCount) / float64(count)
		for _, share := range shares.All() {
			if got, minimum, maximum := float64(share.Slices().Len()), math.Floor(equal), math.Ceil(equal); got < minimum || got > maximum {
				t.Errorf("%d halls, slices of %s: got %.0f, want %.0f to %.0f", count, share.Hall(), got, minimum, maximum)
			}
		}
		owners := shares.Owners()
		for number := range 100 {
			if got, want := len(owners.OfWorkspace(fmt.Sprint(number))), min(count, 4); got < want-1 {
				t.Errorf("%d halls: got the limits of workspace %d at %d halls, want %d", count, number, got, want)
			}
		}
	}
}

func TestTableWithTwoHoldersOfASliceIsRejected(t *testing.T) {
	var shares limit.Shares
	data := `[{"hall":"a","slices":"0-12,40"},{"hall":"b","slices":"40-41"}]`
	if err := json.Unmarshal([]byte(data), &shares); err == nil {
		t.Errorf("got no error, want one for a table that assigns slice 40 to two halls")
	}
}

func TestInvalidSlicesAreRejected(t *testing.T) {
	for _, text := range []string{"x", "5-3", "-1", "0-1000", "1000", "1--2"} {
		var set limit.SliceSet
		if err := set.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("slices %q: got no error, want one", text)
		}
	}
}
