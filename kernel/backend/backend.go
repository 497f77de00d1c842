// Package backend holds the current list of backend servers: the address, service
// and state of each, and which of them accept new requests. A server that says in an
// answer that it leaves accepts none, also if the list does not say so yet.
//
// # Usage
//
//	directory := backend.NewDirectory()
//	directory.Publish(backend.NewList(revision, time.Now(), servers, excludedZones))
//	for _, server := range directory.List().Usable("orders") { … }
//	directory.RecordDeparture(server) // After an answer that says so.
package backend

import (
	"slices"
	"strings"
	"time"
)

// Server describes one incarnation of a backend server, that is, one run of its
// process.
type Server struct {
	id               string
	address          string
	zone             string
	service          string
	version          string
	slots            int
	draining         bool
	coldUntil        time.Time
	startedUnixMilli int64
}

// Options are the properties of a Server.
type Options struct {
	// ID identifies the server. It may stay the same over a restart.
	ID string
	// Address holds the host and port that the server listens on.
	Address string
	Zone    string
	Service string
	// Version is the version of the server's software. What two versions write in one
	// stream does not fit together.
	Version string
	// Slots is the number of requests that the server processes concurrently; zero
	// means unknown.
	Slots    int
	Draining bool
	// ColdUntil is the end of the server's warm-up; zero for a server that is
	// warm.
	ColdUntil time.Time
	// Born is the start time of the server in Unix milliseconds; zero means
	// unknown. It distinguishes incarnations with the same ID.
	Born int64
}

// NewServer returns a Server with these options.
func NewServer(options Options) Server {
	return Server{
		id: options.ID, address: options.Address, zone: options.Zone, service: options.Service, version: options.Version,
		slots: options.Slots, draining: options.Draining, coldUntil: options.ColdUntil, startedUnixMilli: options.Born,
	}
}

// ID returns the server's identifier.
func (s Server) ID() string { return s.id }

// Address returns the host and port that the server listens on.
func (s Server) Address() string { return s.address }

// Zone returns the availability zone.
func (s Server) Zone() string { return s.zone }

// Service returns the service that the server belongs to.
func (s Server) Service() string { return s.service }

// Version returns the version of the server's software, empty if it states none.
func (s Server) Version() string { return s.version }

// Slots returns the number of requests that the server processes concurrently; zero
// means unknown.
func (s Server) Slots() int { return s.slots }

// Draining reports whether the server is shutting down and takes no new requests.
func (s Server) Draining() bool { return s.draining }

// Cold reports whether the server is still warming up and limited to its cold-start
// rate.
func (s Server) Cold(now time.Time) bool { return now.Before(s.coldUntil) }

// Born returns the start time in Unix milliseconds; zero means unknown.
func (s Server) Born() int64 { return s.startedUnixMilli }

// List is an immutable snapshot of the known servers.
type List struct {
	revision      uint64
	readAt        time.Time
	byID          map[string]Server
	excludedZones map[string]bool
	usable        map[string][]Server
	mixed         map[string]bool // Services whose usable servers have several versions.
}

// NewList returns a list of servers as of a store revision; readAt is when the list
// was last known to be current. Draining servers and servers in excludedZones are
// known but not usable.
func NewList(revision uint64, readAt time.Time, servers []Server, excludedZones map[string]bool) *List {
	l := &List{revision: revision, readAt: readAt, byID: make(map[string]Server, len(servers)), excludedZones: excludedZones}
	for _, server := range servers {
		l.byID[server.id] = server
	}
	return l.withoutDepartures(nil)
}

// withoutDepartures returns the list in which the servers of the departures are known but
// not usable.
func (l *List) withoutDepartures(departures map[string]departure) *List {
	next := *l
	next.usable, next.mixed = make(map[string][]Server), make(map[string]bool)
	for _, server := range l.byID {
		if server.draining || l.excludedZones[server.zone] || departures[server.id].concerns(server) {
			continue
		}
		next.usable[server.service] = append(next.usable[server.service], server)
		if server.version != next.usable[server.service][0].version {
			next.mixed[server.service] = true
		}
	}
	for _, usable := range next.usable {
		slices.SortFunc(usable, func(a, b Server) int { return strings.Compare(a.id, b.id) })
	}
	return &next
}

// Revision returns the store revision that the list reflects.
func (l *List) Revision() uint64 { return l.revision }

// Age returns the time since the list was last known to be current.
func (l *List) Age(now time.Time) time.Duration { return now.Sub(l.readAt) }

// Len returns the number of known servers.
func (l *List) Len() int { return len(l.byID) }

// Usable returns the servers of a service that accept new requests, sorted by ID.
// The caller must not modify the slice.
func (l *List) Usable(service string) []Server { return l.usable[service] }

// OnlyVersion returns the software version of the usable servers of a service, and false
// if they have several or there are none.
func (l *List) OnlyVersion(service string) (string, bool) {
	usable := l.usable[service]
	if len(usable) == 0 || l.mixed[service] {
		return "", false
	}
	return usable[0].version, true
}

// Lookup returns the known server with this ID, whether usable or not.
func (l *List) Lookup(id string) (Server, bool) {
	server, found := l.byID[id]
	return server, found
}

// Addresses returns the set of addresses of the known servers.
func (l *List) Addresses() map[string]bool {
	addresses := make(map[string]bool, len(l.byID))
	for _, server := range l.byID {
		addresses[server.address] = true
	}
	return addresses
}
