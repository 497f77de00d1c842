package connection_test

import (
	"bufio"
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

// longUpload is larger than the send buffers of a connection.
const longUpload = 16 << 20

// TestEarlyResponseThatIsResetIsBroken guards against taking the beginning of a response
// for all of it: if the server resets the connection while the request is still being
// written, the writer may consume the error of the connection, so that the reader sees its
// end alone.
func TestEarlyResponseThatIsResetIsBroken(t *testing.T) {
	address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		time.Sleep(100 * time.Millisecond)
		_ = socket.(*net.TCPConn).SetLinger(0)
	})
	exchange := openUpload(t, address)
	defer exchange.Close()
	time.Sleep(300 * time.Millisecond) // The writer meets the reset before the response is read.
	got, err := io.ReadAll(exchange.Response().Body)
	if err == nil {
		t.Errorf("response that was reset: got %q as its whole body, want an error", got)
	}
}

// TestEarlyResponseWithoutLength checks that a response which ends with its connection is
// whole if the server reads the request to its end, although it answered before.
func TestEarlyResponseWithoutLength(t *testing.T) {
	address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		_ = socket.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond) // The response ends while the request is being written.
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(100 * time.Millisecond)
	})
	exchange := openUpload(t, address)
	defer exchange.Close()
	got, err := io.ReadAll(exchange.Response().Body)
	if err != nil || string(got) != "whole" {
		t.Errorf("response: got %q and %v, want %q", got, err, "whole")
	}
}

func openUpload(t *testing.T, address string) *connection.Exchange {
	t.Helper()
	pool := connection.NewPool(network.TCP{})
	t.Cleanup(pool.Close)
	body := strings.Repeat("x", longUpload)
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "desk.example", Header: http.Header{"User-Agent": {""}},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	exchange, err := pool.Send(t.Context(), address, 4, request, func(*http.Response) bool { return true })
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	return exchange
}

// TestResponseWithInvalidStatusIsBroken guards against passing on a response whose status is
// not one of HTTP: a server in trouble sent the status 000.
func TestResponseWithInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := startServer(t, func(_ int, reader *bufio.Reader, socket net.Conn) {
			if readRequest(reader) {
				_, _ = io.WriteString(socket, "HTTP/1.1 "+status+" Trouble\r\nId: a\r\nContent-Length: 2\r\n\r\nno")
			}
		})
		got, err := send(t, connection.NewPool(network.TCP{}), address, "a", "")
		var incomplete *connection.IncompleteResponseError
		if !errors.As(err, &incomplete) {
			t.Errorf("status %s: got %q and %v, want an IncompleteResponseError", status, got, err)
		}
	}
}
