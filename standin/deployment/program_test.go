package deployment_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/engine"
)

var healthy memory.Faults

func TestProgramKeepsItsHistoryAcrossHalls(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		for number := range 5 {
			turn := w.turn(program, "question answer=8", number%2 == 0)
			if got, want := turn.Copies(), int64(2); got != want {
				t.Errorf("turn %d: got %d copies, want %d", number+1, got, want)
			}
		}
		if err := program.End(w.ctx); err != nil {
			t.Errorf("end: got error %v, want none", err)
		}
	})
}

func TestHistorySurvivesTheDeathOfAnyHallBetweenTurns(t *testing.T) {
	for dead := range 4 {
		t.Run(fmt.Sprintf("hall-%d", dead+1), func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				var programs []*caller.Program
				client := w.client("kovacs")
				for range 8 {
					program := w.open(client, 0)
					w.turn(program, "before answer=8", true)
					programs = append(programs, program)
				}
				w.KillHall(dead)
				for _, program := range programs {
					w.turn(program, "after answer=8", false)
					w.turn(program, "and again answer=8", true)
				}
			})
		})
	}
}

// TestHistoryOutlivesAllHalls runs too few halls for two copies: the store
// keeps the turns, and gives up those of ended programs.
func TestHistoryOutlivesAllHalls(t *testing.T) {
	few := func(options *deployment.Options) {
		options.Zones = []string{"hu-central-a"}
		options.HallsPerZone = 2
	}
	inWorld(t, few, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		for range 3 {
			if got, want := w.turn(program, "before answer=8", false).Copies(), int64(2); got != want {
				t.Errorf("copies with one other hall and the store: got %d, want %d", got, want)
			}
		}
		w.KillHall(0)
		w.KillHall(1)
		for index := range 2 {
			if err := w.StartHall(index, "hu-central-a"); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.WaitReady(w.ctx); err != nil {
			t.Fatal(err)
		}
		w.turn(program, "after answer=8", false)
		if err := program.End(w.ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		listing, err := w.Store().Memory().List(w.ctx, "programs/")
		if err != nil || len(listing.Entries) > 0 {
			t.Errorf("left in the store: got %d records, %v, want none", len(listing.Entries), err)
		}
	})
}

func TestHistorySurvivesTwoDeathsInARow(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		w.turn(program, "one answer=8", false)
		w.KillHall(0)
		w.turn(program, "two answer=8", false)
		w.KillHall(2)
		w.turn(program, "three answer=8", false)
	})
}

func TestTurnGoesOnWhenAHallDiesInside(t *testing.T) {
	for dead := range 4 {
		t.Run(fmt.Sprintf("hall-%d", dead+1), func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				program := w.open(w.client("kovacs"), 0)
				w.turn(program, "before answer=8", false)
				time.AfterFunc(30*time.Millisecond, func() { w.KillHall(dead) })
				w.turn(program, "inside answer=200", false)
				w.turn(program, "after answer=8", false)
			})
		})
	}
}

// TestTicketTable sends tickets that are not the newest one.
func TestTicketTable(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client, other := w.client("kovacs"), w.client("falares")
		program := w.open(client, 0)
		opened := program.Ticket()
		first := w.turn(program, "first answer=8", false)
		afterFirst := program.Ticket()
		w.turn(program, "second answer=8", false)
		stranger := w.open(other, 0)
		sibling := w.open(client, 0)

		cases := []struct {
			name    string
			client  *caller.Client
			program string
			ticket  string
			content string
			code    string
		}{
			{"a repeated older turn returns the stored answer", client, program.ID(), opened, "first answer=8", ""},
			{"an old ticket with another request", client, program.ID(), opened, "different", "staleTicket"},
			{"another old ticket with another request", client, program.ID(), afterFirst, "different", "staleTicket"},
			{"a ticket of another program", client, program.ID(), sibling.Ticket(), "x", "notFound"},
			{"a program of another workspace", client, stranger.ID(), stranger.Ticket(), "x", "notFound"},
			{"another workspace with a stolen ticket", other, program.ID(), program.Ticket(), "x", "notFound"},
			{"a program that does not exist", client, "nothing", program.Ticket(), "x", "notFound"},
			{"a forged ticket", client, program.ID(), "AAAA" + program.Ticket(), "x", "badRequest"},
			{"a damaged ticket", client, program.ID(), program.Ticket()[:20], "x", "badRequest"},
			{"no ticket", client, program.ID(), "", "x", "badRequest"},
		}
		for _, c := range cases {
			body := fmt.Sprintf(`{"model":"magnet","ticket":%q,"max_tokens":4096,"messages":[{"role":"user","content":%q}]}`, c.ticket, c.content)
			_, answer, err := post(w.ctx, c.client, "/v1/programs/"+c.program+"/turns", nil, body)
			if c.code == "" {
				if err != nil || !strings.Contains(string(answer), first.Content()) {
					t.Errorf("%s: got %q, %v, want the stored %q", c.name, answer, err, first.Content())
				}
				continue
			}
			checkError(t, c.name, err, c.code, "notRun")
		}
	})
}

