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

// TestInternalRoutesRequireSharedSecret calls the internal API of a hall without
// the shared secret and with invalid credentials.
func TestInternalRoutesRequireSharedSecret(t *testing.T) {
	runInTestEnv(t, func(options *deployment.Options) { options.Log.Level = "" }, func(env *testEnv) {
		strangerNetwork := env.network.Host("stranger")
		transport := &http.Transport{DialContext: strangerNetwork.DialContext, DisableKeepAlives: true}
		hallAddress := env.Halls()[0].PeerAddress()
		keyring, err := secret.New([]string{deployment.Secret})
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
			{"key of a caller", "Bearer " + env.keys["kovacs"], http.StatusUnauthorized},
			{"code for another path", keyring.Authorization(http.MethodPost, "/stream/turn", time.Now()), http.StatusUnauthorized},
			{"expired code", keyring.Authorization(http.MethodPost, path, time.Now().Add(-time.Hour)), http.StatusUnauthorized},
			{"valid code", keyring.Authorization(http.MethodPost, path, time.Now()), http.StatusOK},
		}
		for _, c := range cases {
			request, err := http.NewRequestWithContext(env.ctx, http.MethodPost, "http://"+hallAddress+path, strings.NewReader("{}"))
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
		wrongKeyring, err := secret.New([]string{strings.Repeat("wrong-", 8)})
		if err != nil {
			t.Fatal(err)
		}
		client := peer.NewClient(wrongKeyring, strangerNetwork)
		if _, err := client.Hall(hallAddress).Describe(context.Background(), &wire.Empty{}); err == nil {
			t.Errorf("another secret: got a response, want an error")
		}
		client.Close()
		if !containsText(env.logOutput.String(), "peer request refused") {
			t.Errorf("the refusals were not logged")
		}
	})
}

// TestSecretRotationUnderTraffic replaces the shared secret of all processes
// through the secrets file in three steps, while a program makes calls. An invalid
// file must not interrupt the program.
func TestSecretRotationUnderTraffic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secrets")
	first, second := strings.Repeat("first-", 8), strings.Repeat("second-", 8)
	writeSecrets := func(secrets ...string) {
		if err := os.WriteFile(path, []byte(strings.Join(secrets, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeSecrets(first)
	runInTestEnv(t, func(options *deployment.Options) { options.SecretsFile = path }, func(env *testEnv) {
		program := env.openProgram(env.client("kovacs"), 0)
		env.runTurn(program, "before answer=5", false)
		for _, step := range [][]string{{first, second}, {second, first}, {second}} {
			writeSecrets(step...)
			time.Sleep(10 * time.Second)
			env.runTurn(program, "during answer=5", false)
		}
		for text, want := range map[string]bool{first: false, second: true} {
			keyring, err := secret.New([]string{text})
			if err != nil {
				t.Fatal(err)
			}
			client := peer.NewClient(keyring, env.network.Host("operator"))
			_, err = client.Hall(env.Halls()[0].PeerAddress()).Describe(env.ctx, &wire.Empty{})
			if got := err == nil; got != want {
				t.Errorf("secret %q after the rotation: got accepted %v, want %v", text[:6], got, want)
			}
			client.Close()
		}
		writeSecrets("too-short")
		time.Sleep(10 * time.Second)
		env.runTurn(program, "after answer=5", false)
	})
}
