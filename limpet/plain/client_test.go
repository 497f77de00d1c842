package plain_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/plain"
)

// serveOnce answers one request with the bytes given and ends the connection, by a reset
// if reset is set.
func serveOnce(t *testing.T, answer string, reset bool) (address string) {
	t.Helper()
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		_, _ = connection.Write([]byte(answer)) // A failure shows in the answer.
		if reset {
			time.Sleep(50 * time.Millisecond) // Lets the client read the data first.
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
	}()
	return listener.Addr().String()
}

// TestAnswerThatEndsWithItsConnection guards against whole answers of a service that are
// refused because they have neither a length nor chunks, and against ones that were cut
// off and count as whole.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole"
	tests := []struct {
		name   string
		answer string
		reset  bool
		whole  bool
	}{
		{"ends with its connection", unframed, false, true},
		{"reset, though the bytes look whole", unframed, true, false},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", false, false},
		{"chunks without the last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false, false},
	}
	for _, tt := range tests {
		client := plain.New(network.TCP{}, serveOnce(t, tt.answer, tt.reset))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		body := ""
		_, err := client.Call(ctx, "call-1", &wire.ServiceCall{Method: http.MethodGet, Path: "/"}, true, func(*wire.ServiceHead) {}, func(data []byte) { body += string(data) })
		cancel()
		var failed *failure.Error
		switch {
		case tt.whole && (err != nil || body != "whole"):
			t.Errorf("%s: got %q and %v, want the whole answer", tt.name, body, err)
		case !tt.whole && (!errors.As(err, &failed) || failed.Code() != failure.CodeTruncatedAnswer):
			t.Errorf("%s: got %v, want a truncated answer", tt.name, err)
		}
	}
}