func TestBadRequestTable(t *testing.T) {
	inWorld(t, func(o *deployment.Options) { o.Rows[0] = rowWithModels("kovacs", "magnet") }, func(w *world) {
		client := w.client("kovacs")
		cases := []struct{ name, path, body, code string }{
			{"not JSON", "/v1/chat/completions", `{"model":`, "badRequest"},
			{"empty", "/v1/chat/completions", ``, "badRequest"},
			{"a list", "/v1/chat/completions", `[]`, "badRequest"},
			{"no model", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"no messages", "/v1/chat/completions", `{"model":"magnet","messages":[]}`, "badRequest"},
			{"unknown role", "/v1/chat/completions", `{"model":"magnet","messages":[{"role":"king","content":"x"}]}`, "badRequest"},
			{"message is a string", "/v1/chat/completions", `{"model":"magnet","messages":["x"]}`, "badRequest"},
			{"negative max_tokens", "/v1/chat/completions", `{"model":"magnet","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"several choices", "/v1/chat/completions", `{"model":"magnet","n":2,"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"model not allowed", "/v1/chat/completions", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, "unknownModel"},
			{"body too large", "/v1/chat/completions", `{"model":"magnet","messages":[{"role":"user","content":"` + strings.Repeat("x", 5<<20) + `"}]}`, "tooLarge"},
			{"budget over the row", "/v1/programs", `{"budget":99999999}`, "badRequest"},
			{"negative budget", "/v1/programs", `{"budget":-1}`, "badRequest"},
			{"unknown route", "/v1/nothing", ``, "notFound"},
			{"unknown service", "/v1/services/nothing/x", ``, "notFound"},
		}
		for _, c := range cases {
			_, _, err := post(w.ctx, client, c.path, nil, c.body)
			checkError(t, c.name, err, c.code, "notRun")
		}
		_, _, err := client.Do(w.ctx, http.MethodPut, "/v1/programs", nil, nil)
		checkError(t, "wrong method", err, "methodNotAllowed", "notRun")
	})
}

func TestKeyTable(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		good := w.keys["kovacs"]
		for name, key := range map[string]string{
			"no key":         "",
			"not a key":      "hello",
			"unknown id":     "lh_0000000000000000_" + good[20:],
			"changed secret": good[:len(good)-1] + string(rune('0'+(good[len(good)-1]-'0'+1)%10)),
			"cut":            good[:len(good)-2],
		} {
			w.keys["forged"] = key
			_, _, err := w.client("forged").Do(w.ctx, http.MethodGet, "/v1/models", nil, nil)
			checkError(t, name, err, "unauthorized", "notRun")
		}
		if _, _, err := w.client("kovacs").Do(w.ctx, http.MethodGet, "/v1/models", nil, nil); err != nil {
			t.Errorf("good key: got error %v, want none", err)
		}
	})
}

func TestBudgetHolds(t *testing.T) {
	for _, fault := range []engine.Fault{engine.FaultNone, engine.FaultNoLimit} {
		t.Run("engine fault "+string(fault), func(t *testing.T) { checkBudget(t, fault) })
	}
}

