package connection_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limpethall.dev/kernel/connection"
	"limpethall.dev/kernel/network"
)

// TestTransportKeepsConnections guards against a call that dials although a connection is idle,
// against a connection that is used again although its response was not read, and against idle
// connections that are kept without limit after many calls at the same time.
func TestTransportKeepsConnections(t *testing.T) {
	var dialed, open atomic.Int64
	address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		dialed.Add(1)
		open.Add(1)
		defer open.Add(-1)
		for readRequest(reader) {
			writeResponse(socket, "a", "whole")
		}
	})
	transport := connection.NewTransport(network.TCP{}, 2)
	client := &http.Client{Transport: transport}
	call := func() *http.Response {
		response, err := client.Post("http://"+address+"/x", "text/plain", strings.NewReader("in"))
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		return response
	}
	readWhole := func(response *http.Response) {
		text, err := io.ReadAll(response.Body)
		if err != nil || string(text) != "whole" {
			t.Errorf("response: got %q and %v, want %q", text, err, "whole")
		}
		_ = response.Body.Close()
	}
	for range 3 {
		readWhole(call())
	}
	if got := dialed.Load(); got != 1 {
		t.Errorf("connections after three calls: got %d, want 1", got)
	}
	_ = call().Body.Close() // Without reading it.
	readWhole(call())
	if got := dialed.Load(); got != 2 {
		t.Errorf("connections after a response that was not read: got %d, want 2", got)
	}
	responses := []*http.Response{call(), call(), call(), call()}
	var group sync.WaitGroup
	for _, response := range responses {
		group.Go(func() { readWhole(response) })
	}
	group.Wait()
	awaitOpen(t, &open, 2)
	transport.CloseIdleConnections()
	awaitOpen(t, &open, 0)
}

// TestTransportReportsUnsentCall guards against a failure to connect that is taken for a call
// that the server may have executed.
func TestTransportReportsUnsentCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	_ = listener.Close()
	client := &http.Client{Transport: connection.NewTransport(network.TCP{}, 2)}
	response, err := client.Post("http://"+listener.Addr().String()+"/x", "text/plain", strings.NewReader("in"))
	if err == nil {
		_ = response.Body.Close()
	}
	if unsent, found := errors.AsType[*connection.UnsentError](err); !found {
		t.Errorf("call to a closed port: got %v and %v, want an UnsentError", unsent, err)
	}
}

func awaitOpen(t *testing.T, open *atomic.Int64, want int64) {
	t.Helper()
	for range 200 {
		if open.Load() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("open connections: got %d, want %d", open.Load(), want)
}
