// Package gateway is the reverse proxy that forwards callers' HTTP requests to
// backend servers along the routes of the catalog.
//
// Each request passes these steps: match the route, authenticate the key, check
// the rate limit, begin the turn (budget and history), forward to a backend
// server. A request is sent to a second server only if the first certainly did
// not run it, or if its route allows it to run twice. A response is either
// relayed completely or ends with a broken connection, so a caller never takes a
// truncated response for a complete one.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Catalog: current, Backend: backend, …})
//	g.Serve(w, r.Context(), request)
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/outlier"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/catalog"
	"limpethall.dev/kernel/failure"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultAttempts applies to routes without a number of attempts.
	defaultAttempts = 2
	// maxExtraSends is how many sends beyond the number of attempts are allowed
	// for servers that did not run the request.
	maxExtraSends = 3
	// defaultRetryAfter is sent with refusals whose cause is brief or limited to
	// this hall.
	defaultRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is sent by a hall that stops, as other halls can serve the request
	// at once.
	drainRetryAfter = time.Millisecond
	// minRemaining is the time before the deadline below which a request is no
	// longer sent.
	minRemaining = 5 * time.Millisecond
	// maxLimitWait is how long a request of a running program waits for the limit of a
	// backend server.
	maxLimitWait = 500 * time.Millisecond
	// newProgramReserve is how long the limit of a server must have been unused for a
	// request that starts a program while all servers name limits. It leaves a reserve to
	// running programs, whose work so far is lost if a request is refused.
	newProgramReserve = 200 * time.Millisecond
	// maxReturnDelay bounds the queue of callers that return after a refusal because of
	// the limits of servers.
	maxReturnDelay = 2 * time.Second
	// maxLimitRefusals is after how many refusals because of the limits of servers a
	// request goes to a server without one, or is refused.
	maxLimitRefusals = 4
	// minVersionRetention is how long the version of a resumable stream is kept at least.
	minVersionRetention = 30 * time.Second
	// knownProgramsSize bounds the LRU cache of programs that have begun.
	knownProgramsSize = 8192
)

// Admitter enforces the rate limits of workspaces.
type Admitter interface {
	// Admit takes a token from the workspace's rate limit. It returns a
	// *failure.Error if the limit is exceeded.
	Admit(ctx context.Context, workspace string, priority ratelimit.Priority) (ratelimit.Admission, error)
	// Refund gives back the token of a request that was sent to no backend server.
	Refund(workspace string)
}

// TurnStore reserves tokens for turns and stores their history.
type TurnStore interface {
	// Begin reserves the turn's tokens and fetches the history that it continues.
	Begin(ctx context.Context, turn turns.Turn) (*turns.ActiveTurn, error)
	// Finish settles the reservation at the given tokens and stores the turn.
	Finish(ctx context.Context, turn *turns.ActiveTurn, tokens int64, input, output []byte) error
	// StoreEvents stores events of the turn's stream, so that the stream can be taken up at
	// another hall.
	StoreEvents(ctx context.Context, turn *turns.ActiveTurn, events []turns.Event) error
	// Settle settles the reservation of a turn that is not stored.
	Settle(turn *turns.ActiveTurn, tokens int64)
}

// CrashTracker counts the backend servers that crashed while they ran a request.
type CrashTracker interface {
	// IsEmpty reports whether no crashes are recorded.
	IsEmpty() bool
	// Check returns an error for a request that crashed too many servers.
	Check(digest []byte) error
	// RecordCrash records one more crash for the request.
	RecordCrash(ctx context.Context, digest []byte) error
}

// Options holds the dependencies of a Gateway.
type Options struct {
	// Catalog returns the current configuration, nil until one is loaded.
	Catalog  func() *catalog.Catalog
	Admitter Admitter
	Turns    TurnStore
	Balancer *balance.Balancer
	// Outliers gets the results of requests at servers that the balancer compares. It may
	// be nil.
	Outliers *outlier.Detector
	Limits   *serverlimit.Limiter
	Backend  Backend
	Crashes  CrashTracker
	// Rollouts is nil in deployments without roll-outs of software versions.
	Rollouts Rollouts
	// HallCount returns how many halls share the connection limit of a server.
	HallCount func() int
	Meters    *Meters
	Logger    *zap.Logger
}

