package deployment_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/table"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/engine"
)

// outBound is after how long a server that is out may get no new work.
const outBound = 5 * time.Second

// TestSilentConnections freezes open connections for good, inside a stream and
// while idle. The call must be found again, without running a second time.
func TestSilentConnections(t *testing.T) {
	ends := map[string][2]string{}
	for hall := range 4 {
		for server := range 6 {
			ends[fmt.Sprintf("hall-%d and server-%d", hall+1, server+1)] = [2]string{fmt.Sprintf("hall-%d", hall+1), fmt.Sprintf("server-%d", server+1)}
		}
		for other := range hall {
			ends[fmt.Sprintf("hall-%d and hall-%d", hall+1, other+1)] = [2]string{fmt.Sprintf("hall-%d", hall+1), fmt.Sprintf("hall-%d", other+1)}
		}
		ends[fmt.Sprintf("hall-%d and store", hall+1)] = [2]string{fmt.Sprintf("hall-%d", hall+1), "store"}
	}
	for name, pair := range ends {
		t.Run("inside a turn between "+name, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				program := w.open(w.client("kovacs"), 0)
				w.turn(program, "before answer=8", false)
				time.AfterFunc(100*time.Millisecond, func() { w.network.Freeze(pair[0], pair[1]) })
				began := time.Now()
				w.turn(program, "long answer=300", true)
				if got, most := time.Since(began), 12*time.Second; got > most {
					t.Errorf("turn took %s, want at most %s", got, most)
				}
				w.network.Freeze(pair[0], pair[1])
				w.turn(program, "after answer=8", false)
			})
		})
	}
	t.Run("inside a call that may not be repeated", func(t *testing.T) {
		inWorld(t, nil, func(w *world) {
			program := w.open(w.client("kovacs"), 0)
			for _, running := range w.Services() {
				running.SetDelay(4 * time.Second)
			}
			time.AfterFunc(100*time.Millisecond, func() { eachHall(func(a, b string) { w.network.Freeze(a, b) }, w) })
			body := `{"once":1}`
			if _, err := program.ToolOnce(w.ctx, deployment.ServiceName, "/book", []byte(body)); err != nil {
				t.Errorf("got %v, want the answer after the stream was resumed", err)
			}
			if got, want := w.runs(body), 1; got != want {
				t.Errorf("runs: got %d, want %d", got, want)
			}
		})
	})
}

// TestEngineAnswersThatAreNotWhole never pass for answers.
func TestEngineAnswersThatAreNotWhole(t *testing.T) {
	for _, fault := range []engine.Fault{engine.FaultTruncate, engine.FaultCross} {
		t.Run(string(fault), func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				program := w.open(w.client("kovacs"), 0)
				for _, running := range w.Engines() {
					running.SetFault(fault)
				}
				turn, err := program.TurnOnce(w.ctx, w.Model(), "question answer=20", false)
				if err == nil {
					t.Errorf("got the answer %q, want an error", turn.Content())
				}
				if _, err := program.TurnOnce(w.ctx, w.Model(), "question answer=20", true); err == nil {
					t.Errorf("streamed: got a whole answer, want an error")
				}
				for _, running := range w.Engines()[1:] {
					running.SetFault(engine.FaultNone)
				}
				w.turn(program, "question answer=20", false)
			})
		})
	}
}

func TestEngineDiesAndHangs(t *testing.T) {
	t.Run("dies", func(t *testing.T) {
		inWorld(t, nil, func(w *world) {
			program := w.open(w.client("kovacs"), 0)
			w.turn(program, "before answer=8", false)
			time.AfterFunc(50*time.Millisecond, func() {
				for _, running := range w.Engines()[:3] {
					running.Die()
				}
			})
			w.turn(program, "during answer=100", false)
			w.turn(program, "after answer=8", true)
		})
	})
	t.Run("limpet dies", func(t *testing.T) {
		inWorld(t, nil, func(w *world) {
			program := w.open(w.client("kovacs"), 0)
			w.turn(program, "before answer=8", false)
			time.AfterFunc(50*time.Millisecond, func() {
				for _, index := range []int{0, 1, 3} {
					w.KillLimpet(index)
				}
			})
			w.turn(program, "during answer=100", false)
			w.turn(program, "after answer=8", true)
		})
	})
}

