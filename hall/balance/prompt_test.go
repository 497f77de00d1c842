package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

const headTokens = 12_000

// headServersOf sends count programs that begin with the same part to a new balancer and
// returns the servers that they are sent to. The first one comes at start and the others at
// the interval. Requests end at once, so that the servers are never busy.
func headServersOf(t *testing.T, service *catalog.Service, servers []backend.Options, head string, count int, start time.Time, interval time.Duration) map[string]bool {
	t.Helper()
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, servers...)
	chosen := make(map[string]bool)
	for number := range count {
		query := newQuery(service, head, fmt.Sprintf("%s-program-%d", head, number), 500)
		at := start.Add(time.Duration(number) * interval)
		choice, err := b.Choose(at, query)
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		choice.SetAffinity(at, query)
		choice.Done()
		chosen[choice.Server().ID()] = true
	}
	return chosen
}

func newQuery(service *catalog.Service, head, program string, tokens int64) balance.Query {
	return balance.Query{
		Service: service, AffinityKey: program,
		Prompt: []balance.PromptPart{balance.NewPromptPart(head, headTokens), balance.NewPromptPart(program, tokens)},
	}
}

func newServers(zone string, count int) []backend.Options {
	var options []backend.Options
	for index := range count {
		options = append(options, backend.Options{ID: fmt.Sprintf("%s-%d", zone, index), Zone: zone})
	}
	return options
}

// TestHallsAgreeOnServersOfFirstPart checks that halls which share no state send prompts
// with the same first part to the same servers. The requests come at both halls at the same
// intervals, since the number of servers depends on the weights of first parts, which decay.
func TestHallsAgreeOnServersOfFirstPart(t *testing.T) {
	service := &catalog.Service{Name: "models", Slots: 8, CacheTokens: 10 * headTokens}
	servers := newServers("a", 24)
	start := time.Now()
	for _, interval := range []time.Duration{0, time.Microsecond, time.Millisecond, 30 * time.Millisecond, time.Second} {
		for index := range 8 {
			head := fmt.Sprintf("head-%d", index)
			one := headServersOf(t, service, servers, head, 40, start, interval)
			// A single part in use is spread as widely as its load share demands.
			other := headServersOf(t, service, servers, head, 40, start.Add(17*time.Second), interval)
			for _, halls := range [][2]map[string]bool{{one, other}, {other, one}} {
				for id := range halls[0] {
					if !halls[1][id] {
						t.Errorf("servers of %s, requests at intervals of %s: got %s at one hall alone, want the same servers at both", head, interval, id)
					}
				}
			}
		}
	}
}

// TestPromptGoesToServerThatReadIt checks that a prompt goes to the server that has read
// it before until the queue there costs more than reading it, and that the part by which
// it has grown is expected to be read.
func TestPromptGoesToServerThatReadIt(t *testing.T) {
	service := &catalog.Service{Name: "models", Slots: 8}
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	publish(directory, newServers("a", 6)...)
	now := time.Now()
	first, err := b.Choose(now, newQuery(service, "head", "program", 1000))
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	first.SetAffinity(now, newQuery(service, "head", "program", 1000))
	first.Done()
	next, err := b.Choose(now, newQuery(service, "head", "program", 1300))
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	if got, want := next.Server().ID(), first.Server().ID(); got != want {
		t.Errorf("server of the next turn: got %s, want %s", got, want)
	}
	if got, _ := next.ExpectedRead(); got != 300 {
		t.Errorf("tokens to read of the next turn: got %d, want 300", got)
	}
	if got, want := next.Reason(), balance.ReasonHistory; got != want {
		t.Errorf("reason of the choice for the next turn: got %s, want %s", got, want)
	}
	next.ReportLoad(now, balance.Load{Running: 8, Waiting: 20, Slots: 8})
	if busy, err := b.Choose(now, newQuery(service, "head", "program", 1300)); err != nil || busy.Server().ID() == first.Server().ID() {
		t.Errorf("server of a turn while 20 requests wait at %s: got that server or error %v, want another", first.Server().ID(), err)
	}
}

// cachingServer is the memory of a model engine: parts yield from the least recently
// used on.
type cachingServer struct {
	parts  []string // The least recently used first.
	tokens map[string]int64
	used   int64
}

