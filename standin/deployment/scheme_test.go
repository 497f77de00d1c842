package deployment_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestSchemeOfTheKeyInAnyCase shows a key as other clients spell it.
func TestSchemeOfTheKeyInAnyCase(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		client := &http.Client{Transport: &http.Transport{DialContext: w.network.Host("curl").DialContext, DisableKeepAlives: true}}
		for _, scheme := range []string{"Bearer", "bearer", "BEARER"} {
			body := `{"model":"` + w.Model() + `","messages":[{"role":"user","content":"answer=3"}]}`
			request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+w.Halls()[0].Address()+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", scheme+" "+w.keys["kovacs"])
			response, err := client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := response.StatusCode, http.StatusOK; got != want {
				t.Errorf("%s: got status %d, want %d", scheme, got, want)
			}
			_ = response.Body.Close()
		}
	})
}
