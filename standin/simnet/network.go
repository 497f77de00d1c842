// Package simnet simulates a network in memory. It can be used in tests with a fake
// clock. Links between hosts have a latency and can be cut or frozen. A cut link resets
// its connections and refuses new ones. Freezing a link keeps its connections open, but
// they no longer deliver data; new connections work.
//
// # Usage
//
//	n := simnet.New(time.Millisecond)
//	hall := n.Host("hall-1") // implements the kernel's network.Network
//	n.Cut("hall-1", "store")
//	n.Freeze("hall-1", "server-1")
package simnet

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// backlogSize is the number of connections per listener that can wait to be accepted.
const backlogSize = 128

// Network simulates a network of hosts. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	mutex sync.Mutex
	// listeners holds the open listeners by address.
	listeners map[string]*listener
	// pipeLinks holds the link of each pipe of an open connection.
	pipeLinks map[*pipe]link
	cutLinks  map[link]bool
	lastPort  int
}

// link is an unordered pair of hosts. Its fields are in alphabetical order.
type link struct{ a, b string }

func newLink(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// New returns a network with the given one-way latency.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: make(map[string]*listener), pipeLinks: make(map[*pipe]link), cutLinks: make(map[link]bool)}
}

// Host returns the network as seen by the host with this name.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Cut resets the connections between two hosts and refuses new ones until Heal is
// called.
func (n *Network) Cut(a, b string) {
	n.mutex.Lock()
	n.cutLinks[newLink(a, b)] = true
	pipes := n.pipesOf(newLink(a, b))
	n.mutex.Unlock()
	for _, p := range pipes {
		p.setReset()
	}
}

// Heal lets two hosts connect again.
func (n *Network) Heal(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.cutLinks, newLink(a, b))
}

// Freeze permanently stops the delivery of data on the open connections between two
// hosts and returns the number of affected directions, which is two per connection. New
// connections work.
func (n *Network) Freeze(a, b string) int {
	n.mutex.Lock()
	pipes := n.pipesOf(newLink(a, b))
	n.mutex.Unlock()
	for _, p := range pipes {
		p.setFrozen()
	}
	return len(pipes)
}

// pipesOf returns the pipes of a link. The caller holds the lock.
func (n *Network) pipesOf(wanted link) []*pipe {
	var pipes []*pipe
	for p, pipeLink := range n.pipeLinks {
		if pipeLink == wanted {
			pipes = append(pipes, p)
		}
	}
	return pipes
}

// Host is the network as seen by one host. It implements the kernel's network.Network.
type Host struct {
	network *Network
	name    string
}

// Listen opens an address of this host. If the requested address does not start with the
// name of this host, a free port of this host is used instead.
func (h *Host) Listen(requested string) (net.Listener, error) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := requested
	if !strings.HasPrefix(requested, h.name+":") {
		n.lastPort++
		address = fmt.Sprintf("%s:%d", h.name, n.lastPort)
	}
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Err: syscall.EADDRINUSE}
	}
	opened := &listener{network: n, address: address, backlog: make(chan net.Conn, backlogSize), closed: make(chan struct{})}
	n.listeners[address] = opened
	return opened, nil
}

// DialContext connects to a listener on any host.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	name, _, _ := strings.Cut(address, ":")
	n.mutex.Lock()
	target := n.listeners[address]
	refused := target == nil || n.cutLinks[newLink(h.name, name)]
	n.mutex.Unlock()
	refusedError := &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	if refused {
		return nil, refusedError
	}
	toListener, toDialer := newPipe(n.latency), newPipe(n.latency)
	dialerEnd := &connection{incoming: toDialer, outgoing: toListener, local: h.name, remote: address}
	listenerEnd := &connection{incoming: toListener, outgoing: toDialer, local: address, remote: h.name}
	select {
	case target.backlog <- listenerEnd:
	case <-target.closed:
		return nil, refusedError
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pipeLinks[toListener] = newLink(h.name, name)
	n.pipeLinks[toDialer] = newLink(h.name, name)
	dialerEnd.onClose = func() { n.removePipes(toListener, toDialer) }
	return dialerEnd, nil
}

func (n *Network) removePipes(pipes ...*pipe) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, p := range pipes {
		delete(n.pipeLinks, p)
	}
}

// listener is a net.Listener of the simulated network.
type listener struct {
	network   *Network
	address   string
	backlog   chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.backlog:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address)
		l.network.mutex.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return memoryAddress(l.address) }

// memoryAddress is a net.Addr of the simulated network.
type memoryAddress string

// Network implements net.Addr.
func (a memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