// read returns how many tokens of the first part had to be read.
func (s *cachingServer) read(capacity int64, parts map[string]int64, head string) int64 {
	read := int64(0)
	for _, name := range []string{head, ""} {
		for id, tokens := range parts {
			if (id == head) != (name == head) {
				continue
			}
			known := s.tokens[id]
			if id == head {
				read = tokens - known
			}
			s.used += tokens - known
			s.tokens[id] = tokens
			for index, part := range s.parts {
				if part == id {
					s.parts = append(s.parts[:index], s.parts[index+1:]...)
					break
				}
			}
			s.parts = append(s.parts, id)
		}
	}
	for s.used > capacity {
		s.used -= s.tokens[s.parts[0]]
		delete(s.tokens, s.parts[0])
		s.parts = s.parts[1:]
	}
	return read
}

// TestSharedFirstPartsUnderLoad plays programs that begin with one of 16 parts, at halls
// that share no state, against servers whose memory does not hold all parts beside the
// histories. Answers the load of many programs that share long first parts: each part
// must be read at the servers agreed on, and seldom elsewhere or again.
func TestSharedFirstPartsUnderLoad(t *testing.T) {
	const (
		heads        = 16
		zoneServers  = 24
		capacity     = 18 * headTokens
		halls        = 60
		turns        = 12_000
		programTurns = 4
		inFlight     = 40
	)
	service := &catalog.Service{Name: "models", Slots: 8, CacheTokens: capacity}
	random := rand.New(rand.NewPCG(1, 2))
	directory := backend.NewDirectory()
	var balancers []*balance.Balancer
	for range halls {
		balancers = append(balancers, balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return halls }}))
	}
	publish(directory, newServers("a", zoneServers)...)
	servers := make(map[string]*cachingServer)
	readBy := make(map[string]bool)
	total, again := int64(0), int64(0)
	now := time.Now()
	var open []*balance.Choice
	for number := range turns {
		now = now.Add(2 * time.Millisecond)
		program := number / (programTurns * inFlight) * inFlight
		program += number % inFlight
		head := fmt.Sprintf("head-%d", program%heads)
		query := newQuery(service, head, fmt.Sprintf("program-%d", program), 1000+int64(number%7)*300)
		choice, err := balancers[random.IntN(halls)].Choose(now, query)
		if err != nil {
			t.Fatalf("choose: %v", err)
		}
		choice.SetAffinity(now, query)
		id := choice.Server().ID()
		if servers[id] == nil {
			servers[id] = &cachingServer{tokens: make(map[string]int64)}
		}
		read := servers[id].read(capacity, map[string]int64{head: headTokens, fmt.Sprintf("program-%d", program): 2000}, head)
		total += headTokens
		if readBy[head] {
			again += read
		}
		readBy[head] = true
		if open = append(open, choice); len(open) > inFlight {
			open[0].Done()
			open = open[1:]
		}
	}
	// A quarter of the memory holds 4.5 of the 16 parts, so that each is held by 7 of the 24
	// servers. Twice that allows for requests that go elsewhere because of load.
	if want := int64(2 * heads * 7 * headTokens); again > want {
		t.Errorf("tokens of first parts read again: got %d of %d, want at most %d", again, total, want)
	}
}

// TestFirstPartInTwoServices checks that a first part which prompts of two services share
// has servers of its own in each.
func TestFirstPartInTwoServices(t *testing.T) {
	directory := backend.NewDirectory()
	b := balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	var servers []backend.Server
	for _, service := range []string{"small", "large"} {
		for index := range 12 {
			servers = append(servers, backend.NewServer(backend.Options{ID: fmt.Sprintf("%s-%d", service, index), Zone: "a", Service: service, Slots: 8}))
		}
	}
	directory.Publish(backend.NewList(1, time.Now(), servers, nil))
	for number := range 20 {
		for _, name := range []string{"small", "large"} {
			service := &catalog.Service{Name: name, Slots: 8, CacheTokens: 4 * headTokens}
			choice, err := b.Choose(time.Now(), newQuery(service, "head", fmt.Sprintf("program-%d", number), 500))
			if err != nil {
				t.Fatalf("choose: %v", err)
			}
			if got, want := choice.Reason(), balance.ReasonFirstPart; got != want {
				t.Errorf("reason of the choice among the servers of %s: got %s, want %s", name, got, want)
			}
			choice.Done()
		}
	}
}
