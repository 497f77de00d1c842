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

var noStoreFaults memory.Faults

func TestProgramHistoryIsKeptAcrossHalls(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		for number := range 5 {
			turn := env.runTurn(program, "question answer=8", number%2 == 0)
			if got, want := turn.Copies(), int64(2); got != want {
				t.Errorf("turn %d: got %d copies, want %d", number+1, got, want)
			}
		}
		if err := program.End(env.ctx); err != nil {
			t.Errorf("end: got error %v, want none", err)
		}
	})
}

func TestHistorySurvivesCrashOfAnyHallBetweenTurns(t *testing.T) {
	for hallIndex := range 4 {
		t.Run(fmt.Sprintf("hall-%d", hallIndex+1), func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				var programs []*caller.Program
				client := env.client("kovacs")
				for range 8 {
					program := env.openProgram(client, 0)
					env.runTurn(program, "before answer=8", true)
					programs = append(programs, program)
				}
				env.KillHall(hallIndex)
				for _, program := range programs {
					env.runTurn(program, "after answer=8", false)
					env.runTurn(program, "and again answer=8", true)
				}
			})
		})
	}
}

// TestHistorySurvivesCrashOfAllHalls runs too few halls for two copies on halls
// alone, so that the store keeps one copy of the turns. The store must delete the
// turns of ended programs.
func TestHistorySurvivesCrashOfAllHalls(t *testing.T) {
	twoHalls := func(options *deployment.Options) {
		options.Zones = []string{"hu-central-a"}
		options.HallsPerZone = 2
	}
	runInTestEnv(t, twoHalls, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		for range 3 {
			if got, want := env.runTurn(program, "before answer=8", false).Copies(), int64(2); got != want {
				t.Errorf("copies on one other hall and in the store: got %d, want %d", got, want)
			}
		}
		env.KillHall(0)
		env.KillHall(1)
		for index := range 2 {
			if err := env.StartHall(index, "hu-central-a"); err != nil {
				t.Fatal(err)
			}
		}
		if err := env.WaitReady(env.ctx); err != nil {
			t.Fatal(err)
		}
		env.runTurn(program, "after answer=8", false)
		if err := program.End(env.ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		listing, err := env.Store().Memory().List(env.ctx, "programs/")
		if err != nil || len(listing.Entries) > 0 {
			t.Errorf("records of ended programs in the store: got %d, error %v, want none", len(listing.Entries), err)
		}
	})
}

func TestHistorySurvivesTwoSuccessiveHallCrashes(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		env.runTurn(program, "one answer=8", false)
		env.KillHall(0)
		env.runTurn(program, "two answer=8", false)
		env.KillHall(2)
		env.runTurn(program, "three answer=8", false)
	})
}

func TestTurnSurvivesHallCrash(t *testing.T) {
	for hallIndex := range 4 {
		t.Run(fmt.Sprintf("hall-%d", hallIndex+1), func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				program := env.openProgram(env.client("kovacs"), 0)
				env.runTurn(program, "before answer=8", false)
				time.AfterFunc(30*time.Millisecond, func() { env.KillHall(hallIndex) })
				env.runTurn(program, "inside answer=200", false)
				env.runTurn(program, "after answer=8", false)
			})
		})
	}
}

