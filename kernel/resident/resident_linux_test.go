package resident_test

import (
	"runtime"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpethall.dev/kernel/resident"
)

// TestMemoryNearLimitIsLogged guards against a process that is killed for its memory without
// a line that tells what used it.
func TestMemoryNearLimitIsLogged(t *testing.T) {
	runtime.GC() // Before the first collection, nothing is known to be reachable.
	details := func() []zap.Field { return []zap.Field{zap.Int64("requests", 7)} }
	for _, test := range []struct {
		name  string
		limit int64
		want  int
	}{
		{"no limit", 0, 0},
		{"far below", 1 << 40, 0},
		{"above", 1 << 20, 1}, // The second check is within the interval.
	} {
		core, logs := observer.New(zap.WarnLevel)
		watcher := resident.New(test.limit, details, zap.New(core))
		watcher.Check(t.Context())
		watcher.Check(t.Context())
		if got := logs.Len(); got != test.want {
			t.Errorf("%s: got %d lines, want %d", test.name, got, test.want)
			continue
		}
		for _, entry := range logs.All() {
			fields := entry.ContextMap()
			for _, name := range []string{"resident", "limit", "heapLive", "stacks", "requests"} {
				if got, _ := fields[name].(int64); got <= 0 {
					t.Errorf("%s: got field %s %v, want it above 0", test.name, name, fields[name])
				}
			}
		}
	}
}
