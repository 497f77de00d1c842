package deployment_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"limpethall.dev/standin/caller"
)

// turnInput is a turn sent with the ticket that was issued after ticketTurn turns.
type turnInput struct {
	ticketTurn int
	content    string
}

// turnOutput is the result reported to the caller of a turn.
type turnOutput struct {
	outcome string // "ran", "notRun" or "unknown".
	answer  string
}

// turnModel is the sequential specification of one program: with the ticket that
// was issued after n turns, exactly one request becomes turn n+1. Repeating this
// request returns the same response; any other request is refused. The state is
// the list of finished turns.
var turnModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		finished := splitTurns(state.(string))
		in, out := input.(turnInput), output.(turnOutput)
		switch {
		case in.ticketTurn < len(finished):
			request, answer, _ := strings.Cut(finished[in.ticketTurn], "\x1f")
			if out.outcome == "ran" && (request != in.content || (answer != "" && answer != out.answer)) {
				return nil
			}
			return []any{state}
		case in.ticketTurn > len(finished):
			return nil // No ticket has been issued for unfinished turns.
		case out.outcome == "ran":
			return []any{joinTurns(append(finished, in.content+"\x1f"+out.answer))}
		case out.outcome == "unknown":
			return []any{state, joinTurns(append(finished, in.content+"\x1f"))}
		default:
			return []any{state}
		}
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

func splitTurns(state string) []string {
	if state == "" {
		return nil
	}
	return strings.Split(state, "|")
}

func joinTurns(finished []string) string { return strings.Join(finished, "|") }

// historyRecorder collects the history of concurrent operations.
type historyRecorder struct {
	mutex   sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *historyRecorder) add(input any, call time.Duration, output any, unknown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	end := time.Since(r.start)
	if unknown {
		end = 24 * time.Hour // The operation may take effect at any later time.
	}
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: input, Call: int64(call), Output: output, Return: int64(end)})
}

// String lists the history in the order in which the operations were added.
func (r *historyRecorder) String() string {
	var text strings.Builder
	for _, operation := range r.history {
		fmt.Fprintf(&text, "\n%10s to %10s %+v: %+v", time.Duration(operation.Call), time.Duration(operation.Return), operation.Input, operation.Output)
	}
	return text.String()
}

// TestTurnsAreLinearizable sends each turn several times concurrently, with equal
// and different requests, through all halls, while halls crash and restart.
func TestTurnsAreLinearizable(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		ticket := program.Ticket()
		recorder := &historyRecorder{start: time.Now()}
		stop := env.restartHallsInTurn(1700 * time.Millisecond)
		for ticketTurn := range 12 {
			tickets := make(chan string, 32)
			var wait sync.WaitGroup
			for sender := range 5 {
				wait.Go(func() {
					content := fmt.Sprintf("turn-%d-%d answer=%d", ticketTurn, sender%2, 10+sender%2)
					for range 6 {
						call := time.Since(recorder.start)
						got, next := env.sendTurnOnce(program.ID(), ticket, content)
						recorder.add(turnInput{ticketTurn: ticketTurn, content: content}, call, got, got.outcome == "unknown")
						if next != "" {
							tickets <- next
							return
						}
						time.Sleep(150 * time.Millisecond)
					}
				})
			}
			wait.Wait()
			close(tickets)
			next, found := <-tickets
			if !found {
				t.Fatalf("turn %d: no sender got a response", ticketTurn+1)
			}
			ticket = next
		}
		stop()
		if got, want := porcupine.CheckOperationsTimeout(turnModel.ToModel(), recorder.history, 0), porcupine.Ok; got != want {
			t.Errorf("history of %d operations: got %s, want %s:%s", len(recorder.history), got, want, recorder)
		}
	})
}

// restartHallsInTurn kills and restarts the halls one after another until stop is
// called.
func (env *testEnv) restartHallsInTurn(interval time.Duration) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	zones := []string{"hu-central-a", "hu-central-a", "hu-central-b", "hu-central-b"}
	go func() {
		defer close(stopped)
		for number := 0; ; number++ {
			select {
			case <-stopping:
				return
			case <-time.After(interval):
			}
			index := number % 4
			env.KillHall(index)
			time.Sleep(interval / 2)
			if err := env.StartHall(index, zones[index]); err != nil {
				env.t.Errorf("start hall-%d: %v", index+1, err)
			}
		}
	}()
	return func() { close(stopping); <-stopped }
}