func checkBudget(t *testing.T, fault engine.Fault) {
	inWorld(t, nil, func(w *world) {
		for _, running := range w.Engines() {
			running.SetFault(fault)
		}
		client := w.client("kovacs")
		program := w.open(client, 60)
		turn := w.turn(program, "answer=400", true)
		if got, want := turn.Finish(), "length"; got != want {
			t.Errorf("finish reason: got %q, want %q", got, want)
		}
		if got, most := turn.Spent(), int64(60); got > most {
			t.Errorf("spent: got %d tokens, want at most %d", got, most)
		}
		_, err := program.Turn(w.ctx, w.Model(), "more answer=400", false)
		checkError(t, "turn without budget", err, "budgetSpent", "notRun")
	})
}

func TestChildrenDrawOnTheirParentsBudget(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client := w.client("kovacs")
		parent := w.open(client, 300)
		w.turn(parent, "plan answer=20", false)
		child, err := parent.Child(w.ctx, 200)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parent.Child(w.ctx, 200)
		checkError(t, "second child", err, "budgetSpent", "notRun")
		w.turn(child, "work answer=1000", false)
		_, err = child.Turn(w.ctx, w.Model(), "work answer=1000", false)
		checkError(t, "child without budget", err, "budgetSpent", "notRun")
		if err := child.End(w.ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		turn := w.turn(parent, "sum up answer=1000", false)
		if got, most := turn.Spent(), int64(300); got > most {
			t.Errorf("spent by parent and child: got %d tokens, want at most %d", got, most)
		}
	})
}

func TestEngineMemoryIsReleased(t *testing.T) {
	cases := []struct {
		name string
		end  func(w *world, program *caller.Program)
	}{
		{"when the program ends", func(w *world, program *caller.Program) {
			if err := program.End(w.ctx); err != nil {
				w.t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
		}},
		{"when the caller is gone", func(*world, *caller.Program) { time.Sleep(90 * time.Second) }},
		{"when the home dies", func(w *world, _ *caller.Program) {
			for index := range w.Halls() {
				w.KillHall(index)
			}
			time.Sleep(90 * time.Second)
		}},
		{"when the limpets were replaced", func(w *world, _ *caller.Program) {
			for index := range 4 {
				w.KillLimpet(index)
				if err := w.RestartLimpet(index); err != nil {
					w.t.Fatal(err)
				}
			}
			time.Sleep(90 * time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				program := w.open(w.client("kovacs"), 0)
				w.turn(program, "question answer=8", false)
				if got := w.pinned(); !slices.Equal(got, []string{program.ID()}) {
					t.Fatalf("held while the program lives: got %v, want %s alone", got, program.ID())
				}
				c.end(w, program)
				if got := w.pinned(); len(got) > 0 {
					t.Errorf("held for nobody: got %v, want none", got)
				}
			})
		})
	}
}

// TestProgramsThatMovedAreNotEndedByTheirOldHome adds a hall that becomes the
// home of some programs and keeps all of them busy past the idle time.
func TestProgramsThatMovedAreNotEndedByTheirOldHome(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client := w.client("kovacs")
		var children []*caller.Program
		for range 12 {
			parent := w.open(client, 0)
			w.turn(parent, "plan answer=5", false)
			child, err := parent.Child(w.ctx, 2000)
			if err != nil {
				t.Fatal(err)
			}
			w.turn(child, "work answer=5", false)
			children = append(children, child)
		}
		if err := w.AddHall("hu-central-a"); err != nil {
			t.Fatal(err)
		}
		if err := w.WaitReady(w.ctx); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			time.Sleep(15 * time.Second)
			held := w.pinned()
			for _, child := range children {
				if !slices.Contains(held, child.ID()) {
					t.Errorf("memory of %s, which is in use: got released, want held", child.ID())
				}
				w.turn(child, "more answer=5", false)
			}
		}
	})
}

func (w *world) pinned() []string {
	var pinned []string
	for _, running := range w.Engines() {
		pinned = append(pinned, running.Pinned()...)
	}
	return pinned
}

// checkError fails the test unless err is an answer with that code and
// outcome.
func checkError(t *testing.T, name string, err error, code, outcome string) {
	t.Helper()
	var answered *caller.Error
	if !errors.As(err, &answered) {
		t.Errorf("%s: got %v, want an answer with code %s", name, err, code)
		return
	}
	if answered.Code != code || answered.Outcome != outcome {
		t.Errorf("%s: got code %s and outcome %s (%s), want %s and %s", name, answered.Code, answered.Outcome, answered.Message, code, outcome)
	}
}
