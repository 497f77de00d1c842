package resident_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"

	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/resident"
)

// TestMemoryGauges guards against metrics that do not tell resident memory and its limit.
func TestMemoryGauges(t *testing.T) {
	meters, err := metrics.New("test")
	if err != nil {
		t.Fatal(err)
	}
	if err := resident.New(12345, nil, zap.NewNop()).Register(meters.Meter()); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	meters.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	page := recorder.Body.String()
	for _, want := range []string{"limpethall_memory_limit_bytes{", "limpethall_memory_resident_bytes{", "limpethall_memory_heap_live_bytes{"} {
		if !strings.Contains(page, want) {
			t.Errorf("got a page without %s, want it:\n%s", want, page)
		}
	}
}
