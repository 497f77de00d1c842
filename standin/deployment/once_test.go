package deployment_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/service"
)

// The places of the two plain services in the deployment's order of limpets.
var serviceLimpets = []int{2, 5}

// TestOnceTable breaks a non-idempotent call at each point. The caller must be
// told the truth, and the call must never run twice, however often and through
// whichever halls it is repeated.
func TestOnceTable(t *testing.T) {
	cases := []struct {
		name    string
		before  func(w *world, program *caller.Program)
		after   func(w *world)
		told    string // Outcome of the first answer, "ran" for success.
		runs    int    // Runs after the first answer.
		settled bool   // A careful caller gets the call done in the end.
	}{
		{"no fault", nil, nil, "ran", 1, true},
		{"the service refuses connections", cutServices, healServices, "notRun", 0, true},
		{"the limpets can't be reached", cutLimpets, healLimpets, "notRun", 0, true},
		{"reset before the first byte", faulty(service.FaultResetBeforeRun), faultless, "unknown", 0, false},
		{"reset after the request", faulty(service.FaultResetAfterRun), faultless, "unknown", 1, false},
		{"reset in the answer", faulty(service.FaultTruncate), faultless, "ran", 1, false},
		{"an answer to another request", faulty(service.FaultCross), faultless, "unknown", 1, false},
		{"a slow service", faulty(service.FaultHang), faultless, "ran", 1, true},
		{"the limpets die in the call", dieIn(50*time.Millisecond, killServiceLimpets), restartLimpets, "unknown", 1, false},
		{"the limpets were replaced before", replaceLimpets, nil, "notRun", 0, true},
		{"the limpets leave before", leaveLimpets, restartLimpets, "notRun", 0, true},
		{"a third server joins before", joinLimpet, nil, "ran", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				program := w.open(w.client("kovacs"), 0)
				w.turn(program, "plan answer=8", false)
				if c.before != nil {
					c.before(w, program)
				}
				body := `{"pallets":7}`
				_, err := program.ToolOnce(w.ctx, deployment.ServiceName, "/book", []byte(body))
				if got := outcomeOf(err); got != c.told {
					t.Errorf("told: got %s (%v), want %s", got, err, c.told)
				}
				if got := w.runs(body); got != c.runs {
					t.Errorf("runs after the first answer: got %d, want %d", got, c.runs)
				}
				if c.after != nil {
					c.after(w)
				}
				w.insist(program, body, c.settled)
			})
		})
	}
}

// insist sends the call again as a careful caller would and checks the end.
func (w *world) insist(program *caller.Program, body string, settled bool) {
	w.t.Helper()
	if settled && w.runs(body) == 0 {
		if _, err := program.Tool(w.ctx, deployment.ServiceName, "/book", []byte(body)); err != nil {
			w.t.Errorf("sent again: got error %v, want an answer", err)
		}
		if got, want := w.runs(body), 1; got != want {
			w.t.Errorf("runs in the end: got %d, want %d", got, want)
		}
	}
	for range 3 {
		time.Sleep(time.Second)
		_, err := program.ToolOnce(w.ctx, deployment.ServiceName, "/book", []byte(fmt.Sprintf(`{"other":%q}`, program.Ticket())))
		var answered *caller.Error
		if errors.As(err, &answered) && answered.Code == "programEnded" {
			w.t.Errorf("the program can't go on: %v", err)
		}
	}
	if got, most := w.runs(body), 1; got > most {
		w.t.Errorf("runs in the end: got %d, want at most %d", got, most)
	}
}

// TestOnceRepeatedThroughOtherHalls repeats one call with the same ticket
// through every hall, at the same time and after.
func TestOnceRepeatedThroughOtherHalls(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		w.turn(program, "plan answer=8", false)
		for _, running := range w.Services() {
			running.SetDelay(300 * time.Millisecond)
		}
		header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
		body := `{"invoice":1}`
		results := make(chan error, 16)
		for round := range 4 {
			for _, address := range w.Addresses() {
				client := w.clientAt("kovacs", func() string { return address })
				go func() {
					time.Sleep(time.Duration(round) * 200 * time.Millisecond)
					_, _, err := post(w.ctx, client, "/v1/services/orders/book", header, body)
					results <- err
				}()
			}
		}
		for range 16 {
			if err := <-results; err != nil && outcomeOf(err) != "notRun" {
				t.Errorf("repeated: got %v, want the one answer", err)
			}
		}
		if got, want := w.runs(body), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
}

// TestOnceWhenAHallDies kills each hall at several moments of a call.
func TestOnceWhenAHallDies(t *testing.T) {
	for dead := range 4 {
		for _, moment := range []time.Duration{2, 5, 8, 50, 205, 210} {
			t.Run(fmt.Sprintf("hall-%d after %d ms", dead+1, moment), func(t *testing.T) {
				inWorld(t, nil, func(w *world) {
					program := w.open(w.client("kovacs"), 0)
					w.turn(program, "plan answer=8", false)
					for _, running := range w.Services() {
						running.SetDelay(200 * time.Millisecond)
					}
					body := `{"pallets":1}`
					time.AfterFunc(moment*time.Millisecond, func() { w.KillHall(dead) })
					_, err := program.Tool(w.ctx, deployment.ServiceName, "/book", []byte(body))
					if err != nil {
						t.Errorf("got error %v, want the answer in the end", err)
					}
					if got, want := w.runs(body), 1; got != want {
						t.Errorf("runs: got %d, want %d", got, want)
					}
				})
			})
		}
	}
}

