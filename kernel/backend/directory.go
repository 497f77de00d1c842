package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// versionSpan is a software version that all known servers of a service have had since
// a time.
type versionSpan struct {
	version string
	since   time.Time
}

// departure is what a server said of itself: that it is about to leave.
type departure struct {
	born int64 // Of the server that said so, in Unix milliseconds.
	at   time.Time
}

// concerns reports whether the departure is that of this incarnation of the server.
func (d departure) concerns(server Server) bool {
	return !d.at.IsZero() && server.startedUnixMilli <= d.born
}

// departureRetention is how long the departure of a server that is no longer listed is
// kept, in case an outdated list has it again.
const departureRetention = 2 * time.Minute

// Directory holds the current list and notifies subscribers of new ones. Servers that
// said that they leave are not usable, whatever the list says. Reading it is safe for
// concurrent use.
type Directory struct {
	current     atomic.Pointer[List]
	subscribers []func(*List)

	publishing sync.Mutex // Held while a list is published, so that subscribers get them in order.
	departures map[string]departure

	mutex    sync.Mutex
	versions map[string]versionSpan // By service; absent if its servers have several versions.
}

// NewDirectory returns a directory with an empty list.
func NewDirectory() *Directory {
	d := &Directory{departures: make(map[string]departure), versions: make(map[string]versionSpan)}
	d.current.Store(NewList(0, time.Time{}, nil, nil))
	return d
}

// List returns the current list.
func (d *Directory) List() *List { return d.current.Load() }

// Subscribe registers a function that is called with every published list. It must
// be called before the first Publish; notify must not block.
func (d *Directory) Subscribe(notify func(*List)) { d.subscribers = append(d.subscribers, notify) }

// Publish makes list the current one and calls the subscribers.
func (d *Directory) Publish(list *List) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	for id, departure := range d.departures {
		server, listed := list.Lookup(id)
		if (listed && !departure.concerns(server)) || (!listed && time.Since(departure.at) > departureRetention) {
			delete(d.departures, id)
		}
	}
	d.publish(list)
}

// publish must be called with the lock of publishing.
func (d *Directory) publish(list *List) {
	if len(d.departures) > 0 {
		list = list.withoutDepartures(d.departures)
	}
	d.updateVersions(list)
	d.current.Store(list)
	for _, notify := range d.subscribers {
		notify(list)
	}
}

// RecordDeparture records that a server said that it leaves. The server is no longer
// usable, unless it starts again. RecordDeparture reports whether this was not known.
func (d *Directory) RecordDeparture(server Server) bool {
	if _, known := d.Departed(server); known {
		return false
	}
	d.publishing.Lock()
	defer d.publishing.Unlock()
	if d.departures[server.id].concerns(server) {
		return false
	}
	d.departures[server.id] = departure{born: server.startedUnixMilli, at: time.Now()}
	d.publish(d.current.Load())
	return true
}

// Departed returns how long ago a server said that it leaves, and false if it did not.
func (d *Directory) Departed(server Server) (age time.Duration, departed bool) {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	said, found := d.departures[server.id]
	if !found || !said.concerns(server) {
		return 0, false
	}
	return time.Since(said.at), true
}

// DepartedCount returns the number of listed servers that said that they leave.
func (d *Directory) DepartedCount() int {
	d.publishing.Lock()
	defer d.publishing.Unlock()
	list, count := d.current.Load(), 0
	for id, said := range d.departures {
		if server, listed := list.Lookup(id); listed && said.concerns(server) {
			count++
		}
	}
	return count
}

// SteadyVersion returns the software version that all servers of a service known to this
// directory, draining ones included, have had for at least the given duration. It returns
// false if there is none.
func (d *Directory) SteadyVersion(service string, duration time.Duration) (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	span, found := d.versions[service]
	if !found || time.Since(span.since) < duration {
		return "", false
	}
	return span.version, true
}

func (d *Directory) updateVersions(list *List) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	versions := make(map[string]versionSpan)
	mixed := make(map[string]bool)
	for _, server := range list.byID {
		if span, found := versions[server.service]; found && span.version != server.version {
			mixed[server.service] = true
		}
		versions[server.service] = versionSpan{version: server.version, since: now}
	}
	for service, span := range versions {
		before, found := d.versions[service]
		switch {
		case mixed[service]:
			delete(versions, service)
		case found && before.version == span.version:
			versions[service] = before
		}
	}
	d.versions = versions
}
