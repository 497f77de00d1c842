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

// dialTimeout bounds the opening of a connection.
const dialTimeout = 500 * time.Millisecond

// Network opens and accepts connections for one process.
type Network interface {
	// Listen opens an address; port zero takes a free one.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an address. An error means that no byte was sent.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}