// TestStandInKeepsRefusalsTrue sends a call through a hall that can't reach the
// program's home and then to the home, which can't reach the servers. Neither
// may say that the call did not run if the other had it run.
func TestStandInKeepsRefusalsTrue(t *testing.T) {
	for first := range 4 {
		t.Run(fmt.Sprintf("home hall-%d", first+1), func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				home := fmt.Sprintf("hall-%d", first+1)
				program := w.open(w.at("kovacs", first), 0) // A program opened at a hall lives there.
				if _, err := program.TurnOnce(w.ctx, w.Model(), "plan answer=5", false); err != nil {
					t.Fatal(err)
				}
				for other := range 4 {
					if other != first {
						w.network.Cut(home, fmt.Sprintf("hall-%d", other+1))
					}
				}
				for _, index := range serviceLimpets {
					w.network.Cut(home, w.LimpetName(index))
				}
				body := `{"stand":"in"}`
				header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
				_, _, there := post(w.ctx, w.at("kovacs", (first+1)%4), "/v1/services/orders/book", header, body)
				_, _, here := post(w.ctx, w.at("kovacs", first), "/v1/services/orders/book", header, body)
				for name, err := range map[string]error{"stand-in": there, "home": here} {
					if outcomeOf(err) == "notRun" && w.runs(body) > 0 {
						t.Errorf("%s: told notRun (%v), but the call ran", name, err)
					}
				}
			})
		})
	}
}

// TestKeyedCalls repeats calls outside a program under an idempotency key.
func TestKeyedCalls(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client := w.client("kovacs")
		header := http.Header{"Idempotency-Key": []string{"order-7"}}
		for number := range 8 {
			_, answer, err := post(w.ctx, client, "/v1/services/orders/book", header, `{"k":1}`)
			if err != nil {
				t.Fatalf("repetition %d: %v", number, err)
			}
			if got, want := string(answer), `{"runs":1,"path":"/book"}`; got != want {
				t.Errorf("repetition %d: got %s, want %s", number, got, want)
			}
		}
		if got, want := w.runs(`{"k":1}`), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
		_, _, err := post(w.ctx, client, "/v1/services/orders/book", header, `{"k":2}`)
		checkError(t, "the same key with another body", err, "conflict", "notRun")
		other := w.client("falares")
		if _, _, err := post(w.ctx, other, "/v1/services/orders/book", header, `{"k":3}`); err != nil {
			t.Errorf("the same key of another workspace: got %v, want its own answer", err)
		}
		for _, index := range serviceLimpets {
			w.KillLimpet(index)
		}
		if err := w.RestartLimpet(serviceLimpets[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		_, _, err = post(w.ctx, client, "/v1/services/orders/book", header, `{"k":1}`)
		if got := outcomeOf(err); got != "unknown" {
			t.Errorf("after the servers' records are gone: got %s (%v), want unknown", got, err)
		}
		if got, want := w.runs(`{"k":1}`), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
}

// TestUnkeyedCallsAreNew runs each request without a key once, on a server
// that takes it.
func TestUnkeyedCallsAreNew(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client := w.client("kovacs")
		w.KillLimpet(serviceLimpets[0])
		for number := range 20 {
			body := fmt.Sprintf(`{"n":%d}`, number)
			if _, _, err := post(w.ctx, client, "/v1/services/orders/book", nil, body); err != nil {
				t.Errorf("request %d: got error %v, want an answer from the server that is left", number, err)
			}
			if got, want := w.runs(body), 1; got != want {
				t.Errorf("request %d: got %d runs, want %d", number, got, want)
			}
		}
	})
}

func outcomeOf(err error) string {
	if err == nil {
		return "ran"
	}
	var answered *caller.Error
	if errors.As(err, &answered) {
		return answered.Outcome
	}
	return "unknown"
}

func faulty(fault service.Fault) func(w *world, program *caller.Program) {
	return func(w *world, _ *caller.Program) {
		for _, running := range w.Services() {
			running.SetFault(fault)
		}
	}
}

func faultless(w *world) { faulty(service.FaultNone)(w, nil) }

func eachService(apply func(limpet, service string), w *world) {
	for number, index := range serviceLimpets {
		apply(w.LimpetName(index), fmt.Sprintf("service-%d", number+1))
	}
}

func cutServices(w *world, _ *caller.Program) { eachService(w.network.Cut, w) }
func healServices(w *world)                   { eachService(w.network.Heal, w) }

func eachHall(apply func(hall, limpet string), w *world) {
	for number := range w.Halls() {
		for _, index := range serviceLimpets {
			apply(fmt.Sprintf("hall-%d", number+1), w.LimpetName(index))
		}
	}
}

func cutLimpets(w *world, _ *caller.Program) { eachHall(w.network.Cut, w) }

func healLimpets(w *world) {
	eachHall(w.network.Heal, w)
	time.Sleep(5 * time.Second)
}

func dieIn(after time.Duration, kill func(w *world)) func(w *world, program *caller.Program) {
	return func(w *world, _ *caller.Program) {
		for _, running := range w.Services() {
			running.SetDelay(200 * time.Millisecond)
		}
		time.AfterFunc(after, func() { kill(w) })
	}
}

func killServiceLimpets(w *world) {
	for _, index := range serviceLimpets {
		w.KillLimpet(index)
	}
}

func restartLimpets(w *world) {
	for _, index := range serviceLimpets {
		if err := w.RestartLimpet(index); err != nil {
			w.t.Fatal(err)
		}
	}
	time.Sleep(10 * time.Second)
}

func replaceLimpets(w *world, _ *caller.Program) {
	killServiceLimpets(w)
	restartLimpets(w)
}

func leaveLimpets(w *world, _ *caller.Program) {
	for _, index := range serviceLimpets {
		if err := w.StopLimpet(w.ctx, index); err != nil {
			w.t.Fatal(err)
		}
	}
}

func joinLimpet(w *world, _ *caller.Program) {
	if err := w.AddService("hu-central-a"); err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
}
