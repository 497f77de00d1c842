// Package catalog holds the accepted configuration of a deployment that routes
// plain HTTP requests: which route a request falls under, which workspace a
// key belongs to, and which services the routes lead to.
//
// A Catalog is immutable. A new version replaces it as a whole, so a request
// keeps the version that it began with.
//
// # Usage
//
//	current := catalog.New(catalog.Document{Version: 7, Routes: routes, Services: services})
//	route, found := current.Route("desk.example", "/orders/12")
//	workspace, found := current.WorkspaceByKey(key)
package catalog

import (
	"slices"
	"strings"
	"time"

	"limpethall.dev/kernel/table"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// KindUnknown is the kind of a route whose configuration names none that
	// is known here; its requests are handled as non-idempotent.
	KindUnknown Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindOnce requests run at most once.
	KindOnce
	// KindStream requests are answered by a series of events.
	KindStream
)

// Split is one service that takes part of a route's requests.
type Split struct {
	Service string
	// Weight is the service's part of the sum of all weights.
	Weight int
}

// Route is the configuration of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Splits are the services; a route that is not split has one.
	Splits []Split
	// Timeout is the longest time a request may be kept waiting.
	Timeout time.Duration
	// Attempts is the greatest number of backend servers for one request.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// KeepsHistory routes store each turn, so that a later one may continue it.
	KeepsHistory bool
	// Retention is how long a turn and its history are kept, and how long a
	// program's budget is remembered.
	Retention time.Duration
}

// IsRepeatable reports whether a request may run on a second backend server
// after it may have run on a first one.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// MaxConnections is how many connections a backend server takes from all
	// hosts together; zero means not stated.
	MaxConnections int
	// ColdRate is how many requests a second a cold backend server bears.
	ColdRate float64
	// Slots is how many requests a model engine runs at once; zero for plain
	// services.
	Slots int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int64
}

// Workspace is a workspace with its keys.
type Workspace struct {
	Name  string
	Keys  []string
	Rate  float64
	Burst int64
}

// Limits bound what a caller may send and how long it may take; zero means
// not stated.
type Limits struct {
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a configuration as it was accepted.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration, indexed.
type Catalog struct {
	document   Document
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
}

// New returns the catalog of a document.
func New(document Document) *Catalog {
	c := &Catalog{
		document:   document,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service),
		workspaces: make(map[string]*Workspace),
		keys:       make(map[string]*Workspace),
	}
	for index := range document.Routes {
		route := &document.Routes[index]
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for index := range document.Services {
		c.services[document.Services[index].Name] = &document.Services[index]
	}
	for index := range document.Workspaces {
		workspace := &document.Workspaces[index]
		c.workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.keys[key] = workspace
		}
	}
	return c
}

// Version returns the version; later versions are greater.
func (c *Catalog) Version() uint64 { return c.document.Version }

// Limits returns the bounds on callers.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// HasWorkspaces reports whether requests need a key at all.
func (c *Catalog) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// Route returns the route with the longest prefix of the path at that host.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Workspace returns a workspace by name.
func (c *Catalog) Workspace(name string) (*Workspace, bool) {
	workspace, found := c.workspaces[name]
	return workspace, found
}

// WorkspaceByKey returns the workspace that holds a key.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, found := c.keys[key]
	return workspace, found
}

// Tolerance is by how much a workspace may pass its rate over all hosts in any
// span of time.
type Tolerance struct {
	// Part is added to rate and burst, as a part of them.
	Part float64
	// Requests are added to the burst.
	Requests float64
}

// toleranceUse is the part of the tolerance that is handed out. The rest covers
// requests that were admitted before a span and arrive in it.
const toleranceUse = 0.6

// Rows returns the rows that bound each workspace's rate. A workspace without a
// rate has no row. Part of the tolerance is handed out, since what one host
// holds back for its callers, others would refuse wrongly.
func (c *Catalog) Rows(tolerance Tolerance) []table.Row {
	var rows []table.Row
	factor := 1 + toleranceUse*tolerance.Part
	for index := range c.document.Workspaces {
		workspace := &c.document.Workspaces[index]
		if workspace.Rate > 0 {
			burst := int64(float64(workspace.Burst)*factor + toleranceUse*tolerance.Requests)
			rows = append(rows, table.NewRow(workspace.Name, 1, workspace.Rate*factor, burst, 0, nil))
		}
	}
	return rows
}
