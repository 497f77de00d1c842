// Package httpserver runs servers of net/http that own their listeners: once Stop or Close has
// returned, their addresses are free.
//
// A server of net/http knows a listener only after its goroutine has called Serve. If it is
// closed before, the goroutine closes the listener at some later time.
//
// # Usage
//
//	server := httpserver.New(&http.Server{Handler: mux, ReadHeaderTimeout: timeout}, logger)
//	server.Start(listener)
//	err := server.Stop(ctx)
//	err = server.Close()
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

// Server serves connections of any number of listeners. Its methods may be called in any order,
// repeatedly, and by several goroutines.
type Server struct {
	http   *http.Server
	logger *zap.Logger

	mutex     sync.Mutex
	listeners []net.Listener
	ended     bool // Whether Stop or Close was called.
}

// New returns a server that has no listener yet. Only the new server may call methods of http.
func New(http *http.Server, logger *zap.Logger) *Server {
	return &Server{http: http, logger: logger}
}

// Start serves connections of the listener in the background. If Stop or Close was called
// before, it closes the listener instead.
func (s *Server) Start(listener net.Listener) {
	if !s.own(listener) {
		_ = listener.Close() // It has accepted no connection.
		return
	}
	task.Go(s.logger, "accept connections", func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("HTTP server failed", zap.Stringer("address", listener.Addr()), zap.Error(err))
		}
	})
}

// own adds a listener, unless Stop or Close was called before.
func (s *Server) own(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended {
		s.listeners = append(s.listeners, listener)
	}
	return !s.ended
}

// Stop closes the listeners and idle connections, and waits until the other connections are
// idle or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.end()
	err := s.http.Shutdown(ctx)
	s.closeListeners()
	return err
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.end()
	err := s.http.Close()
	s.closeListeners()
	return err
}

// end makes Start take no more listeners.
func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
}

// closeListeners closes the listeners that the server of net/http does not know yet. Those that
// it knows are closed already: a Serve that met a closed listener before the end of the server
// would report a failure.
func (s *Server) closeListeners() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close() // It fails if the listener is closed already.
	}
	s.listeners = nil
}
