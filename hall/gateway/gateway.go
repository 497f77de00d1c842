// Package gateway forwards callers' HTTP requests to backend servers by the
// routes of the catalog.
//
// A request passes in this order: route, key, rate, turn (budget and history),
// backend server. What may be repeated follows from the route: a request goes
// to a second server only if the first certainly did not run it, or if it may
// run twice. An answer is passed on whole or visibly broken off, never shorter
// than the server gave it.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Catalog: current, Backend: backend, …})
//	g.Serve(w, r.Context(), request)
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/catalog"
	"limpethall.dev/kernel/failure"
)

const (
	// defaultTimeout bounds a request whose route states no timeout.
	defaultTimeout = 30 * time.Second
	// defaultAttempts is used where a route states no number of attempts.
	defaultAttempts = 2
	// extraSends is how many more servers are tried after those that did not run
	// the request.
	extraSends = 3
	// soon is when a request comes back that another hall or another moment can
	// serve.
	soon = 100 * time.Millisecond
	// leastRemaining is the time below which a request is not sent any more.
	leastRemaining = 5 * time.Millisecond
	// rememberedPrograms bounds the memory of which programs have begun.
	rememberedPrograms = 8192
)

// Admitter admits requests within their workspace's rate.
type Admitter interface {
	// Admit returns a *failure.Error if the request is over the rate.
	Admit(ctx context.Context, workspace string, urgency allowance.Urgency) error
	// Return gives back what a request took that reached no backend server.
	Return(workspace string)
}

// Turns reserves and stores the turns of programs.
type Turns interface {
	Begin(ctx context.Context, turn turns.Turn) (*turns.Begun, error)
	Finish(ctx context.Context, begun *turns.Begun, tokens int64, input, output []byte) error
	Settle(begun *turns.Begun, tokens int64)
}

// Suspects are the requests that ran when their backend servers died.
type Suspects interface {
	IsEmpty() bool
	// Check returns an error for a request that took down too many servers.
	Check(digest []byte) error
	// Note counts one more death.
	Note(ctx context.Context, digest []byte) error
}

// Options are what a gateway is built from.
type Options struct {
	// Catalog returns the configuration in force, nil before the first.
	Catalog  func() *catalog.Catalog
	Admitter Admitter
	Turns    Turns
	Balancer *balance.Balancer
	Backend  Backend
	Suspects Suspects
	// Halls returns how many halls share the connections to a server.
	Halls  func() int
	Meters *Meters
	Logger *zap.Logger
}

// Gateway is safe for concurrent use.
type Gateway struct {
	options Options
	active  atomic.Int64
	begun   *lru.Cache[string, struct{}] // Programs of which a request was admitted here.
}

// New returns a gateway.
func New(options Options) *Gateway {
	begun, err := lru.New[string, struct{}](rememberedPrograms)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &Gateway{options: options, begun: begun}
}

// Active returns how many requests are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Serve answers one request. It panics with http.ErrAbortHandler where the
// answer has begun and can't be completed, so that the connection ends visibly.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, request *Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{gateway: g, request: request, writer: w, catalog: g.options.Catalog()}
	defer c.log()
	if refusal := c.serve(ctx); refusal != nil {
		c.refused = refusal
		c.returnToken()
		refusal.write(w)
	}
	if c.aborted != nil {
		panic(http.ErrAbortHandler)
	}
}

// call is one request on its way.
type call struct {
	gateway   *Gateway
	request   *Request
	writer    http.ResponseWriter
	catalog   *catalog.Catalog
	route     *catalog.Route
	workspace *catalog.Workspace
	service   *catalog.Service
	begun     *turns.Begun
	body      []byte
	key       string // Of the history, for the choice of a server.
	deadline  time.Time

	admitted bool // Whether the request counts towards its workspace's rate.
	tried    map[string]bool
	last     *balance.Choice
	sends    int
	runs     int // Sends after which the request may have run.
	status   int // Of the answer that was passed on.
	refused  *Refusal
	aborted  error
	begins   time.Duration // How long the keepers took.
	first    time.Duration // When the answer began.
}

func (c *call) serve(ctx context.Context) *Refusal {
	if refusal := c.admit(ctx); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, errDeadline)
	defer cancel()
	if refusal := c.checkSuspect(); refusal != nil {
		return refusal
	}
	if refusal := c.beginTurn(ctx); refusal != nil {
		return refusal
	}
	if c.route.Kind == catalog.KindStream {
		return c.serveStream(ctx)
	}
	return c.servePlain(ctx)
}

var errDeadline = errors.New("deadline reached")

