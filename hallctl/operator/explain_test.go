package operator_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"limpethall.dev/hallctl/operator"
)

// unorderedLog is an excerpt of a platform log. Its lines are not in order of time,
// one concerns another request and one is not JSON.
const unorderedLog = `{"level":"warn","time":1784534057318.2764,"logger":"turns","msg":"reservation not settled; it counts in full against the budget","requestId":"78ab515f1e37350b","program":"lehu333/a2bc0df5304d01","keepers":0}
{"level":"info","time":1784534056697.3152,"logger":"gateway","msg":"request","requestId":"78ab515f1e37350b","took":622,"sends":0,"program":"a2bc0df5304d01","reason":"reserve tokens: 0 of 2 keepers answered","status":503}
{"level":"info","time":1784534056699.1,"logger":"gateway","msg":"request","requestId":"other","program":"b","status":200}
not a JSON line
`

// TestExplainOnPlatformLogs checks that Explain finds the lines of a request, both by
// the request ID and by the program ID with or without the workspace, and prints them
// in order of time. Times of platform logs are Unix milliseconds.
func TestExplainOnPlatformLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hall.log")
	if err := os.WriteFile(path, []byte(unorderedLog), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"78ab515f1e37350b", "a2bc0df5304d01"} {
		var output bytes.Buffer
		if err := operator.Explain(id, []string{path}, &output, false); err != nil {
			t.Fatalf("explain %s: %v", id, err)
		}
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		if got, want := len(lines), 2; got != want {
			t.Fatalf("lines for %s: got %d, want %d: %s", id, got, want, output.String())
		}
		for index, want := range []string{"reason reserve tokens: 0 of 2 keepers answered", "reservation not settled"} {
			if !strings.Contains(lines[index], want) {
				t.Errorf("line %d for %s: got %q, want it to contain %q", index, id, lines[index], want)
			}
		}
		if got, want := strings.HasPrefix(lines[0], "2026-07-20T07:54:16.697"), true; got != want {
			t.Errorf("time of the first line: got %q, want it as an RFC 3339 date", lines[0])
		}
	}
}
