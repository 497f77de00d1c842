package gateway_test

import (
	"strings"
	"testing"
	"time"

	"limpethall.dev/hall/gateway"
)

// TestExplainSendsNothing checks what operators are told about a request, and that asking
// neither sends it nor takes a token of the workspace's rate.
func TestExplainSendsNothing(t *testing.T) {
	for _, test := range []struct {
		path, workspace         string
		wantRoute, wantService  string
		wantServer, wantRefusal string
	}{
		{"/kept/x", "workshop", "kept", "models", "server-", ""},
		{"/resumable/x", "workshop", "resumable", "models", "server-", ""},
		{"/kept/x", "", "kept", "", "", "unknown API key"},
		{"/kept/x", "nobody", "", "", "", "not known"},
		{"/absent", "workshop", "", "", "", "no route"},
	} {
		f := newFixture()
		got := f.gateway.Explain(&gateway.Request{Host: "desk.example", Path: test.path, Program: "p1", Received: time.Now()}, test.workspace)
		if got.Route() != test.wantRoute || got.Service() != test.wantService || !strings.Contains(got.Refusal(), test.wantRefusal) || (test.wantRefusal == "") != (got.Refusal() == "") {
			t.Errorf("%s of %q: got route %q, service %q and refusal %q, want %q, %q and %q", test.path, test.workspace, got.Route(), got.Service(), got.Refusal(), test.wantRoute, test.wantService, test.wantRefusal)
		}
		if test.wantServer != "" && (got.Selection() == nil || !strings.HasPrefix(got.Selection().Choice().Server().ID(), test.wantServer) || len(got.Selection().Candidates()) != 4) {
			t.Errorf("%s of %q: got selection %v, want one of four servers", test.path, test.workspace, got.Selection())
		}
		if len(f.backend.requests) > 0 || len(f.admitter.priorities) > 0 || f.turns.begins > 0 || f.gateway.Active() > 0 {
			t.Errorf("%s of %q: got %d sends, %d admissions and %d turns, want none", test.path, test.workspace, len(f.backend.requests), len(f.admitter.priorities), f.turns.begins)
		}
	}
}
