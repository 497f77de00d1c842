package connection_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"limpethall.dev/kernel/connection"
	"limpethall.dev/kernel/network"
)

// startServer starts a server that calls handle for each connection, numbered from
// zero, and returns its address.
func startServer(t *testing.T, handle func(number int, reader *bufio.Reader, socket net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for index := 0; ; index++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				handle(index, bufio.NewReader(socket), socket)
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a complete request and reports whether it succeeded.
func readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func writeResponse(socket net.Conn, id, body string) {
	_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+twoDigits(len(body))+"\r\n\r\n"+body)
}

func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// send sends a request and returns the body of the response with this ID.
func send(t *testing.T, pool *connection.Pool, address, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "desk.example", Header: http.Header{"User-Agent": {""}},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	exchange, err := pool.Send(ctx, address, 4, request, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	text, err := io.ReadAll(exchange.Response().Body)
	return string(text), err
}

// TestIdleConnectionReused checks that two consecutive requests use the same
// connection.
func TestIdleConnectionReused(t *testing.T) {
	address := startServer(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		for readRequest(reader) {
			writeResponse(socket, "a", twoDigits(number))
		}
	})
	pool := connection.NewPool(network.TCP{})
	for range 2 {
		got, err := send(t, pool, address, "a", "in")
		if err != nil || got != "00" {
			t.Fatalf("response: got %q and %v, want %q", got, err, "00")
		}
	}
}

// TestClosedIdleConnectionNotReused checks that a connection that the server closed
// while it was idle is detected before the next request is sent on it.
func TestClosedIdleConnectionNotReused(t *testing.T) {
	address := startServer(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		if readRequest(reader) {
			writeResponse(socket, "a", twoDigits(number))
		}
	})
	pool := connection.NewPool(network.TCP{})
	for _, want := range []string{"00", "01"} {
		got, err := send(t, pool, address, "a", "in")
		if err != nil || got != want {
			t.Fatalf("response: got %q and %v, want %q", got, err, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestUnsolicitedResponseClosesConnection guards against a second response to one
// request being taken for the response to the next request.
func TestUnsolicitedResponseClosesConnection(t *testing.T) {
	address := startServer(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		for readRequest(reader) {
			writeResponse(socket, "a", twoDigits(number))
			writeResponse(socket, "a", "99")
		}
	})
	pool := connection.NewPool(network.TCP{})
	for _, want := range []string{"00", "01"} {
		if got, err := send(t, pool, address, "a", "in"); err != nil || got != want {
			t.Fatalf("response: got %q and %v, want %q", got, err, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestMismatchedResponseSkipped checks that a late response to another request is
// skipped.
func TestMismatchedResponseSkipped(t *testing.T) {
	address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		if readRequest(reader) {
			writeResponse(socket, "other", "99")
			writeResponse(socket, "a", "11")
		}
	})
	if got, err := send(t, connection.NewPool(network.TCP{}), address, "a", "in"); err != nil || got != "11" {
		t.Fatalf("response: got %q and %v, want %q", got, err, "11")
	}
}

// TestErrorReportsUnsentRequest checks that only a failure before the request was
// sent is an UnsentError.
func TestErrorReportsUnsentRequest(t *testing.T) {
	closingAddress := startServer(t, func(int, *bufio.Reader, net.Conn) {})
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	_ = closedListener.Close()
	tests := []struct {
		name    string
		address string
		unsent  bool
	}{
		{"connection refused", closedListener.Addr().String(), true},
		{"closed without a response", closingAddress, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := send(t, connection.NewPool(network.TCP{}), tt.address, "a", "in")
			var unsent *connection.UnsentError
			if got := errors.As(err, &unsent); got != tt.unsent {
				t.Errorf("error %v is an UnsentError: got %t, want %t", err, got, tt.unsent)
			}
		})
	}
}

// TestEarlyResponseClosesConnection has the server respond before it has read a long
// body. The connection must not be reused, since the next request would follow the
// rest of that body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	connections := make(chan int, 8)
	address := startServer(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		connections <- number
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		writeResponse(socket, "a", "11")
		time.Sleep(300 * time.Millisecond)
	})
	pool := connection.NewPool(network.TCP{})
	longBody := strings.Repeat("x", 16<<20)
	for range 2 {
		if got, err := send(t, pool, address, "a", longBody); err != nil || got != "11" {
			t.Fatalf("response: got %q and %v, want %q", got, err, "11")
		}
	}
	if got := len(connections); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestConnectionLimit checks that a request beyond the connection limit fails with a
// LimitError.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		if readRequest(reader) {
			<-release
			writeResponse(socket, "a", "11")
		}
	})
	pool := connection.NewPool(network.TCP{})
	done := make(chan error, 4)
	for range 4 {
		go func() {
			_, err := send(t, pool, address, "a", "in")
			done <- err
		}()
	}
	for pool.OpenConnections(address) < 4 {
		time.Sleep(time.Millisecond)
	}
	_, err := send(t, pool, address, "a", "in")
	var limitErr *connection.LimitError
	if !errors.As(err, &limitErr) {
		t.Errorf("fifth request: got %v, want a LimitError", err)
	}
	close(release)
	for range 4 {
		if err := <-done; err != nil {
			t.Errorf("request within the limit: got %v, want none", err)
		}
	}
}

// TestLongHeaderOfResponseIsRefused guards against a server whose header takes the memory of the
// process.
func TestLongHeaderOfResponseIsRefused(t *testing.T) {
	for _, test := range []struct {
		headerBytes int
		want        bool
	}{{64 << 10, true}, {4 << 20, false}} {
		address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
			for readRequest(reader) {
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nX-Long: "+strings.Repeat("x", test.headerBytes)+"\r\n\r\n11")
			}
		})
		pool := connection.NewPool(network.TCP{})
		for range 2 {
			got, err := send(t, pool, address, "a", "in")
			var tooLong *connection.HeaderTooLongError
			if (test.want && (err != nil || got != "11")) || (!test.want && !errors.As(err, &tooLong)) {
				t.Errorf("header of %d bytes: got %q and error %v, want it read %t", test.headerBytes, got, err, test.want)
			}
		}
		pool.Close()
	}
}
