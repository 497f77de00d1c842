package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/gateway"
	"limpethall.dev/hall/outlier"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
	"limpethall.dev/kernel/connection"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
)

// cannedResponse is the result of one request to the fake backend.
type cannedResponse struct {
	err       error
	notRun    bool
	status    int
	body      string
	truncated bool  // Reading the body ends with an error.
	cause     error // The error of a truncated body, a reset connection if nil.
	stream    bool
	events    string        // In place of the body, one event after each pause.
	pause     time.Duration // Before each event.
}

// fakeBackend returns the n-th response, or the last one, for the n-th request.
type fakeBackend struct {
	mutex     sync.Mutex
	responses []cannedResponse
	requests  []gateway.BackendRequest
	serverIDs []string
	crashing  bool // Whether a server refuses connections after a broken exchange.
}

// Send implements gateway.Backend.
func (b *fakeBackend) Send(_ context.Context, server backend.Server, backendRequest gateway.BackendRequest) (*gateway.Response, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	next := b.responses[min(len(b.requests), len(b.responses)-1)]
	b.requests = append(b.requests, backendRequest)
	b.serverIDs = append(b.serverIDs, server.ID())
	if next.err != nil {
		return nil, next.err
	}
	response := &gateway.Response{Status: next.status, Header: http.Header{}, Body: strings.NewReader(next.body), Length: -1, NotRun: next.notRun, Close: func() {}}
	if next.stream {
		response.Header.Set("Content-Type", "text/event-stream")
	}
	if next.events != "" {
		response.Body = &slowEvents{rest: next.events, pause: next.pause}
	}
	if next.truncated {
		response.Body = io.MultiReader(strings.NewReader(next.body), &brokenReader{cause: next.cause})
	}
	return response, nil
}

// AcceptsConnections implements gateway.Backend.
func (b *fakeBackend) AcceptsConnections(context.Context, backend.Server) bool { return !b.crashing }

// fakeCrashTracker counts crashes of all requests together.
type fakeCrashTracker struct {
	mutex   sync.Mutex
	crashes int
}

// IsEmpty implements gateway.CrashTracker.
func (t *fakeCrashTracker) IsEmpty() bool { return t.count() == 0 }

// Check implements gateway.CrashTracker.
func (t *fakeCrashTracker) Check([]byte) error {
	if t.count() >= 3 {
		return errors.New("too many crashes")
	}
	return nil
}

// RecordCrash implements gateway.CrashTracker.
func (t *fakeCrashTracker) RecordCrash(context.Context, []byte) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.crashes++
	return nil
}

func (t *fakeCrashTracker) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.crashes
}

