package deployment_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/standin/deployment"
)

// TestInternalRoutesNeedTheSharedSecret calls halls and limpets as a stranger.
func TestInternalRoutesNeedTheSharedSecret(t *testing.T) {
	inWorld(t, func(options *deployment.Options) { options.Log.Level = "" }, func(w *world) {
		own := w.network.Host("stranger")
		transport := &http.Transport{DialContext: own.DialContext, DisableKeepAlives: true}
		hall := w.Halls()[0].PeerAddress()
		good, err := secret.New([]string{deployment.Secret})
		if err != nil {
			t.Fatal(err)
		}
		const path = "/twirp/limpethall.wire.Hall/Describe"
		cases := []struct {
			name   string
			header string
			want   int
		}{
			{"nothing", "", http.StatusUnauthorized},
			{"a caller's key", "Bearer " + w.keys["kovacs"], http.StatusUnauthorized},
			{"another path's code", good.Authorization(http.MethodPost, "/stream/turn", time.Now()), http.StatusUnauthorized},
			{"an old code", good.Authorization(http.MethodPost, path, time.Now().Add(-time.Hour)), http.StatusUnauthorized},
			{"a good code", good.Authorization(http.MethodPost, path, time.Now()), http.StatusOK},
		}
		for _, c := range cases {
			request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+hall+path, strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Authorization", c.header)
			response, err := transport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			if got := response.StatusCode; got != c.want {
				t.Errorf("%s: got status %d, want %d", c.name, got, c.want)
			}
			_ = response.Body.Close()
		}
		wrong, err := secret.New([]string{strings.Repeat("wrong-", 8)})
		if err != nil {
			t.Fatal(err)
		}
		client := peer.NewClient(wrong, own)
		if _, err := client.Hall(hall).Describe(context.Background(), &wire.Empty{}); err == nil {
			t.Errorf("another secret: got an answer, want a refusal")
		}
		client.Close()
		if !containsText(w.output.String(), "peer request refused") {
			t.Errorf("the refusals were not logged")
		}
	})
}

// TestSecretsAreRolledUnderTraffic changes the shared secret of all processes
// by their file in three steps, while a program runs on.
func TestSecretsAreRolledUnderTraffic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secrets")
	first, second := strings.Repeat("first-", 8), strings.Repeat("second-", 8)
	write := func(secrets ...string) {
		if err := os.WriteFile(path, []byte(strings.Join(secrets, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(first)
	inWorld(t, func(options *deployment.Options) { options.SecretsFile = path }, func(w *world) {
		program := w.open(w.client("kovacs"), 0)
		w.turn(program, "before answer=5", false)
		for _, step := range [][]string{{first, second}, {second, first}, {second}} {
			write(step...)
			time.Sleep(10 * time.Second)
			w.turn(program, "during answer=5", false)
		}
		for text, want := range map[string]bool{first: false, second: true} {
			book, err := secret.New([]string{text})
			if err != nil {
				t.Fatal(err)
			}
			client := peer.NewClient(book, w.network.Host("operator"))
			_, err = client.Hall(w.Halls()[0].PeerAddress()).Describe(w.ctx, &wire.Empty{})
			if got := err == nil; got != want {
				t.Errorf("secret %q after the roll: got accepted %v, want %v", text[:6], got, want)
			}
			client.Close()
		}
		write("too-short")
		time.Sleep(10 * time.Second)
		w.turn(program, "after answer=5", false)
	})
}
