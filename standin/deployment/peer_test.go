package deployment_test

import (
	"context"
	"net/http"
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
