package gateway_test

import (
	"net/http"
	"testing"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/buffer"
)

// TestObservations checks what the exchanges of one request add to the evidence about their
// servers. A failure to connect and a refusal without a run say nothing of the server's work.
func TestObservations(t *testing.T) {
	success := cannedResponse{status: http.StatusOK, body: "done"}
	stream := cannedResponse{status: http.StatusOK, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", stream: true}
	broken := stream
	broken.truncated = true
	tests := []struct {
		name              string
		path              string
		responses         []cannedResponse
		answers, failures float64
	}{
		{"answer", "/safe/x", []cannedResponse{success}, 1, 0},
		{"client error", "/safe/x", []cannedResponse{{status: http.StatusNotFound}}, 1, 0},
		{"failure", "/safe/x", []cannedResponse{{status: http.StatusInternalServerError}}, 0, 1},
		{"broken exchange, then an answer", "/safe/x", []cannedResponse{{err: errBroken}, success}, 1, 1},
		{"broken body, then an answer", "/safe/x", []cannedResponse{{status: http.StatusOK, truncated: true}, success}, 1, 1},
		{"no connection, then an answer", "/safe/x", []cannedResponse{{err: errUnsent}, success}, 1, 0},
		{"refused without a run, then an answer", "/safe/x", []cannedResponse{{status: http.StatusServiceUnavailable, notRun: true}, success}, 1, 0},
		{"stream", "/resumable/x", []cannedResponse{stream}, 1, 0},
		{"broken stream, resumed", "/resumable/x", []cannedResponse{broken, stream}, 1, 1},
		{"stream without memory for an event", "/resumable/x", []cannedResponse{{status: http.StatusOK, stream: true, truncated: true, cause: &buffer.FullError{}}}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, compares := range []bool{true, false} {
				f := newFixtureWith(balance.Options{ComparesServers: compares}, test.responses...)
				f.send(test.path, nil)
				answers, failures := 0.0, 0.0
				for _, observed := range f.options.Outliers.Summary().GetServers() {
					answers, failures = answers+observed.GetAnswers(), failures+observed.GetFailures()
				}
				want := [2]float64{test.answers, test.failures}
				if !compares {
					want = [2]float64{}
				}
				if got := [2]float64{answers, failures}; got != want {
					t.Errorf("answers and failures, compared %t: got %v, want %v", compares, got, want)
				}
			}
		})
	}
}
