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
	"limpethall.dev/standin/network"
)

func TestMain(m *testing.M) {
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}

func question(content string) *wire.ModelCall {
	message := fmt.Sprintf(`{"role":"user","content":%q}`, content)
	return &wire.ModelCall{Model: "magnet", Messages: [][]byte{[]byte(message)}, MaxTokens: 100, CacheKey: "program-1"}
}

// TestContract holds every engine plug-in to what limpets need.
func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, model client.Engine, standin *engine.Engine, wires *network.Network)
	}{
		{"whole answer", checkWhole},
		{"options of the caller go along", checkLimit},
		{"canceled", checkCancel},
		{"truncated", checkFault(engine.FaultTruncate)},
		{"answer to another request", checkFault(engine.FaultCross)},
		{"dies in the call", checkDeath},
		{"can't be reached", checkUnreachable},
		{"refuses", checkRefusal},
		{"memory is reported and released", checkMemory},
		{"coldness is told at once", checkColdness},
	}
	for _, name := range client.Engines.Names() {
		construct, err := client.Engines.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					wires := network.New(time.Millisecond)
					options := engine.DefaultOptions()
					options.Network = wires.Host("engine")
					options.Models = []string{"magnet"}
					standin, err := engine.New(options)
					if err != nil {
						t.Fatal(err)
					}
					standin.Start()
					model, err := construct(client.Options{Network: wires.Host("limpet"), Address: standin.Address()})
					if err != nil {
						t.Fatal(err)
					}
					c.run(t, model, standin, wires)
					standin.Close()
					time.Sleep(5 * time.Minute)
				})
			})
		}
	}
}

func collect(into *strings.Builder) func(*wire.Delta) {
	return func(delta *wire.Delta) { into.Write(delta.GetJson()) }
}

func checkWhole(t *testing.T, model client.Engine, _ *engine.Engine, _ *network.Network) {
	var text strings.Builder
	end, err := model.Generate(t.Context(), "call-1", question("answer=5"), collect(&text))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := end.GetUsage().GetCompletionTokens(), int64(5); got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := end.GetFinishReason(), "stop"; got != want {
		t.Errorf("finish reason: got %q, want %q", got, want)
	}
	if got, want := strings.Count(text.String(), `"content"`), 5; got != want {
		t.Errorf("deltas with content: got %d, want %d", got, want)
	}
}

func checkLimit(t *testing.T, model client.Engine, _ *engine.Engine, _ *network.Network) {
	call := question("answer=50")
	call.MaxTokens = 3
	call.Options = []byte(`{"temperature":0.5,"max_tokens":9000}`)
	end, err := model.Generate(t.Context(), "call-1", call, func(*wire.Delta) {})
	if err != nil || end.GetUsage().GetCompletionTokens() != 3 || end.GetFinishReason() != "length" {
		t.Errorf("got %v, %v, want 3 tokens cut at the limit", end, err)
	}
}

func checkCancel(t *testing.T, model client.Engine, standin *engine.Engine, _ *network.Network) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := model.Generate(ctx, "call-1", question("answer=90"), func(*wire.Delta) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the context's error", err)
	}
	time.Sleep(time.Second)
	if got, want := standin.Stats().Canceled, int64(1); got != want {
		t.Errorf("generations that the engine stopped: got %d, want %d", got, want)
	}
}

func checkFault(fault engine.Fault) func(t *testing.T, model client.Engine, standin *engine.Engine, wires *network.Network) {
	return func(t *testing.T, model client.Engine, standin *engine.Engine, _ *network.Network) {
		standin.SetFault(fault)
		var truncated *client.TruncatedError
		if _, err := model.Generate(t.Context(), "call-1", question("answer=9"), func(*wire.Delta) {}); !errors.As(err, &truncated) {
			t.Errorf("got %v, want a TruncatedError", err)
		}
	}
}

func checkDeath(t *testing.T, model client.Engine, standin *engine.Engine, _ *network.Network) {
	time.AfterFunc(50*time.Millisecond, standin.Die)
	var died *client.DiedError
	if _, err := model.Generate(t.Context(), "call-1", question("answer=90"), func(*wire.Delta) {}); !errors.As(err, &died) {
		t.Errorf("got %v, want a DiedError", err)
	}
	before, _ := model.Load(t.Context())
	time.Sleep(2 * time.Second)
	after, err := model.Load(t.Context())
	if err != nil || after.Started == before.Started {
		t.Errorf("report after the restart: got start %q, %v, want another one than %q", after.Started, err, before.Started)
	}
}

func checkUnreachable(t *testing.T, model client.Engine, _ *engine.Engine, wires *network.Network) {
	wires.Cut("limpet", "engine")
	var unreachable *client.UnreachableError
	if _, err := model.Generate(t.Context(), "call-1", question("answer=9"), func(*wire.Delta) {}); !errors.As(err, &unreachable) {
		t.Errorf("got %v, want an UnreachableError", err)
	}
	if _, err := model.Load(t.Context()); err == nil {
		t.Errorf("report of an engine that can't be reached: got no error, want one")
	}
}

func checkRefusal(t *testing.T, model client.Engine, _ *engine.Engine, _ *network.Network) {
	var refused *client.RefusedError
	if _, err := model.Generate(t.Context(), "call-1", &wire.ModelCall{Model: "magnet"}, func(*wire.Delta) {}); !errors.As(err, &refused) {
		t.Errorf("got %v, want a RefusedError", err)
	}
}

func checkColdness(t *testing.T, model client.Engine, standin *engine.Engine, _ *network.Network) {
	time.Sleep(2 * time.Second)
	if got, err := model.ColdFor(t.Context()); got != 0 || err != nil {
		t.Errorf("warm: got cold for %v, %v, want 0", got, err)
	}
	standin.TurnCold()
	if got, err := model.ColdFor(t.Context()); got <= 0 || got > time.Second || err != nil {
		t.Errorf("cold: got cold for %v, %v, want up to 1s", got, err)
	}
}

func checkMemory(t *testing.T, model client.Engine, _ *engine.Engine, _ *network.Network) {
	if _, err := model.Generate(t.Context(), "call-1", question("answer=5"), func(*wire.Delta) {}); err != nil {
		t.Fatal(err)
	}
	pins := func() []string {
		var report client.Load
		for range 2 { // A report may be as old as the one before.
			time.Sleep(time.Second)
			var err error
			if report, err = model.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		return report.Pins
	}
	if got, want := fmt.Sprint(pins()), "[program-1]"; got != want {
		t.Errorf("held: got %s, want %s", got, want)
	}
	for range 2 {
		if err := model.Release(t.Context(), "program-1"); err != nil {
			t.Errorf("release: got %v, want none, also the second time", err)
		}
	}
	if got, want := fmt.Sprint(pins()), "[]"; got != want {
		t.Errorf("held after the release: got %s, want %s", got, want)
	}
}
