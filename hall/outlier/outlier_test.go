package outlier_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/backend"
)

// clock is a clock that tests move.
type clock struct{ time time.Time }

func newClock() *clock { return &clock{time: time.Unix(1_000_000, 0)} }

// Now returns the time of the clock.
func (c *clock) Now() time.Time { return c.time }

func (c *clock) pass(duration time.Duration) { c.time = c.time.Add(duration) }

// newServers returns servers of one software version, named "0", "1" and so on.
func newServers(count int) []backend.Server {
	servers := make([]backend.Server, 0, count)
	for index := range count {
		servers = append(servers, backend.NewServer(backend.Options{ID: fmt.Sprint(index), Service: "models", Version: "v1"}))
	}
	return servers
}

func newDetector(name string, c *clock) *outlier.Detector {
	return outlier.New(name, c.Now, zap.NewNop())
}

// observe records one result of each server that is not ejected.
func observe(d *outlier.Detector, servers []backend.Server, resultOf func(id string) outlier.Result) {
	assessment := d.Assess("models", servers)
	for _, server := range servers {
		if assessment.Of(server.ID()).Allows(0) {
			d.Record(outlier.Observation{Service: "models", Server: server.ID(), Route: "chat", Result: resultOf(server.ID())})
		}
	}
}

func ejected(d *outlier.Detector, servers []backend.Server) string {
	ids, assessment := "", d.Assess("models", servers)
	for _, server := range servers {
		if assessment.Of(server.ID()).IsEjected() {
			ids += server.ID() + " "
		}
	}
	return ids
}

// failing returns the results of servers of which the given ones fail.
func failing(result outlier.Result, ids ...string) func(string) outlier.Result {
	return func(id string) outlier.Result {
		for _, bad := range ids {
			if id == bad {
				return result
			}
		}
		return outlier.Answered
	}
}

// TestEjections checks which servers are ejected under the failure in the name. Each round is
// 150 ms long and sends one request to each server.
func TestEjections(t *testing.T) {
	round := 0
	tests := []struct {
		name     string
		resultOf func(id string) outlier.Result
		rounds   int
		want     string
	}{
		{"one server fails 40% of its requests", func(id string) outlier.Result {
			if id == "3" && round%5 < 2 {
				return outlier.Failed
			}
			return outlier.Answered
		}, 20, "3 "},
		{"one server is silent", failing(outlier.Silent, "3"), 3, "3 "},
		{"one failure", func(id string) outlier.Result {
			if id == "3" && round == 0 {
				return outlier.Failed
			}
			return outlier.Answered
		}, 20, ""},
		{"all servers fail", func(string) outlier.Result { return outlier.Failed }, 20, ""},
		{"all servers fail 40% of their requests", func(string) outlier.Result {
			if round%5 < 2 {
				return outlier.Failed
			}
			return outlier.Answered
		}, 20, ""},
		{"four of ten fail, the bound is 30%", failing(outlier.Failed, "1", "3", "5", "7"), 4, "1 3 5 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			d, servers, everEjected := newDetector("hall", c), newServers(10), ""
			for round = range test.rounds {
				observe(d, servers, test.resultOf)
				c.pass(150 * time.Millisecond)
				everEjected = max(everEjected, ejected(d, servers))
			}
			if everEjected != test.want {
				t.Errorf("ejected servers: got %q, want %q", everEjected, test.want)
			}
		})
	}
}

// TestLastServerOfVersionStays checks that a failing server stays in use if no other has its
// software version: requests that are bound to the version have no other.
func TestLastServerOfVersionStays(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(9)
	servers = append(servers, backend.NewServer(backend.Options{ID: "9", Service: "models", Version: "v2"}))
	for range 5 {
		observe(d, servers, failing(outlier.Failed, "9"))
		c.pass(150 * time.Millisecond)
	}
	if got := ejected(d, servers); got != "" {
		t.Errorf("ejected servers: got %q, want none", got)
	}
}

