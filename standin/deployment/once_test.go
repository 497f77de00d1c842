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

// serviceLimpets are the indexes of the limpets of the plain service.
var serviceLimpets = []int{2, 5}

// TestAtMostOnceUnderFaults injects a fault at each point of a non-idempotent
// call. The reported outcome must be correct, and the call must never run twice,
// however often it is repeated and through whichever halls.
func TestAtMostOnceUnderFaults(t *testing.T) {
	cases := []struct {
		name      string
		inject    func(env *testEnv, program *caller.Program)
		recover   func(env *testEnv)
		outcome   string // Outcome of the first response; "ran" for success.
		runCount  int    // Runs after the first response.
		completes bool   // A retry by the caller completes the call.
	}{
		{"no fault", nil, nil, "ran", 1, true},
		{"service refuses connections", disconnectServices, reconnectServices, "notRun", 0, true},
		{"limpets are unreachable", disconnectLimpets, reconnectLimpets, "notRun", 0, true},
		{"connection reset before the first byte", setServiceFault(service.FaultResetBeforeRun), clearServiceFaults, "unknown", 0, false},
		{"connection reset after the request", setServiceFault(service.FaultResetAfterRun), clearServiceFaults, "unknown", 1, false},
		{"connection reset during the response", setServiceFault(service.FaultTruncate), clearServiceFaults, "ran", 1, false},
		{"response to another request", setServiceFault(service.FaultWrongRequestID), clearServiceFaults, "unknown", 1, false},
		{"slow service", setServiceFault(service.FaultHang), clearServiceFaults, "ran", 1, true},
		{"limpets crash during the call", killDuringCall(50*time.Millisecond, killServiceLimpets), restartLimpets, "unknown", 1, false},
		{"limpets were replaced before", replaceLimpets, nil, "notRun", 0, true},
		{"limpets were stopped before", stopLimpets, restartLimpets, "notRun", 0, true},
		{"third server was added before", addServiceLimpet, nil, "ran", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				program := env.openProgram(env.client("kovacs"), 0)
				env.runTurn(program, "plan answer=8", false)
				if c.inject != nil {
					c.inject(env, program)
				}
				body := `{"pallets":7}`
				_, err := program.ToolOnce(env.ctx, deployment.ServiceName, "/book", []byte(body))
				if got := outcomeOf(err); got != c.outcome {
					t.Errorf("reported outcome: got %s (%v), want %s", got, err, c.outcome)
				}
				if got := env.runCount(body); got != c.runCount {
					t.Errorf("runs after the first response: got %d, want %d", got, c.runCount)
				}
				if c.recover != nil {
					c.recover(env)
				}
				env.checkNoSecondRun(program, body, c.completes)
			})
		})
	}
}

// checkNoSecondRun retries the call if it has not run and is expected to
// complete. It then checks that the program can continue and that the call ran at
// most once.
func (env *testEnv) checkNoSecondRun(program *caller.Program, body string, completes bool) {
	env.t.Helper()
	if completes && env.runCount(body) == 0 {
		if _, err := program.Tool(env.ctx, deployment.ServiceName, "/book", []byte(body)); err != nil {
			env.t.Errorf("retry: got error %v, want none", err)
		}
		if got, want := env.runCount(body), 1; got != want {
			env.t.Errorf("final runs: got %d, want %d", got, want)
		}
	}
	for range 3 {
		time.Sleep(time.Second)
		_, err := program.ToolOnce(env.ctx, deployment.ServiceName, "/book", []byte(fmt.Sprintf(`{"other":%q}`, program.Ticket())))
		var response *caller.Error
		if errors.As(err, &response) && response.Code == "programEnded" {
			env.t.Errorf("the program can't continue: %v", err)
		}
	}
	if got, limit := env.runCount(body), 1; got > limit {
		env.t.Errorf("final runs: got %d, want at most %d", got, limit)
	}
}

