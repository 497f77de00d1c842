package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/gateway"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
	"limpethall.dev/kernel/connection"
	"limpethall.dev/kernel/failure"
)

// reply is what the fake backend servers do with one request.
type reply struct {
	err    error
	notRun bool
	status int
	body   string
	broken bool // The body ends with an error.
	stream bool
}

// servers is a fake backend; the n-th request gets the n-th reply.
type servers struct {
	mutex   sync.Mutex
	replies []reply
	sent    []gateway.Outgoing
	names   []string
	dying   bool // Servers that break off take no connections any more.
}

// Send implements gateway.Backend.
func (s *servers) Send(_ context.Context, server backend.Server, outgoing gateway.Outgoing) (*gateway.Answer, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := s.replies[min(len(s.sent), len(s.replies)-1)]
	s.sent = append(s.sent, outgoing)
	s.names = append(s.names, server.ID())
	if next.err != nil {
		return nil, next.err
	}
	answer := &gateway.Answer{Status: next.status, Header: http.Header{}, Body: strings.NewReader(next.body), Length: -1, NotRun: next.notRun, Close: func() {}}
	if next.stream {
		answer.Header.Set("Content-Type", "text/event-stream")
	}
	if next.broken {
		answer.Body = io.MultiReader(strings.NewReader(next.body), &brokenReader{})
	}
	return answer, nil
}

// Answers implements gateway.Backend.
func (s *servers) Answers(context.Context, backend.Server) bool { return !s.dying }

// suspects counts the deaths at requests, whatever they are.
type suspects struct {
	mutex  sync.Mutex
	deaths int
}

// IsEmpty implements gateway.Suspects.
func (s *suspects) IsEmpty() bool { return s.count() == 0 }

// Check implements gateway.Suspects.
func (s *suspects) Check([]byte) error {
	if s.count() >= 3 {
		return errors.New("too many deaths")
	}
	return nil
}

// Note implements gateway.Suspects.
func (s *suspects) Note(context.Context, []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaths++
	return nil
}

func (s *suspects) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.deaths
}

type brokenReader struct{}

// Read implements io.Reader.
func (*brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// admitter admits everything, or nothing with an error.
type admitter struct {
	err      error
	returned int
}

// Admit implements gateway.Admitter.
func (a *admitter) Admit(context.Context, string, allowance.Urgency) error { return a.err }

// Return implements gateway.Admitter.
func (a *admitter) Return(string) { a.returned++ }

// keepers is a fake of the keepers' client.
type keepers struct {
	err      error
	finished []string
	finish   error
}

// Begin implements gateway.Turns.
func (k *keepers) Begin(context.Context, turns.Turn) (*turns.Begun, error) {
	if k.err != nil {
		return nil, k.err
	}
	return &turns.Begun{}, nil
}

// Finish implements gateway.Turns.
func (k *keepers) Finish(_ context.Context, _ *turns.Begun, tokens int64, input, output []byte) error {
	k.finished = append(k.finished, fmt.Sprintf("%d %s>%s", tokens, input, output))
	return k.finish
}

// Settle implements gateway.Turns.
func (k *keepers) Settle(_ *turns.Begun, tokens int64) {
	k.finished = append(k.finished, fmt.Sprintf("settled %d", tokens))
}

type world struct {
	servers  *servers
	admitter *admitter
	keepers  *keepers
	suspects *suspects
	gateway  *gateway.Gateway
}

func newWorld(replies ...reply) *world {
	w := &world{servers: &servers{replies: replies}, admitter: &admitter{}, keepers: &keepers{}, suspects: &suspects{}}
	routes := []catalog.Route{
		{Name: "safe", Host: "desk.example", Prefix: "/safe/", Kind: catalog.KindIdempotent, Attempts: 2},
		{Name: "once", Host: "desk.example", Prefix: "/once/", Kind: catalog.KindOnce, Attempts: 2},
		{Name: "resumable", Host: "desk.example", Prefix: "/resumable/", Kind: catalog.KindStream, Attempts: 2, Resumable: true},
		{Name: "kept", Host: "desk.example", Prefix: "/kept/", Kind: catalog.KindStream, Attempts: 2, KeepsHistory: true, Retention: time.Minute},
	}
	for index := range routes {
		routes[index].Splits = []catalog.Split{{Service: "models", Weight: 1}}
		routes[index].Timeout = 2 * time.Second
	}
	current := catalog.New(catalog.Document{
		Version: 1, Routes: routes, Services: []catalog.Service{{Name: "models", EventTokens: 18}},
		Workspaces: []catalog.Workspace{{Name: "workshop", Keys: []string{"key"}, Rate: 10, Burst: 10}},
	})
	directory := backend.NewDirectory()
	balancer := balance.New("a", directory, func() int { return 1 })
	var list []backend.Server
	for index := range 4 {
		list = append(list, backend.NewServer(backend.Options{ID: fmt.Sprintf("server-%d", index), Zone: "a", Service: "models", Slots: 8}))
	}
	directory.Publish(backend.NewList(1, time.Now(), list, nil))
	w.gateway = gateway.New(gateway.Options{
		Catalog: func() *catalog.Catalog { return current }, Admitter: w.admitter, Turns: w.keepers, Balancer: balancer,
		Backend: w.servers, Suspects: w.suspects, Halls: func() int { return 1 }, Logger: zap.NewNop(),
	})
	return w
}

// ask sends one request and reports whether its answer was broken off.
func (w *world) ask(path string, change func(*gateway.Request)) (recorded *httptest.ResponseRecorder, aborted bool) {
	request := &gateway.Request{
		ID: "r1", Method: http.MethodPost, Host: "desk.example", Path: path, Target: path, Key: "key", Program: "p1", Budget: 1000, MaxTokens: 100,
		Body: []byte("in"), Received: time.Now(), Header: http.Header{},
	}
	if change != nil {
		change(request)
	}
	recorded = httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			aborted = true
		}
	}()
	w.gateway.Serve(context.Background(), recorded, request)
	return recorded, false
}

