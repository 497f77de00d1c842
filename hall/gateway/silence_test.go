package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/gateway"
	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/connection"
)

// silentBackend is silent in the first exchange, after the given events, and answers others.
type silentBackend struct {
	*fakeBackend
	events   string // Empty if not even the header arrives.
	onSilent func(serverID string)
	sends    atomic.Int64
}

// Send implements gateway.Backend.
func (b *silentBackend) Send(ctx context.Context, server backend.Server, request gateway.BackendRequest) (*gateway.Response, error) {
	if b.sends.Add(1) > 1 {
		return b.fakeBackend.Send(ctx, server, request)
	}
	if b.onSilent != nil {
		b.onSilent(server.ID())
	}
	if b.events == "" {
		<-ctx.Done()
		return nil, connection.NewIncompleteResponseError(context.Cause(ctx))
	}
	header := http.Header{"Content-Type": []string{"text/event-stream"}}
	body := io.MultiReader(strings.NewReader(b.events), &blockedReader{ctx: ctx})
	return &gateway.Response{Status: http.StatusOK, Header: header, Body: body, Length: -1, Close: func() {}}, nil
}

// blockedReader blocks until its connection is closed.
type blockedReader struct{ ctx context.Context }

// Read implements io.Reader.
func (r *blockedReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, io.ErrClosedPipe
}

// TestSilence checks what becomes of a request whose server is silent. Responses usually begin
// after 10 ms, so that the limits are 300 ms for the first event and 1 s between events. Callers
// wait for 1.6 s.
func TestSilence(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	tests := []struct {
		name        string
		path        string
		events      string
		notCompared bool
		overloaded  bool // All servers are silent in a tenth of the requests.
		ejected     bool // Other requests at the server have led to its ejection.
		wantStatus  int
		wantSends   int64
		wantBody    string
		within      time.Duration
	}{
		{name: "repeatable request moves", path: "/safe/x", wantStatus: 200, wantSends: 2, within: 800 * time.Millisecond},
		{name: "stream moves before its first event", path: "/resumable/x", wantStatus: 200, wantSends: 2, wantBody: "id: 2\ndata: b\n\n", within: 800 * time.Millisecond},
		{name: "stream moves between events", path: "/resumable/x", events: event, wantStatus: 200, wantSends: 2, wantBody: event + "id: 2\ndata: b\n\n", within: 1400 * time.Millisecond},
		{name: "request that may run once waits", path: "/once/x", wantStatus: 504, wantSends: 1},
		{name: "all servers overloaded, request waits", path: "/safe/x", overloaded: true, wantStatus: 504, wantSends: 1},
		{name: "no attempt left, request waits", path: "/single/x", wantStatus: 504, wantSends: 1},
		{name: "no attempt left and server ejected, request ends", path: "/single/x", ejected: true, wantStatus: 504, wantSends: 1, within: 800 * time.Millisecond},
		{name: "servers are not compared, request waits", path: "/safe/x", notCompared: true, wantStatus: 504, wantSends: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			response := cannedResponse{status: http.StatusOK, body: "id: 2\ndata: b\n\n", stream: strings.HasPrefix(test.path, "/resumable")}
			f := newFixtureWith(balance.Options{ComparesServers: !test.notCompared}, response)
			detector := f.options.Outliers
			primeDetector(detector, test.overloaded)
			silent := &silentBackend{fakeBackend: f.backend, events: test.events}
			if test.ejected {
				silent.onSilent = func(serverID string) { ejectServer(t, f, serverID) }
			}
			f.options.Backend = silent
			f.gateway = gateway.New(f.options)
			start := time.Now()
			recorder, _ := f.send(test.path, func(request *gateway.Request) { request.Timeout = 1600 * time.Millisecond })
			took := time.Since(start)
			if recorder.Code != test.wantStatus || silent.sends.Load() != test.wantSends {
				t.Errorf("status and sends: got %d and %d, want %d and %d", recorder.Code, silent.sends.Load(), test.wantStatus, test.wantSends)
			}
			if test.wantBody != "" && recorder.Body.String() != test.wantBody {
				t.Errorf("body: got %q, want %q", recorder.Body.String(), test.wantBody)
			}
			if test.within > 0 && took > test.within {
				t.Errorf("time to the end: got %s, want at most %s", took, test.within)
			}
			if test.within == 0 && took < 1500*time.Millisecond {
				t.Errorf("time to the end: got %s, want the caller's 1.6 s", took)
			}
		})
	}
}

// primeDetector records usual responses of all routes, and silences of an overload.
func primeDetector(detector *outlier.Detector, overloaded bool) {
	for index := range 100 {
		for _, server := range []string{"server-0", "server-1", "server-2", "server-3"} {
			for _, route := range []string{"safe", "once", "single", "resumable"} {
				detector.Record(outlier.Observation{Service: "models", Server: server, Route: route, Work: 10 * time.Millisecond, PerToken: time.Millisecond})
			}
			if overloaded && index%2 == 0 {
				detector.Record(outlier.Observation{Service: "models", Server: server, Route: "safe", Result: outlier.Silent})
			}
		}
	}
}

// ejectServer has the server ejected because many other requests there got no response.
func ejectServer(t *testing.T, f *fixture, serverID string) {
	for range 400 {
		f.options.Outliers.Record(outlier.Observation{Service: "models", Server: serverID, Route: "single", Result: outlier.Silent})
	}
	time.Sleep(150 * time.Millisecond)
	service, _ := f.catalog.Service("models")
	choice, err := f.options.Balancer.Choose(time.Now(), balance.Query{Service: service})
	if err != nil {
		t.Errorf("choose: %v", err)
		return
	}
	choice.Done()
}

// slowWriter is a caller that reads nothing for longer than a server may be silent.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(data []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(data)
}

// TestSlowCallerIsNoSilence checks that a server is not held for silent while the hall waits
// for a caller that reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	f := newFixtureWith(balance.Options{ComparesServers: true}, cannedResponse{status: http.StatusOK, body: "id: 2\ndata: b\n\n", stream: true})
	primeDetector(f.options.Outliers, false)
	f.gateway = gateway.New(f.options)
	writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: 1300 * time.Millisecond}
	request := &gateway.Request{ID: "r1", Method: http.MethodPost, Host: "desk.example", Path: "/resumable/x", Target: "/resumable/x", APIKey: "key", Received: time.Now(), Header: http.Header{}}
	f.gateway.Serve(context.Background(), writer, request)
	silences := 0.0
	for _, observed := range f.options.Outliers.Summary().GetServers() {
		silences += observed.GetSilences()
	}
	if silences != 0 || len(f.backend.serverIDs) != 1 {
		t.Errorf("silences and sends: got %v and %d, want 0 and 1", silences, len(f.backend.serverIDs))
	}
}