// Gateway forwards requests. It is safe for concurrent use.
type Gateway struct {
	options       Options
	active        atomic.Int64
	drainEnd      atomic.Pointer[time.Time] // Until when open requests can be served, nil for no limit.
	lateness      *lateness
	returns       returnQueue
	knownPrograms *lru.Cache[string, lastTurn] // Programs with a request that this hall sent to a server.
}

// New returns a gateway.
func New(options Options) *Gateway {
	knownPrograms, err := lru.New[string, lastTurn](knownProgramsSize)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &Gateway{options: options, lateness: newLateness(), knownPrograms: knownPrograms}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Drain refuses new requests whose deadline is after end, because this hall may stop
// before they are finished.
func (g *Gateway) Drain(end time.Time) { g.drainEnd.Store(&end) }

// Serve handles one request. It panics with http.ErrAbortHandler if a response
// that has begun can't be completed, so that the server closes the connection and
// the caller sees the failure.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, request *Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	h := g.newHandler(w, request)
	h.account = buffer.FromContext(ctx)
	h.output = buffer.NewOutput(h.account)
	defer h.log()
	if refusal := h.serve(ctx); refusal != nil {
		h.refusal = refusal
		h.refundRateToken()
		refusal.write(w)
	}
	if h.late {
		g.lateness.recordOutcome(request.Program, h.refusal != nil)
	}
	if h.abortErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// RefuseEarly refuses a request that cannot be served whatever its body is, so that the
// body need not be read. It reports whether it did.
func (g *Gateway) RefuseEarly(w http.ResponseWriter, request *Request) bool {
	h := g.newHandler(w, request)
	refusal := h.identify()
	if refusal != nil {
		h.refuseUnread(refusal)
	}
	return refusal != nil
}

// RefuseBody refuses a request whose body this hall cannot hold.
func (g *Gateway) RefuseBody(w http.ResponseWriter, request *Request, cause error) {
	g.newHandler(w, request).refuseUnread(refuseRetryable(defaultRetryAfter, "%v", cause))
}

// requestHandler holds the state of one request.
type requestHandler struct {
	gateway     *Gateway
	request     *Request
	writer      http.ResponseWriter
	catalog     *catalog.Catalog
	route       *catalog.Route
	workspace   *catalog.Workspace
	service     *catalog.Service
	turn        *turns.ActiveTurn
	body        net.Buffers     // History and body of the request.
	account     *buffer.Account // Takes all memory that the request keeps, nil for no limit.
	output      *buffer.Output  // Kept for the record of the turn.
	events      *eventBatch     // Of a stream whose events are stored before they are relayed, nil for others.
	version     *string         // Software version of the servers of a resumable stream.
	permission  permission      // To send to servers of some software versions.
	affinityKey string          // Same for requests that share a history; empty for none.
	deadline    time.Time

	admission      ratelimit.Admission
	late           bool               // Whether the request gives way because its program can't make its time.
	rank           ratelimit.Priority // Decided at admission, since the first send makes its program a running one.
	admitted       bool               // Whether the request holds a token of its workspace's rate limit.
	tried          map[string]bool
	lastChoice     *balance.Choice
	limitRefusals  int           // Number of servers whose limits did not allow the request.
	limitWait      time.Duration // Time spent for the limits of servers.
	sends          int
	possibleRuns   int // Number of sends after which the request may have run.
	status         int // Status of the relayed response.
	refusal        *Refusal
	abortErr       error
	beginDuration  time.Duration // Time spent in TurnStore.Begin.
	eventsDuration time.Duration // Time spent in TurnStore.StoreEvents.
	sendDuration   time.Duration // Time from sends to backend servers to their response headers.
	firstByteDelay time.Duration // Time until the response header was written.
}

func (g *Gateway) newHandler(w http.ResponseWriter, request *Request) *requestHandler {
	return &requestHandler{gateway: g, request: request, writer: w, catalog: g.options.Catalog()}
}

// refuseUnread writes a refusal of a request whose body was not read, and has its
// connection closed.
func (h *requestHandler) refuseUnread(refusal *Refusal) {
	defer h.log()
	h.refusal = refusal
	h.writer.Header().Set("Connection", "close")
	refusal.write(h.writer)
}

func (h *requestHandler) serve(ctx context.Context) *Refusal {
	if refusal := h.admit(ctx); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadlineCause(ctx, h.deadline, errDeadline)
	defer cancel()
	h.limitWriting()
	if refusal := h.checkSuspect(); refusal != nil {
		return refusal
	}
	if refusal := h.beginTurn(ctx); refusal != nil {
		return refusal
	}
	if h.route.Kind == catalog.KindStream {
		return h.serveStream(ctx)
	}
	return h.serveResponse(ctx)
}

var errDeadline = errors.New("deadline reached")

// identify finds the route, workspace and service.
func (h *requestHandler) identify() *Refusal {
	if h.catalog == nil {
		return refuseRetryable(defaultRetryAfter, "no configuration loaded yet")
	}
	route, found := h.catalog.Route(h.request.Host, h.request.Path)
	if !found {
		return refuse(http.StatusNotFound, "no route matches this host and path")
	}
	h.route = route
	if refusal := h.authenticate(); refusal != nil {
		return refusal
	}
	service, found := h.catalog.Service(h.selectService())
	if !found {
		return refuseRetryable(defaultRetryAfter, "the route's service is not configured")
	}
	h.service = service
	h.setDeadline()
	if end := h.gateway.drainEnd.Load(); end != nil && h.deadline.After(*end) {
		return refuseRetryable(drainRetryAfter, "this hall stops %s before the deadline of the request", h.deadline.Sub(*end))
	}
	return nil
}

// admit identifies the request and applies the rate limit.
func (h *requestHandler) admit(ctx context.Context) *Refusal {
	if refusal := h.identify(); refusal != nil {
		return refusal
	}
	h.rank, h.affinityKey = h.priority(), h.request.Program
	if refusal := h.takeMemory(); refusal != nil {
		return refusal
	}
	if err := h.gateway.options.Balancer.CheckLimits(time.Now(), h.balancerQuery()); err != nil {
		return h.noServerRefusal(err)
	}
	if h.workspace == nil || h.workspace.Rate <= 0 {
		return nil
	}
	var err error
	h.admission, err = h.gateway.options.Admitter.Admit(ctx, h.workspace.Name, h.rank)
	var rateErr *failure.Error
	switch {
	case err == nil:
		h.admitted = true
		return nil
	case errors.As(err, &rateErr) && rateErr.Code() == failure.CodeRateLimited:
		refusal := refuse(http.StatusTooManyRequests, "workspace %s exceeded its rate limit", h.workspace.Name)
		refusal.retryAfter = rateErr.RetryAfter()
		return refusal
	default:
		return refuseRetryable(defaultRetryAfter, "can't check the rate limit of workspace %s: %v", h.workspace.Name, err)
	}
}

func (h *requestHandler) refundRateToken() {
	if h.admitted && h.sends == 0 {
		h.gateway.options.Admitter.Refund(h.workspace.Name)
	}
}

func (h *requestHandler) recordProgram() {
	if h.request.Program != "" {
		last, _ := h.gateway.knownPrograms.Get(h.request.Program)
		h.gateway.knownPrograms.Add(h.request.Program, last)
	}
}

func (h *requestHandler) authenticate() *Refusal {
	workspace, found := h.catalog.WorkspaceByKey(h.request.APIKey)
	if found && h.request.APIKey != "" {
		h.workspace = workspace
		return nil
	}
	if h.route.Open || !h.catalog.HasWorkspaces() {
		return nil
	}
	return refuse(http.StatusUnauthorized, "unknown API key")
}

// selectService selects a service of the route's traffic split.
func (h *requestHandler) selectService() string {
	if len(h.route.Splits) == 1 {
		return h.route.Splits[0].Service
	}
	return balance.PickSplit(h.route.Splits, h.splitKey())
}

// splitKey returns the key on which choices between services, and between software
// versions, depend: the program, so that it stays with one of them, or the ID of a request
// outside of any program.
func (h *requestHandler) splitKey() string {
	if h.request.Program != "" {
		return h.request.Program
	}
	return h.request.ID
}

func (h *requestHandler) setDeadline() {
	timeout := h.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if h.request.Timeout > 0 {
		timeout = min(timeout, h.request.Timeout)
	}
	h.deadline = h.request.Received.Add(timeout)
}

// workspaceName returns the name of the workspace, or "" if there is none.
func (h *requestHandler) workspaceName() string {
	if h.workspace == nil {
		return ""
	}
	return h.workspace.Name
}

func kindName(route *catalog.Route) string {
	switch route.Kind {
	case catalog.KindIdempotent:
		return "idempotent"
	case catalog.KindAtMostOnce:
		return "once"
	case catalog.KindStream:
		return "stream"
	default:
		return "unknown"
	}
}