var (
	unsent = &connection.UnsentError{}
	broken = connection.NewBrokenError(errors.New("connection reset"))
)

// TestFaultsOfServers goes through what a backend server can do with a request.
func TestFaultsOfServers(t *testing.T) {
	whole := reply{status: 200, body: "done"}
	cases := []struct {
		name    string
		path    string
		replies []reply
		status  int
		body    string
		sends   int
		aborted bool
	}{
		{"answered", "/once/x", []reply{whole}, 200, "done", 1, false},
		{"not sent, then answered elsewhere", "/once/x", []reply{{err: unsent}, whole}, 200, "done", 2, false},
		{"not run, then answered elsewhere", "/once/x", []reply{{status: 503, notRun: true}, whole}, 200, "done", 2, false},
		{"may have run, not repeatable", "/once/x", []reply{{err: broken}, whole}, 502, "", 1, false},
		{"may have run, repeatable", "/safe/x", []reply{{err: broken}, whole}, 200, "done", 2, false},
		{"breaks off in its body, repeatable", "/safe/x", []reply{{status: 200, body: "do", broken: true}, whole}, 200, "done", 2, false},
		{"breaks off in its body, not repeatable", "/once/x", []reply{{status: 200, body: "do", broken: true}, whole}, 502, "", 1, false},
		{"fails by itself", "/once/x", []reply{{status: 500, body: "sorry"}}, 500, "sorry", 1, false},
		{"no server runs it", "/once/x", []reply{{status: 503, notRun: true}}, 503, "", 4, false},
		{"as many may have run as allowed", "/safe/x", []reply{{err: broken}}, 502, "", 2, false},
		{"stream whole", "/resumable/x", []reply{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 1, false},
		{
			"stream breaks off in an event and goes on elsewhere", "/resumable/x",
			[]reply{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true}, {status: 200, stream: true, body: "id: 2\ndata: b\n\n"}},
			200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, false,
		},
		{"stream ends in an event", "/kept/x", []reply{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\nda"}}, 0, "", 1, true},
		{"stream breaks off, not resumable", "/kept/x", []reply{{status: 200, stream: true, body: "id: 1\ndata: a\n\n", broken: true}}, 0, "", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.replies...)
			recorded, aborted := w.ask(c.path, nil)
			if aborted != c.aborted {
				t.Fatalf("answer broken off: got %t, want %t", aborted, c.aborted)
			}
			if got := len(w.servers.sent); got != c.sends {
				t.Errorf("requests to servers: got %d, want %d", got, c.sends)
			}
			if c.aborted {
				return
			}
			if got := recorded.Code; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
			if got := recorded.Body.String(); c.body != "" && got != c.body {
				t.Errorf("body: got %q, want %q", got, c.body)
			}
			if c.status == 503 && recorded.Header().Get("Retry-After") == "" {
				t.Error("refusal: got no Retry-After, want one")
			}
		})
	}
}

// TestNoServerTwice wants a request that a server did not run to go to others.
func TestNoServerTwice(t *testing.T) {
	w := newWorld(reply{status: 503, notRun: true})
	w.ask("/once/x", nil)
	seen := make(map[string]bool)
	for _, name := range w.servers.names {
		if seen[name] {
			t.Errorf("server %s: got the request again, want another one", name)
		}
		seen[name] = true
	}
}