// sendTurnOnce sends a turn without retries and returns its result and the
// ticket of the response.
func (env *testEnv) sendTurnOnce(program, ticket, content string) (turnOutput, string) {
	body := fmt.Sprintf(`{"model":"magnet","ticket":%q,"max_tokens":4096,"messages":[{"role":"user","content":%q}]}`, ticket, content)
	header, answer, err := post(env.ctx, env.client("kovacs"), "/v1/programs/"+program+"/turns", nil, body)
	if err != nil {
		return turnOutput{outcome: outcomeOf(err)}, ""
	}
	var decoded struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &decoded); err != nil || len(decoded.Choices) == 0 {
		return turnOutput{outcome: "unknown"}, ""
	}
	return turnOutput{outcome: "ran", answer: decoded.Choices[0].Message.Content}, header.Get("Limpethall-Ticket")
}

// callInput is a non-idempotent call. It is empty because a history contains only
// repetitions of one call with one ticket.
type callInput struct{}

type callOutput struct {
	outcome  string
	runCount int
	message  string
}

// callModel is the sequential specification of one such call with one ticket: it
// runs at most once, "notRun" may be reported only if it has not run, and after
// that it must never run.
var callModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"open"} },
	Step: func(state, _, output any) []any {
		out := output.(callOutput)
		switch {
		case out.outcome == "ran" && out.runCount == 1 && state != "refused":
			return []any{"ran"}
		case out.outcome == "notRun" && state != "ran":
			return []any{"refused"}
		case out.outcome == "unknown" && state == "open":
			return []any{"open", "ran", "refused"}
		case out.outcome == "unknown":
			return []any{state}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestCallsRunAtMostOnce sends non-idempotent calls several times concurrently
// through all halls, while halls and the limpets of the service crash and restart.
func TestCallsRunAtMostOnce(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		for _, server := range env.Services() {
			server.SetDelay(100 * time.Millisecond)
		}
		stop := env.restartHallsInTurn(2300 * time.Millisecond)
		for round := range 15 {
			program := env.openProgram(env.client("kovacs"), 0)
			if round%5 == 4 {
				env.KillLimpet(serviceLimpets[round%2])
				if err := env.RestartLimpet(serviceLimpets[round%2]); err != nil {
					t.Fatal(err)
				}
			}
			recorder := &historyRecorder{start: time.Now()}
			body := fmt.Sprintf(`{"round":%d}`, round)
			header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
			var wait sync.WaitGroup
			for range 4 {
				client := env.client("kovacs")
				wait.Go(func() {
					for range 3 {
						call := time.Since(recorder.start)
						out := sendCall(env, client, header, body)
						recorder.add(callInput{}, call, out, out.outcome == "unknown")
						time.Sleep(300 * time.Millisecond)
					}
				})
			}
			wait.Wait()
			if got, want := porcupine.CheckOperationsTimeout(callModel.ToModel(), recorder.history, 0), porcupine.Ok; got != want {
				t.Errorf("round %d: history of %d operations: got %s, want %s:%s", round, len(recorder.history), got, want, recorder)
			}
			if got, limit := env.runCount(body), 1; got > limit {
				t.Errorf("round %d: got %d runs, want at most %d", round, got, limit)
			}
		}
		stop()
	})
}

func sendCall(env *testEnv, client *caller.Client, header http.Header, body string) callOutput {
	_, answer, err := post(env.ctx, client, "/v1/services/orders/book", header, body)
	if err != nil {
		return callOutput{outcome: outcomeOf(err), message: err.Error()}
	}
	var decoded struct {
		Runs int `json:"runs"`
	}
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return callOutput{outcome: "unknown"}
	}
	return callOutput{outcome: "ran", runCount: decoded.Runs}
}
