package network

import (
	"context"
	"net"
	"sync"

	kernel "limpethall.dev/kernel/network"
)

// Switch is a network that can be switched off, as it is for a process that
// has crashed: all its connections break and it can open no more.
type Switch struct {
	next kernel.Network

	mutex sync.Mutex
	off   bool
	open  map[net.Conn]bool
	ports []net.Listener
}

// NewSwitch returns a switch before another network.
func NewSwitch(next kernel.Network) *Switch {
	return &Switch{next: next, open: make(map[net.Conn]bool)}
}

// Listen implements the kernel's Network.
func (s *Switch) Listen(address string) (net.Listener, error) {
	opened, err := s.next.Listen(address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ports = append(s.ports, opened)
	return &switchedListener{Listener: opened, owner: s}, nil
}

// DialContext implements the kernel's Network.
func (s *Switch) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	if s.isOff() {
		return nil, net.ErrClosed
	}
	connection, err := s.next.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	return s.track(connection)
}

// Off breaks everything.
func (s *Switch) Off() {
	s.mutex.Lock()
	s.off = true
	open, ports := s.open, s.ports
	s.open = make(map[net.Conn]bool)
	s.mutex.Unlock()
	for _, port := range ports {
		_ = port.Close()
	}
	for connection := range open {
		_ = connection.Close()
	}
}

func (s *Switch) isOff() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.off
}

func (s *Switch) track(connection net.Conn) (net.Conn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.off {
		_ = connection.Close()
		return nil, net.ErrClosed
	}
	s.open[connection] = true
	return &switchedConnection{Conn: connection, owner: s}, nil
}

type switchedListener struct {
	net.Listener
	owner *Switch
}

// Accept implements net.Listener.
func (l *switchedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.track(connection)
}

type switchedConnection struct {
	net.Conn
	owner *Switch
}

// Close implements net.Conn.
func (c *switchedConnection) Close() error {
	c.owner.mutex.Lock()
	delete(c.owner.open, c.Conn)
	c.owner.mutex.Unlock()
	return c.Conn.Close()
}
