package outlier_test

import (
	"testing"
	"time"

	"limpethall.dev/hall/outlier"
)

// TestUsualTimes checks that no time is known before 20 measurements, so that a new route has
// no limit, and that the upper time covers those of servers at half speed.
func TestUsualTimes(t *testing.T) {
	c := newClock()
	d := newDetector("hall", c)
	for index := range 200 {
		if got := d.Usual("models", "chat").Upper(); (got > 0) != (index >= 20) {
			t.Fatalf("upper usual time after %d measurements: got %s, want one only from 20", index, got)
		}
		work := 40 * time.Millisecond
		if index%4 == 0 {
			work *= 2
		}
		d.Record(outlier.Observation{Service: "models", Server: "1", Route: "chat", Work: work, PerToken: time.Millisecond})
	}
	usual := d.Usual("models", "chat")
	if got := usual.Upper(); got < 80*time.Millisecond || got > 200*time.Millisecond {
		t.Errorf("upper usual time of responses after 40 and 80 ms: got %s, want 80 to 200 ms", got)
	}
	if got := usual.PerToken(); got < 900*time.Microsecond || got > 1100*time.Microsecond {
		t.Errorf("usual time per token: got %s, want about 1 ms", got)
	}
}

// TestUnusualSilence checks that the silence of one server is unusual while others answer, and
// not while they are overloaded.
func TestUnusualSilence(t *testing.T) {
	c := newClock()
	d, servers := newDetector("hall", c), newServers(10)
	for round := range 20 {
		if round == 10 && !d.IsSilenceUnusual("models", "3") {
			t.Error("silence while other servers answer: got usual, want unusual")
		}
		observe(d, servers, func(id string) outlier.Result {
			if id == "3" || (round >= 10 && round%5 == 0) {
				return outlier.Silent
			}
			return outlier.Answered
		})
		c.pass(50 * time.Millisecond)
	}
	if d.IsSilenceUnusual("models", "3") {
		t.Error("silence while other servers are silent in a tenth of their requests: got unusual, want usual")
	}
}