// TestTicketValidation sends tickets other than the latest one of the program.
func TestTicketValidation(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client, otherClient := env.client("kovacs"), env.client("falares")
		program := env.openProgram(client, 0)
		initialTicket := program.Ticket()
		first := env.runTurn(program, "first answer=8", false)
		ticketAfterFirst := program.Ticket()
		env.runTurn(program, "second answer=8", false)
		foreignProgram := env.openProgram(otherClient, 0)
		siblingProgram := env.openProgram(client, 0)

		cases := []struct {
			name    string
			client  *caller.Client
			program string
			ticket  string
			content string
			code    string
		}{
			{"repeated older turn returns the stored response", client, program.ID(), initialTicket, "first answer=8", ""},
			{"old ticket with a different request", client, program.ID(), initialTicket, "different", "staleTicket"},
			{"another old ticket with a different request", client, program.ID(), ticketAfterFirst, "different", "staleTicket"},
			{"ticket of another program", client, program.ID(), siblingProgram.Ticket(), "x", "notFound"},
			{"program of another workspace", client, foreignProgram.ID(), foreignProgram.Ticket(), "x", "notFound"},
			{"another workspace with a valid ticket of the program", otherClient, program.ID(), program.Ticket(), "x", "notFound"},
			{"program that does not exist", client, "nothing", program.Ticket(), "x", "notFound"},
			{"forged ticket", client, program.ID(), "AAAA" + program.Ticket(), "x", "badRequest"},
			{"truncated ticket", client, program.ID(), program.Ticket()[:20], "x", "badRequest"},
			{"no ticket", client, program.ID(), "", "x", "badRequest"},
		}
		for _, c := range cases {
			body := fmt.Sprintf(`{"model":"magnet","ticket":%q,"max_tokens":4096,"messages":[{"role":"user","content":%q}]}`, c.ticket, c.content)
			_, answer, err := post(env.ctx, c.client, "/v1/programs/"+c.program+"/turns", nil, body)
			if c.code == "" {
				if err != nil || !strings.Contains(string(answer), first.Content()) {
					t.Errorf("%s: got response %q, error %v, want the stored response %q", c.name, answer, err, first.Content())
				}
				continue
			}
			checkError(t, c.name, err, c.code, "notRun")
		}
	})
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	runInTestEnv(t, func(o *deployment.Options) { o.Rows[0] = rowWithModels("kovacs", "magnet") }, func(env *testEnv) {
		client := env.client("kovacs")
		cases := []struct{ name, path, body, code string }{
			{"not JSON", "/v1/chat/completions", `{"model":`, "badRequest"},
			{"empty", "/v1/chat/completions", ``, "badRequest"},
			{"JSON array", "/v1/chat/completions", `[]`, "badRequest"},
			{"no model", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"no messages", "/v1/chat/completions", `{"model":"magnet","messages":[]}`, "badRequest"},
			{"unknown role", "/v1/chat/completions", `{"model":"magnet","messages":[{"role":"king","content":"x"}]}`, "badRequest"},
			{"message is a string", "/v1/chat/completions", `{"model":"magnet","messages":["x"]}`, "badRequest"},
			{"negative max_tokens", "/v1/chat/completions", `{"model":"magnet","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"several choices", "/v1/chat/completions", `{"model":"magnet","n":2,"messages":[{"role":"user","content":"x"}]}`, "badRequest"},
			{"model not allowed for the workspace", "/v1/chat/completions", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, "unknownModel"},
			{"body too large", "/v1/chat/completions", `{"model":"magnet","messages":[{"role":"user","content":"` + strings.Repeat("x", 5<<20) + `"}]}`, "tooLarge"},
			{"budget over the limit of the workspace", "/v1/programs", `{"budget":99999999}`, "badRequest"},
			{"negative budget", "/v1/programs", `{"budget":-1}`, "badRequest"},
			{"unknown route", "/v1/nothing", ``, "notFound"},
			{"unknown service", "/v1/services/nothing/x", ``, "notFound"},
		}
		for _, c := range cases {
			_, _, err := post(env.ctx, client, c.path, nil, c.body)
			checkError(t, c.name, err, c.code, "notRun")
		}
		_, _, err := client.Do(env.ctx, http.MethodPut, "/v1/programs", nil, nil)
		checkError(t, "wrong method", err, "methodNotAllowed", "notRun")
	})
}

func TestInvalidKeysAreRejected(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		validKey := env.keys["kovacs"]
		for name, key := range map[string]string{
			"no key":         "",
			"not a key":      "hello",
			"unknown key ID": "lh_0000000000000000_" + validKey[20:],
			"changed secret": validKey[:len(validKey)-1] + string(rune('0'+(validKey[len(validKey)-1]-'0'+1)%10)),
			"cut":            validKey[:len(validKey)-2],
		} {
			env.keys["forged"] = key
			_, _, err := env.client("forged").Do(env.ctx, http.MethodGet, "/v1/models", nil, nil)
			checkError(t, name, err, "unauthorized", "notRun")
		}
		if _, _, err := env.client("kovacs").Do(env.ctx, http.MethodGet, "/v1/models", nil, nil); err != nil {
			t.Errorf("valid key: got error %v, want none", err)
		}
	})
}

func TestBudgetIsEnforced(t *testing.T) {
	for _, fault := range []engine.Fault{engine.FaultNone, engine.FaultNoLimit} {
		t.Run("engine fault "+string(fault), func(t *testing.T) { checkBudget(t, fault) })
	}
}

func checkBudget(t *testing.T, fault engine.Fault) {
	runInTestEnv(t, nil, func(env *testEnv) {
		for _, modelEngine := range env.Engines() {
			modelEngine.SetFault(fault)
		}
		client := env.client("kovacs")
		program := env.openProgram(client, 60)
		turn := env.runTurn(program, "answer=400", true)
		if got, want := turn.Finish(), "length"; got != want {
			t.Errorf("finish reason: got %q, want %q", got, want)
		}
		if got, limit := turn.Spent(), int64(60); got > limit {
			t.Errorf("spent: got %d tokens, want at most %d", got, limit)
		}
		_, err := program.Turn(env.ctx, env.Model(), "more answer=400", false)
		checkError(t, "turn without budget", err, "budgetSpent", "notRun")
	})
}

func TestChildProgramsUseTheBudgetOfTheirParent(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client := env.client("kovacs")
		parent := env.openProgram(client, 300)
		env.runTurn(parent, "plan answer=20", false)
		child, err := parent.Child(env.ctx, 200)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parent.Child(env.ctx, 200)
		checkError(t, "second child", err, "budgetSpent", "notRun")
		env.runTurn(child, "work answer=1000", false)
		_, err = child.Turn(env.ctx, env.Model(), "work answer=1000", false)
		checkError(t, "child without budget", err, "budgetSpent", "notRun")
		if err := child.End(env.ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		turn := env.runTurn(parent, "sum up answer=1000", false)
		if got, limit := turn.Spent(), int64(300); got > limit {
			t.Errorf("spent by parent and child: got %d tokens, want at most %d", got, limit)
		}
	})
}

func TestPinnedCacheIsReleased(t *testing.T) {
	cases := []struct {
		name string
		end  func(env *testEnv, program *caller.Program)
	}{
		{"program ends", func(env *testEnv, program *caller.Program) {
			if err := program.End(env.ctx); err != nil {
				env.t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
		}},
		{"caller sends no more calls", func(*testEnv, *caller.Program) { time.Sleep(90 * time.Second) }},
		{"all halls crash", func(env *testEnv, _ *caller.Program) {
			for index := range env.Halls() {
				env.KillHall(index)
			}
			time.Sleep(90 * time.Second)
		}},
		{"limpets are replaced", func(env *testEnv, _ *caller.Program) {
			for index := range 4 {
				env.KillLimpet(index)
				if err := env.RestartLimpet(index); err != nil {
					env.t.Fatal(err)
				}
			}
			time.Sleep(90 * time.Second)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				program := env.openProgram(env.client("kovacs"), 0)
				env.runTurn(program, "question answer=8", false)
				if got := env.pinnedKeys(); !slices.Equal(got, []string{program.ID()}) {
					t.Fatalf("pinned cache keys of a running program: got %v, want only %s", got, program.ID())
				}
				c.end(env, program)
				if got := env.pinnedKeys(); len(got) > 0 {
					t.Errorf("pinned cache keys after the program: got %v, want none", got)
				}
			})
		})
	}
}

// TestFormerHomeDoesNotEndMovedPrograms adds a hall, which becomes the home of
// some programs, and keeps all programs in use for longer than the idle timeout.
// Their former home must not end them as idle.
func TestFormerHomeDoesNotEndMovedPrograms(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client := env.client("kovacs")
		var children []*caller.Program
		for range 12 {
			parent := env.openProgram(client, 0)
			env.runTurn(parent, "plan answer=5", false)
			child, err := parent.Child(env.ctx, 2000)
			if err != nil {
				t.Fatal(err)
			}
			env.runTurn(child, "work answer=5", false)
			children = append(children, child)
		}
		if err := env.AddHall("hu-central-a"); err != nil {
			t.Fatal(err)
		}
		if err := env.WaitReady(env.ctx); err != nil {
			t.Fatal(err)
		}
		for range 10 {
			time.Sleep(15 * time.Second)
			pinned := env.pinnedKeys()
			for _, child := range children {
				if !slices.Contains(pinned, child.ID()) {
					t.Errorf("cache key of %s, which is in use: got released, want pinned", child.ID())
				}
				env.runTurn(child, "more answer=5", false)
			}
		}
	})
}

func (env *testEnv) pinnedKeys() []string {
	var pinned []string
	for _, modelEngine := range env.Engines() {
		pinned = append(pinned, modelEngine.Pinned()...)
	}
	return pinned
}

// checkError fails the test unless err is an error response with the given code
// and outcome.
func checkError(t *testing.T, name string, err error, code, outcome string) {
	t.Helper()
	var response *caller.Error
	if !errors.As(err, &response) {
		t.Errorf("%s: got %v, want an error response with code %s", name, err, code)
		return
	}
	if response.Code != code || response.Outcome != outcome {
		t.Errorf("%s: got code %s and outcome %s (%s), want %s and %s", name, response.Code, response.Outcome, response.Message, code, outcome)
	}
}
