package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
)

// TestMemoryOfResponsesIsBounded guards against processes whose memory is used by what a
// service sends to several calls at once, of which each stays below the limit of one.
func TestMemoryOfResponsesIsBounded(t *testing.T) {
	const calls, responseBytes = 6, 7 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			_, _ = w.Write([]byte(`{"Key":"x"}`)) // The caller reports what is missing.
			return
		}
		// Fails once the caller has gone.
		_, _ = w.Write([]byte(`{"Key":"` + strings.Repeat("x", responseBytes)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	caller := platform.NewJSONCaller(network.TCP{}, server.Listener.Addr().String(), calls, 5*time.Second, func(call platform.JSONCall, status int) error {
		return call.UnexpectedStatus(status, false)
	})
	defer caller.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	results := make(chan error, calls)
	for range calls {
		go func() {
			var result struct{ Key string }
			results <- caller.Do(ctx, platform.JSONCall{Method: http.MethodGet, Path: "/large"}, &result)
		}()
	}
	for refused := range calls - 2 { // Two of them fit.
		select {
		case err := <-results:
			var unavailable *platform.UnavailableError
			if !errors.As(err, &unavailable) {
				t.Errorf("call beside others: got error %v, want an UnavailableError", err)
			}
		case <-time.After(3 * time.Second):
			t.Fatalf("got %d calls refused for lack of memory, want at least %d", refused, calls-2)
		}
	}
	var result struct{ Key string }
	if err := caller.Do(t.Context(), platform.JSONCall{Method: http.MethodGet, Path: "/small"}, &result); err != nil || result.Key != "x" {
		t.Errorf("small response beside large ones: got %q, %v, want it", result.Key, err)
	}
}
