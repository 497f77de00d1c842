package limit_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/limit"
)

func TestSharesKeepTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shares := limit.NewShares("hall-0", 1)
		hall := func(name string) string { return fmt.Sprintf("hall-%d", rapid.IntRange(0, 5).Draw(rt, name)) }
		rt.Repeat(map[string]func(*rapid.T){
			"confirm": func(rt *rapid.T) {
				shares = shares.Confirm(hall("hall"), rapid.Uint64Range(1, 5).Draw(rt, "incarnation"))
			},
			"transfer parts": func(rt *rapid.T) {
				shares = shares.Transfer(hall("from"), hall("to"), rapid.Int64Range(0, 2*limit.TotalParts).Draw(rt, "parts"))
			},
			"transfer as planned": func(*rapid.T) {
				source := hall("hall")
				if target, parts := shares.PlanTransfer(source); parts > 0 {
					shares = shares.Transfer(source, target, parts)
				}
			},
			"remove": func(*rapid.T) { shares = shares.Remove(hall("hall"), hall("successor hall")) },
			"": func(rt *rapid.T) {
				if got, want := shares.Total(), int64(limit.TotalParts); got != want {
					rt.Fatalf("total: got %d parts, want %d", got, want)
				}
				data, err := json.Marshal(shares)
				if err != nil {
					rt.Fatal(err)
				}
				var decoded limit.Shares
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

func TestPlannedTransfersEqualizeShares(t *testing.T) {
	shares := limit.NewShares("hall-0", 1)
	for index := 1; index < 7; index++ {
		shares = shares.Confirm(fmt.Sprintf("hall-%d", index), 1)
	}
	for range 20 {
		for index := range 7 {
			source := fmt.Sprintf("hall-%d", index)
			if target, parts := shares.PlanTransfer(source); parts > 0 {
				shares = shares.Transfer(source, target, parts)
			}
		}
	}
	for _, holder := range shares.Holders() {
		if got, minParts := holder.Parts(), int64(limit.TotalParts/8); got < minParts {
			t.Errorf("%s: got %d parts, want at least %d", holder.Hall(), got, minParts)
		}
	}
}

func TestTableAboveTotalIsRejected(t *testing.T) {
	var shares limit.Shares
	data := fmt.Sprintf(`[{"hall":"a","parts":%d},{"hall":"b","parts":1}]`, limit.TotalParts)
	if err := json.Unmarshal([]byte(data), &shares); err == nil {
		t.Errorf("got no error, want one for a table of more than TotalParts")
	}
}
