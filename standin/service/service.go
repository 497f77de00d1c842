// Package service is the stand-in for a plain service. It counts how often
// each request ran, by its identifier and by its body, and has a switch for
// each fault.
//
// # Usage
//
//	s, err := service.New(network.TCP{}, "127.0.0.1:0")
//	s.Start()
//	s.SetFault(service.FaultResetAfterRun)
//	runs := s.Runs(`{"order":1}`)
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

// Fault is what goes wrong with the next requests.
type Fault string

// The faults.
const (
	FaultNone           Fault = ""
	FaultResetBeforeRun Fault = "resetBeforeRun"
	FaultResetAfterRun  Fault = "resetAfterRun"
	FaultTruncate       Fault = "truncate"
	FaultHang           Fault = "hang"
	FaultCross          Fault = "cross"
)

// hangLength is how long a hanging request takes.
const hangLength = 3 * time.Second

// Service is one server of the service.
type Service struct {
	listener *listener.Listener

	mutex   sync.Mutex
	fault   Fault
	delay   time.Duration
	runs    map[string]int
	headers []string
}

// New opens the port.
func New(own network.Network, address string) (*Service, error) {
	open, err := listener.New(listener.Options{Network: own, Address: address})
	if err != nil {
		return nil, err
	}
	s := &Service{listener: open, runs: make(map[string]int)}
	open.Router().Any("/*path", s.serve)
	return s, nil
}

// Address returns host and port.
func (s *Service) Address() string { return s.listener.Address() }

// Start serves in the background.
func (s *Service) Start() { s.listener.Start() }

// Close stops serving.
func (s *Service) Close() { _ = s.listener.Close() }

// SetFault switches a fault on or, with FaultNone, all off.
func (s *Service) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetDelay sets how long each request takes.
func (s *Service) SetDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// Runs returns how often a request with that body ran.
func (s *Service) Runs(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[body]
}

// AllRuns returns the runs of every body.
func (s *Service) AllRuns() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]int, len(s.runs))
	for body, runs := range s.runs {
		copied[body] = runs
	}
	return copied
}

// Seen returns everything that requests carried besides their bodies.
func (s *Service) Seen() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string{}, s.headers...)
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	s.mutex.Lock()
	fault, delay := s.fault, s.delay
	s.headers = append(s.headers, string(c.Request.Header.RawHeaders())+string(c.Request.RequestURI()))
	s.mutex.Unlock()
	if fault == FaultResetBeforeRun {
		drop(c)
		return
	}
	time.Sleep(delay)
	body := string(c.Request.Body())
	runs := s.run(body)
	switch fault {
	case FaultResetAfterRun:
		drop(c)
		return
	case FaultTruncate:
		c.Response.Header.Set("X-Request-Id", string(c.GetHeader("X-Request-Id")))
		c.Response.SetBodyString("only a part")
		c.Response.Header.SetContentLength(1000)
		_, _ = c.GetConn().WriteBinary([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly a part"))
		_ = c.GetConn().Flush()
		drop(c)
		return
	case FaultHang:
		time.Sleep(hangLength)
	case FaultCross:
		c.Header("X-Request-Id", "another-request")
	default:
		c.Header("X-Request-Id", string(c.GetHeader("X-Request-Id")))
	}
	c.String(http.StatusOK, fmt.Sprintf(`{"runs":%d,"path":%q}`, runs, string(c.Path())))
}

func (s *Service) run(body string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[body]++
	return s.runs[body]
}

// drop closes the connection without an answer.
func drop(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
