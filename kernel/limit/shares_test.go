package limit_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/limit"
)

func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shares := limit.NewShares("hall-0", 1)
		hall := func(name string) string { return fmt.Sprintf("hall-%d", rapid.IntRange(0, 5).Draw(rt, name)) }
		rt.Repeat(map[string]func(*rapid.T){
			"confirm": func(rt *rapid.T) {
				shares = shares.Confirm(hall("hall"), rapid.Uint64Range(1, 5).Draw(rt, "incarnation"))
			},
			"give": func(rt *rapid.T) {
				shares = shares.Give(hall("from"), hall("to"), rapid.Int64Range(0, 2*limit.WholeParts).Draw(rt, "parts"))
			},
			"give the surplus": func(*rapid.T) {
				giver := hall("hall")
				if taker, parts := shares.Surplus(giver); parts > 0 {
					shares = shares.Give(giver, taker, parts)
				}
			},
			"remove": func(*rapid.T) { shares = shares.Remove(hall("hall"), hall("heir")) },
			"": func(rt *rapid.T) {
				if got, want := shares.Total(), int64(limit.WholeParts); got != want {
					rt.Fatalf("total: got %d parts, want %d", got, want)
				}
				text, err := json.Marshal(shares)
				if err != nil {
					rt.Fatal(err)
				}
				var read limit.Shares
				if err := json.Unmarshal(text, &read); err != nil {
					rt.Fatal(err)
				}
				if got, want := fmt.Sprint(read), fmt.Sprint(shares); got != want {
					rt.Fatalf("read back: got %s, want %s", got, want)
				}
			},
		})
	})
}

func TestSurplusLeadsToEqualShares(t *testing.T) {
	shares := limit.NewShares("hall-0", 1)
	for number := 1; number < 7; number++ {
		shares = shares.Confirm(fmt.Sprintf("hall-%d", number), 1)
	}
	for range 20 {
		for number := range 7 {
			giver := fmt.Sprintf("hall-%d", number)
			if taker, parts := shares.Surplus(giver); parts > 0 {
				shares = shares.Give(giver, taker, parts)
			}
		}
	}
	for _, holder := range shares.Holders() {
		if got, least := holder.Parts(), int64(limit.WholeParts/8); got < least {
			t.Errorf("%s: got %d parts, want at least %d", holder.Hall(), got, least)
		}
	}
}

func TestTableOverTheWholeIsRefused(t *testing.T) {
	var shares limit.Shares
	text := fmt.Sprintf(`[{"hall":"a","parts":%d},{"hall":"b","parts":1}]`, limit.WholeParts)
	if err := json.Unmarshal([]byte(text), &shares); err == nil {
		t.Errorf("got no error, want one for a table over the whole")
	}
}
