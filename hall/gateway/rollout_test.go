package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/gateway"
	"limpethall.dev/hall/rollout"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/backend"
)

// fakeRollouts selects the same versions for each request and records what it is told.
type fakeRollouts struct {
	selection rollout.Selection

	mutex      sync.Mutex
	disallowed string // Version that Allowed refuses.
	selected   []string
	asked      []string // Versions of which Allowed was asked.
	opened     []string
	open       int
	outcomes   []rollout.Outcome
}

// Select implements gateway.Rollouts.
func (r *fakeRollouts) Select(_, key string) rollout.Selection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.selected = append(r.selected, key)
	return r.selection
}

// Allowed implements gateway.Rollouts.
func (r *fakeRollouts) Allowed(_, version string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asked = append(r.asked, version)
	return version != r.disallowed
}

// Opened implements gateway.Rollouts.
func (r *fakeRollouts) Opened(_, version string) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.opened = append(r.opened, version)
	r.open++
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.open--
	}
}

// Record implements gateway.Rollouts.
func (r *fakeRollouts) Record(outcome rollout.Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// newRolloutFixture returns a gateway with a server of each of the versions, and roll-outs
// with the selection.
func newRolloutFixture(selection rollout.Selection, versions []string, responses ...cannedResponse) (*fixture, *fakeRollouts) {
	f := newFixture(responses...)
	rollouts := &fakeRollouts{selection: selection}
	directory := backend.NewDirectory()
	f.options.Rollouts = rollouts
	f.options.Balancer = balance.New(balance.Options{Zone: "a", Directory: directory, HallCount: func() int { return 1 }})
	var servers []backend.Server
	for index, version := range versions {
		servers = append(servers, backend.NewServer(backend.Options{ID: fmt.Sprintf("server-%d", index), Zone: "a", Service: "models", Slots: 8, Version: version}))
	}
	directory.Publish(backend.NewList(1, time.Now(), servers, nil))
	f.gateway = gateway.New(f.options)
	return f, rollouts
}

// crashProbePeriod is longer than the probe of a server whose response was broken off.
const crashProbePeriod = time.Second

func only(version string) rollout.Selection { return rollout.NewSelection(&version, "") }

func without(version string) rollout.Selection { return rollout.NewSelection(nil, version) }

// TestSelectedVersionReceivesRequest guards against requests at a version that the roll-out
// does not select or allow, and against requests that are refused although a version that is
// allowed has a server.
func TestSelectedVersionReceivesRequest(t *testing.T) {
	both, old, target := []string{"v1", "v2"}, []string{"v1"}, []string{"v2"}
	cases := []struct {
		name       string
		selection  rollout.Selection
		versions   []string
		disallowed string
		want       []string // Versions of the servers that got the request.
	}{
		{"target version", only("v2"), both, "", []string{"v2"}},
		{"old version", without("v2"), both, "", []string{"v1"}},
		{"no target server yet", only("v2"), old, "", []string{"v1"}},
		{"no target server, old version no longer allowed", only("v2"), old, "v1", nil},
		{"no old server", without("v2"), target, "", []string{"v2"}},
		{"no old server, target not allowed", without("v2"), target, "v2", nil},
	}
	for _, tc := range cases {
		for path, response := range map[string]cannedResponse{"/once/x": {status: 200, body: "done"}, "/resumable/x": {status: 200, stream: true, body: "id: 1\ndata: a\n\n"}} {
			f, rollouts := newRolloutFixture(tc.selection, tc.versions, response)
			rollouts.disallowed = tc.disallowed
			recorder, _ := f.send(path, nil)
			if !slices.Equal(rollouts.opened, tc.want) || len(f.backend.requests) != len(tc.want) {
				t.Errorf("%s, %s: got versions %v and %d sends, want %v", tc.name, path, rollouts.opened, len(f.backend.requests), tc.want)
			}
			wantStatus := http.StatusOK
			if tc.want == nil {
				wantStatus = http.StatusServiceUnavailable
			}
			if recorder.Code != wantStatus {
				t.Errorf("%s, %s: got status %d, want %d", tc.name, path, recorder.Code, wantStatus)
			}
			if !slices.Equal(rollouts.selected, []string{"p1"}) || rollouts.open != 0 {
				t.Errorf("%s, %s: got selections for %v and %d requests open, want one for p1 and none", tc.name, path, rollouts.selected, rollouts.open)
			}
		}
	}
}

// TestRequestOutsideOfProgramsIsSelectedByID guards against requests without a program that
// all go to one version.
func TestRequestOutsideOfProgramsIsSelectedByID(t *testing.T) {
	f, rollouts := newRolloutFixture(without("v2"), []string{"v1", "v2"}, cannedResponse{status: 200})
	f.send("/safe/x", func(request *gateway.Request) { request.Program = "" })
	if got, want := rollouts.selected, []string{"r1"}; !slices.Equal(got, want) {
		t.Errorf("keys: got %v, want %v", got, want)
	}
}

// TestContinuedStreamAsksForItsVersion guards against streams that are continued at a
// version after the roll-out left it, and against those that continue at another version.
func TestContinuedStreamAsksForItsVersion(t *testing.T) {
	cut := cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\n", truncated: true}
	rest := cannedResponse{status: 200, stream: true, body: "id: 2\ndata: b\n\n"}
	for disallowed, want := range map[string][]string{"": {"v1", "v1"}, "v1": {"v1"}} {
		f, rollouts := newRolloutFixture(without("v2"), []string{"v1", "v1", "v2"}, cut, rest)
		rollouts.disallowed = disallowed
		_, aborted := f.send("/resumable/x", nil)
		if !slices.Equal(rollouts.opened, want) || !slices.Equal(rollouts.asked, []string{"v1"}) || aborted != (disallowed == "v1") {
			t.Errorf("%q not allowed: got sends to %v, questions for %v, aborted %t, want %v, one for v1, %t", disallowed, rollouts.opened, rollouts.asked, aborted, want, disallowed == "v1")
		}
	}
}

// slowTurnStore takes some time to begin a turn.
type slowTurnStore struct {
	*fakeTurnStore
	delay time.Duration
}

// Begin implements gateway.TurnStore.
func (s *slowTurnStore) Begin(ctx context.Context, turn turns.Turn) (*turns.ActiveTurn, error) {
	time.Sleep(s.delay)
	return s.fakeTurnStore.Begin(ctx, turn)
}

// TestOldPermissionIsConfirmed guards against a stream that waited for the keepers while the
// roll-out was finished, and is then sent to the version that it got before.
func TestOldPermissionIsConfirmed(t *testing.T) {
	for delay, wantSends := range map[time.Duration]int{10 * time.Millisecond: 1, 200 * time.Millisecond: 0} {
		synctest.Test(t, func(t *testing.T) {
			f, rollouts := newRolloutFixture(without("v2"), []string{"v1", "v2"}, cannedResponse{status: 200, stream: true, body: "id: 1\ndata: a\n\n"})
			f.options.Turns = &slowTurnStore{fakeTurnStore: f.turns, delay: delay}
			f.gateway = gateway.New(f.options)
			rollouts.disallowed = "v1"
			f.send("/resumable/x", nil)
			if got := len(f.backend.requests); got != wantSends {
				t.Errorf("keepers take %s: got %d sends, want %d", delay, got, wantSends)
			}
		})
	}
}

// timedBackend answers after a delay, or ends with the context, with a body that takes the
// same time.
type timedBackend struct {
	*fakeBackend
	delay time.Duration
}

// Send implements gateway.Backend.
func (b *timedBackend) Send(ctx context.Context, server backend.Server, request gateway.BackendRequest) (*gateway.Response, error) {
	select {
	case <-time.After(b.delay):
	case <-ctx.Done():
		return nil, errBroken
	}
	response, err := b.fakeBackend.Send(ctx, server, request)
	if err == nil {
		response.Body = &slowReader{Reader: response.Body, delay: b.delay}
	}
	return response, err
}

type slowReader struct {
	io.Reader
	delay time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	return r.Reader.Read(p)
}

// TestOutcomeOfSend guards against a version that is blamed for what is not its fault, or
// that is not blamed for its failures, and against requests that are counted twice.
func TestOutcomeOfSend(t *testing.T) {
	events := "id: 1\ndata: a\n\n"
	cases := []struct {
		name, path string
		response   cannedResponse
		delay      time.Duration // Until the header, and from there to the first byte.
		cancel     time.Duration // When the caller leaves, zero for never.
		wantSends  int
		want       []bool // Whether the recorded outcomes are failures.
	}{
		{"answered", "/once/x", cannedResponse{status: 200, body: "done"}, 0, 0, 1, []bool{false}},
		{"no content", "/once/x", cannedResponse{status: 204}, 0, 0, 1, []bool{false}},
		{"error of the caller", "/once/x", cannedResponse{status: 404}, 0, 0, 1, []bool{false}},
		{"error of the server", "/once/x", cannedResponse{status: 500, body: "sorry"}, 0, 0, 1, []bool{true}},
		{"error of the server instead of a stream", "/kept/x", cannedResponse{status: 503, body: "sorry"}, 0, 0, 1, []bool{true}},
		{"refused without run", "/once/x", cannedResponse{status: 503, notRun: true}, 0, 0, 2, nil},
		{"not reached", "/once/x", cannedResponse{err: errUnsent}, 0, 0, 2, nil},
		{"broken exchange, repeated", "/safe/x", cannedResponse{err: errBroken}, 0, 0, 2, []bool{true, true}},
		{"broken body, repeated", "/safe/x", cannedResponse{status: 200, body: "do", truncated: true}, 0, 0, 2, []bool{true, true}},
		{"stream", "/kept/x", cannedResponse{status: 200, stream: true, body: events}, 0, 0, 1, []bool{false}},
		{"stream reset", "/kept/x", cannedResponse{status: 200, stream: true, body: events, truncated: true}, 0, 0, 1, []bool{true}},
		{"stream ends inside an event", "/kept/x", cannedResponse{status: 200, stream: true, body: events + "da"}, 0, 0, 1, []bool{true}},
		{"slow", "/once/x", cannedResponse{status: 200, body: "done"}, 300 * time.Millisecond, 0, 1, []bool{false}},
		{"no response before the deadline", "/once/x", cannedResponse{status: 200}, time.Minute, 0, 1, []bool{true}},
		{"caller leaves", "/once/x", cannedResponse{status: 200}, time.Minute, time.Second, 1, nil},
		{"caller leaves at its deadline", "/once/x", cannedResponse{status: 200}, time.Minute, 1990 * time.Millisecond, 1, []bool{true}},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			f, rollouts := newRolloutFixture(without("v2"), []string{"v1", "v1"}, tc.response)
			f.options.Backend = &timedBackend{fakeBackend: f.backend, delay: tc.delay}
			f.gateway = gateway.New(f.options)
			if tc.cancel == 0 {
				f.send(tc.path, nil)
			} else {
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(tc.cancel, cancel)
				f.gateway.Serve(ctx, httptest.NewRecorder(), newRequest(tc.path))
			}
			time.Sleep(crashProbePeriod)
			var got []bool
			for _, outcome := range rollouts.outcomes {
				got = append(got, outcome.Failed)
				if tc.delay == 300*time.Millisecond && outcome.FirstByte != 2*tc.delay {
					t.Errorf("%s: got first byte after %s, want %s", tc.name, outcome.FirstByte, 2*tc.delay)
				}
				if outcome.Service != "models" || outcome.Route == "" || outcome.Version != "v1" || outcome.Server == "" {
					t.Errorf("%s: got outcome %+v, want service, route, version and server", tc.name, outcome)
				}
			}
			if !slices.Equal(got, tc.want) || len(rollouts.opened) != tc.wantSends || rollouts.open != 0 {
				t.Errorf("%s: got failures %v, %d sends, %d open, want %v, %d, none", tc.name, got, len(rollouts.opened), rollouts.open, tc.want, tc.wantSends)
			}
		})
	}
}
