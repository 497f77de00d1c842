package host_test

import (
	"fmt"
	"testing"

	"limpethall.dev/kernel/host"
)

func newHalls(count int) []host.Member {
	var halls []host.Member
	for number := range count {
		halls = append(halls, host.NewHall(fmt.Sprintf("hall-%03d", number), fmt.Sprintf("zone-%d", number%18), "127.0.0.1:1", 1))
	}
	return halls
}

// BenchmarkSlopeRank measures how the cost of ordering all halls for a program grows
// with their number. Each request that looks up the hall of a program pays this cost.
func BenchmarkSlopeRank(b *testing.B) {
	for _, size := range []int{2, 8, 32, 510} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			halls := newHalls(size)
			b.ReportAllocs()
			for b.Loop() {
				host.Rank("program", halls)
			}
		})
	}
}

// BenchmarkSlopeFirst measures the same for finding only the first hall.
func BenchmarkSlopeFirst(b *testing.B) {
	for _, size := range []int{8, 510} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			halls := newHalls(size)
			b.ReportAllocs()
			for b.Loop() {
				host.TopMember("program", halls)
			}
		})
	}
}

func TestRankMovesOnlyKeysOfRemovedMember(t *testing.T) {
	all := newHalls(9)
	remaining := append(append([]host.Member{}, all[:4]...), all[5:]...)
	moved := 0
	for number := range 1000 {
		key := fmt.Sprint("program-", number)
		before, after := host.Rank(key, all)[0].Name(), host.Rank(key, remaining)[0].Name()
		if before != after {
			moved++
			if before != all[4].Name() {
				t.Errorf("%s moved from %s, which was not removed, to %s", key, before, after)
			}
		}
	}
	if got, maximum := moved, 200; got > maximum {
		t.Errorf("keys moved by the removal of one of nine members: got %d of 1000, want at most %d", got, maximum)
	}
}

func TestPlacementDigestCoversOnlyServiceLimpets(t *testing.T) {
	limpet1 := host.NewLimpet("s-1", "a", "x:1", 5, nil, "orders")
	limpet2 := host.NewLimpet("s-2", "b", "x:2", 6, nil, "orders")
	engine := host.NewLimpet("e-1", "b", "x:3", 7, []string{"m"}, "")
	restarted := host.NewLimpet("s-1", "a", "x:1", 9, nil, "orders")
	base := host.NewRoster(10, []host.Member{limpet1, limpet2})
	cases := []struct {
		name   string
		roster *host.Roster
		same   bool
	}{
		{"another revision and order", host.NewRoster(99, []host.Member{limpet2, limpet1}), true},
		{"an added engine", host.NewRoster(11, []host.Member{limpet1, engine, limpet2}), true},
		{"a restarted server", host.NewRoster(11, []host.Member{restarted, limpet2}), false},
		{"a removed server", host.NewRoster(11, []host.Member{limpet1}), false},
	}
	for _, c := range cases {
		if got := c.roster.PlacementDigest() == base.PlacementDigest(); got != c.same {
			t.Errorf("%s: same placement digest: got %t, want %t", c.name, got, c.same)
		}
	}
}
