package deployment_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestAuthorizationSchemeIsCaseInsensitive sends a key with the scheme in the
// spellings that clients use.
func TestAuthorizationSchemeIsCaseInsensitive(t *testing.T) {
	runInTestEnv(t, nil, func(env *testEnv) {
		client := &http.Client{Transport: &http.Transport{DialContext: env.network.Host("curl").DialContext, DisableKeepAlives: true}}
		for _, scheme := range []string{"Bearer", "bearer", "BEARER"} {
			body := `{"model":"` + env.Model() + `","messages":[{"role":"user","content":"answer=3"}]}`
			request, err := http.NewRequestWithContext(env.ctx, http.MethodPost, "http://"+env.Halls()[0].Address()+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", scheme+" "+env.keys["kovacs"])
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