// TestSlowReturn checks that an ejected server returns with one request at a time, gets more
// as it answers, and is ejected for twice as long if it fails again.
func TestSlowReturn(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(10)
	fail := func() {
		for range 2 {
			observe(d, servers, failing(outlier.Silent, "3"))
		}
		c.pass(150 * time.Millisecond)
		d.Assess("models", servers)
	}
	verdict := func() outlier.Verdict { return d.Assess("models", servers).Of("3") }
	fail()
	if verdict().Allows(0) {
		t.Fatal("silent server: got in use, want ejected")
	}
	c.pass(time.Second)
	if got := [2]bool{verdict().Allows(0), verdict().Allows(1)}; got != [2]bool{true, false} {
		t.Errorf("returning server takes a first and a second request: got %v, want [true false]", got)
	}
	for range 2 {
		observe(d, servers, failing(outlier.Answered))
	}
	c.pass(100 * time.Millisecond)
	if got := [2]bool{verdict().Allows(1), verdict().Allows(5)}; got != [2]bool{false, false} {
		t.Errorf("server takes a second and a sixth request after less than two answers by weight: got %v, want [false false]", got)
	}
	observe(d, servers, failing(outlier.Answered))
	c.pass(100 * time.Millisecond)
	if got := [2]bool{verdict().Allows(1), verdict().Allows(5)}; got != [2]bool{true, false} {
		t.Errorf("server takes a second and a sixth request after three answers: got %v, want [true false]", got)
	}
	fail()
	c.pass(1500 * time.Millisecond)
	if verdict().Allows(0) {
		t.Error("server that failed at its return, 1.5 s later: got in use, want ejected for 2 s")
	}
	c.pass(600 * time.Millisecond)
	for range 8 {
		observe(d, servers, failing(outlier.Answered))
	}
	c.pass(100 * time.Millisecond)
	if !verdict().Allows(100) {
		t.Error("server that answered 8 requests: got limited, want in full use")
	}
}

// TestReturnDuringCommonFailure checks that a returning server which fails like all others is
// not ejected again.
func TestReturnDuringCommonFailure(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(10)
	for range 3 {
		observe(d, servers, failing(outlier.Silent, "3"))
		c.pass(150 * time.Millisecond)
	}
	for range 20 {
		observe(d, servers, func(string) outlier.Result { return outlier.Failed })
		c.pass(150 * time.Millisecond)
	}
	if got := ejected(d, servers); got != "" || d.Ejections() != 1 {
		t.Errorf("ejected servers and ejections: got %q and %d, want none and 1", got, d.Ejections())
	}
}

// TestSlowness checks the measured slowness if a quarter of the servers run at half speed.
func TestSlowness(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(12)
	for range 40 {
		for index, server := range servers {
			work := 40 * time.Millisecond
			if index%4 == 0 {
				work *= 2
			}
			d.Record(outlier.Observation{Service: "models", Server: server.ID(), Route: "chat", Work: work, PerToken: work / 10})
		}
		c.pass(100 * time.Millisecond)
	}
	assessment := d.Assess("models", servers)
	for index, server := range servers {
		want := 1.0
		if index%4 == 0 {
			want = 2
		}
		if got := assessment.Of(server.ID()).Slowness(); math.Abs(got-want) > 0.1 {
			t.Errorf("slowness of server %d: got %.2f, want %.2f", index, got, want)
		}
	}
}

// TestEvidenceCountsOnce checks that evidence which three halls pass on to each other counts
// once: one failure, told over and over, makes one.
func TestEvidenceCountsOnce(t *testing.T) {
	c := newClock()
	servers := newServers(10)
	halls := []*outlier.Detector{newDetector("x", c), newDetector("y", c), newDetector("z", c)}
	for index, hall := range halls {
		for _, server := range servers {
			hall.Record(outlier.Observation{Service: "models", Server: server.ID()})
		}
		if index == 0 {
			hall.Record(outlier.Observation{Service: "models", Server: "3", Result: outlier.Failed})
		}
	}
	for range 5 {
		for index, hall := range halls {
			next := halls[(index+1)%len(halls)]
			hall.Merge(next.Exchange(hall.Summary()))
		}
	}
	for index, hall := range halls {
		if got, want := hall.Assess("models", servers).Of("3").FailureRate(), 1.0/5; math.Abs(got-want) > 0.01 {
			t.Errorf("failure rate at hall %d of 1 failure, 3 answers and the prior: got %.3f, want %.3f", index, got, want)
		}
	}
	outdated := halls[1].Summary()
	for index, hall := range halls {
		hall.Record(outlier.Observation{Service: "models", Server: "3", Result: outlier.Failed})
		next := halls[(index+1)%len(halls)]
		hall.Merge(next.Exchange(hall.Summary()))
	}
	halls[2].Merge(outdated)
	c.pass(150 * time.Millisecond)
	if got := halls[2].Assess("models", servers).Of("3").FailureRate(); got < 0.41 {
		t.Errorf("failure rate after an outdated message: got %.3f, want that of the newer one", got)
	}
	if got := ejected(halls[2], servers); got != "3 " {
		t.Fatalf("ejected servers after failures at three halls: got %q, want 3", got)
	}
	halls[2].Merge(halls[0].Summary())
	if got := halls[2].Assess("models", servers).Of("3").FailureRate(); got > 0.6 {
		t.Errorf("failure rate after old evidence arrives again: got %.3f, want no more than 0.6", got)
	}
	c.pass(1200 * time.Millisecond)
	halls[2].Assess("models", servers)
	halls[0].Record(outlier.Observation{Service: "models", Server: "3"})
	halls[2].Merge(halls[0].Summary())
	c.pass(150 * time.Millisecond)
	if got := halls[2].Assess("models", servers).Of("3").FailureRate(); got > 0.1 {
		t.Errorf("failure rate after the return, when failures that led to the ejection arrive with a new answer: got %.3f, want about 0", got)
	}
}