// TestPoisonRequest sends a request that kills each engine that runs it, again
// and again, while others work.
func TestPoisonRequest(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		var wait sync.WaitGroup
		for number := range 4 {
			client := w.client("falares")
			wait.Go(func() {
				program := w.open(client, 0)
				for range 10 {
					w.turn(program, fmt.Sprintf("innocent-%d answer=60", number), false)
				}
			})
		}
		client := w.client("kovacs")
		blocked := false
		for range 20 {
			program := w.open(client, 0)
			_, err := program.TurnOnce(w.ctx, w.Model(), "poison answer=10", false)
			if err == nil {
				t.Fatal("the poison got an answer")
			}
			blocked = blocked || caller.IsCode(err, "suspectBlocked")
			time.Sleep(200 * time.Millisecond)
		}
		wait.Wait()
		deaths := int64(0)
		for _, running := range w.Engines() {
			deaths += running.Stats().Deaths
		}
		if got, most := deaths, int64(2); got > most {
			t.Errorf("engines lost: got %d, want at most %d", got, most)
		}
		if !blocked {
			t.Errorf("the request was never refused as suspect")
		}
	})
}

// TestColdEngineGetsNoMoreThanItBears loads engines from all halls at once
// while they start, restart, and turn cold unannounced.
func TestColdEngineGetsNoMoreThanItBears(t *testing.T) {
	cases := []struct {
		name string
		turn func(w *world)
	}{
		{"at the start", func(*world) {}},
		{"after a restart", func(w *world) {
			for _, running := range w.Engines() {
				running.Die()
			}
		}},
		{"after the limpets were replaced with their engines", func(w *world) {
			for index, running := range w.Engines() {
				limpet := []int{0, 1, 3, 4}[index]
				w.KillLimpet(limpet)
				running.Die()
				if err := w.RestartLimpet(limpet); err != nil {
					w.t.Fatal(err)
				}
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				var wait sync.WaitGroup
				for number := range 40 {
					client := w.client("kovacs")
					wait.Go(func() {
						for turn := range 5 {
							program := w.open(client, 0)
							// Equal texts would be one suspect when their engines die.
							text := fmt.Sprintf("load %d %d answer=40", number, turn)
							_, _ = program.Turn(w.ctx, w.Model(), text, false)
						}
					})
				}
				time.Sleep(300 * time.Millisecond)
				c.turn(w)
				wait.Wait()
				for index, running := range w.Engines() {
					stats := running.Stats()
					if stats.OverColdBound > 0 {
						t.Errorf("engine-%d: got %d requests over what it bears when cold, want 0", index+1, stats.OverColdBound)
					}
					if got, least := stats.MostRunning, int64(3); got < least {
						t.Errorf("engine-%d: got at most %d requests at once, want its window to open", index+1, got)
					}
				}
			})
		})
	}
}

// TestUnannouncedColdness makes engines cold under load without a restart and
// counts the new requests beyond what they then bear.
func TestUnannouncedColdness(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		var wait sync.WaitGroup
		until := time.Now().Add(6 * time.Second)
		for range 40 {
			client := w.client("kovacs")
			wait.Go(func() {
				for time.Now().Before(until) {
					_, _ = w.open(client, 0).Turn(w.ctx, w.Model(), "load answer=40", false)
				}
			})
		}
		time.Sleep(3 * time.Second)
		for _, running := range w.Engines() {
			running.TurnCold()
		}
		wait.Wait()
		for index, running := range w.Engines() {
			if got := running.Stats().OverColdBound; got > 0 {
				t.Errorf("engine-%d: got %d requests over what it bears when cold, want 0", index+1, got)
			}
		}
	})
}

