// Package catalog represents the configuration of a deployment that routes plain
// HTTP requests. It looks up the route of a request, the workspace of a key and
// the services that a route forwards to.
//
// A Catalog is immutable and replaced as a whole by each new version. A request
// keeps the version with which it started.
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

// Kind specifies how often requests of a route may run and how they are
// answered.
type Kind int

// The kinds of routes.
const (
	// KindUnknown is used if the configured kind is missing or not supported by
	// this version. Requests are then treated as non-idempotent.
	KindUnknown Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindAtMostOnce requests are non-idempotent and run at most once.
	KindAtMostOnce
	// KindStream requests are answered by a stream of events.
	KindStream
)

// Split assigns a share of a route's traffic to a service.
type Split struct {
	Service string
	// Weight is relative to the sum of the weights of the route's splits.
	Weight int
}

// Route is the configuration of one hostname and path prefix.
type Route struct {
	Name     string
	Hostname string
	Prefix   string
	Kind     Kind
	// Splits lists the services that receive the route's traffic. A route without
	// traffic splitting has a single entry.
	Splits []Split
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// Attempts is the maximum number of backend servers tried for one request.
	Attempts int
	// Open routes accept requests without a key.
	Open bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
	// Sticky routes lead to servers that are faster at what they have handled before.
	Sticky bool
	// KeepsHistory routes store each turn, so that a later turn can continue from
	// it.
	KeepsHistory bool
	// Retention is how long a turn with its history, and the budget of a program,
	// are stored.
	Retention time.Duration
}

// IsRepeatable reports whether a request may be retried on another backend
// server when it may already have run on the first one.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that a backend server
	// accepts from all hosts in total; zero means unspecified.
	MaxConnections int
	// ColdRate is the maximum rate of requests to a cold backend server, in
	// requests per second over all hosts.
	ColdRate float64
	// Slots is the number of requests that a model engine runs concurrently; zero
	// for plain services.
	Slots int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int64
	// CacheTokens is the number of tokens of prompts and outputs that a model engine
	// holds in memory; zero if not stated.
	CacheTokens int64
}

// Workspace is a workspace with its keys and rate limit. Rate is in requests per
// second, Burst in requests.
type Workspace struct {
	Name  string
	Keys  []string
	Rate  float64
	Burst int64
}

// Limits restricts the size and duration of incoming requests. Zero means
// unspecified.
type Limits struct {
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is an accepted configuration without indexes.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration with indexes for lookups.
type Catalog struct {
	document         Document
	routesByHostname map[string][]*Route
	services         map[string]*Service
	workspaces       map[string]*Workspace
	workspacesByKey  map[string]*Workspace
}

// New builds a catalog from a document. The catalog refers to the document's
// slices, which must not be modified afterwards.
func New(document Document) *Catalog {
	c := &Catalog{
		document:         document,
		routesByHostname: make(map[string][]*Route),
		services:         make(map[string]*Service),
		workspaces:       make(map[string]*Workspace),
		workspacesByKey:  make(map[string]*Workspace),
	}
	for index := range document.Routes {
		route := &document.Routes[index]
		hostname := strings.ToLower(route.Hostname)
		c.routesByHostname[hostname] = append(c.routesByHostname[hostname], route)
	}
	for _, routes := range c.routesByHostname {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for index := range document.Services {
		c.services[document.Services[index].Name] = &document.Services[index]
	}
	for index := range document.Workspaces {
		workspace := &document.Workspaces[index]
		c.workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			c.workspacesByKey[key] = workspace
		}
	}
	return c
}

// Version returns the version number, which increases with each change.
func (c *Catalog) Version() uint64 { return c.document.Version }

// Limits returns the limits on incoming requests.
func (c *Catalog) Limits() Limits { return c.document.Limits }

// HasWorkspaces reports whether any workspace is configured. If not, no request
// requires a key.
func (c *Catalog) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// Route returns the route of a host whose prefix is the longest that matches the
// path. A port in host is ignored.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	if portStart := strings.LastIndexByte(host, ':'); portStart >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:portStart]
	}
	for _, route := range c.routesByHostname[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Workspace returns the workspace with the given name.
func (c *Catalog) Workspace(name string) (*Workspace, bool) {
	workspace, found := c.workspaces[name]
	return workspace, found
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (c *Catalog) WorkspaceByKey(key string) (*Workspace, bool) {
	workspace, found := c.workspacesByKey[key]
	return workspace, found
}

// Tolerance specifies by how much a workspace may exceed its rate limit over all
// hosts in any time interval.
type Tolerance struct {
	// Fraction is the excess as a fraction of rate and burst.
	Fraction float64
	// ExtraRequests is an additional excess on the burst, in requests.
	ExtraRequests float64
}

// toleranceShare is the fraction of the tolerance by which the limits are raised.
// The remainder covers requests that are admitted before an interval and arrive
// within it.
const toleranceShare = 0.6

// Rows returns a table row with the rate limit of each workspace that has one.
// The limits are raised by a share of the tolerance: requests that one host
// reserves for its callers are not available to the others, which would otherwise
// reject requests within the workspace's limit.
func (c *Catalog) Rows(tolerance Tolerance) []table.Row {
	var rows []table.Row
	factor := 1 + toleranceShare*tolerance.Fraction
	for index := range c.document.Workspaces {
		workspace := &c.document.Workspaces[index]
		if workspace.Rate > 0 {
			burst := int64(float64(workspace.Burst)*factor + toleranceShare*tolerance.ExtraRequests)
			rows = append(rows, table.NewRow(workspace.Name, 1, workspace.Rate*factor, burst, 0, nil))
		}
	}
	return rows
}
