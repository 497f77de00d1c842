package table

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Upper limits of a row's fields.
const (
	MaxWeight = 1000
	MaxRate   = 1_000_000 // requests per second
	MaxBurst  = 1_000_000 // requests
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Row holds the limits of a workspace.
type Row struct {
	workspace string
	weight    int64
	rate      float64
	burst     int64
	budget    int64
	models    []string
}

// NewRow returns a row. The rate is in requests per second, the burst in
// requests, and the budget in tokens per program including its sub-agents. An
// empty list of models allows all models.
func NewRow(workspace string, weight int64, rate float64, burst, budget int64, models []string) Row {
	return Row{workspace: workspace, weight: weight, rate: rate, burst: burst, budget: budget, models: models}
}

// Workspace returns the name of the workspace.
func (r Row) Workspace() string { return r.workspace }

// Weight returns the workspace's share of a saturated backend server, relative
// to the weights of other rows.
func (r Row) Weight() int64 { return r.weight }

// Rate returns the limit in requests per second over all hosts.
func (r Row) Rate() float64 { return r.rate }

// Burst returns how many requests may arrive at once.
func (r Row) Burst() int64 { return r.burst }

// Budget returns the token budget of each program.
func (r Row) Budget() int64 { return r.budget }

// Models returns the allowed models. An empty list allows all models.
func (r Row) Models() []string { return slices.Clone(r.models) }

// Allows reports whether the workspace may use the model.
func (r Row) Allows(model string) bool {
	return len(r.models) == 0 || slices.Contains(r.models, model)
}

// Equal reports whether both rows have the same values.
func (r Row) Equal(other Row) bool {
	return r.workspace == other.workspace && r.weight == other.weight && r.rate == other.rate &&
		r.burst == other.burst && r.budget == other.budget && slices.Equal(r.models, other.models)
}

// Problems validates the row and returns all problems found.
func (r Row) Problems() []Problem {
	var problems []Problem
	if !namePattern.MatchString(r.workspace) {
		problems = append(problems, NewProblem("workspace", fmt.Sprintf("%q is not a name: use lower-case letters, digits, dots and dashes, at most 63", r.workspace)))
	}
	if r.weight < 1 || r.weight > MaxWeight {
		problems = append(problems, NewProblem("weight", fmt.Sprintf("%d is not allowed, use 1 to %d", r.weight, MaxWeight)))
	}
	if math.IsNaN(r.rate) || r.rate <= 0 || r.rate > MaxRate {
		problems = append(problems, NewProblem("rate", fmt.Sprintf("%g is not allowed, use more than 0 and at most %d requests per second", r.rate, MaxRate)))
	}
	if r.burst < 1 || r.burst > MaxBurst {
		problems = append(problems, NewProblem("burst", fmt.Sprintf("%d is not allowed, use 1 to %d requests", r.burst, MaxBurst)))
	}
	if r.budget < 1 {
		problems = append(problems, NewProblem("budget", fmt.Sprintf("%d is not allowed, use 1 or more tokens", r.budget)))
	}
	return problems
}

// Assignment specifies the models that a backend server should load.
type Assignment struct {
	server string
	models []string
}

// NewAssignment returns an assignment of models to a backend server.
func NewAssignment(server string, models []string) Assignment {
	return Assignment{server: server, models: models}
}

// Server returns the name of the backend server.
func (a Assignment) Server() string { return a.server }

// Models returns the models that the server should load.
func (a Assignment) Models() []string { return slices.Clone(a.models) }

// Equal reports whether both assignments have the same values.
func (a Assignment) Equal(other Assignment) bool {
	return a.server == other.server && slices.Equal(a.models, other.models)
}

// Service is a plain service, one that serves no models, with its routes.
type Service struct {
	name   string
	routes []Route
}

// NewService returns a service. The first matching route applies, so routes must
// be ordered from most to least specific.
func NewService(name string, routes []Route) Service {
	return Service{name: name, routes: routes}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Routes returns the declared routes in order.
func (s Service) Routes() []Route { return slices.Clone(s.routes) }

// Equal reports whether both services have the same values.
func (s Service) Equal(other Service) bool {
	return s.name == other.name && slices.Equal(s.routes, other.routes)
}

// Match returns the first declared route that matches a request. A request
// without a matching route requires a key and counts as idempotent only if its
// method is safe.
func (s Service) Match(method, path string) Route {
	for _, route := range s.routes {
		if route.matches(method, path) {
			return route
		}
	}
	return Route{method: method, path: path, idempotent: isSafeMethod(method)}
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Route declares the properties of requests with a method and path prefix.
type Route struct {
	method     string
	path       string
	idempotent bool
	open       bool
}

// NewRoute returns a route. An empty method matches every method.
func NewRoute(method, path string, idempotent, open bool) Route {
	return Route{method: method, path: path, idempotent: idempotent, open: open}
}

// Method returns the method, or an empty string if the route matches every
// method.
func (r Route) Method() string { return r.method }

// Path returns the path prefix.
func (r Route) Path() string { return r.path }

// Idempotent reports whether a request may run more than once.
func (r Route) Idempotent() bool { return r.idempotent }

// Open reports whether requests are accepted without a key.
func (r Route) Open() bool { return r.open }

// matches reports whether a request has the route's method and path prefix. The
// prefix matches whole path segments only: /orders does not match
// /orders-archive.
func (r Route) matches(method, path string) bool {
	if r.method != "" && !strings.EqualFold(r.method, method) {
		return false
	}
	suffix, ok := strings.CutPrefix(path, r.path)
	return ok && (suffix == "" || suffix[0] == '/' || strings.HasSuffix(r.path, "/"))
}