// TestZoneAndServerOutAndBack counts new work on servers that are out.
func TestZoneAndServerOutAndBack(t *testing.T) {
	cases := []struct {
		name  string
		out   func(w *world)
		back  func(w *world)
		first int // The engines from here up to but without last are out.
		last  int
	}{
		{
			"zone", func(w *world) { w.change(table.NewSetZone("hu-central-a", true)) },
			func(w *world) { w.change(table.NewSetZone("hu-central-a", false)) }, 0, 2,
		},
		{
			"server", func(w *world) { w.change(table.NewSetServer("server-2", true)) },
			func(w *world) { w.change(table.NewSetServer("server-2", false)) }, 1, 2,
		},
		{
			"host leaves", func(w *world) { w.HostLeaves(1, "hu-central-a") },
			func(w *world) {
				w.HostList().Set(platform.Host{Name: "server-2", Zone: "hu-central-a", State: platform.HostLive})
			}, 1, 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, slowEngines, func(w *world) {
				stop := make(chan struct{})
				var wait sync.WaitGroup
				for range 4 {
					client := w.client("kovacs")
					wait.Go(func() { w.keepBusy(client, stop) })
				}
				time.Sleep(2 * time.Second)
				c.out(w)
				time.Sleep(outBound)
				before := w.requests(c.first, c.last)
				time.Sleep(10 * time.Second)
				if got := w.requests(c.first, c.last) - before; got > 0 {
					t.Errorf("out: got %d new requests, want 0", got)
				}
				c.back(w)
				if !w.eventually(2*time.Minute, func() bool { return w.requests(c.first, c.last) > before }) {
					t.Errorf("back: got no new requests, want some")
				}
				close(stop)
				wait.Wait()
			})
		})
	}
}

// slowEngines keeps the number of events of a long test down.
func slowEngines(options *deployment.Options) {
	options.Engine.StepBase = 20 * time.Millisecond
}

// keepBusy runs programs until stop is closed; each must end whole.
func (w *world) keepBusy(client *caller.Client, stop <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		default:
		}
		program := w.open(client, 0)
		for range 4 {
			w.turn(program, "work answer=30", number%2 == 0)
		}
		if _, err := program.Tool(w.ctx, deployment.ServiceName, "/book", []byte(`{"program":"`+program.ID()+`"}`)); err != nil {
			w.t.Errorf("tool: %v", err)
		}
		if got, want := w.runs(`{"program":"`+program.ID()+`"}`), 1; got != want {
			w.t.Errorf("tool: got %d runs, want %d", got, want)
		}
		if err := program.End(w.ctx); err != nil && !strings.Contains(err.Error(), "noServer") {
			w.t.Errorf("end: %v", err)
		}
	}
}

// keepStreaming runs programs of one turn that takes longer than any delay of a
// stopping process.
func (w *world) keepStreaming(client *caller.Client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			w.turn(w.open(client, 0), "long answer=150", true)
		}
	}
}

// eventually waits until the condition holds and reports whether it did. The
// bound is far beyond what random choices need.
func (w *world) eventually(bound time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < bound; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (w *world) requests(first, last int) int64 {
	total := int64(0)
	for _, running := range w.Engines()[first:last] {
		total += running.Stats().Requests
	}
	return total
}

// TestRollingRestart replaces every process under load. No request may fail.
func TestRollingRestart(t *testing.T) {
	inWorld(t, slowEngines, func(w *world) {
		stop := make(chan struct{})
		var wait sync.WaitGroup
		for range 4 {
			client := w.readyClient("kovacs")
			wait.Go(func() { w.keepBusy(client, stop) })
		}
		for range 8 {
			long := w.readyClient("falares")
			wait.Go(func() { w.keepStreaming(long, stop) })
		}
		time.Sleep(2 * time.Second)
		zones := []string{"hu-central-a", "hu-central-a", "hu-central-b", "hu-central-b"}
		for index, zone := range zones {
			if err := w.StopHall(w.ctx, index); err != nil {
				t.Errorf("stop hall-%d: %v", index+1, err)
			}
			if err := w.StartHall(index, zone); err != nil {
				t.Fatal(err)
			}
			if err := w.WaitReady(w.ctx); err != nil {
				t.Fatal(err)
			}
		}
		for index := range 6 {
			if err := w.StopLimpet(w.ctx, index); err != nil {
				t.Errorf("stop server-%d: %v", index+1, err)
			}
			if err := w.RestartLimpet(index); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
		}
		close(stop)
		wait.Wait()
		if got := w.retries.Load(); got > 0 {
			t.Errorf("requests that failed and were sent again: got %d, want 0", got)
		}
	})
}
