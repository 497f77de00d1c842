package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/route"
)

func candidate(server, zone string, running, queued, cost int64) route.Candidate {
	return route.NewCandidate(server, zone, running, 8, queued, cost, 1000, 0, 0)
}

// TestPolicyContract holds for every policy: each candidate is ranked once.
func TestPolicyContract(t *testing.T) {
	for _, name := range route.Policies.Names() {
		construct, err := route.Policies.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(rt *rapid.T) {
			policy := construct(route.Options{Zone: "a", PrefillRate: 4000, Random: func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "random") }})
			var candidates []route.Candidate
			var want []string
			for number := range rapid.IntRange(0, 6).Draw(rt, "candidates") {
				server := fmt.Sprint("server-", number)
				want = append(want, server)
				candidates = append(candidates, candidate(server, "a", rapid.Int64Range(0, 9).Draw(rt, "running"), rapid.Int64Range(0, 9).Draw(rt, "queued"), rapid.Int64Range(0, 9000).Draw(rt, "cost")))
			}
			holder := rapid.SampledFrom([]string{"", "server-0", "server-9"}).Draw(rt, "holder")
			got := policy.Choose(route.NewRequest("p", 1000, 100, holder, 900), candidates).Order()
			slices.Sort(got)
			if !slices.Equal(got, want) {
				rt.Fatalf("%s: got %v, want %v", name, got, want)
			}
		})
	}
}

func TestAffinity(t *testing.T) {
	first := func(int) int { return 0 }
	last := func(n int) int { return n - 1 }
	cases := []struct {
		name       string
		request    route.Request
		candidates []route.Candidate
		random     func(n int) int
		want       string
	}{
		{
			"the holder of the prefix is kept", route.NewRequest("p", 8000, 100, "holder", 7900),
			[]route.Candidate{candidate("other", "a", 0, 0, 0), candidate("holder", "a", 4, 0, 0)},
			first, "holder",
		},
		{
			"and left when waiting costs more than computing", route.NewRequest("p", 8000, 100, "holder", 7900),
			[]route.Candidate{candidate("other", "a", 0, 0, 0), candidate("holder", "a", 8, 20, 9000)},
			first, "other",
		},
		{
			"a short prefix is worth little waiting", route.NewRequest("p", 200, 100, "holder", 190),
			[]route.Candidate{candidate("other", "a", 0, 0, 0), candidate("holder", "a", 8, 2, 400)},
			first, "other",
		},
		{
			"own zone first", route.NewRequest("p", 100, 100, "", 0),
			[]route.Candidate{candidate("far", "b", 0, 0, 0), candidate("near", "a", 0, 0, 0)},
			alternate(), "near",
		},
		{
			"a holder that is gone does not matter", route.NewRequest("p", 100, 100, "gone", 90),
			[]route.Candidate{candidate("x", "a", 8, 9, 900), candidate("y", "a", 0, 0, 0)},
			last, "y",
		},
	}
	for _, c := range cases {
		policy := route.NewAffinity(route.Options{Zone: "a", PrefillRate: 4000, Random: c.random})
		if got := policy.Choose(c.request, c.candidates).Order()[0]; got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func alternate() func(n int) int {
	next := -1
	return func(n int) int {
		next++
		return next % n
	}
}

// TestOwnCallsCountAtOnce sends many calls between two reports: what was sent
// must count although no report shows it yet.
func TestOwnCallsCountAtOnce(t *testing.T) {
	sent := make(map[string]int64)
	policy := route.NewAffinity(route.Options{Zone: "a", PrefillRate: 4000, Random: alternate()})
	for range 100 {
		var candidates []route.Candidate
		for _, server := range []string{"one", "two", "three"} {
			candidates = append(candidates, route.NewCandidate(server, "a", 8, 8, 1, 100, 1000, sent[server], time.Second))
		}
		chosen := policy.Choose(route.NewRequest("p", 100, 100, "", 0), candidates).Order()[0]
		sent[chosen] += 100
	}
	for server, cost := range sent {
		if got, most := cost, int64(4000); got > most {
			t.Errorf("%s: got %d of 10000 tokens, want at most %d", server, got, most)
		}
	}
}

// BenchmarkSlopeChoose is what one routing decision costs.
func BenchmarkSlopeChoose(b *testing.B) {
	for _, size := range []int{4, 24, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			policy := route.NewAffinity(route.Options{Zone: "a", PrefillRate: 4000, Random: alternate()})
			var candidates []route.Candidate
			for number := range size {
				candidates = append(candidates, candidate(fmt.Sprint("server-", number), "a", 1, 0, 0))
			}
			request := route.NewRequest("p", 1000, 100, "server-1", 900)
			b.ReportAllocs()
			for b.Loop() {
				policy.Choose(request, candidates)
			}
		})
	}
}
