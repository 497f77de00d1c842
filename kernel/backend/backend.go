// Package backend holds the list of backend servers that are alive: where each
// listens, which service it belongs to, and whether it may be given new work.
//
// # Usage
//
//	directory := backend.NewDirectory()
//	directory.Replace(revision, servers, zonesOut)
//	for _, server := range directory.List().Usable("orders") { … }
package backend

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Server is one incarnation of a backend server.
type Server struct {
	id        string
	address   string
	zone      string
	service   string
	slots     int
	draining  bool
	coldUntil time.Time
	born      int64
}

// Options describe a server.
type Options struct {
	// ID names the server; a restart may keep it.
	ID string
	// Address is host and port.
	Address string
	Zone    string
	Service string
	// Slots is how many requests it runs at once; zero means not stated.
	Slots    int
	Draining bool
	// ColdUntil is when the server stops being cold, the zero time for a warm
	// one.
	ColdUntil time.Time
	// Born is the Unix millisecond of the server's start, zero if not stated. It
	// tells two incarnations with one ID apart.
	Born int64
}

// NewServer returns a server.
func NewServer(options Options) Server {
	return Server{
		id: options.ID, address: options.Address, zone: options.Zone, service: options.Service,
		slots: options.Slots, draining: options.Draining, coldUntil: options.ColdUntil, born: options.Born,
	}
}

// ID returns the server's name.
func (s Server) ID() string { return s.id }

// Address returns host and port.
func (s Server) Address() string { return s.address }

// Zone returns the availability zone.
func (s Server) Zone() string { return s.zone }

// Service returns the service that the server belongs to.
func (s Server) Service() string { return s.service }

// Slots returns how many requests the server runs at once, zero if not known.
func (s Server) Slots() int { return s.slots }

// Draining reports whether the server is leaving.
func (s Server) Draining() bool { return s.draining }

// Cold reports whether the server bears only its cold rate.
func (s Server) Cold(now time.Time) bool { return now.Before(s.coldUntil) }

// Born returns the Unix millisecond of the start, zero if not known.
func (s Server) Born() int64 { return s.born }

// List is the set of servers at one moment. It is immutable.
type List struct {
	revision uint64
	read     time.Time
	byID     map[string]Server
	services map[string][]Server
}

// NewList returns a list; revision is the store revision that it reflects. The
// servers of a zone in zonesOut, and those that drain, are known but not
// usable.
func NewList(revision uint64, read time.Time, servers []Server, zonesOut map[string]bool) *List {
	l := &List{revision: revision, read: read, byID: make(map[string]Server, len(servers)), services: make(map[string][]Server)}
	for _, server := range servers {
		l.byID[server.id] = server
		if !server.draining && !zonesOut[server.zone] {
			l.services[server.service] = append(l.services[server.service], server)
		}
	}
	for _, usable := range l.services {
		slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.id, b.id) })
	}
	return l
}

// Revision returns the store revision that the list reflects.
func (l *List) Revision() uint64 { return l.revision }

// Age returns how long ago the list was last known to be current.
func (l *List) Age(now time.Time) time.Duration { return now.Sub(l.read) }

// Len returns how many servers are known.
func (l *List) Len() int { return len(l.byID) }

// Usable returns the servers of a service that may be given new work, in order
// of ID. The caller must not change the slice.
func (l *List) Usable(service string) []Server { return l.services[service] }

// Lookup returns the server with that ID, usable or not.
func (l *List) Lookup(id string) (Server, bool) {
	server, found := l.byID[id]
	return server, found
}

// Addresses returns where the known servers listen.
func (l *List) Addresses() map[string]bool {
	addresses := make(map[string]bool, len(l.byID))
	for _, server := range l.byID {
		addresses[server.address] = true
	}
	return addresses
}

// Directory holds the newest list.
type Directory struct {
	current     atomic.Pointer[List]
	subscribers []func(*List)
}

// NewDirectory returns a directory with an empty list.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(NewList(0, time.Time{}, nil, nil))
	return d
}

// List returns the newest list.
func (d *Directory) List() *List { return d.current.Load() }

// Subscribe calls notify with every list from now on. It must be called before
// the first Publish; notify must not block.
func (d *Directory) Subscribe(notify func(*List)) { d.subscribers = append(d.subscribers, notify) }

// Publish makes a list the newest one.
func (d *Directory) Publish(list *List) {
	d.current.Store(list)
	for _, notify := range d.subscribers {
		notify(list)
	}
}
