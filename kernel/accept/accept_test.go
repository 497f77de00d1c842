package accept_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/accept"
	"limpethall.dev/kernel/buffer"
)

// connections is how many connections the servers of the tests have memory for.
const connections = 8

// server is a server whose requests to /wait last until release is closed.
type server struct {
	t       *testing.T
	address string
	memory  *buffer.Budget
	limiter *accept.Limiter
	release chan struct{}
	serving atomic.Int64
}

func startServer(t *testing.T) *server {
	t.Helper()
	memory := buffer.NewBudget(2 * connections * accept.ConnectionBytes)
	limiter := accept.New(accept.Options{Memory: memory, Parts: 2, Priority: buffer.PriorityNew, Logger: zap.NewNop()})
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &server{t: t, address: listener.Addr().String(), memory: memory, limiter: limiter, release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) {
		s.serving.Add(1)
		<-s.release
	})
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	httpServer := &http.Server{Handler: mux, ConnState: limiter.ConnState, MaxHeaderBytes: 256 << 10, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = httpServer.Serve(limiter.Listener(listener)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

// client is a connection to the server.
type client struct {
	server     *server
	connection net.Conn
	reader     *bufio.Reader
}

func (s *server) connect() *client {
	s.t.Helper()
	connection, err := (&net.Dialer{}).DialContext(s.t.Context(), "tcp", s.address)
	if err != nil {
		s.t.Fatalf("dial: %v", err)
	}
	s.t.Cleanup(func() { _ = connection.Close() })
	return &client{server: s, connection: connection, reader: bufio.NewReader(connection)}
}

func (c *client) send(text string) {
	c.server.t.Helper()
	if _, err := io.WriteString(c.connection, text); err != nil {
		c.server.t.Errorf("send: %v", err)
	}
}

// answer returns the next response, nil if the connection ends or is silent.
func (c *client) answer() *http.Response {
	c.server.t.Helper()
	if err := c.connection.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		c.server.t.Fatalf("set the deadline: %v", err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body) // The status is what counts.
	_ = response.Body.Close()
	return response
}

func (c *client) status() int {
	c.server.t.Helper()
	if response := c.answer(); response != nil {
		return response.StatusCode
	}
	return 0
}

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// wantRefused wants a promise that the request has not run, and the end of the connection.
func (c *client) wantRefused(description string) {
	c.server.t.Helper()
	response := c.answer()
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		c.server.t.Errorf("%s: got %+v, want 503 with Retry-After that closes the connection", description, response)
		return
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.server.t.Errorf("%s: got error %v after the answer, want the end", description, err)
	}
}

func (s *server) awaitUsed(want int64) {
	s.t.Helper()
	s.await("bytes of connections in use", s.limiter.Used, want)
	s.await("bytes of the budget in use", s.memory.Used, want)
}

func (s *server) await(what string, value func() int64, want int64) {
	s.t.Helper()
	for deadline := time.Now().Add(3 * time.Second); value() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: got %d, want %d", what, value(), want)
		}
	}
}

// TestConnectionsAreBounded guards against connections that take the memory of the process:
// idle ones are given up, and beside requests in progress further ones are refused.
func TestConnectionsAreBounded(t *testing.T) {
	s := startServer(t)
	var clients []*client
	for index := range connections {
		c := s.connect()
		c.send(request("/"))
		if got := c.status(); got != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", index, got)
		}
		clients = append(clients, c)
		s.await("connections that wait", s.limiter.Waiting, int64(index+1)) // So that the order is known.
	}
	s.awaitUsed(connections * accept.ConnectionBytes)
	if !s.limiter.Crowded() {
		t.Errorf("got room for connections, want none")
	}
	clients[0].send(request("/"))
	if got := clients[0].status(); got != http.StatusOK {
		t.Errorf("request on a kept connection: got status %d, want 200", got)
	}
	s.await("connections that wait", s.limiter.Waiting, connections)
	early := s.connect()
	early.send(request("/wait"))
	early.wantRefused("connection beside those that may go on at once")
	time.Sleep(accept.MinWait)
	waiting := s.connect()
	waiting.send(request("/wait"))
	if got := clients[1].status(); got != 0 {
		t.Errorf("oldest idle connection: got status %d, want it closed", got)
	}
	for _, c := range append([]*client{clients[0]}, clients[2:]...) {
		c.send(request("/wait"))
	}
	s.await("requests in progress", s.serving.Load, connections)
	refused := s.connect()
	refused.send(request("/wait"))
	refused.wantRefused("connection beside requests in progress")
	close(s.release)
	for _, c := range append([]*client{clients[0], waiting}, clients[2:]...) {
		if got := c.status(); got != http.StatusOK {
			t.Errorf("request in progress: got status %d, want 200", got)
		}
		_ = c.connection.Close()
	}
	s.awaitUsed(0)
	if got := s.limiter.Refused(); got != 2 {
		t.Errorf("got %d connections refused, want 2", got)
	}
	if got := s.limiter.GivenUp(); got != 1 {
		t.Errorf("got %d connections given up, want 1", got)
	}
}

