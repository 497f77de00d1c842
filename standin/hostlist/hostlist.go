// Package hostlist simulates the platform's host list. As on the platform, a change
// becomes visible with a delay.
//
// # Usage
//
//	server, err := hostlist.New(network.TCP{}, "127.0.0.1:0", time.Second)
//	server.Start()
//	server.Set(platform.Host{Name: "server-1", Zone: "a", State: platform.HostLeaving})
package hostlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
)

// Server serves the host list as GET /v1/hosts.
type Server struct {
	listener *listener.Listener
	delay    time.Duration

	mutex   sync.Mutex
	changes map[string]hostChange
}

// hostChange is the latest change of one host.
type hostChange struct {
	host      platform.Host
	changedAt time.Time
}

// New opens the port. Requests are served once Start has been called; port zero selects
// a free port. Changes become visible after the delay.
func New(transport network.Network, address string, delay time.Duration) (*Server, error) {
	httpListener, err := listener.New(listener.Options{Network: transport, Address: address})
	if err != nil {
		return nil, err
	}
	s := &Server{listener: httpListener, delay: delay, changes: make(map[string]hostChange)}
	httpListener.Router().GET("/v1/hosts", s.serveHosts)
	return s, nil
}

// Address returns the listen address as host and port.
func (s *Server) Address() string { return s.listener.Address() }

// Start serves requests in the background.
func (s *Server) Start() { s.listener.Start() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

// Set adds a host or replaces the host of the same name. Until the delay has passed, the
// list contains neither the previous nor the new state of the host.
func (s *Server) Set(host platform.Host) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes[host.Name] = hostChange{host: host, changedAt: time.Now()}
}

func (s *Server) serveHosts(_ context.Context, c *app.RequestContext) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hosts := []platform.Host{}
	for _, change := range s.changes {
		if time.Since(change.changedAt) >= s.delay {
			hosts = append(hosts, change.host)
		}
	}
	c.JSON(http.StatusOK, hosts)
}
