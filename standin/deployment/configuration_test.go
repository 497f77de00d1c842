package deployment_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/table"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
)

// propagationDeadline is the time within which an accepted change must take
// effect on all halls.
const propagationDeadline = 5 * time.Second

func (env *testEnv) applyEdits(edits ...table.Edit) {
	env.t.Helper()
	if err := env.Change(env.ctx, edits...); err != nil {
		env.t.Fatalf("change: %v", err)
	}
}

func (env *testEnv) keyID(workspace string) string {
	id, _, _ := key.Parse(env.keys[workspace])
	return id
}

// clientOfHall returns a client that uses only the hall with the given index.
func (env *testEnv) clientOfHall(workspace string, index int) *caller.Client {
	address := env.Halls()[index].Address()
	return env.clientWithPicker(workspace, func() string { return address })
}

func listModels(ctx context.Context, client *caller.Client) error {
	_, _, err := client.Do(ctx, http.MethodGet, "/v1/models", nil, nil)
	return err
}

func TestRevokedKeyIsRejectedWithinDeadline(t *testing.T) {
	cases := []struct {
		name  string
		fault func(env *testEnv)
	}{
		{"no fault", func(*testEnv) {}},
		{"one hall can't reach the store", func(env *testEnv) { env.network.Cut("hall-1", "store") }},
		{"one hall can't reach the store and two other halls", func(env *testEnv) {
			env.network.Cut("hall-1", "store")
			env.network.Cut("hall-1", "hall-2")
			env.network.Cut("hall-1", "hall-3")
		}},
		{"the store is slow", func(env *testEnv) { env.Store().Memory().SetFaults(memory.Faults{DelayMilliseconds: 300}) }},
		{"connections of one hall are frozen", func(env *testEnv) {
			env.network.Freeze("hall-1", "store")
			env.network.Freeze("hall-1", "hall-2")
		}},
		{"the watches of the store are silent", func(env *testEnv) {
			env.Store().Memory().SetFaults(memory.Faults{SilentWatches: true})
		}},
		{"one hall can't reach any other process", func(env *testEnv) { env.disconnectHall("hall-1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, nil, func(env *testEnv) {
				c.fault(env)
				env.applyEdits(table.NewWithdrawKey(env.keyID("kovacs")))
				time.Sleep(propagationDeadline)
				for index := range env.Halls() {
					if err := listModels(env.ctx, env.clientOfHall("kovacs", index)); err == nil {
						t.Errorf("hall-%d: got a response for a revoked key, want an error", index+1)
					}
				}
				if err := listModels(env.ctx, env.clientOfHall("falares", 1)); err != nil {
					t.Errorf("another key: got error %v, want none", err)
				}
			})
		})
	}
}

func TestRevokedKeyEndsOpenStreams(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		go func() {
			time.Sleep(time.Second)
			env.applyEdits(table.NewWithdrawKey(env.keyID("kovacs")))
		}()
		start := time.Now()
		_, err := program.TurnOnce(env.ctx, env.Model(), "endless answer=100000", true)
		if got, want := caller.IsCode(err, "keyWithdrawn"), true; got != want {
			t.Errorf("end of the stream: got error %v, want code keyWithdrawn", err)
		}
		if got := time.Since(start); got > time.Second+propagationDeadline {
			t.Errorf("stream continued for %s after the key was revoked, want at most %s", got-time.Second, propagationDeadline)
		}
	})
}

func TestKeysAreNotForwardedToServers(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		secret := env.keys["kovacs"]
		header := http.Header{"Cookie": []string{"k=" + secret}, "X-Api-Key": []string{secret}, "Accept": []string{"text/plain"}}
		if _, _, err := post(env.ctx, env.client("kovacs"), "/v1/services/orders/book?api_key="+secret+"&Token="+secret+"&page=2", header, `{}`); err != nil {
			t.Fatal(err)
		}
		forwarded := false
		for _, server := range env.Services() {
			for _, text := range server.RequestHeads() {
				if containsText(text, secret[20:]) {
					t.Errorf("service received the key in %q", text)
				}
				forwarded = forwarded || containsText(text, "page=2") && containsText(text, "text/plain")
			}
		}
		if !forwarded {
			t.Errorf("service did not receive the allowed header and query parameter")
		}
	})
}

// TestLogsMetricsAndErrorsContainNoSecrets searches the logs, metrics and error
// messages of a run with valid, forged and revoked keys for the text of the keys
// and of the shared secret.
func TestLogsMetricsAndErrorsContainNoSecrets(t *testing.T) {
	runInTestEnv(t, func(options *deployment.Options) { options.Log.Level = "" }, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		env.runTurn(program, "question answer=8", true)
		if _, err := program.Tool(env.ctx, deployment.ServiceName, "/book", []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
		env.keys["forged"] = env.keys["kovacs"][:30] + "0000"
		texts := []string{fmt.Sprint(listModels(env.ctx, env.client("forged")))}
		env.KillHall(0)
		env.KillLimpet(0)
		env.runTurn(program, "again answer=8", false)
		env.applyEdits(table.NewWithdrawKey(env.keyID("kovacs")))
		time.Sleep(propagationDeadline)
		texts = append(texts, fmt.Sprint(listModels(env.ctx, env.client("kovacs"))))
		_, metrics, err := env.clientOfHall("falares", 1).Do(env.ctx, http.MethodGet, "/metrics", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(metrics), env.logOutput.String())
		for _, name := range []string{"kovacs", "falares", "forged"} {
			_, secret, _ := key.Parse(env.keys[name])
			for _, text := range texts {
				if containsText(text, secret) {
					t.Errorf("the key of %s was written to logs, metrics or errors", name)
				}
			}
		}
		for _, text := range texts {
			if containsText(text, deployment.Secret) {
				t.Errorf("the shared secret was written to logs, metrics or errors")
			}
		}
		if got, minimum := len(env.logOutput.String()), 10_000; got < minimum {
			t.Errorf("size of the searched logs: got %d bytes, want at least %d", got, minimum)
		}
	})
}