// TestRequestsComeBeforeIdleConnections guards against requests that are refused for memory
// that idle connections use.
func TestRequestsComeBeforeIdleConnections(t *testing.T) {
	s := startServer(t)
	for range connections {
		c := s.connect()
		c.send(request("/"))
		if got := c.status(); got != http.StatusOK {
			t.Fatalf("got status %d, want 200", got)
		}
	}
	s.await("connections that wait", s.limiter.Waiting, connections)
	time.Sleep(accept.MinWait)
	account := s.memory.Open(buffer.PriorityStarted)
	defer account.Release()
	if err := account.Take(s.memory.Limit() - accept.ConnectionBytes - 1); err != nil {
		t.Errorf("memory of all idle connections but one: got error %v, want it", err)
	}
	if got, want := s.limiter.Open(), int64(1); got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	if err := account.Take(accept.ConnectionBytes + 2); err == nil {
		t.Errorf("more than the budget: got no error, want one")
	}
	if got, want := s.limiter.Open(), int64(1); got != want {
		t.Errorf("after a refusal: got %d connections, want %d", got, want)
	}
}

// TestHeadersAreCountedAsTheyArrive guards against long headers that take memory before any
// request is counted. The refusal must not wait for their end.
func TestHeadersAreCountedAsTheyArrive(t *testing.T) {
	s := startServer(t)
	c := s.connect()
	c.send("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 16<<10) + "\r\n")
	c.send("\r\n")
	if got := c.status(); got != http.StatusOK {
		t.Errorf("header of 16 KB: got status %d, want 200", got)
	}
	s.awaitUsed(accept.ConnectionBytes)
	c.send("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 128<<10))
	c.wantRefused("header of 128 KB")
	s.awaitUsed(0)
	for index := range connections {
		if got := func() int { c := s.connect(); c.send(request("/")); return c.status() }(); got != http.StatusOK {
			t.Errorf("request %d after the long header: got status %d, want 200", index, got)
		}
	}
}

// TestIdleConnectionIsNotGivenUpWithRequest guards against connections that are closed as idle
// although their request is passed on.
func TestIdleConnectionIsNotGivenUpWithRequest(t *testing.T) {
	s := startServer(t)
	c := s.connect()
	c.send(request("/wait") + request("/wait"))
	s.await("requests in progress", s.serving.Load, 1)
	account := s.memory.Open(buffer.PriorityStarted)
	defer account.Release()
	if err := account.Take(s.memory.Limit()); err == nil {
		t.Errorf("got the memory of a connection in use, want a refusal")
	}
	close(s.release)
	for index := range 2 {
		if got := c.status(); got != http.StatusOK {
			t.Errorf("request %d: got status %d, want 200", index, got)
		}
	}
}

// TestSilentConnectionsAreGivenUp guards against connections without a request that keep
// clients with requests away.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	s := startServer(t)
	for range connections {
		s.connect()
	}
	s.awaitUsed(connections * accept.ConnectionBytes)
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		c := s.connect()
		c.send(request("/"))
		if c.status() == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("got no request served in time, want one")
		}
	}
}
