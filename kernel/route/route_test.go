package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/route"
)

// newCandidate returns a candidate with a window of 8 calls and 1000 tokens per
// second, all of whose calls are included in its load report.
func newCandidate(server, zone string, running, queued, queuedTokens int64) route.Candidate {
	return route.NewCandidate(server, zone, running, 8, queued, queuedTokens, 1000, 0, 0)
}

// TestPoliciesRankEachCandidateOnce checks every policy, also for a prefix server
// that is not among the candidates.
func TestPoliciesRankEachCandidateOnce(t *testing.T) {
	for _, name := range route.Policies.Names() {
		newPolicy, err := route.Policies.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(rt *rapid.T) {
			policy := newPolicy(route.Options{Zone: "a", PrefillTokensPerSecond: 4000, Random: func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "random") }})
			var candidates []route.Candidate
			var want []string
			for index := range rapid.IntRange(0, 6).Draw(rt, "candidates") {
				server := fmt.Sprint("server-", index)
				want = append(want, server)
				candidates = append(candidates, newCandidate(server, "a", rapid.Int64Range(0, 9).Draw(rt, "running"), rapid.Int64Range(0, 9).Draw(rt, "queued"), rapid.Int64Range(0, 9000).Draw(rt, "cost")))
			}
			prefixServer := rapid.SampledFrom([]string{"", "server-0", "server-9"}).Draw(rt, "holder")
			got := policy.Choose(route.NewRequest("p", 1000, 100, prefixServer, 900), candidates).Order()
			slices.Sort(got)
			if !slices.Equal(got, want) {
				rt.Fatalf("%s: got %v, want %v", name, got, want)
			}
		})
	}
}

func TestAffinityChoice(t *testing.T) {
	firstCandidate := func(int) int { return 0 }
	lastCandidate := func(n int) int { return n - 1 }
	cases := []struct {
		name       string
		request    route.Request
		candidates []route.Candidate
		random     func(n int) int
		want       string
	}{
		{
			"server with the cached prefix is preferred", route.NewRequest("p", 8000, 100, "holder", 7900),
			[]route.Candidate{newCandidate("other", "a", 0, 0, 0), newCandidate("holder", "a", 4, 0, 0)},
			firstCandidate, "holder",
		},
		{
			"recomputing the prefix costs less than waiting", route.NewRequest("p", 8000, 100, "holder", 7900),
			[]route.Candidate{newCandidate("other", "a", 0, 0, 0), newCandidate("holder", "a", 8, 20, 9000)},
			firstCandidate, "other",
		},
		{
			"short prefix justifies little waiting", route.NewRequest("p", 200, 100, "holder", 190),
			[]route.Candidate{newCandidate("other", "a", 0, 0, 0), newCandidate("holder", "a", 8, 2, 400)},
			firstCandidate, "other",
		},
		{
			"server in the hall's zone is preferred", route.NewRequest("p", 100, 100, "", 0),
			[]route.Candidate{newCandidate("far", "b", 0, 0, 0), newCandidate("near", "a", 0, 0, 0)},
			roundRobin(), "near",
		},
		{
			"prefix server that is not a candidate is ignored", route.NewRequest("p", 100, 100, "gone", 90),
			[]route.Candidate{newCandidate("x", "a", 8, 9, 900), newCandidate("y", "a", 0, 0, 0)},
			lastCandidate, "y",
		},
	}
	for _, c := range cases {
		policy := route.NewAffinity(route.Options{Zone: "a", PrefillTokensPerSecond: 4000, Random: c.random})
		if got := policy.Choose(c.request, c.candidates).Order()[0]; got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// roundRobin returns a replacement for Options.Random that yields 0, 1, 2, … modulo n.
func roundRobin() func(n int) int {
	next := -1
	return func(n int) int {
		next++
		return next % n
	}
}

// TestAffinityCountsUnreportedCalls guards against sending all calls between two
// load reports to the same server: each call must count as soon as it is sent, before
// a report includes it.
func TestAffinityCountsUnreportedCalls(t *testing.T) {
	sentTokens := make(map[string]int64)
	policy := route.NewAffinity(route.Options{Zone: "a", PrefillTokensPerSecond: 4000, Random: roundRobin()})
	for range 100 {
		var candidates []route.Candidate
		for _, server := range []string{"one", "two", "three"} {
			candidates = append(candidates, route.NewCandidate(server, "a", 8, 8, 1, 100, 1000, sentTokens[server], time.Second))
		}
		chosen := policy.Choose(route.NewRequest("p", 100, 100, "", 0), candidates).Order()[0]
		sentTokens[chosen] += 100
	}
	for server, tokens := range sentTokens {
		if got, limit := tokens, int64(4000); got > limit { // An equal share is 3333.
			t.Errorf("%s: sent %d of 10000 tokens, want at most %d", server, got, limit)
		}
	}
}

// BenchmarkSlopeChoose measures Affinity.Choose by the number of candidates. Slope
// is a prefix by which the Makefile selects benchmarks.
func BenchmarkSlopeChoose(b *testing.B) {
	for _, size := range []int{4, 24, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			policy := route.NewAffinity(route.Options{Zone: "a", PrefillTokensPerSecond: 4000, Random: roundRobin()})
			var candidates []route.Candidate
			for index := range size {
				candidates = append(candidates, newCandidate(fmt.Sprint("server-", index), "a", 1, 0, 0))
			}
			request := route.NewRequest("p", 1000, 100, "server-1", 900)
			b.ReportAllocs()
			for b.Loop() {
				policy.Choose(request, candidates)
			}
		})
	}
}
