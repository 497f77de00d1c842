package callerid_test

import (
	"strings"
	"testing"

	"limpethall.dev/kernel/callerid"
)

// TestBound guards against caches of IDs that grow with their length, and against IDs that are
// taken for each other.
func TestBound(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	for _, id := range []string{"", "p1", strings.Repeat("é", 256)} {
		if got := callerid.Bound(id); got != id {
			t.Errorf("short ID %q: got %q, want it unchanged", id, got)
		}
	}
	got := callerid.Bound(long)
	if len(got) > 512 {
		t.Errorf("long ID: got %d bytes, want at most 512", len(got))
	}
	if again := callerid.Bound(got); again != got {
		t.Errorf("result as an ID: got %q, want %q", again, got)
	}
	if other := callerid.Bound(long + "y"); other == got {
		t.Errorf("other long ID: got the same result %q, want another", other)
	}
}
