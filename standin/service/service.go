// Package service simulates a plain service. It counts how often each request ran,
// where requests with the same body are the same request, and can simulate one of
// several faults.
//
// # Usage
//
//	s, err := service.New(network.TCP{}, "127.0.0.1:0")
//	s.Start()
//	s.SetFault(service.FaultResetAfterRun)
//	runs := s.RunCount(`{"order":1}`)
package service

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
)

// Fault selects the simulated fault. It affects all requests until it is changed.
type Fault string

// Simulated faults.
const (
	// FaultNone disables all faults.
	FaultNone Fault = ""
	// FaultResetBeforeRun closes the connection without running the request.
	FaultResetBeforeRun Fault = "resetBeforeRun"
	// FaultResetAfterRun runs the request and closes the connection without a response.
	FaultResetAfterRun Fault = "resetAfterRun"
	// FaultTruncate runs the request and closes the connection in the middle of the
	// response body.
	FaultTruncate Fault = "truncate"
	// FaultHang runs the request and delays the response by hangDuration.
	FaultHang Fault = "hang"
	// FaultWrongRequestID runs the request and responds with the request ID of another
	// request.
	FaultWrongRequestID Fault = "cross"
)

// hangDuration is the delay of the response with FaultHang.
const hangDuration = 3 * time.Second

// Server is one server of the simulated service.
type Server struct {
	listener *listener.Listener

	mutex sync.Mutex
	fault Fault
	delay time.Duration
	// runCounts counts the runs by request body.
	runCounts map[string]int
	// requestHeads are the raw headers and the URI of each request.
	requestHeads []string
}

// New opens the port. Requests are served once Start has been called; port zero selects
// a free port.
func New(transport network.Network, address string) (*Server, error) {
	httpListener, err := listener.New(listener.Options{Network: transport, Address: address})
	if err != nil {
		return nil, err
	}
	s := &Server{listener: httpListener, runCounts: make(map[string]int)}
	httpListener.Router().Any("/*path", s.serve)
	return s, nil
}

// Address returns the listen address as host and port.
func (s *Server) Address() string { return s.listener.Address() }

// Start serves requests in the background.
func (s *Server) Start() { s.listener.Start() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

// SetFault replaces the simulated fault.
func (s *Server) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetDelay sets the time that each request takes before it is counted as run.
func (s *Server) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// RunCount returns how often a request with this body ran.
func (s *Server) RunCount(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runCounts[body]
}

// RunCounts returns the number of runs for each request body.
func (s *Server) RunCounts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.runCounts))
	for body, count := range s.runCounts {
		counts[body] = count
	}
	return counts
}

// RequestHeads returns the raw headers and the URI of each received request.
func (s *Server) RequestHeads() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string{}, s.requestHeads...)
}

func (s *Server) serve(_ context.Context, c *app.RequestContext) {
	s.mutex.Lock()
	fault, delay := s.fault, s.delay
	s.requestHeads = append(s.requestHeads, string(c.Request.Header.RawHeaders())+string(c.Request.RequestURI()))
	s.mutex.Unlock()
	if fault == FaultResetBeforeRun {
		closeConnection(c)
		return
	}
	time.Sleep(delay)
	body := string(c.Request.Body())
	runCount := s.countRun(body)
	switch fault {
	case FaultResetAfterRun:
		closeConnection(c)
		return
	case FaultTruncate:
		c.Response.Header.Set("X-Request-Id", string(c.GetHeader("X-Request-Id")))
		c.Response.SetBodyString("only a part")
		c.Response.Header.SetContentLength(1000)
		_, _ = c.GetConn().WriteBinary([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly a part"))
		_ = c.GetConn().Flush()
		closeConnection(c)
		return
	case FaultHang:
		time.Sleep(hangDuration)
	case FaultWrongRequestID:
		c.Header("X-Request-Id", "another-request")
	default:
		c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	}
	c.String(http.StatusOK, fmt.Sprintf(`{"runs":%d,"path":%q}`, runCount, string(c.Path())))
}

// countRun counts a run of the request and returns the number of its runs.
func (s *Server) countRun(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runCounts[body]++
	return s.runCounts[body]
}

// closeConnection closes the connection without a further response.
func closeConnection(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
