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

// forceBound is within how long an accepted change must be in force.
const forceBound = 5 * time.Second

func (w *world) change(edits ...table.Edit) {
	w.t.Helper()
	if err := w.Change(w.ctx, edits...); err != nil {
		w.t.Fatalf("change: %v", err)
	}
}

func (w *world) keyID(workspace string) string {
	id, _, _ := key.Split(w.keys[workspace])
	return id
}

// at returns a client that uses one hall only.
func (w *world) at(workspace string, index int) *caller.Client {
	address := w.Halls()[index].Address()
	return w.clientAt(workspace, func() string { return address })
}

func listModels(ctx context.Context, client *caller.Client) error {
	_, _, err := client.Do(ctx, http.MethodGet, "/v1/models", nil, nil)
	return err
}

func TestWithdrawnKeyStopsWithinSeconds(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *world)
	}{
		{"all is well", func(*world) {}},
		{"one hall is cut off from the store", func(w *world) { w.network.Cut("hall-1", "store") }},
		{"one hall is cut off from the store and two halls", func(w *world) {
			w.network.Cut("hall-1", "store")
			w.network.Cut("hall-1", "hall-2")
			w.network.Cut("hall-1", "hall-3")
		}},
		{"the store is slow", func(w *world) { w.Store().Memory().SetFaults(memory.Faults{DelayMilliseconds: 300}) }},
		{"one hall's connections went silent", func(w *world) {
			w.network.Freeze("hall-1", "store")
			w.network.Freeze("hall-1", "hall-2")
		}},
		{"one hall hears nobody at all", func(w *world) { w.isolate("hall-1") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, nil, func(w *world) {
				c.fault(w)
				w.change(table.NewWithdrawKey(w.keyID("kovacs")))
				time.Sleep(forceBound)
				for index := range w.Halls() {
					if err := listModels(w.ctx, w.at("kovacs", index)); err == nil {
						t.Errorf("hall-%d: got an answer for a withdrawn key, want a refusal", index+1)
					}
				}
				if err := listModels(w.ctx, w.at("falares", 1)); err != nil {
					t.Errorf("another key: got %v, want an answer", err)
				}
			})
		})
	}
}

func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		go func() {
			time.Sleep(time.Second)
			w.change(table.NewWithdrawKey(w.keyID("kovacs")))
		}()
		began := time.Now()
		_, err := program.TurnOnce(w.ctx, w.Model(), "endless answer=100000", true)
		if got, want := caller.IsCode(err, "keyWithdrawn"), true; got != want {
			t.Errorf("end of the stream: got %v, want code keyWithdrawn", err)
		}
		if got := time.Since(began); got > time.Second+forceBound {
			t.Errorf("stream went on for %s after the withdrawal, want at most %s", got-time.Second, forceBound)
		}
	})
}

func TestNoServerSeesAKey(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		secret := w.keys["kovacs"]
		header := http.Header{"Cookie": []string{"k=" + secret}, "X-Api-Key": []string{secret}, "Accept": []string{"text/plain"}}
		if _, _, err := post(w.ctx, w.client("kovacs"), "/v1/services/orders/book?api_key="+secret+"&Token="+secret+"&page=2", header, `{}`); err != nil {
			t.Fatal(err)
		}
		seen := false
		for _, running := range w.Services() {
			for _, text := range running.Seen() {
				if containsText(text, secret[20:]) {
					t.Errorf("service saw the key in %q", text)
				}
				seen = seen || containsText(text, "page=2") && containsText(text, "text/plain")
			}
		}
		if !seen {
			t.Errorf("service did not see the allowed header and parameter")
		}
	})
}

// TestNoSecretInLogsMetricsOrErrors looks through everything that a run with
// good, bad and withdrawn keys prints.
func TestNoSecretInLogsMetricsOrErrors(t *testing.T) {
	inWorld(t, func(options *deployment.Options) { options.Log.Level = "" }, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		w.turn(program, "question answer=8", true)
		if _, err := program.Tool(w.ctx, deployment.ServiceName, "/book", []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
		w.keys["forged"] = w.keys["kovacs"][:30] + "0000"
		texts := []string{fmt.Sprint(listModels(w.ctx, w.client("forged")))}
		w.KillHall(0)
		w.KillLimpet(0)
		w.turn(program, "again answer=8", false)
		w.change(table.NewWithdrawKey(w.keyID("kovacs")))
		time.Sleep(forceBound)
		texts = append(texts, fmt.Sprint(listModels(w.ctx, w.client("kovacs"))))
		_, scraped, err := w.at("falares", 1).Do(w.ctx, http.MethodGet, "/metrics", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(scraped), w.output.String())
		for _, name := range []string{"kovacs", "falares", "forged"} {
			_, secret, _ := key.Split(w.keys[name])
			for _, text := range texts {
				if containsText(text, secret) {
					t.Errorf("the key of %s was printed", name)
				}
			}
		}
		for _, text := range texts {
			if containsText(text, deployment.Secret) {
				t.Errorf("the shared secret was printed")
			}
		}
		if got, least := len(w.output.String()), 10_000; got < least {
			t.Errorf("logs looked through: got %d bytes, want at least %d", got, least)
		}
	})
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		anonymous := w.clientAt("nobody", func() string { return w.Addresses()[0] })
		if _, _, err := anonymous.Do(w.ctx, http.MethodGet, "/v1/services/orders/status", nil, nil); err != nil {
			t.Errorf("open route: got %v, want an answer", err)
		}
		_, _, err := post(w.ctx, anonymous, "/v1/services/orders/book", nil, `{}`)
		checkError(t, "closed route", err, "unauthorized", "notRun")
		_, _, err = anonymous.Do(w.ctx, http.MethodGet, "/v1/services/orders/statusreport", nil, nil)
		checkError(t, "route with the same beginning", err, "unauthorized", "notRun")
	})
}

