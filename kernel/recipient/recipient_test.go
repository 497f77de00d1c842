package recipient_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/recipient"
)

// TestCallsReachTheirRecipientOnly guards against a process that executes a call which is
// meant for another one, and against one that refuses calls of earlier versions.
func TestCallsReachTheirRecipientOnly(t *testing.T) {
	executed := 0
	server := httptest.NewServer(recipient.Handler(host.KindKeeper, "kő/1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executed++ })))
	defer server.Close()
	for _, c := range []struct {
		name   string
		client interface {
			Do(*http.Request) (*http.Response, error)
		}
		wantMisdirected bool
	}{
		{"recipient", recipient.NewClient(http.DefaultClient, host.KindKeeper, "kő/1"), false},
		{"earlier version", http.DefaultClient, false},
		{"other keeper", recipient.NewClient(http.DefaultClient, host.KindKeeper, "keeper-2"), true},
		{"hall of the same machine", recipient.NewClient(http.DefaultClient, host.KindHall, "kő/1"), true},
	} {
		executed = 0
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := c.client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		var misdirectedErr *recipient.MisdirectedError
		if got := errors.As(err, &misdirectedErr); got != c.wantMisdirected || (err != nil) != got {
			t.Errorf("%s: got error %v, want misdirected %t", c.name, err, c.wantMisdirected)
		}
		if got := executed == 0; got != c.wantMisdirected {
			t.Errorf("%s: executed %d times, want misdirected %t", c.name, executed, c.wantMisdirected)
		}
	}
}
