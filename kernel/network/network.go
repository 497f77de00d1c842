// Package network is how processes listen and dial. TCP is the real one;
// tests put a network in memory in its place, on which time is not real and
// links can be cut, frozen and slowed.
//
// # Usage
//
//	socket, err := network.TCP{}.Listen("127.0.0.1:0")
//	connection, err := network.TCP{}.DialContext(ctx, "tcp", address)
package network

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// probeInterval and probeCount find connections that went silent for good: a
	// peer that lives answers the system's probes.
	probeInterval = time.Second
	probeCount    = 2
)

// Network opens and accepts connections for one process.
type Network interface {
	// Listen opens an address; port zero takes a free one.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an address. An error means that no byte was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var probes = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// TCP is the network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}).DialContext(ctx, network, address)
}