// TestAtMostOnceWhenRepeatedThroughOtherHalls repeats one call with the same
// ticket through every hall, during the first call and after it.
func TestAtMostOnceWhenRepeatedThroughOtherHalls(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		env.runTurn(program, "plan answer=8", false)
		for _, server := range env.Services() {
			server.SetDelay(300 * time.Millisecond)
		}
		header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
		body := `{"invoice":1}`
		results := make(chan error, 16)
		for round := range 4 {
			for _, address := range env.Addresses() {
				client := env.clientWithPicker("kovacs", func() string { return address })
				go func() {
					time.Sleep(time.Duration(round) * 200 * time.Millisecond)
					_, _, err := post(env.ctx, client, "/v1/services/orders/book", header, body)
					results <- err
				}()
			}
		}
		for range 16 {
			if err := <-results; err != nil && outcomeOf(err) != "notRun" {
				t.Errorf("repeated: got error %v, want the response of the first call or outcome notRun", err)
			}
		}
		if got, want := env.runCount(body), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
}

// TestAtMostOnceWhenHallCrashes kills each hall at several times during a call.
func TestAtMostOnceWhenHallCrashes(t *testing.T) {
	for hallIndex := range 4 {
		for _, delay := range []time.Duration{2, 5, 8, 50, 205, 210} {
			t.Run(fmt.Sprintf("hall-%d after %d ms", hallIndex+1, delay), func(t *testing.T) {
				runInTestEnv(t, nil, func(env *testEnv) {
					program := env.openProgram(env.client("kovacs"), 0)
					env.runTurn(program, "plan answer=8", false)
					for _, server := range env.Services() {
						server.SetDelay(200 * time.Millisecond)
					}
					body := `{"pallets":1}`
					time.AfterFunc(delay*time.Millisecond, func() { env.KillHall(hallIndex) })
					_, err := program.Tool(env.ctx, deployment.ServiceName, "/book", []byte(body))
					if err != nil {
						t.Errorf("got error %v, want the response after retries", err)
					}
					if got, want := env.runCount(body), 1; got != want {
						t.Errorf("runs: got %d, want %d", got, want)
					}
				})
			})
		}
	}
}

// TestNotRunIsTrueWhenHomeIsUnreachable sends a call through a hall that can't
// reach the program's home and stands in for it, and then to the home, which
// can't reach the servers. Neither may report notRun if the call ran through the
// other.
func TestNotRunIsTrueWhenHomeIsUnreachable(t *testing.T) {
	for homeIndex := range 4 {
		t.Run(fmt.Sprintf("home hall-%d", homeIndex+1), func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				home := fmt.Sprintf("hall-%d", homeIndex+1)
				program := env.openProgram(env.clientOfHall("kovacs", homeIndex), 0) // The hall that opens a program is its home.
				if _, err := program.TurnOnce(env.ctx, env.Model(), "plan answer=5", false); err != nil {
					t.Fatal(err)
				}
				for other := range 4 {
					if other != homeIndex {
						env.network.Cut(home, fmt.Sprintf("hall-%d", other+1))
					}
				}
				for _, index := range serviceLimpets {
					env.network.Cut(home, env.LimpetName(index))
				}
				body := `{"stand":"in"}`
				header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
				_, _, otherErr := post(env.ctx, env.clientOfHall("kovacs", (homeIndex+1)%4), "/v1/services/orders/book", header, body)
				_, _, homeErr := post(env.ctx, env.clientOfHall("kovacs", homeIndex), "/v1/services/orders/book", header, body)
				for name, err := range map[string]error{"stand-in": otherErr, "home": homeErr} {
					if outcomeOf(err) == "notRun" && env.runCount(body) > 0 {
						t.Errorf("%s: reported notRun (%v), but the call ran", name, err)
					}
				}
			})
		})
	}
}