// TestHallWithBrokenLink checks that failures which one hall alone sees, at a quarter of the
// servers, eject them at that hall and at no other.
func TestHallWithBrokenLink(t *testing.T) {
	c := newClock()
	broken, healthy, servers := newDetector("broken", c), newDetector("healthy", c), newServers(12)
	for range 10 {
		observe(broken, servers, failing(outlier.Failed, "0", "4", "8"))
		observe(healthy, servers[1:], failing(outlier.Answered))
		healthy.Merge(broken.Exchange(healthy.Summary()))
		c.pass(150 * time.Millisecond)
		if got := ejected(healthy, servers); got != "" {
			t.Fatalf("ejected servers at the other hall: got %q, want none", got)
		}
	}
	if got := broken.Ejections(); got < 3 {
		t.Errorf("ejections at the hall with the broken link: got %d, want at least 3", got)
	}
}

// TestServerStopsResponding checks that a server which all halls know to have answered until
// now is ejected once two halls miss a response, and that one which goes on answering is not.
func TestServerStopsResponding(t *testing.T) {
	for _, answersGoOn := range []bool{false, true} {
		c := newClock()
		servers := newServers(10)
		halls := []*outlier.Detector{newDetector("x", c), newDetector("y", c), newDetector("z", c)}
		answer := func(hall *outlier.Detector) { observe(hall, servers, failing(outlier.Answered)) }
		exchange := func() {
			for index, hall := range halls {
				next := halls[(index+1)%len(halls)]
				hall.Merge(next.Exchange(hall.Summary()))
			}
		}
		for range 15 {
			for _, hall := range halls {
				answer(hall)
			}
			c.pass(100 * time.Millisecond)
		}
		exchange()
		c.pass(400 * time.Millisecond)
		for _, hall := range halls[:2] {
			hall.Record(outlier.Observation{Service: "models", Server: "3", Result: outlier.Silent})
		}
		if answersGoOn {
			c.pass(10 * time.Millisecond)
			answer(halls[2])
		}
		exchange()
		c.pass(150 * time.Millisecond)
		want := "3 "
		if answersGoOn {
			want = ""
		}
		for index, hall := range halls {
			if got := ejected(hall, servers); got != want {
				t.Errorf("ejected servers at hall %d, answers go on %t: got %q, want %q", index, answersGoOn, got, want)
			}
		}
	}
}

// TestSmallDifferencesOfSpeed guards against halls that follow small differences of speed, which
// come from the requests of the moment: they sent twice the mean load to some of 50 equal servers.
func TestSmallDifferencesOfSpeed(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(12)
	for round := range 20 {
		for index, server := range servers {
			perToken := time.Millisecond
			if (index+round)%3 == 0 && index < 6 {
				perToken = 1300 * time.Microsecond
			}
			d.Record(outlier.Observation{Service: "models", Server: server.ID(), Route: "chat", Work: time.Duration(1+index) * 10 * time.Millisecond, PerToken: perToken})
		}
		c.pass(100 * time.Millisecond)
	}
	assessment := d.Assess("models", servers)
	for index, server := range servers {
		if got := assessment.Of(server.ID()).Slowness(); got != 1 {
			t.Errorf("slowness of server %d: got %.2f, want 1", index, got)
		}
	}
}