func TestOpenRouteRequiresNoKey(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		anonymous := env.clientWithPicker("nobody", func() string { return env.Addresses()[0] })
		if _, _, err := anonymous.Do(env.ctx, http.MethodGet, "/v1/services/orders/status", nil, nil); err != nil {
			t.Errorf("open route: got error %v, want none", err)
		}
		_, _, err := post(env.ctx, anonymous, "/v1/services/orders/book", nil, `{}`)
		checkError(t, "closed route", err, "unauthorized", "notRun")
		_, _, err = anonymous.Do(env.ctx, http.MethodGet, "/v1/services/orders/statusreport", nil, nil)
		checkError(t, "route that has the open route as a prefix", err, "unauthorized", "notRun")
	})
}

// TestStoreOutage makes the store unavailable for several minutes under traffic.
func TestStoreOutage(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		// Wait until the halls hold their shares of the rates: while the store is
		// down, the share of a crashed hall can't be transferred to another one.
		time.Sleep(10 * time.Second)
		client := env.client("kovacs")
		program := env.openProgram(client, 0)
		env.runTurn(program, "before answer=8", false)
		env.Store().Memory().SetFaults(memory.Faults{Down: true})
		for minute := range 5 {
			env.runTurn(program, "during answer=8", true)
			if _, err := program.Tool(env.ctx, deployment.ServiceName, "/book", []byte(fmt.Sprintf(`{"minute":%d}`, minute))); err != nil {
				t.Errorf("tool call %d during the outage: %v", minute, err)
			}
			time.Sleep(time.Minute / 2)
		}
		env.KillHall(1)
		env.runTurn(program, "after a crash in the outage answer=8", false)
		env.Store().Memory().SetFaults(noStoreFaults)
		time.Sleep(20 * time.Second)
		env.runTurn(program, "after answer=8", false)
		env.applyEdits(table.NewPutRow(rowWithModels("third")))
		time.Sleep(propagationDeadline)
		for index, process := range env.Halls() {
			if process != nil && process.Revision() < 4 {
				t.Errorf("hall-%d after the outage: got revision %d, want at least 4", index+1, process.Revision())
			}
		}
	})
}

// TestAcceptedChangesAreNeverReverted observes the revision of every hall while
// the store has faults of each kind and operators change the configuration
// concurrently.
func TestAcceptedChangesAreNeverReverted(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			for round, faults := range []memory.Faults{
				{}, {LoseAnswers: true}, {Down: true}, {DelayMilliseconds: 400}, {Gap: true}, {LoseAnswers: true, DelayMilliseconds: 200}, {},
			} {
				env.Store().Memory().SetFaults(faults)
				env.changeConcurrently(round)
				time.Sleep(4 * time.Second)
			}
		}()
		highest := make([]uint64, len(env.Halls()))
		for {
			for index, process := range env.Halls() {
				got := process.Revision()
				if got < highest[index] {
					t.Errorf("hall-%d: got revision %d after %d, want no lower revision", index+1, got, highest[index])
				}
				highest[index] = got
			}
			select {
			case <-done:
				env.checkNewestRevision()
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
}

// changeConcurrently has three operators change the table at once. Each change
// that was reported as accepted must be in the table, and none that was reported
// as refused. A change with an unknown outcome may be there or not.
func (env *testEnv) changeConcurrently(round int) {
	base, err := env.Editor().Load(env.ctx)
	if err != nil {
		return
	}
	results := make(chan string, 3)
	for operator := range 3 {
		go func() {
			name := fmt.Sprintf("race-%d-%d", round, operator)
			_, err := env.Editor().Apply(env.ctx, base.Revision(), name, []table.Edit{table.NewPutRow(rowWithModels(name))})
			var unknownOutcome *configuration.OutcomeUnknownError
			switch {
			case err == nil:
				results <- "+" + name
			case errors.As(err, &unknownOutcome):
				results <- "?" + name
			default:
				results <- "-" + name
			}
		}()
	}
	var reported []string
	for range 3 {
		reported = append(reported, <-results)
	}
	env.Store().Memory().SetFaults(noStoreFaults)
	current, err := env.Editor().Load(env.ctx)
	if err != nil {
		env.t.Errorf("round %d: load: %v", round, err)
		return
	}
	for _, result := range reported {
		_, found := current.Row(result[1:])
		if (result[0] == '+' && !found) || (result[0] == '-' && found) {
			env.t.Errorf("round %d: result reported to the operator: %q, found in the table: %v", round, result, found)
		}
	}
}

func (env *testEnv) checkNewestRevision() {
	env.t.Helper()
	newest, err := env.Editor().Load(env.ctx)
	if err != nil {
		env.t.Fatal(err)
	}
	time.Sleep(propagationDeadline)
	for index, process := range env.Halls() {
		if got, want := process.Revision(), newest.Revision(); got != want {
			env.t.Errorf("hall-%d: got revision %d, want %d", index+1, got, want)
		}
	}
}

// disconnectHall cuts the connections between a hall and all other processes
// except callers.
func (env *testEnv) disconnectHall(name string) {
	others := []string{"store", "hostlist"}
	for index := range env.Halls() {
		others = append(others, fmt.Sprintf("hall-%d", index+1))
	}
	for index := range 6 {
		others = append(others, env.LimpetName(index))
	}
	for _, other := range others {
		if other != name {
			env.network.Cut(name, other)
		}
	}
}
