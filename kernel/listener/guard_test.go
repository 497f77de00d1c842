package listener_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/task"
)

// TestPanicOfHandlerDoesNotEndProcess guards against processes that end because the handler of a
// request panics: the client's connection must be closed, and others must be served.
func TestPanicOfHandlerDoesNotEndProcess(t *testing.T) {
	server, err := listener.New(listener.Options{Address: "127.0.0.1:0", Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	server.Router().GET("/panic", func(context.Context, *app.RequestContext) { panic("malformed request") })
	server.Router().GET("/", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusNoContent) })
	server.Start()
	defer func() { _ = server.Close() }()
	before := task.Panics()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) (status int, err error) {
		response, err := client.Get("http://" + server.Address() + path)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	started := time.Now()
	if status, err := get("/panic"); err == nil || time.Since(started) > 2*time.Second {
		t.Errorf("request whose handler panics: got status %d and %v after %v, want the connection closed at once", status, err, time.Since(started))
	}
	if got, err := get("/"); err != nil || got != http.StatusNoContent {
		t.Errorf("next request: got status %d and %v, want %d", got, err, http.StatusNoContent)
	}
	if got, want := task.Panics()-before, int64(1); got != want {
		t.Errorf("panics: got %d, want %d", got, want)
	}
	if got := server.ActiveRequests(); got != 0 {
		t.Errorf("active requests: got %d, want none", got)
	}
}