// admit finds route and workspace and applies the rate.
func (c *call) admit(ctx context.Context) *Refusal {
	if c.catalog == nil {
		return later(soon, "no configuration is known yet")
	}
	route, found := c.catalog.Route(c.request.Host, c.request.Path)
	if !found {
		return refuse(http.StatusNotFound, "no route for this host and path")
	}
	c.route = route
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	service, found := c.catalog.Service(c.pickService())
	if !found {
		return later(soon, "the route's service is not configured")
	}
	c.service = service
	c.setDeadline()
	if c.workspace == nil || c.workspace.Rate <= 0 {
		return nil
	}
	err := c.gateway.options.Admitter.Admit(ctx, c.workspace.Name, c.urgency())
	var refused *failure.Error
	switch {
	case err == nil:
		c.admitted = true
		c.rememberProgram()
		return nil
	case errors.As(err, &refused) && refused.Code() == failure.CodeRateLimited:
		refusal := refuse(http.StatusTooManyRequests, "workspace %s is over its rate", c.workspace.Name)
		refusal.retryAfter = refused.RetryAfter()
		return refusal
	default:
		return later(soon, "the rate of workspace %s can't be checked: %v", c.workspace.Name, err)
	}
}

// urgency tells a program's first turn from the rest. A turn that continues
// another is known by that; for the others this hall remembers the programs.
func (c *call) urgency() allowance.Urgency {
	if c.route.Kind != catalog.KindStream || c.request.Previous != "" || c.gateway.begun.Contains(c.request.Program) {
		return allowance.Continuing
	}
	return allowance.First
}

func (c *call) returnToken() {
	if c.admitted && c.sends == 0 {
		c.gateway.options.Admitter.Return(c.workspace.Name)
	}
}

func (c *call) rememberProgram() {
	if c.request.Program != "" {
		c.gateway.begun.Add(c.request.Program, struct{}{})
	}
}

func (c *call) authenticate() *Refusal {
	workspace, found := c.catalog.WorkspaceByKey(c.request.Key)
	if found && c.request.Key != "" {
		c.workspace = workspace
		return nil
	}
	if c.route.Open || !c.catalog.HasWorkspaces() {
		return nil
	}
	return refuse(http.StatusUnauthorized, "the key is not known")
}

// pickService chooses among the services of a split route by the program, so
// that a program stays with one of them, or else by the request.
func (c *call) pickService() string {
	if len(c.route.Splits) == 1 {
		return c.route.Splits[0].Service
	}
	name := c.request.Program
	if name == "" {
		name = c.request.ID
	}
	return balance.PickSplit(c.route.Splits, name)
}

func (c *call) setDeadline() {
	wait := c.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if c.request.Wait > 0 {
		wait = min(wait, c.request.Wait)
	}
	c.deadline = c.request.Received.Add(wait)
}

// beginTurn reserves the turn's tokens and puts its history before the body.
func (c *call) beginTurn(ctx context.Context) *Refusal {
	c.body = c.request.Body
	c.key = c.request.Program
	if c.route.Kind != catalog.KindStream || c.request.Program == "" {
		return nil
	}
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	previous := ""
	if c.route.KeepsHistory {
		previous = c.request.Previous
	}
	if c.request.Budget <= 0 && !c.route.KeepsHistory {
		return nil
	}
	started := time.Now()
	begun, err := c.gateway.options.Turns.Begin(ctx, turns.Turn{
		ID: c.request.ID, Program: c.request.Program, Workspace: workspace, Budget: c.request.Budget,
		MaxTokens: c.request.MaxTokens, Previous: previous, Retention: c.route.Retention,
	})
	c.begins = time.Since(started)
	if err != nil {
		return turnRefusal(err)
	}
	c.begun = begun
	c.key = begun.Placement()
	if history := begun.History(); len(history) > 0 {
		c.body = joinHistory(history, c.request.Body)
	}
	return nil
}

func turnRefusal(err error) *Refusal {
	var exhausted *turns.ExhaustedError
	var foreign *turns.ForeignError
	var absent *turns.AbsentError
	switch {
	case errors.As(err, &exhausted):
		return refuse(http.StatusPaymentRequired, "%v", err)
	case errors.As(err, &foreign), errors.As(err, &absent):
		return refuse(http.StatusNotFound, "%v", err)
	default:
		return later(soon, "%v", err)
	}
}

func joinHistory(history [][]byte, input []byte) []byte {
	size := len(input)
	for _, part := range history {
		size += len(part)
	}
	body := make([]byte, 0, size)
	for _, part := range history {
		body = append(body, part...)
	}
	return append(body, input...)
}

// workspaceName returns the workspace's name, empty for none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

func kindName(route *catalog.Route) string {
	switch route.Kind {
	case catalog.KindIdempotent:
		return "idempotent"
	case catalog.KindOnce:
		return "once"
	case catalog.KindStream:
		return "stream"
	default:
		return "unknown"
	}
}