// TestOutageOfTheStore takes the store away for minutes under traffic.
func TestOutageOfTheStore(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		// The shares of the rates spread first: while the store is down, the
		// share of a hall that dies can't be given to another one.
		time.Sleep(10 * time.Second)
		client := w.client("kovacs")
		program := w.open(client, 0)
		w.turn(program, "before answer=8", false)
		w.Store().Memory().SetFaults(memory.Faults{Down: true})
		for minute := range 5 {
			w.turn(program, "during answer=8", true)
			if _, err := program.Tool(w.ctx, deployment.ServiceName, "/book", []byte(fmt.Sprintf(`{"minute":%d}`, minute))); err != nil {
				t.Errorf("tool in minute %d of the outage: %v", minute, err)
			}
			time.Sleep(time.Minute / 2)
		}
		w.KillHall(1)
		w.turn(program, "after a death in the outage answer=8", false)
		w.Store().Memory().SetFaults(healthy)
		time.Sleep(20 * time.Second)
		w.turn(program, "after answer=8", false)
		w.change(table.NewPutRow(rowWithModels("third")))
		time.Sleep(forceBound)
		for index, running := range w.Halls() {
			if running != nil && running.Revision() < 4 {
				t.Errorf("hall-%d after the outage: got revision %d, want the newest", index+1, running.Revision())
			}
		}
	})
}

// TestAcceptedChangesNeverRevert watches every hall's revision while the
// store fails in every way and operators race.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			for round, faults := range []memory.Faults{
				{}, {LoseAnswers: true}, {Down: true}, {DelayMilliseconds: 400}, {Gap: true}, {LoseAnswers: true, DelayMilliseconds: 200}, {},
			} {
				w.Store().Memory().SetFaults(faults)
				w.race(round)
				time.Sleep(4 * time.Second)
			}
		}()
		highest := make([]uint64, len(w.Halls()))
		for {
			for index, running := range w.Halls() {
				got := running.Revision()
				if got < highest[index] {
					t.Errorf("hall-%d: got revision %d after %d, want none lower", index+1, got, highest[index])
				}
				highest[index] = got
			}
			select {
			case <-done:
				w.checkInForce()
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
}

// race lets three operators change the table at once. Each change that was
// reported as accepted must be found, each refused one must not.
func (w *world) race(round int) {
	base, err := w.Editor().Load(w.ctx)
	if err != nil {
		return
	}
	accepted := make(chan string, 3)
	for operator := range 3 {
		go func() {
			name := fmt.Sprintf("race-%d-%d", round, operator)
			_, err := w.Editor().Apply(w.ctx, base.Revision(), name, []table.Edit{table.NewPutRow(rowWithModels(name))})
			var unsettled *configuration.UnsettledError
			switch {
			case err == nil:
				accepted <- "+" + name
			case errors.As(err, &unsettled):
				accepted <- "?" + name
			default:
				accepted <- "-" + name
			}
		}()
	}
	var told []string
	for range 3 {
		told = append(told, <-accepted)
	}
	w.Store().Memory().SetFaults(healthy)
	current, err := w.Editor().Load(w.ctx)
	if err != nil {
		w.t.Errorf("round %d: load: %v", round, err)
		return
	}
	for _, text := range told {
		_, found := current.Row(text[1:])
		if (text[0] == '+' && !found) || (text[0] == '-' && found) {
			w.t.Errorf("round %d: operator was told %q, row found: %v", round, text, found)
		}
	}
}

func (w *world) checkInForce() {
	w.t.Helper()
	newest, err := w.Editor().Load(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(forceBound)
	for index, running := range w.Halls() {
		if got, want := running.Revision(), newest.Revision(); got != want {
			w.t.Errorf("hall-%d: got revision %d, want %d", index+1, got, want)
		}
	}
}

// isolate cuts a host off from everybody but callers.
func (w *world) isolate(name string) {
	others := []string{"store", "hostlist"}
	for index := range w.Halls() {
		others = append(others, fmt.Sprintf("hall-%d", index+1))
	}
	for index := range 6 {
		others = append(others, w.LimpetName(index))
	}
	for _, other := range others {
		if other != name {
			w.network.Cut(name, other)
		}
	}
}
