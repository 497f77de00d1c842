package httpserver_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/httpserver"
	"limpethall.dev/kernel/network"
)

// ends are the ways to end a server.
var ends = map[string]func(server *httpserver.Server) error{
	"stop":  func(server *httpserver.Server) error { return server.Stop(context.Background()) },
	"close": (*httpserver.Server).Close,
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := network.NewWaiting(t.Context(), network.TCP{}, zap.NewNop()).TryListen([]string{address})
	if err != nil {
		t.Fatalf("listen on %s: got %v, want it free", address, err)
	}
	return listener
}

func newServer() *httpserver.Server {
	return httpserver.New(&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}, zap.NewNop())
}

// TestEndFreesAddress guards against processes that wait for an address that a server of theirs
// still has after its end, because the goroutine that serves it had not begun.
func TestEndFreesAddress(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // Goroutines that were started begin late.
	for name, end := range ends {
		address := "127.0.0.1:0"
		for round := range 200 {
			listener, server := listen(t, address), newServer()
			address = listener.Addr().String()
			server.Start(listener)
			if round%2 == 1 {
				runtime.Gosched()
			}
			if err := end(server); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
	}
}

// TestStartAfterEndFreesAddress guards against servers that keep an address, or serve it, when
// they are started late.
func TestStartAfterEndFreesAddress(t *testing.T) {
	for name, end := range ends {
		listener, server := listen(t, "127.0.0.1:0"), newServer()
		for range 2 {
			if err := end(server); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		server.Start(listener)
		_ = listen(t, listener.Addr().String()).Close()
	}
}

// TestEndsAtOnce guards against servers that panic, block or keep an address when they are
// started and ended by several goroutines.
func TestEndsAtOnce(t *testing.T) {
	address := "127.0.0.1:0"
	for range 100 {
		listener, server := listen(t, address), newServer()
		address = listener.Addr().String()
		var running sync.WaitGroup
		running.Go(func() { server.Start(listener) })
		for _, end := range ends {
			running.Go(func() {
				if err := end(server); err != nil {
					t.Errorf("end: %v", err)
				}
			})
		}
		running.Wait()
	}
}