// slowEvents returns one event for each read, after a pause.
type slowEvents struct {
	rest  string
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowEvents) Read(data []byte) (int, error) {
	event, rest, found := strings.Cut(s.rest, "\n\n")
	if !found {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	s.rest = rest
	return copy(data, event+"\n\n"), nil
}

type brokenReader struct{ cause error }

// Read implements io.Reader.
func (r *brokenReader) Read([]byte) (int, error) {
	if r.cause != nil {
		return 0, r.cause
	}
	return 0, errors.New("connection reset")
}

// fakeAdmitter admits every request, or none if err is set. If limiter is set, that
// decides.
type fakeAdmitter struct {
	err        error
	limiter    *ratelimit.Limiter
	mutex      sync.Mutex
	refunds    int
	priorities []ratelimit.Priority
}

// Admit implements gateway.Admitter.
func (a *fakeAdmitter) Admit(ctx context.Context, workspace string, priority ratelimit.Priority) (ratelimit.Admission, error) {
	a.mutex.Lock()
	a.priorities = append(a.priorities, priority)
	a.mutex.Unlock()
	if a.limiter != nil {
		return a.limiter.Admit(ctx, workspace, priority)
	}
	return ratelimit.Admission{}, a.err
}

// Refund implements gateway.Admitter.
func (a *fakeAdmitter) Refund(string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refunds++
}

// fakeTurnStore records the calls that end a turn. callsMutex guards calls; it is not a
// field, so that test tables can hold copies.
type fakeTurnStore struct {
	begins    int
	beginErr  error
	calls     []string
	finishErr error
	events    []string // Stored, as ID>data.
	eventsErr error
	relayed   int    // Of the stored events, set by a test.
	onEvents  func() // Called as events are stored, nil for none.
}

var callsMutex sync.Mutex

// Begin implements gateway.TurnStore.
func (s *fakeTurnStore) Begin(context.Context, turns.Turn) (*turns.ActiveTurn, error) {
	callsMutex.Lock()
	s.begins++
	callsMutex.Unlock()
	if s.beginErr != nil {
		return nil, s.beginErr
	}
	return &turns.ActiveTurn{}, nil
}

// Finish implements gateway.TurnStore.
func (s *fakeTurnStore) Finish(_ context.Context, _ *turns.ActiveTurn, tokens int64, input, output []byte) error {
	callsMutex.Lock()
	defer callsMutex.Unlock()
	s.calls = append(s.calls, fmt.Sprintf("%d %s>%s", tokens, input, output))
	return s.finishErr
}

// StoreEvents implements gateway.TurnStore.
func (s *fakeTurnStore) StoreEvents(_ context.Context, _ *turns.ActiveTurn, events []turns.Event) error {
	callsMutex.Lock()
	defer callsMutex.Unlock()
	for _, event := range events {
		s.events = append(s.events, fmt.Sprintf("%s>%s", event.ID(), event.Data()))
	}
	if s.onEvents != nil {
		s.onEvents()
	}
	return s.eventsErr
}

// Settle implements gateway.TurnStore.
func (s *fakeTurnStore) Settle(_ *turns.ActiveTurn, tokens int64) {
	callsMutex.Lock()
	defer callsMutex.Unlock()
	s.calls = append(s.calls, fmt.Sprintf("settled %d", tokens))
}

// fixture is a gateway with fake dependencies.
type fixture struct {
	backend      *fakeBackend
	admitter     *fakeAdmitter
	turns        *fakeTurnStore
	crashTracker *fakeCrashTracker
	limits       *serverlimit.Limiter
	options      gateway.Options
	gateway      *gateway.Gateway
	catalog      *catalog.Catalog
	logged       *observer.ObservedLogs
}

// newFixture returns a gateway with four backend servers and one route of each
// kind.
func newFixture(responses ...cannedResponse) *fixture {
	return newFixtureWith(balance.Options{}, responses...)
}

// newFixtureWith is newFixture with a balancer of these options.
func newFixtureWith(options balance.Options, responses ...cannedResponse) *fixture {
	f := &fixture{backend: &fakeBackend{responses: responses}, admitter: &fakeAdmitter{}, turns: &fakeTurnStore{}, crashTracker: &fakeCrashTracker{}}
	routes := []catalog.Route{
		{Name: "safe", Hostname: "desk.example", Prefix: "/safe/", Kind: catalog.KindIdempotent, Attempts: 2},
		{Name: "single", Hostname: "desk.example", Prefix: "/single/", Kind: catalog.KindIdempotent, Attempts: 1},
		{Name: "once", Hostname: "desk.example", Prefix: "/once/", Kind: catalog.KindAtMostOnce, Attempts: 2},
		{Name: "resumable", Hostname: "desk.example", Prefix: "/resumable/", Kind: catalog.KindStream, Attempts: 2, Resumable: true},
		{Name: "kept", Hostname: "desk.example", Prefix: "/kept/", Kind: catalog.KindStream, Attempts: 2, KeepsHistory: true, Retention: time.Minute},
		{Name: "recorded", Hostname: "desk.example", Prefix: "/recorded/", Kind: catalog.KindStream, Attempts: 2, Resumable: true, KeepsHistory: true, Retention: time.Minute, Timeout: 20 * time.Second},
	}
	for index := range routes {
		routes[index].Splits = []catalog.Split{{Service: "models", Weight: 1}}
		routes[index].Timeout = max(routes[index].Timeout, 2*time.Second)
	}
	current := catalog.New(catalog.Document{
		Version: 1, Routes: routes, Services: []catalog.Service{{Name: "models", EventTokens: 18}},
		Workspaces: []catalog.Workspace{{Name: "workshop", Keys: []string{"key"}, Rate: 10, Burst: 10}},
	})
	f.catalog = current
	directory := backend.NewDirectory()
	options.Zone, options.Directory, options.HallCount = "a", directory, func() int { return 1 }
	options.Outliers = outlier.New("hall-0", time.Now, zap.NewNop())
	balancer := balance.New(options)
	var servers []backend.Server
	for index := range 4 {
		servers = append(servers, backend.NewServer(backend.Options{ID: fmt.Sprintf("server-%d", index), Zone: "a", Service: "models", Slots: 8}))
	}
	directory.Publish(backend.NewList(1, time.Now(), servers, nil))
	f.limits = serverlimit.New("hall-0", func() []host.Member { return nil }, nil, serverlimit.NewTracker(zap.NewNop()), zap.NewNop())
	core, logged := observer.New(zap.InfoLevel)
	f.logged = logged
	f.options = gateway.Options{
		Limits:  f.limits,
		Catalog: func() *catalog.Catalog { return current }, Admitter: f.admitter, Turns: f.turns, Balancer: balancer, Outliers: options.Outliers,
		Backend: f.backend, Crashes: f.crashTracker, HallCount: func() int { return 1 }, Logger: zap.New(core),
	}
	f.gateway = gateway.New(f.options)
	return f
}

func newRequest(path string) *gateway.Request {
	return &gateway.Request{
		ID: "r1", Method: http.MethodPost, Host: "desk.example", Path: path, Target: path, APIKey: "key", Program: "p1", Budget: 1000, MaxTokens: 100,
		Body: []byte("in"), Received: time.Now(), Header: http.Header{},
	}
}

// send handles one request and reports whether its response was aborted.
func (f *fixture) send(path string, modify func(*gateway.Request)) (recorder *httptest.ResponseRecorder, aborted bool) {
	request := newRequest(path)
	if modify != nil {
		modify(request)
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			aborted = true
		}
	}()
	f.gateway.Serve(context.Background(), recorder, request)
	return recorder, false
}

