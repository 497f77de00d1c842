// Package network defines the interface with which processes listen and dial. TCP is
// the implementation for production. Tests use an in-memory network with a fake clock,
// whose links can be cut, frozen and slowed down.
//
// # Usage
//
//	socket, err := network.TCP{}.Listen("127.0.0.1:0")
//	connection, err := network.TCP{}.DialContext(ctx, "tcp", address)
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// keepAliveInterval and keepAliveCount configure TCP keep-alive, which detects
	// dead connections: the operating system of a live peer answers the probes.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Network opens and accepts connections on behalf of a process.
type Network interface {
	// Listen listens on an address; port zero selects a free port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an address. If it returns an error, no byte was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

// TCP implements Network with the TCP of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: allowListeners}).DialContext(ctx, network, address)
}

// allowListeners lets other processes listen on the local port of a connection, which the
// operating system selects without regard to the addresses in their settings.
func allowListeners(_, _ string, socket syscall.RawConn) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	})
	return errors.Join(err, optionErr)
}
