package outlier_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/outlier"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

// peer is another hall, which does not answer if its detector is nil.
type peer struct{ detector *outlier.Detector }

// Exchange implements outlier.Peer.
func (p peer) Exchange(ctx context.Context, summary *wire.ObservationSummary) (*wire.ObservationSummary, error) {
	if p.detector == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.detector.Exchange(summary), nil
}

// TestShare checks that a hall without evidence calls nobody, that the others of its zone get
// three of four calls, and that a hall which does not answer costs no more than 100 ms.
func TestShare(t *testing.T) {
	c := newClock()
	detector, other := newDetector("hall-0", c), newDetector("hall-1", c)
	var halls []host.Member
	for index := range 6 {
		halls = append(halls, host.NewHall(fmt.Sprintf("hall-%d", index+1), string("ab"[index%2]), "", 1))
	}
	calls, answering := make(map[string]int), true
	sharer := outlier.NewSharer(detector, "a", func() []host.Member { return halls }, func(hall host.Member) outlier.Peer {
		calls[hall.Zone()]++
		if !answering {
			return peer{}
		}
		return peer{detector: other}
	}, zap.NewNop())
	sharer.Share(t.Context())
	if len(calls) != 0 {
		t.Errorf("calls without evidence: got %v, want none", calls)
	}
	other.Record(outlier.Observation{Service: "models", Server: "0"})
	other.Record(outlier.Observation{Service: "models", Server: "0", Result: outlier.Failed})
	detector.Record(outlier.Observation{Service: "models", Server: "0"})
	for range 1000 {
		sharer.Share(t.Context())
	}
	if calls["a"] < 650 || calls["a"] > 850 || calls["a"]+calls["b"] != 1000 {
		t.Errorf("calls by zone: got %v, want about 750 to zone a and 250 to zone b", calls)
	}
	for name, hall := range map[string]*outlier.Detector{"calling": detector, "called": other} {
		if got, want := hall.Assess("models", newServers(1)).Of("0").FailureRate(), 0.25; got != want {
			t.Errorf("failure rate at the %s hall: got %v, want %v", name, got, want)
		}
	}
	answering = false
	start := time.Now()
	sharer.Share(t.Context())
	if took := time.Since(start); took > 300*time.Millisecond || sharer.Calls()["failed"] != 1 {
		t.Errorf("call of a hall that does not answer: took %s and counted %v, want about 100 ms and 1 failed", took, sharer.Calls())
	}
}
