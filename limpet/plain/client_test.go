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

// TestEarlyAnswerThatIsResetIsTruncated guards against taking the beginning of an answer for
// all of it: a service answers a long upload before it has read it, without a length, and
// resets the connection while the upload is written. The writer may consume the error of the
// connection, so that the reader sees its end alone. It is repeated, as both of them race.
func TestEarlyAnswerThatIsResetIsTruncated(t *testing.T) {
	upload := make([]byte, 16<<20)
	for range 40 {
		client := plain.New(network.TCP{}, serveOnce(t, "HTTP/1.1 200 OK\r\n\r\npart", true))
		_, err := client.Call(t.Context(), "call-1", &wire.ServiceCall{Method: http.MethodPost, Path: "/", Body: upload}, true, func(*wire.ServiceHead) {}, func([]byte) {})
		var failed *failure.Error
		if !errors.As(err, &failed) || (failed.Code() != failure.CodeTruncatedAnswer && failed.Code() != failure.CodeOutcomeUnknown) {
			t.Fatalf("answer that was reset: got %v, want a truncated answer or an unknown outcome", err)
		}
	}
}

// TestAnswerWithInvalidStatusIsUnknown guards against passing on an answer whose status is not
// one of HTTP, such as 000 of a service in trouble.
func TestAnswerWithInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		client := plain.New(network.TCP{}, serveOnce(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nno", false))
		passedOn := false
		_, err := client.Call(t.Context(), "call-1", &wire.ServiceCall{Method: http.MethodGet, Path: "/"}, true, func(*wire.ServiceHead) { passedOn = true }, func([]byte) {})
		var failed *failure.Error
		if !errors.As(err, &failed) || failed.Code() != failure.CodeOutcomeUnknown || passedOn {
			t.Errorf("status %s: got %v, passed on: %t, want an unknown outcome", status, err, passedOn)
		}
	}
}
