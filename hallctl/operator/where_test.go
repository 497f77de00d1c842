package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"limpethall.dev/hallctl/operator"
	"limpethall.dev/kernel/wire"
)

// explainingHall answers as a hall does, and keeps the request.
type explainingHall struct{ asked *wire.ExplainRequest }

// Explain implements wire.Routing.
func (h *explainingHall) Explain(_ context.Context, request *wire.ExplainRequest) (*wire.ExplainReply, error) {
	h.asked = request
	return &wire.ExplainReply{Route: "orders", Service: "models", Server: "i-1", Reason: "history, zone: free", ListAgeMilliseconds: 250, Candidates: []*wire.ExplainCandidate{
		{Server: "i-1", Zone: "a", ExpectedMilliseconds: 12.5, QueueMilliseconds: 12.5, Slowness: 1},
		{Server: "i-2", Zone: "b", Excluded: "request stays in its zone"},
	}}, nil
}

// TestWhere guards against questions that lose a part of the request, and against output that
// lacks the reason or a candidate.
func TestWhere(t *testing.T) {
	hall := &explainingHall{}
	server := httptest.NewServer(wire.NewRoutingServer(hall))
	defer server.Close()
	options := operator.WhereOptions{
		Hall: strings.TrimPrefix(server.URL, "http://"), Target: "desk.example/orders/7", Workspace: "workshop", Program: "p1", Prompt: []string{"head:2000", "rest:10"},
	}
	var output bytes.Buffer
	if err := operator.Where(t.Context(), options, &output, false); err != nil {
		t.Fatalf("where: %v", err)
	}
	if got := hall.asked; got.GetHostname() != "desk.example" || got.GetPath() != "/orders/7" || got.GetWorkspace() != "workshop" || got.GetProgram() != "p1" || len(got.GetPrompt()) != 2 {
		t.Errorf("request to the hall: got %v, want that of the options", got)
	}
	for _, want := range []string{"orders", "i-1 (history, zone: free)", "250ms", "12.5", "request stays in its zone"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("output: got %q, want it to contain %q", output.String(), want)
		}
	}
	output.Reset()
	if err := operator.Where(t.Context(), options, &output, true); err != nil {
		t.Fatalf("where as JSON: %v", err)
	}
	var decoded struct{ Candidates []struct{ Server string } }
	if err := json.Unmarshal(output.Bytes(), &decoded); err != nil || len(decoded.Candidates) != 2 {
		t.Errorf("JSON: got %d candidates and error %v, want 2 and none", len(decoded.Candidates), err)
	}
	server.Close()
	if err := operator.Where(t.Context(), options, &output, false); err == nil {
		t.Error("hall that does not answer: got no error, want one")
	}
}
