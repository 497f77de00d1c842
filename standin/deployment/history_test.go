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

// turnInput is a turn sent with the ticket after a number of turns.
type turnInput struct {
	after   int
	content string
}

// turnOutput is what its caller was told.
type turnOutput struct {
	outcome string // "ran", "notRun" or "unknown".
	answer  string
}

// turns is the sequential meaning of one program: the ticket after n turns
// lets exactly one request become turn n+1; the same request gets the same
// answer again, any other is refused. State is the list of finished turns.
var turns = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		done := split(state.(string))
		in, out := input.(turnInput), output.(turnOutput)
		switch {
		case in.after < len(done):
			known, answer, _ := strings.Cut(done[in.after], "\x1f")
			if out.outcome == "ran" && (known != in.content || (answer != "" && answer != out.answer)) {
				return nil
			}
			return []any{state}
		case in.after > len(done):
			return nil // Nobody holds a ticket for turns that are not finished.
		case out.outcome == "ran":
			return []any{join(append(done, in.content+"\x1f"+out.answer))}
		case out.outcome == "unknown":
			return []any{state, join(append(done, in.content+"\x1f"))}
		default:
			return []any{state}
		}
	},
	Equal: func(a, b any) bool { return a.(string) == b.(string) },
}

func split(state string) []string {
	if state == "" {
		return nil
	}
	return strings.Split(state, "|")
}

func join(done []string) string { return strings.Join(done, "|") }

// recorder collects the history of concurrent operations.
type recorder struct {
	mutex   sync.Mutex
	began   time.Time
	history []porcupine.Operation
}

func (r *recorder) add(input any, call time.Duration, output any, unknown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	end := time.Since(r.began)
	if unknown {
		end = 24 * time.Hour // It may take effect at any later time.
	}
	r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: input, Call: int64(call), Output: output, Return: int64(end)})
}

// String lists the history in order of calls.
func (r *recorder) String() string {
	var text strings.Builder
	for _, operation := range r.history {
		fmt.Fprintf(&text, "\n%10s to %10s %+v: %+v", time.Duration(operation.Call), time.Duration(operation.Return), operation.Input, operation.Output)
	}
	return text.String()
}

// TestTurnsAreLinearizable sends each turn several times at once, the same and
// different requests, through all halls, while halls die and come back.
func TestTurnsAreLinearizable(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		ticket := program.Ticket()
		seen := &recorder{began: time.Now()}
		stop := w.killInTurn(1700 * time.Millisecond)
		for after := range 12 {
			tickets := make(chan string, 32)
			var wait sync.WaitGroup
			for sender := range 5 {
				wait.Go(func() {
					content := fmt.Sprintf("turn-%d-%d answer=%d", after, sender%2, 10+sender%2)
					for range 6 {
						call := time.Since(seen.began)
						got, next := w.sendTurn(program.ID(), ticket, content)
						seen.add(turnInput{after: after, content: content}, call, got, got.outcome == "unknown")
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
				t.Fatalf("turn %d: nobody got an answer", after+1)
			}
			ticket = next
		}
		stop()
		if got, want := porcupine.CheckOperationsTimeout(turns.ToModel(), seen.history, 0), porcupine.Ok; got != want {
			t.Errorf("history of %d operations: got %s, want %s:%s", len(seen.history), got, want, seen)
		}
	})
}

// killInTurn kills the halls one after another and starts each again.
func (w *world) killInTurn(interval time.Duration) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	zones := []string{"hu-central-a", "hu-central-a", "hu-central-b", "hu-central-b"}
	go func() {
		defer close(ended)
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			index := number % 4
			w.KillHall(index)
			time.Sleep(interval / 2)
			if err := w.StartHall(index, zones[index]); err != nil {
				w.t.Errorf("start hall-%d: %v", index+1, err)
			}
		}
	}()
	return func() { close(done); <-ended }
}

// sendTurn sends a turn once and returns the ticket of its answer.
func (w *world) sendTurn(program, ticket, content string) (turnOutput, string) {
	body := fmt.Sprintf(`{"model":"magnet","ticket":%q,"max_tokens":4096,"messages":[{"role":"user","content":%q}]}`, ticket, content)
	header, answer, err := post(w.ctx, w.client("kovacs"), "/v1/programs/"+program+"/turns", nil, body)
	if err != nil {
		return turnOutput{outcome: outcomeOf(err)}, ""
	}
	var read struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &read); err != nil || len(read.Choices) == 0 {
		return turnOutput{outcome: "unknown"}, ""
	}
	return turnOutput{outcome: "ran", answer: read.Choices[0].Message.Content}, header.Get("Limpethall-Ticket")
}

// callInput is a non-idempotent call; a history is of one call with one ticket.
type callInput struct{}

type callOutput struct {
	outcome string
	runs    int
	told    string
}

// calls is the sequential meaning of one such call with one ticket: it runs at
// most once, "notRun" is only true as long as it has not run, and from then on
// it never runs.
var calls = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"open"} },
	Step: func(state, _, output any) []any {
		out := output.(callOutput)
		switch {
		case out.outcome == "ran" && out.runs == 1 && state != "refused":
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

// TestCallsRunAtMostOnce sends non-idempotent calls several times at once
// through all halls, while halls and the servers' limpets die and come back.
func TestCallsRunAtMostOnce(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		for _, running := range w.Services() {
			running.SetDelay(100 * time.Millisecond)
		}
		stop := w.killInTurn(2300 * time.Millisecond)
		for round := range 15 {
			program := w.open(w.client("kovacs"), 0)
			if round%5 == 4 {
				w.KillLimpet(serviceLimpets[round%2])
				if err := w.RestartLimpet(serviceLimpets[round%2]); err != nil {
					t.Fatal(err)
				}
			}
			seen := &recorder{began: time.Now()}
			body := fmt.Sprintf(`{"round":%d}`, round)
			header := http.Header{"Limpethall-Program": []string{program.ID()}, "Limpethall-Ticket": []string{program.Ticket()}}
			var wait sync.WaitGroup
			for range 4 {
				client := w.client("kovacs")
				wait.Go(func() {
					for range 3 {
						call := time.Since(seen.began)
						out := sendCall(w, client, header, body)
						seen.add(callInput{}, call, out, out.outcome == "unknown")
						time.Sleep(300 * time.Millisecond)
					}
				})
			}
			wait.Wait()
			if got, want := porcupine.CheckOperationsTimeout(calls.ToModel(), seen.history, 0), porcupine.Ok; got != want {
				t.Errorf("round %d: history of %d operations: got %s, want %s:%s", round, len(seen.history), got, want, seen)
			}
			if got, most := w.runs(body), 1; got > most {
				t.Errorf("round %d: got %d runs, want at most %d", round, got, most)
			}
		}
		stop()
	})
}

func sendCall(w *world, client *caller.Client, header http.Header, body string) callOutput {
	_, answer, err := post(w.ctx, client, "/v1/services/orders/book", header, body)
	if err != nil {
		return callOutput{outcome: outcomeOf(err), told: err.Error()}
	}
	var read struct {
		Runs int `json:"runs"`
	}
	if err := json.Unmarshal(answer, &read); err != nil {
		return callOutput{outcome: "unknown"}
	}
	return callOutput{outcome: "ran", runs: read.Runs}
}
