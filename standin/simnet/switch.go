package simnet

import (
	"context"
	"net"
	"sync"

	kernel "limpethall.dev/kernel/network"
)

// Switch wraps the network of one process and can disconnect the process from it, as if
// the process had crashed. Its listeners and connections are then closed, and it cannot
// open new connections.
type Switch struct {
	base kernel.Network

	mutex       sync.Mutex
	off         bool
	connections map[net.Conn]bool
	listeners   []net.Listener
}

// NewSwitch returns a switch, initially on, that uses the base network.
func NewSwitch(base kernel.Network) *Switch {
	return &Switch{base: base, connections: make(map[net.Conn]bool)}
}

// Listen implements the kernel's Network.
func (s *Switch) Listen(address string) (net.Listener, error) {
	opened, err := s.base.Listen(address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, opened)
	return &trackedListener{Listener: opened, owner: s}, nil
}

// DialContext implements the kernel's Network.
func (s *Switch) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	if s.isOff() {
		return nil, net.ErrClosed
	}
	connection, err := s.base.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	return s.track(connection)
}

// Disconnect permanently disconnects the process and closes its listeners and
// connections.
func (s *Switch) Disconnect() {
	s.mutex.Lock()
	s.off = true
	connections, listeners := s.connections, s.listeners
	s.connections = make(map[net.Conn]bool)
	s.mutex.Unlock()
	for _, opened := range listeners {
		_ = opened.Close()
	}
	for connection := range connections {
		_ = connection.Close()
	}
}

func (s *Switch) isOff() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.off
}

// track registers a connection so that Disconnect closes it. If the switch is off, it
// closes the connection and returns an error.
func (s *Switch) track(connection net.Conn) (net.Conn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.off {
		_ = connection.Close()
		return nil, net.ErrClosed
	}
	s.connections[connection] = true
	return &trackedConnection{Conn: connection, owner: s}, nil
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	owner *Switch
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.track(connection)
}

// trackedConnection is no longer tracked once it is closed.
type trackedConnection struct {
	net.Conn
	owner *Switch
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	c.owner.mutex.Lock()
	delete(c.owner.connections, c.Conn)
	c.owner.mutex.Unlock()
	return c.Conn.Close()
}
