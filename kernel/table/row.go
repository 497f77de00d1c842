package table

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a row's cells.
const (
	MaxWeight = 1000
	MaxRate   = 1_000_000 // requests per second
	MaxBurst  = 1_000_000 // requests
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Row sets what one workspace may use.
type Row struct {
	workspace string
	weight    int64
	rate      float64
	burst     int64
	budget    int64
	models    []string
}

// NewRow returns a row. Rate is in requests per second, burst in requests,
// budget in tokens for each program with its sub-agents. No models means all.
func NewRow(workspace string, weight int64, rate float64, burst, budget int64, models []string) Row {
	return Row{workspace: workspace, weight: weight, rate: rate, burst: burst, budget: budget, models: models}
}

// Workspace returns the name.
func (r Row) Workspace() string { return r.workspace }

// Weight returns the share of a busy backend server, relative to other rows.
func (r Row) Weight() int64 { return r.weight }

// Rate returns the requests per second over all hosts together.
func (r Row) Rate() float64 { return r.rate }

// Burst returns the requests that may come at once.
func (r Row) Burst() int64 { return r.burst }

// Budget returns the tokens of each program.
func (r Row) Budget() int64 { return r.budget }

// Models returns the allowed models; none means all.
func (r Row) Models() []string { return slices.Clone(r.models) }

// Allows reports whether the workspace may use the model.
func (r Row) Allows(model string) bool {
	return len(r.models) == 0 || slices.Contains(r.models, model)
}

// Equal reports whether both rows say the same.
func (r Row) Equal(other Row) bool {
	return r.workspace == other.workspace && r.weight == other.weight && r.rate == other.rate &&
		r.burst == other.burst && r.budget == other.budget && slices.Equal(r.models, other.models)
}

// Problems returns everything that is wrong with the row.
func (r Row) Problems() []Problem {
	var found []Problem
	if !namePattern.MatchString(r.workspace) {
		found = append(found, NewProblem("workspace", fmt.Sprintf("%q is not a name: use lower-case letters, digits, dots and dashes, at most 63", r.workspace)))
	}
	if r.weight < 1 || r.weight > MaxWeight {
		found = append(found, NewProblem("weight", fmt.Sprintf("%d is not allowed, use 1 to %d", r.weight, MaxWeight)))
	}
	if math.IsNaN(r.rate) || r.rate <= 0 || r.rate > MaxRate {
		found = append(found, NewProblem("rate", fmt.Sprintf("%g is not allowed, use more than 0 and at most %d requests per second", r.rate, MaxRate)))
	}
	if r.burst < 1 || r.burst > MaxBurst {
		found = append(found, NewProblem("burst", fmt.Sprintf("%d is not allowed, use 1 to %d requests", r.burst, MaxBurst)))
	}
	if r.budget < 1 {
		found = append(found, NewProblem("budget", fmt.Sprintf("%d is not allowed, use 1 or more tokens", r.budget)))
	}
	return found
}

// Assignment says which models a backend server is to hold.
type Assignment struct {
	server string
	models []string
}

// NewAssignment returns an assignment.
func NewAssignment(server string, models []string) Assignment {
	return Assignment{server: server, models: models}
}

// Server returns the backend server.
func (a Assignment) Server() string { return a.server }

// Models returns the models that it is to hold.
func (a Assignment) Models() []string { return slices.Clone(a.models) }

// Equal reports whether both assignments say the same.
func (a Assignment) Equal(other Assignment) bool {
	return a.server == other.server && slices.Equal(a.models, other.models)
}

// Service is a plain service that the system routes to.
type Service struct {
	name   string
	routes []Route
}

// NewService returns a service with its routes, the most specific first.
func NewService(name string, routes []Route) Service {
	return Service{name: name, routes: routes}
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// Routes returns the declared routes.
func (s Service) Routes() []Route { return slices.Clone(s.routes) }

// Equal reports whether both services say the same.
func (s Service) Equal(other Service) bool {
	return s.name == other.name && slices.Equal(s.routes, other.routes)
}

// Match returns the declared route for a request. A request that no route
// declares is closed, and idempotent only if its method is safe.
func (s Service) Match(method, path string) Route {
	for _, route := range s.routes {
		if route.matches(method, path) {
			return route
		}
	}
	return Route{method: method, path: path, idempotent: safeMethod(method)}
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Route declares how requests with a method and a path prefix are treated.
type Route struct {
	method     string
	path       string
	idempotent bool
	open       bool
}

// NewRoute returns a route; an empty method matches every method.
func NewRoute(method, path string, idempotent, open bool) Route {
	return Route{method: method, path: path, idempotent: idempotent, open: open}
}

// Method returns the method, empty for every method.
func (r Route) Method() string { return r.method }

// Path returns the path prefix.
func (r Route) Path() string { return r.path }

// Idempotent reports whether a request may be repeated.
func (r Route) Idempotent() bool { return r.idempotent }

// Open reports whether a request needs no key.
func (r Route) Open() bool { return r.open }

// matches compares whole path segments, so that /orders does not cover
// /orders-archive.
func (r Route) matches(method, path string) bool {
	if r.method != "" && !strings.EqualFold(r.method, method) {
		return false
	}
	rest, found := strings.CutPrefix(path, r.path)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.path, "/"))
}
