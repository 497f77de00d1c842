package engine_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"limpethall.dev/kernel/wire"
	client "limpethall.dev/limpet/engine"
	_ "limpethall.dev/limpet/engine/chat"
	"limpethall.dev/standin/engine"
	"limpethall.dev/standin/simnet"
)

func TestMain(m *testing.M) {
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}

func modelCall(content string) *wire.ModelCall {
	message := fmt.Sprintf(`{"role":"user","content":%q}`, content)
	return &wire.ModelCall{Model: "magnet", Messages: [][]byte{[]byte(message)}, MaxTokens: 100, CacheKey: "program-1"}
}

// TestContract checks that every engine plug-in fulfills what a limpet requires
// of it.
func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, model client.Engine, server *engine.Engine, simNetwork *simnet.Network)
	}{
		{"complete answer", checkCompleteAnswer},
		{"token limit overrides the option of the caller", checkTokenLimit},
		{"canceled", checkCancel},
		{"truncated", checkTruncated(engine.FaultTruncate)},
		{"answer to another request", checkTruncated(engine.FaultWrongRequestID)},
		{"crash during a call", checkCrash},
		{"unreachable engine", checkUnreachable},
		{"refuses", checkRefusal},
		{"pins are reported and released", checkPins},
		{"cold engine is reported without delay", checkCold},
	}
	for _, name := range client.Engines.Names() {
		construct, err := client.Engines.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simNetwork := simnet.New(time.Millisecond)
					options := engine.DefaultOptions()
					options.Network = simNetwork.Host("engine")
					options.Models = []string{"magnet"}
					server, err := engine.New(options)
					if err != nil {
						t.Fatal(err)
					}
					server.Start()
					model, err := construct(client.Options{Network: simNetwork.Host("limpet"), Address: server.Address()})
					if err != nil {
						t.Fatal(err)
					}
					c.run(t, model, server, simNetwork)
					server.Close()
					time.Sleep(5 * time.Minute)
				})
			})
		}
	}
}

func appendTo(text *strings.Builder) func(*wire.Delta) {
	return func(delta *wire.Delta) { text.Write(delta.GetJson()) }
}

func checkCompleteAnswer(t *testing.T, model client.Engine, _ *engine.Engine, _ *simnet.Network) {
	var text strings.Builder
	end, err := model.Generate(t.Context(), "call-1", modelCall("answer=5"), appendTo(&text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := end.GetUsage().GetCompletionTokens(), int64(5); got != want {
		t.Errorf("completion tokens: got %d, want %d", got, want)
	}
	if got, want := end.GetFinishReason(), "stop"; got != want {
		t.Errorf("finish reason: got %q, want %q", got, want)
	}
	if got, want := strings.Count(text.String(), `"content"`), 5; got != want {
		t.Errorf("deltas with content: got %d, want %d", got, want)
	}
}

func checkTokenLimit(t *testing.T, model client.Engine, _ *engine.Engine, _ *simnet.Network) {
	call := modelCall("answer=50")
	call.MaxTokens = 3
	call.Options = []byte(`{"temperature":0.5,"max_tokens":9000}`)
	end, err := model.Generate(t.Context(), "call-1", call, func(*wire.Delta) {})
	if err != nil || end.GetUsage().GetCompletionTokens() != 3 || end.GetFinishReason() != "length" {
		t.Errorf("got %v, %v, want 3 tokens and finish reason length", end, err)
	}
}

func checkCancel(t *testing.T, model client.Engine, server *engine.Engine, _ *simnet.Network) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := model.Generate(ctx, "call-1", modelCall("answer=90"), func(*wire.Delta) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want context.DeadlineExceeded", err)
	}
	time.Sleep(time.Second)
	if got, want := server.Stats().Canceled, int64(1); got != want {
		t.Errorf("canceled generations: got %d, want %d", got, want)
	}
}

func checkTruncated(fault engine.Fault) func(t *testing.T, model client.Engine, server *engine.Engine, simNetwork *simnet.Network) {
	return func(t *testing.T, model client.Engine, server *engine.Engine, _ *simnet.Network) {
		server.SetFault(fault)
		var truncated *client.TruncatedError
		if _, err := model.Generate(t.Context(), "call-1", modelCall("answer=9"), func(*wire.Delta) {}); !errors.As(err, &truncated) {
			t.Errorf("got %v, want a TruncatedError", err)
		}
	}
}

func checkCrash(t *testing.T, model client.Engine, server *engine.Engine, _ *simnet.Network) {
	time.AfterFunc(50*time.Millisecond, server.Die)
	var connectionLost *client.ConnectionLostError
	if _, err := model.Generate(t.Context(), "call-1", modelCall("answer=90"), func(*wire.Delta) {}); !errors.As(err, &connectionLost) {
		t.Errorf("got %v, want a ConnectionLostError", err)
	}
	before, _ := model.Load(t.Context())
	time.Sleep(2 * time.Second)
	after, err := model.Load(t.Context())
	if err != nil || after.Started == before.Started {
		t.Errorf("load report after the restart: got start %q, error %v, want a start other than %q", after.Started, err, before.Started)
	}
}

func checkUnreachable(t *testing.T, model client.Engine, _ *engine.Engine, simNetwork *simnet.Network) {
	simNetwork.Cut("limpet", "engine")
	var unreachable *client.UnreachableError
	if _, err := model.Generate(t.Context(), "call-1", modelCall("answer=9"), func(*wire.Delta) {}); !errors.As(err, &unreachable) {
		t.Errorf("got %v, want an UnreachableError", err)
	}
	if _, err := model.Load(t.Context()); err == nil {
		t.Errorf("load report of an unreachable engine: got no error, want one")
	}
}

func checkRefusal(t *testing.T, model client.Engine, _ *engine.Engine, _ *simnet.Network) {
	var statusError *client.StatusError
	if _, err := model.Generate(t.Context(), "call-1", &wire.ModelCall{Model: "magnet"}, func(*wire.Delta) {}); !errors.As(err, &statusError) {
		t.Errorf("got %v, want a StatusError", err)
	}
}

func checkCold(t *testing.T, model client.Engine, server *engine.Engine, _ *simnet.Network) {
	time.Sleep(2 * time.Second)
	if got, err := model.ColdRemaining(t.Context()); got != 0 || err != nil {
		t.Errorf("warm engine: got cold for %v, error %v, want 0", got, err)
	}
	server.TurnCold()
	if got, err := model.ColdRemaining(t.Context()); got <= 0 || got > time.Second || err != nil {
		t.Errorf("cold engine: got cold for %v, error %v, want more than 0 and up to 1s", got, err)
	}
}

func checkPins(t *testing.T, model client.Engine, _ *engine.Engine, _ *simnet.Network) {
	if _, err := model.Generate(t.Context(), "call-1", modelCall("answer=5"), func(*wire.Delta) {}); err != nil {
		t.Fatal(err)
	}
	pins := func() []string {
		var report client.LoadReport
		for range 2 { // The first report may predate the change: reports are delayed.
			time.Sleep(time.Second)
			var err error
			if report, err = model.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		return report.Pins
	}
	if got, want := fmt.Sprint(pins()), "[program-1]"; got != want {
		t.Errorf("pins: got %s, want %s", got, want)
	}
	for range 2 {
		if err := model.Release(t.Context(), "program-1"); err != nil {
			t.Errorf("release: got error %v, want none the first and the second time", err)
		}
	}
	if got, want := fmt.Sprint(pins()), "[]"; got != want {
		t.Errorf("pins after the release: got %s, want %s", got, want)
	}
}