var (
	errUnsent = &connection.UnsentError{}
	errBroken = connection.NewIncompleteResponseError(errors.New("connection reset"))
)

// TestBackendFailures checks which results of a backend server lead to a retry,
// an error or an aborted response.
func TestBackendFailures(t *testing.T) {
	success := cannedResponse{status: 200, body: "done"}
	cases := []struct {
		name        string
		path        string
		responses   []cannedResponse
		wantStatus  int
		wantBody    string
		wantSends   int
		wantAborted bool
	}{
		{"answered", "/once/x", []cannedResponse{success}, 200, "done", 1, false},
		{"not sent, answered by another server", "/once/x", []cannedResponse{{err: errUnsent}, success}, 200, "done", 2, false},
		{"not run, answered by another server", "/once/x", []cannedResponse{{status: 503, notRun: true}, success}, 200, "done", 2, false},
		{"may have run, not repeatable", "/once/x", []cannedResponse{{err: errBroken}, success}, 502, "", 1, false},
		{"may have run, repeatable", "/safe/x", []cannedResponse{{err: errBroken}, success}, 200, "done", 2, false},
		{"body cut short, repeatable", "/safe/x", []cannedResponse{{status: 200, body: "do", truncated: true}, success}, 200, "done", 2, false},
		{"body cut short, not repeatable", "/once/x", []cannedResponse{{status: 200, body: "do", truncated: true}, success}, 502, "", 1, false},
		{"error response of the server", "/once/x", []cannedResponse{{status: 500, body: "sorry"}}, 500, "sorry", 1, false},
		{"no server runs it", "/once/x", []cannedResponse{{status: 503, notRun: true}}, 503, "", 4, false},
		{"number of runs used up", "/safe/x", []cannedResponse{{err: errBroken}}, 502, "", 2, false},
		{"complete stream", "/resumable/x", []cannedResponse{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 1, false},
		{
			"stream cut within an event, resumed by another server", "/resumable/x",
			[]cannedResponse{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\nda", truncated: true}, {status: 200, stream: true, body: "id: 2\ndata: b\n\n"}},
			200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, false,
		},
		{"stream ends within an event", "/kept/x", []cannedResponse{{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\nda"}}, 0, "", 1, true},
		{"stream interrupted, not resumable", "/kept/x", []cannedResponse{{status: 200, stream: true, body: "id: 1\ndata: a\n\n", truncated: true}}, 0, "", 1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.responses...)
			recorder, aborted := f.send(tc.path, nil)
			if aborted != tc.wantAborted {
				t.Fatalf("response aborted: got %t, want %t", aborted, tc.wantAborted)
			}
			if got := len(f.backend.requests); got != tc.wantSends {
				t.Errorf("requests to servers: got %d, want %d", got, tc.wantSends)
			}
			if tc.wantAborted {
				return
			}
			if got := recorder.Code; got != tc.wantStatus {
				t.Errorf("status: got %d, want %d", got, tc.wantStatus)
			}
			if got := recorder.Body.String(); tc.wantBody != "" && got != tc.wantBody {
				t.Errorf("body: got %q, want %q", got, tc.wantBody)
			}
			if tc.wantStatus == 503 && recorder.Header().Get("Retry-After") == "" {
				t.Error("refusal: got no Retry-After, want one")
			}
		})
	}
}

// TestReasonOfBrokenResponse guards against responses that were broken off without a log
// line that tells why.
func TestReasonOfBrokenResponse(t *testing.T) {
	cases := []struct {
		name, path string
		response   cannedResponse
		want       string
	}{
		{"stream ended inside an event", "/kept/x", cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\nda"}, "insideEvent"},
		{"stream reset", "/kept/x", cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\n", truncated: true, cause: syscall.ECONNRESET}, "reset"},
		{"chunks ended early", "/kept/x", cannedResponse{status: 200, stream: true, body: "da", truncated: true, cause: io.ErrUnexpectedEOF}, "closed"},
		{"body reset", "/once/x", cannedResponse{status: 200, body: "do", truncated: true, cause: syscall.ECONNRESET}, "reset"},
		{"deadline passed", "/once/x", cannedResponse{err: connection.NewIncompleteResponseError(context.DeadlineExceeded)}, "deadline"},
		{"event too long", "/kept/x", cannedResponse{status: 200, stream: true, body: "data: " + strings.Repeat("x", 1<<20)}, "eventTooLong"},
	}
	for _, tc := range cases {
		f := newFixture(tc.response)
		f.send(tc.path, nil)
		var got []any
		for _, entry := range f.logged.All() {
			if reason, found := entry.ContextMap()["reason"]; found && (entry.Message == "stream interrupted" || entry.Message == "response broken off") {
				got = append(got, reason)
			}
		}
		if want := []any{tc.want}; !slices.Equal(got, want) {
			t.Errorf("%s: got reasons %v, want %v", tc.name, got, want)
		}
	}
}

// TestRetryUsesAnotherServer checks that a request which a server did not run is
// not sent to the same server again.
func TestRetryUsesAnotherServer(t *testing.T) {
	f := newFixture(cannedResponse{status: 503, notRun: true})
	f.send("/once/x", nil)
	seen := make(map[string]bool)
	for _, id := range f.backend.serverIDs {
		if seen[id] {
			t.Errorf("server %s: got the request twice, want once", id)
		}
		seen[id] = true
	}
}

// TestResumeSendsLastEventID checks that a stream is resumed after the last event
// that the caller received completely.
func TestResumeSendsLastEventID(t *testing.T) {
	f := newFixture(
		cannedResponse{status: 200, stream: true, body: "id: 7\ndata: a\n\nid: 8\nda", truncated: true},
		cannedResponse{status: 200, stream: true, body: "id: 8\ndata: b\n\n"},
	)
	f.send("/resumable/x", nil)
	if got, want := f.backend.requests[1].ResumeAfter, "7"; got != want {
		t.Errorf("resume after: got %q, want %q", got, want)
	}
}

// TestTurnAccounting checks whether a turn is stored, settled or refused, and
// whether the rate limit token is returned.
func TestTurnAccounting(t *testing.T) {
	stream := cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}
	cases := []struct {
		name        string
		path        string
		response    cannedResponse
		turns       fakeTurnStore
		wantStatus  int
		wantCall    string
		wantSends   int
		wantAborted bool
	}{
		{"stored before the response ends", "/kept/x", stream, fakeTurnStore{}, 200, "36 in>a\nb\n", 1, false},
		{"not stored, response aborted", "/kept/x", stream, fakeTurnStore{finishErr: errors.New("disk full")}, 0, "36 in>a\nb\n", 1, true},
		{"budget without history", "/resumable/x", stream, fakeTurnStore{}, 200, "settled 36", 1, false},
		{"interrupted, relayed tokens count", "/kept/x", cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\n", truncated: true}, fakeTurnStore{}, 0, "settled 18", 1, true},
		{"not run", "/kept/x", cannedResponse{status: 503, notRun: true}, fakeTurnStore{}, 503, "settled 0", 4, false},
		{"budget exhausted", "/kept/x", stream, fakeTurnStore{beginErr: &turns.BudgetExhaustedError{}}, 402, "", 0, false},
		{"unknown previous turn", "/kept/x", stream, fakeTurnStore{beginErr: &turns.TurnNotFoundError{}}, 404, "", 0, false},
		{"previous turn of another workspace", "/kept/x", stream, fakeTurnStore{beginErr: &turns.WrongWorkspaceError{}}, 404, "", 0, false},
		{"keepers unavailable", "/kept/x", stream, fakeTurnStore{beginErr: &turns.UnavailableError{}}, 503, "", 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.response)
			*f.turns = tc.turns
			recorder, aborted := f.send(tc.path, nil)
			if aborted != tc.wantAborted {
				t.Fatalf("response aborted: got %t, want %t", aborted, tc.wantAborted)
			}
			if !aborted && recorder.Code != tc.wantStatus {
				t.Errorf("status: got %d, want %d", recorder.Code, tc.wantStatus)
			}
			if got := len(f.backend.requests); got != tc.wantSends {
				t.Errorf("requests to servers: got %d, want %d", got, tc.wantSends)
			}
			got := ""
			if len(f.turns.calls) > 0 {
				got = f.turns.calls[0]
			}
			if got != tc.wantCall {
				t.Errorf("turn store call: got %q, want %q", got, tc.wantCall)
			}
			if refunded := f.admitter.refunds == 1; refunded != (tc.wantSends == 0) {
				t.Errorf("token returned: got %t, want %t", refunded, tc.wantSends == 0)
			}
		})
	}
}

// TestRefusals checks the requests that are refused before a backend server is
// chosen.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name       string
		path       string
		admitErr   error
		modify     func(*gateway.Request)
		wantStatus int
	}{
		{"no route", "/elsewhere/x", nil, nil, 404},
		{"other host", "/once/x", nil, func(r *gateway.Request) { r.Host = "other.example" }, 404},
		{"unknown key", "/once/x", nil, func(r *gateway.Request) { r.APIKey = "wrong" }, 401},
		{"no key", "/once/x", nil, func(r *gateway.Request) { r.APIKey = "" }, 401},
		{"over the rate limit", "/once/x", failure.New(failure.CodeRateLimited, failure.NotRun, "over").WithRetryAfter(time.Second), nil, 429},
		{"rate limit unknown", "/once/x", failure.New(failure.CodeConfigurationUnknown, failure.NotRun, "old"), nil, 503},
		{"deadline passed", "/once/x", nil, func(r *gateway.Request) { r.Received = time.Now().Add(-time.Minute) }, 503},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(cannedResponse{status: 200, body: "done"})
			f.admitter.err = tc.admitErr
			recorder, _ := f.send(tc.path, tc.modify)
			if got := recorder.Code; got != tc.wantStatus {
				t.Errorf("status: got %d, want %d", got, tc.wantStatus)
			}
			if got := len(f.backend.requests); got != 0 {
				t.Errorf("requests to servers: got %d, want 0", got)
			}
		})
	}
}

