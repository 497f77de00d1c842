package balance

import (
	"time"

	"limpethall.dev/kernel/backend"
)

// Candidate is a server that was considered for a request.
type Candidate struct {
	server                backend.Server
	expected, queue, read time.Duration
	zone                  time.Duration
	excluded              string
	slowness              float64
}

// Server returns the server.
func (c Candidate) Server() backend.Server { return c.server }

// ExpectedDelay returns the delay by which servers are compared. It is zero for a server that is
// excluded before.
func (c Candidate) ExpectedDelay() time.Duration { return c.expected }

// QueueDelay returns the part of the expected delay for load, failures, history and objects.
func (c Candidate) QueueDelay() time.Duration { return c.queue }

// ReadDelay returns the part of the expected delay for reading the prompt.
func (c Candidate) ReadDelay() time.Duration { return c.read }

// Slowness returns how long work takes at the server relative to its peers, 1 as usual.
func (c Candidate) Slowness() float64 { return c.slowness }

// ZoneDelay returns the part of the expected delay for sending the request to another zone.
func (c Candidate) ZoneDelay() time.Duration { return c.zone }

// Excluded returns why the server cannot be chosen, empty if it can.
func (c Candidate) Excluded() string { return c.excluded }

// Explanation is what Choose would do with a request.
type Explanation struct {
	choice     *Choice
	err        error
	candidates []Candidate
	listAge    time.Duration
}

// Choice returns the choice, which is not to be used for a request. It is nil if there is an
// error.
func (e *Explanation) Choice() *Choice { return e.choice }

// Err returns the error that Choose would return, nil if it would choose a server.
func (e *Explanation) Err() error { return e.err }

// Candidates returns the usable servers of the service, sorted by ID.
func (e *Explanation) Candidates() []Candidate { return e.candidates }

// ListAge returns the age of the server list.
func (e *Explanation) ListAge() time.Duration { return e.listAge }

// Explain returns which server Choose would select now, and from which candidates, without
// counting a request.
func (b *Balancer) Explain(now time.Time, query Query) *Explanation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	trace := &trace{}
	best, err := b.selectTraced(now, query, trace)
	explanation := &Explanation{err: err, candidates: trace.candidates, listAge: b.directory.List().Age(now)}
	if err == nil {
		explanation.choice = &best
	}
	return explanation
}

// trace records the candidates of one choice. Its nil value records nothing.
type trace struct{ candidates []Candidate }

// reset drops the candidates, as the choice is made anew.
func (t *trace) reset() {
	if t != nil {
		t.candidates = nil
	}
}

// exclude records a server that cannot be chosen.
func (t *trace) exclude(server backend.Server, cause string) {
	if t != nil {
		t.candidates = append(t.candidates, Candidate{server: server, excluded: cause})
	}
}

// consider records a server that can be chosen, unless the limit that it names does not allow
// it.
func (t *trace) consider(now time.Time, query Query, choice Choice, zoneDelay time.Duration, slowness float64) {
	if t == nil {
		return
	}
	candidate := Candidate{
		server: choice.server, expected: choice.delay, read: choice.readDelay, zone: zoneDelay,
		queue: choice.delay - choice.readDelay - zoneDelay, slowness: slowness,
	}
	if choice.limited {
		if _, allowed := choice.state.limitWait(now, query.MaxWait); !allowed || query.SkipLimited {
			candidate.excluded = "at the limit that it names"
		}
	}
	t.candidates = append(t.candidates, candidate)
}
