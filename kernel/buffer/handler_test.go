package buffer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
)

func handlerOptions(timeout time.Duration, priority buffer.Priority) buffer.HandlerOptions {
	return buffer.HandlerOptions{MaxBytes: 1 << 20, Timeout: timeout, Priority: func(*http.Request) buffer.Priority { return priority }, Logger: zap.NewNop()}
}

// TestCallKeepsMemoryUntilItsReplyIsWritten guards against calls whose decoded message, or whose
// reply, is not counted.
func TestCallKeepsMemoryUntilItsReplyIsWritten(t *testing.T) {
	const size = 100_000
	budget := buffer.NewBudget(1 << 20)
	handler := budget.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) != size {
			t.Errorf("got %d bytes and error %v, want %d bytes", len(body), err, size)
		}
		if got, want := budget.Used(), int64(2*size); got < want {
			t.Errorf("while the call is answered: got %d bytes in use, want at least %d", got, want)
		}
		if err := buffer.FromContext(r.Context()).Take(5000); err != nil {
			t.Errorf("got error %v, want none", err)
		}
		w.WriteHeader(http.StatusNoContent)
	}), handlerOptions(time.Second, buffer.PriorityRunning))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
	if got := budget.Used(); recorder.Code != http.StatusNoContent || got != 0 {
		t.Errorf("got status %d and %d bytes in use at the end, want %d and 0", recorder.Code, got, http.StatusNoContent)
	}
}

// TestRefusedCallIsToldFromFailedOne guards against callers that take a process without memory
// for a failed one, and against finished work that is refused before new work.
func TestRefusedCallIsToldFromFailedOne(t *testing.T) {
	budget := buffer.NewBudget(1 << 20)
	used := budget.Open(buffer.PriorityStarted)
	defer used.Release()
	if err := used.Take(budget.Limit() / 10 * 8); err != nil {
		t.Fatal(err)
	}
	for priority, want := range map[buffer.Priority]int{buffer.PriorityNew: http.StatusServiceUnavailable, buffer.PriorityStarted: http.StatusOK} {
		handler := budget.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), handlerOptions(time.Second, priority))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader("call")))
		if got := recorder.Code; got != want {
			t.Errorf("priority %d: got status %d, want %d", priority, got, want)
		}
		if got := recorder.Body.String(); want != http.StatusOK && !strings.Contains(got, `"code":"unavailable"`) {
			t.Errorf("priority %d: got %q, want the code unavailable", priority, got)
		}
	}
}

// TestReplyThatNobodyTakesEnds guards against replies that keep memory for as long as a caller
// does not read, and against a time limit that ends later calls on the connection.
func TestReplyThatNobodyTakesEnds(t *testing.T) {
	const timeout = 200 * time.Millisecond
	budget := buffer.NewBudget(64 << 20)
	ended := make(chan error, 1)
	server := httptest.NewServer(budget.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := 10
		if r.URL.Path == "/large" {
			size = 32 << 20
		}
		_, err := w.Write(make([]byte, size))
		ended <- err
	}), handlerOptions(timeout, buffer.PriorityRunning)))
	defer server.Close()
	for range 2 {
		response, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatalf("small reply: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Errorf("small reply: got %v, want it whole", err)
		}
		_ = response.Body.Close()
		if err := <-ended; err != nil {
			t.Errorf("small reply: got %v, want none", err)
		}
		time.Sleep(2 * timeout)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := fmt.Fprint(connection, "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatalf("write: %v", err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("reply that nobody takes: got no error, want one")
		}
	case <-ctx.Done():
		t.Error("reply that nobody takes: still being written after 10 s")
	}
}
