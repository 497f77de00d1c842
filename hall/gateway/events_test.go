package gateway_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/hall/gateway"
)

// streamOf returns a stream with events of the given IDs, each of whose data is its ID.
func streamOf(ids ...int) cannedResponse {
	var body strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&body, "id: %d\ndata: %d\n\n", id, id)
	}
	return cannedResponse{status: 200, stream: true, body: body.String()}
}

// TestEventsAreStoredBeforeTheyAreRelayed guards against events that a caller gets and that no
// keeper has, which are missing in the history if the caller takes up the stream at another hall.
func TestEventsAreStoredBeforeTheyAreRelayed(t *testing.T) {
	cases := []struct {
		name       string
		path       string
		responses  []cannedResponse
		wantEvents []string
		wantCall   string
	}{
		{"whole stream", "/recorded/x", []cannedResponse{streamOf(1, 2, 3)}, []string{"1>1\n", "2>2\n", "3>3\n"}, "54 in>1\n2\n3\n"},
		{
			"continued at another server", "/recorded/x",
			[]cannedResponse{{status: 200, stream: true, body: "id: 1\ndata: 1\n\nid: 2\nda", truncated: true}, streamOf(2, 3)},
			[]string{"1>1\n", "2>2\n", "3>3\n"},
			"54 in>1\n2\n3\n",
		},
		{
			"events without an ID", "/recorded/x",
			[]cannedResponse{{status: 200, stream: true, body: "data: a\n\n: comment\n\nid: 1\ndata: b\ndata: c\n\ndata: d\n\nid: 1\ndata: e\n\nid: 2\n\ndata: f\n\n"}},
			[]string{"1>a\nb\nc\n", "2>d\ne\n"},
			"90 in>a\nb\nc\nd\ne\nf\n",
		},
		{"route that is not resumable", "/kept/x", []cannedResponse{streamOf(1, 2)}, nil, "36 in>1\n2\n"},
		{"route without history", "/resumable/x", []cannedResponse{streamOf(1, 2)}, nil, "settled 36"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(tc.responses...)
			recorder := httptest.NewRecorder()
			f.turns.onEvents = func() {
				relayed := recorder.Body.String()
				for _, event := range f.turns.events[f.turns.relayed:] {
					if id, _, _ := strings.Cut(event, ">"); strings.Contains(relayed, "id: "+id+"\n") {
						t.Errorf("event %s: got it relayed before it was stored", id)
					}
				}
				f.turns.relayed = len(f.turns.events)
			}
			f.gateway.Serve(t.Context(), recorder, newRequest(tc.path))
			if got := f.turns.events; !slices.Equal(got, tc.wantEvents) {
				t.Errorf("stored events: got %q, want %q", got, tc.wantEvents)
			}
			if got, want := f.turns.calls, []string{tc.wantCall}; !slices.Equal(got, want) {
				t.Errorf("end of the turn: got %q, want %q", got, want)
			}
		})
	}
}

// TestStreamOutlastsFailingStore guards against streams that break off or are delayed again and
// again while their events can't be stored, and against events that are never stored because
// that failed once.
func TestStreamOutlastsFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(streamOf(1, 2, 3, 4), streamOf(5, 6))
		f.turns.eventsErr = errors.New("too few keepers")
		recorder, aborted := f.send("/recorded/x", nil)
		if got, want := recorder.Body.String(), streamOf(1, 2, 3, 4).body; got != want || aborted {
			t.Errorf("stream: got %q, aborted %t, want %q", got, aborted, want)
		}
		if got, want := f.turns.calls, []string{"72 in>1\n2\n3\n4\n"}; !slices.Equal(got, want) {
			t.Errorf("end of the turn: got %q, want %q", got, want)
		}
	})
}

// TestEventsAreStoredAgain guards against streams that can't be taken up after a moment in which
// their events could not be stored.
func TestEventsAreStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(cannedResponse{status: 200, stream: true, events: streamOf(1, 2, 3, 4, 5).body, pause: 1200 * time.Millisecond})
		f.turns.eventsErr = errors.New("too few keepers")
		attempts := 0
		f.turns.onEvents = func() {
			if attempts++; attempts == 1 {
				return
			}
			f.turns.eventsErr = nil
		}
		f.send("/recorded/x", nil)
		// The second and third event come while a failure is recent, and are stored with later ones.
		if got, want := f.turns.events, []string{"1>1\n", "1>1\n", "2>2\n", "3>3\n", "4>4\n", "5>5\n"}; !slices.Equal(got, want) {
			t.Errorf("stored events: got %q, want %q", got, want)
		}
	})
}

// TestBackendStartsAnew guards against a turn that is stored without its first events because a
// caller names one on a route on which streams can't be taken up.
func TestBackendStartsAnew(t *testing.T) {
	for path, want := range map[string]bool{"/kept/x": true, "/recorded/x": false, "/resumable/x": false, "/safe/x": false} {
		f := newFixture(streamOf(1))
		f.send(path, func(request *gateway.Request) { request.LastEventID = "2" })
		if len(f.backend.requests) == 0 {
			continue // A stream whose version is not known is refused.
		}
		if got := f.backend.requests[0].FromStart; got != want {
			t.Errorf("%s: got a stream from the start %t, want %t", path, got, want)
		}
	}
}
