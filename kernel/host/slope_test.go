package host_test

import (
	"fmt"
	"testing"

	"limpethall.dev/kernel/host"
)

func members(count int) []host.Member {
	var made []host.Member
	for number := range count {
		made = append(made, host.NewHall(fmt.Sprintf("hall-%03d", number), fmt.Sprintf("zone-%d", number%18), "127.0.0.1:1", 1))
	}
	return made
}

// BenchmarkSlopeRank is what finding a program's home costs each request.
func BenchmarkSlopeRank(b *testing.B) {
	for _, size := range []int{2, 8, 32, 510} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			halls := members(size)
			b.ReportAllocs()
			for b.Loop() {
				host.Rank("program", halls)
			}
		})
	}
}

// BenchmarkSlopeFirst is what finding only the home costs.
func BenchmarkSlopeFirst(b *testing.B) {
	for _, size := range []int{8, 510} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			halls := members(size)
			b.ReportAllocs()
			for b.Loop() {
				host.First("program", halls)
			}
		})
	}
}

func TestRankMovesOnlyTheKeysOfAMemberThatLeaves(t *testing.T) {
	all := members(9)
	left := append(append([]host.Member{}, all[:4]...), all[5:]...)
	moved := 0
	for number := range 1000 {
		key := fmt.Sprint("program-", number)
		before, after := host.Rank(key, all)[0].Name(), host.Rank(key, left)[0].Name()
		if before != after {
			moved++
			if before != all[4].Name() {
				t.Errorf("%s moved from %s to %s, which had not left", key, before, after)
			}
		}
	}
	if got, most := moved, 200; got > most {
		t.Errorf("keys moved by one of nine members leaving: got %d of 1000, want at most %d", got, most)
	}
}

func TestPlacementIsTheSameForTheSameServers(t *testing.T) {
	one := host.NewLimpet("s-1", "a", "x:1", 5, nil, "orders")
	two := host.NewLimpet("s-2", "b", "x:2", 6, nil, "orders")
	engine := host.NewLimpet("e-1", "b", "x:3", 7, []string{"m"}, "")
	restarted := host.NewLimpet("s-1", "a", "x:1", 9, nil, "orders")
	first := host.NewRoster(10, []host.Member{one, two})
	cases := []struct {
		name   string
		roster *host.Roster
		same   bool
	}{
		{"another revision and order", host.NewRoster(99, []host.Member{two, one}), true},
		{"an engine more", host.NewRoster(11, []host.Member{one, engine, two}), true},
		{"a server restarted", host.NewRoster(11, []host.Member{restarted, two}), false},
		{"a server less", host.NewRoster(11, []host.Member{one}), false},
	}
	for _, c := range cases {
		if got := c.roster.Placement() == first.Placement(); got != c.same {
			t.Errorf("%s: got the same placement %v, want %v", c.name, got, c.same)
		}
	}
}