// TestResumeNamesTheLastEvent wants the second server to begin after the last
// event that the caller has whole.
func TestResumeNamesTheLastEvent(t *testing.T) {
	w := newWorld(
		reply{status: 200, stream: true, body: "id: 7\ndata: a\n\nid: 8\nda", broken: true},
		reply{status: 200, stream: true, body: "id: 8\ndata: b\n\n"},
	)
	w.ask("/resumable/x", nil)
	if got, want := w.servers.sent[1].ResumeAfter, "7"; got != want {
		t.Errorf("resume after: got %q, want %q", got, want)
	}
}

// TestTurns goes through what becomes of a turn's reservation and record.
func TestTurns(t *testing.T) {
	stream := reply{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}
	cases := []struct {
		name    string
		path    string
		reply   reply
		keepers keepers
		status  int
		done    string
		sends   int
		aborted bool
	}{
		{"stored before the end", "/kept/x", stream, keepers{}, 200, "36 in>a\nb\n", 1, false},
		{"not stored, so broken off", "/kept/x", stream, keepers{finish: errors.New("disk full")}, 0, "36 in>a\nb\n", 1, true},
		{"budget alone", "/resumable/x", stream, keepers{}, 200, "settled 36", 1, false},
		{"broken off, what was handed out counts", "/kept/x", reply{status: 200, stream: true, body: "id: 1\ndata: a\n\n", broken: true}, keepers{}, 0, "settled 18", 1, true},
		{"never ran", "/kept/x", reply{status: 503, notRun: true}, keepers{}, 503, "settled 0", 4, false},
		{"budget spent", "/kept/x", stream, keepers{err: &turns.ExhaustedError{}}, 402, "", 0, false},
		{"no such turn", "/kept/x", stream, keepers{err: &turns.AbsentError{}}, 404, "", 0, false},
		{"another workspace's turn", "/kept/x", stream, keepers{err: &turns.ForeignError{}}, 404, "", 0, false},
		{"keepers away", "/kept/x", stream, keepers{err: &turns.UnavailableError{}}, 503, "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.reply)
			*w.keepers = c.keepers
			recorded, aborted := w.ask(c.path, nil)
			if aborted != c.aborted {
				t.Fatalf("answer broken off: got %t, want %t", aborted, c.aborted)
			}
			if !aborted && recorded.Code != c.status {
				t.Errorf("status: got %d, want %d", recorded.Code, c.status)
			}
			if got := len(w.servers.sent); got != c.sends {
				t.Errorf("requests to servers: got %d, want %d", got, c.sends)
			}
			got := ""
			if len(w.keepers.finished) > 0 {
				got = w.keepers.finished[0]
			}
			if got != c.done {
				t.Errorf("turn: got %q, want %q", got, c.done)
			}
			if returned := w.admitter.returned == 1; returned != (c.sends == 0) {
				t.Errorf("token returned: got %t, want %t", returned, c.sends == 0)
			}
		})
	}
}

// TestRefusals goes through what is refused before any server is asked.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		admit  error
		change func(*gateway.Request)
		status int
	}{
		{"no route", "/elsewhere/x", nil, nil, 404},
		{"other host", "/once/x", nil, func(r *gateway.Request) { r.Host = "other.example" }, 404},
		{"unknown key", "/once/x", nil, func(r *gateway.Request) { r.Key = "wrong" }, 401},
		{"no key", "/once/x", nil, func(r *gateway.Request) { r.Key = "" }, 401},
		{"over the rate", "/once/x", failure.New(failure.CodeRateLimited, failure.NotRun, "over").WithRetryAfter(time.Second), nil, 429},
		{"rate not known", "/once/x", failure.New(failure.CodeConfigurationOld, failure.NotRun, "old"), nil, 503},
		{"deadline over", "/once/x", nil, func(r *gateway.Request) { r.Received = time.Now().Add(-time.Minute) }, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(reply{status: 200, body: "done"})
			w.admitter.err = c.admit
			recorded, _ := w.ask(c.path, c.change)
			if got := recorded.Code; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
			if got := len(w.servers.sent); got != 0 {
				t.Errorf("requests to servers: got %d, want 0", got)
			}
		})
	}
}

// TestRequestThatKillsServersIsStopped sends a request again and again that takes
// down each server that runs it, and one whose answers are only lost.
func TestRequestThatKillsServersIsStopped(t *testing.T) {
	for _, dying := range []bool{true, false} {
		t.Run(fmt.Sprintf("servers die %t", dying), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(reply{err: broken})
				w.servers.dying = dying
				const tries = 10
				for range tries {
					w.ask("/once/x", nil)
					time.Sleep(2 * time.Second)
				}
				want := tries
				if dying {
					want = 3
				}
				if got := len(w.servers.sent); got != want {
					t.Errorf("requests to servers: got %d, want %d", got, want)
				}
			})
		})
	}
}
