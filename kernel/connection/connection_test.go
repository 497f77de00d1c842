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

// serve answers each connection with script, which gets its number from zero.
func serve(t *testing.T, script func(number int, reader *bufio.Reader, socket net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				script(number, bufio.NewReader(socket), socket)
			}()
		}
	}()
	return listener.Addr().String()
}

// take reads one request whole and reports whether there was one.
func take(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func answer(socket net.Conn, id, body string) {
	_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// send returns the body of the answer with that ID.
func send(t *testing.T, pool *connection.Pool, address, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "desk.example", Header: http.Header{"User-Agent": {""}},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	exchange, err := pool.Send(ctx, address, 4, request, []byte(body), func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	text, err := io.ReadAll(exchange.Response().Body)
	return string(text), err
}

// TestIdleConnectionIsUsedAgain wants two requests on one connection.
func TestIdleConnectionIsUsedAgain(t *testing.T) {
	address := serve(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		for take(reader) {
			answer(socket, "a", itoa(number))
		}
	})
	pool := connection.NewPool(network.TCP{})
	for range 2 {
		got, err := send(t, pool, address, "a", "in")
		if err != nil || got != "00" {
			t.Fatalf("answer: got %q and %v, want %q", got, err, "00")
		}
	}
}

// TestClosedIdleConnectionCostsNothing wants a connection that its server closed
// while idle to be noticed before a request goes out on it.
func TestClosedIdleConnectionCostsNothing(t *testing.T) {
	address := serve(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		if take(reader) {
			answer(socket, "a", itoa(number))
		}
	})
	pool := connection.NewPool(network.TCP{})
	for _, want := range []string{"00", "01"} {
		got, err := send(t, pool, address, "a", "in")
		if err != nil || got != want {
			t.Fatalf("answer: got %q and %v, want %q", got, err, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestExtraAnswerEndsTheConnection has the server send a second answer after
// the first: nobody may take it for the answer to the next request.
func TestExtraAnswerEndsTheConnection(t *testing.T) {
	address := serve(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		for take(reader) {
			answer(socket, "a", itoa(number))
			answer(socket, "a", "99")
		}
	})
	pool := connection.NewPool(network.TCP{})
	for _, want := range []string{"00", "01"} {
		if got, err := send(t, pool, address, "a", "in"); err != nil || got != want {
			t.Fatalf("answer: got %q and %v, want %q", got, err, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestAnswerToAnotherRequestIsPassedOver has a late answer come first.
func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	address := serve(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		if take(reader) {
			answer(socket, "other", "99")
			answer(socket, "a", "11")
		}
	})
	if got, err := send(t, connection.NewPool(network.TCP{}), address, "a", "in"); err != nil || got != "11" {
		t.Fatalf("answer: got %q and %v, want %q", got, err, "11")
	}
}

// TestErrorsTellWhatMayHaveRun goes through failures before and after the
// request left.
func TestErrorsTellWhatMayHaveRun(t *testing.T) {
	closed := serve(t, func(int, *bufio.Reader, net.Conn) {})
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	_ = refusing.Close()
	cases := []struct {
		name    string
		address string
		unsent  bool
	}{
		{"nothing listens", refusing.Addr().String(), true},
		{"closed without an answer", closed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := send(t, connection.NewPool(network.TCP{}), c.address, "a", "in")
			var unsent *connection.UnsentError
			if got := errors.As(err, &unsent); got != c.unsent {
				t.Errorf("error %v says that nothing was sent: got %t, want %t", err, got, c.unsent)
			}
		})
	}
}

// TestEarlyAnswerEndsTheConnection has the server answer before it has read a
// long body: what is left of the body must not be followed by a request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	connections := make(chan int, 8)
	address := serve(t, func(number int, reader *bufio.Reader, socket net.Conn) {
		connections <- number
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer(socket, "a", "11")
		time.Sleep(300 * time.Millisecond)
	})
	pool := connection.NewPool(network.TCP{})
	long := strings.Repeat("x", 16<<20)
	for range 2 {
		if got, err := send(t, pool, address, "a", long); err != nil || got != "11" {
			t.Fatalf("answer: got %q and %v, want %q", got, err, "11")
		}
	}
	if got := len(connections); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestLimit wants no more connections than allowed.
func TestLimit(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		if take(reader) {
			<-release
			answer(socket, "a", "11")
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
	for pool.Open(address) < 4 {
		time.Sleep(time.Millisecond)
	}
	_, err := send(t, pool, address, "a", "in")
	var full *connection.FullError
	if !errors.As(err, &full) {
		t.Errorf("fifth request: got %v, want a FullError", err)
	}
	close(release)
	for range 4 {
		if err := <-done; err != nil {
			t.Errorf("request within the limit: got %v, want none", err)
		}
	}
}