// TestRequestThatCrashesServersIsBlocked checks that a request is refused after it
// has crashed three servers, and that one whose responses are merely lost is not.
func TestRequestThatCrashesServersIsBlocked(t *testing.T) {
	for _, crashing := range []bool{true, false} {
		t.Run(fmt.Sprintf("servers crash %t", crashing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(cannedResponse{err: errBroken})
				f.backend.crashing = crashing
				const attempts = 10
				for range attempts {
					f.send("/once/x", nil)
					time.Sleep(2 * time.Second)
				}
				want := attempts
				if crashing {
					want = 3
				}
				if got := len(f.backend.requests); got != want {
					t.Errorf("requests to servers: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestRefusedProgramIsNotRunning guards against programs whose first request is refused
// because of the limits of servers and that then go before new programs, although no
// work of theirs would be lost.
func TestRefusedProgramIsNotRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cannedResponse{status: 200, stream: true, body: "id: 1\ndata: x\n\n"})
		now := time.Now()
		for index := range 4 {
			f.limits.Tracker().Observe(now, fmt.Sprintf("server-%d", index), serverlimit.NewObservation(serverlimit.Limited(1), now, now))
		}
		wantRefusal := func(description string) {
			t.Helper()
			recorder, _ := f.send("/resumable/", nil)
			if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
				t.Errorf("%s: got status %d, Retry-After %q, want 503 with one", description, recorder.Code, recorder.Header().Get("Retry-After"))
			}
		}
		wantRefusal("program while the limits were used until now")
		if f.admitter.refunds != 1 {
			t.Errorf("refunded tokens of the workspace: got %d, want 1", f.admitter.refunds)
		}
		wantRefusal("program again, at once")
		if got := len(f.admitter.priorities); got != 1 {
			t.Errorf("tokens of the workspace asked for: got %d, want 1, as the second request is refused before", got)
		}
		time.Sleep(2 * time.Second)
		if recorder, _ := f.send("/resumable/", nil); recorder.Code != http.StatusOK {
			t.Errorf("program once the limits were unused for a time: got status %d, want 200", recorder.Code)
		}
		if recorder, _ := f.send("/resumable/", nil); recorder.Code != http.StatusOK {
			t.Errorf("second request of the program: got status %d, want 200", recorder.Code)
		}
		for number, want := range []ratelimit.Priority{ratelimit.NewProgram, ratelimit.NewProgram, ratelimit.RunningProgram} {
			if got := f.admitter.priorities[number]; got != want {
				t.Errorf("priority of admitted request %d: got %d, want %d", number, got, want)
			}
		}
	})
}

// TestLateProgramGivesWay plays programs that can and can't make their time any more while
// rates are short. Those that can't leave a reserve to the others, but only once in a
// row, so that they are neither lost nor kept waiting for ever.
func TestLateProgramGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cannedResponse{status: 200, stream: true, body: "id: 1\ndata: x\n\n"})
		sendTurn := func(left time.Duration, hint int64) {
			f.send("/kept/", func(request *gateway.Request) {
				request.PreviousTurn, request.HasProgramTime, request.ProgramTime, request.LengthHint = "t0", true, left, hint
			})
		}
		wantPriorities := func(description string, want ...ratelimit.Priority) {
			t.Helper()
			if got := f.admitter.priorities; !slices.Equal(got, want) {
				t.Errorf("priorities of %s: got %v, want %v", description, got, want)
			}
			f.admitter.priorities = nil
		}
		sendTurn(time.Second, 18)
		sendTurn(-time.Second, 18)
		sendTurn(0, 0)
		wantPriorities("a program in time, one that is late and one that is just late", ratelimit.RunningProgram, ratelimit.NewProgram, ratelimit.NewProgram)
		f.send("/kept/", func(request *gateway.Request) { request.PreviousTurn = "t0" })
		wantPriorities("a program that does not state its time", ratelimit.RunningProgram)
		f.admitter.err = failure.New(failure.CodeRateLimited, failure.NotRun, "over the limit")
		for range 4 {
			sendTurn(-time.Second, 18)
		}
		wantPriorities("a late program that is refused", ratelimit.NewProgram, ratelimit.RunningProgram, ratelimit.RunningProgram, ratelimit.RunningProgram)
		f.admitter.err = nil
		sendTurn(-time.Second, 18)
		sendTurn(-time.Second, 18)
		wantPriorities("a late program that is served again", ratelimit.RunningProgram, ratelimit.RunningProgram)
	})
}
