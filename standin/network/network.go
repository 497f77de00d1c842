// Package network is a network in memory for tests under a fake clock. Links
// between hosts have a latency and can be cut or frozen: a cut link refuses
// and resets connections, a frozen connection stays open and delivers nothing
// while new ones work.
//
// # Usage
//
//	n := network.New(time.Millisecond)
//	hall := n.Host("hall-1") // a kernel network.Network
//	n.Cut("hall-1", "store")
//	n.Freeze("hall-1", "server-1")
package network

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const backlog = 128

// Network is a set of hosts.
type Network struct {
	latency time.Duration

	mutex     sync.Mutex
	listeners map[string]*socket
	links     map[*pipe]link
	cut       map[link]bool
	nextPort  int
}

// link is an unordered pair of hosts.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// New returns a network with the given one-way latency.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: make(map[string]*socket), links: make(map[*pipe]link), cut: make(map[link]bool)}
}

// Host returns the network as one host sees it.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Cut resets the connections between two hosts and refuses new ones.
func (n *Network) Cut(a, b string) {
	n.mutex.Lock()
	n.cut[linkOf(a, b)] = true
	broken := n.pipes(linkOf(a, b))
	n.mutex.Unlock()
	for _, open := range broken {
		open.reset()
	}
}

// Heal lets two hosts connect again.
func (n *Network) Heal(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.cut, linkOf(a, b))
}

// Freeze makes the open connections between two hosts silent for good. New
// connections work.
func (n *Network) Freeze(a, b string) int {
	n.mutex.Lock()
	frozen := n.pipes(linkOf(a, b))
	n.mutex.Unlock()
	for _, open := range frozen {
		open.freeze()
	}
	return len(frozen)
}

func (n *Network) pipes(between link) []*pipe {
	var found []*pipe
	for open, ends := range n.links {
		if ends == between {
			found = append(found, open)
		}
	}
	return found
}

// Host is the network as one host sees it.
type Host struct {
	network *Network
	name    string
}

// Listen opens an address of this host. An address of another host stands for
// any free port of this one.
func (h *Host) Listen(wanted string) (net.Listener, error) {
	n := h.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := wanted
	if !strings.HasPrefix(wanted, h.name+":") {
		n.nextPort++
		address = fmt.Sprintf("%s:%d", h.name, n.nextPort)
	}
	opened := &socket{network: n, address: address, accepted: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = opened
	return opened, nil
}

// DialContext connects to an address of any host.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	name, _, _ := strings.Cut(address, ":")
	n.mutex.Lock()
	target := n.listeners[address]
	refused := target == nil || n.cut[linkOf(h.name, name)]
	n.mutex.Unlock()
	refusal := &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	if refused {
		return nil, refusal
	}
	there, back := newPipe(n.latency), newPipe(n.latency)
	near := &connection{read: back, write: there, local: h.name, remote: address}
	far := &connection{read: there, write: back, local: address, remote: h.name}
	select {
	case target.accepted <- far:
	case <-target.closed:
		return nil, refusal
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[there] = linkOf(h.name, name)
	n.links[back] = linkOf(h.name, name)
	near.closed = func() { n.forget(there, back) }
	return near, nil
}

func (n *Network) forget(pipes ...*pipe) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, open := range pipes {
		delete(n.links, open)
	}
}

// socket is an open address.
type socket struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (s *socket) Accept() (net.Conn, error) {
	select {
	case accepted := <-s.accepted:
		return accepted, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *socket) Close() error {
	s.once.Do(func() {
		s.network.mutex.Lock()
		delete(s.network.listeners, s.address)
		s.network.mutex.Unlock()
		close(s.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (s *socket) Addr() net.Addr { return address(s.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