// TestIdempotencyKeys repeats calls outside a program with an idempotency key.
func TestIdempotencyKeys(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client := env.client("kovacs")
		header := http.Header{"Idempotency-Key": []string{"order-7"}}
		for number := range 8 {
			_, answer, err := post(env.ctx, client, "/v1/services/orders/book", header, `{"k":1}`)
			if err != nil {
				t.Fatalf("repetition %d: %v", number, err)
			}
			if got, want := string(answer), `{"runs":1,"path":"/book"}`; got != want {
				t.Errorf("repetition %d: got %s, want %s", number, got, want)
			}
		}
		if got, want := env.runCount(`{"k":1}`), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
		_, _, err := post(env.ctx, client, "/v1/services/orders/book", header, `{"k":2}`)
		checkError(t, "same key with a different body", err, "conflict", "notRun")
		other := env.client("falares")
		if _, _, err := post(env.ctx, other, "/v1/services/orders/book", header, `{"k":3}`); err != nil {
			t.Errorf("same key in another workspace: got error %v, want its own response", err)
		}
		for _, index := range serviceLimpets {
			env.KillLimpet(index)
		}
		if err := env.RestartLimpet(serviceLimpets[0]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		_, _, err = post(env.ctx, client, "/v1/services/orders/book", header, `{"k":1}`)
		if got := outcomeOf(err); got != "unknown" {
			t.Errorf("after the loss of the limpets' records: got outcome %s (%v), want unknown", got, err)
		}
		if got, want := env.runCount(`{"k":1}`), 1; got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
	})
}

// TestCallsWithoutIdempotencyKeyRunEach checks that each request without an
// idempotency key runs once, on the server that is left after a crash.
func TestCallsWithoutIdempotencyKeyRunEach(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client := env.client("kovacs")
		env.KillLimpet(serviceLimpets[0])
		for number := range 20 {
			body := fmt.Sprintf(`{"n":%d}`, number)
			if _, _, err := post(env.ctx, client, "/v1/services/orders/book", nil, body); err != nil {
				t.Errorf("request %d: got error %v, want a response from the remaining server", number, err)
			}
			if got, want := env.runCount(body), 1; got != want {
				t.Errorf("request %d: got %d runs, want %d", number, got, want)
			}
		}
	})
}

func outcomeOf(err error) string {
	if err == nil {
		return "ran"
	}
	var response *caller.Error
	if errors.As(err, &response) {
		return response.Outcome
	}
	return "unknown"
}

func setServiceFault(fault service.Fault) func(env *testEnv, program *caller.Program) {
	return func(env *testEnv, _ *caller.Program) {
		for _, server := range env.Services() {
			server.SetFault(fault)
		}
	}
}

func clearServiceFaults(env *testEnv) { setServiceFault(service.FaultNone)(env, nil) }

func forEachServiceLink(applyToLink func(limpet, service string), env *testEnv) {
	for number, index := range serviceLimpets {
		applyToLink(env.LimpetName(index), fmt.Sprintf("service-%d", number+1))
	}
}

func disconnectServices(env *testEnv, _ *caller.Program) { forEachServiceLink(env.network.Cut, env) }

func reconnectServices(env *testEnv) { forEachServiceLink(env.network.Heal, env) }

func forEachHallLink(applyToLink func(hall, limpet string), env *testEnv) {
	for number := range env.Halls() {
		for _, index := range serviceLimpets {
			applyToLink(fmt.Sprintf("hall-%d", number+1), env.LimpetName(index))
		}
	}
}

func disconnectLimpets(env *testEnv, _ *caller.Program) { forEachHallLink(env.network.Cut, env) }

func reconnectLimpets(env *testEnv) {
	forEachHallLink(env.network.Heal, env)
	time.Sleep(5 * time.Second)
}

func killDuringCall(after time.Duration, kill func(env *testEnv)) func(env *testEnv, program *caller.Program) {
	return func(env *testEnv, _ *caller.Program) {
		for _, server := range env.Services() {
			server.SetDelay(200 * time.Millisecond)
		}
		time.AfterFunc(after, func() { kill(env) })
	}
}

func killServiceLimpets(env *testEnv) {
	for _, index := range serviceLimpets {
		env.KillLimpet(index)
	}
}

func restartLimpets(env *testEnv) {
	for _, index := range serviceLimpets {
		if err := env.RestartLimpet(index); err != nil {
			env.t.Fatal(err)
		}
	}
	time.Sleep(10 * time.Second)
}

func replaceLimpets(env *testEnv, _ *caller.Program) {
	killServiceLimpets(env)
	restartLimpets(env)
}

func stopLimpets(env *testEnv, _ *caller.Program) {
	for _, index := range serviceLimpets {
		if err := env.StopLimpet(env.ctx, index); err != nil {
			env.t.Fatal(err)
		}
	}
}

func addServiceLimpet(env *testEnv, _ *caller.Program) {
	if err := env.AddService("hu-central-a"); err != nil {
		env.t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
}
