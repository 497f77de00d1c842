// Package entry is the public HTTP API. It authenticates and validates requests,
// applies rate limits, sends the calls of a program to its home hall, and writes
// responses.
//
// Routes: POST /v1/chat/completions and GET /v1/models in the form that existing
// clients use; /v1/programs to open, describe and end programs, run their turns
// and open children; /v1/services/SERVICE/… for plain services. All errors have
// the same JSON form with code, message, outcome, retry delay and request ID.
//
// # Usage
//
//	server := entry.New(options, dependencies)
//	server.Mount(listener)
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"limpethall.dev/hall/home"
	"limpethall.dev/hall/neighbor"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/table"
)

const (
	requestIDHeader      = "X-Request-Id"
	ticketHeader         = "Limpethall-Ticket"
	programHeader        = "Limpethall-Program"
	outcomeHeader        = "Limpethall-Outcome"
	idempotencyKeyHeader = "Idempotency-Key"
	bearer               = "Bearer"
)

// Options are the settings of a Server.
type Options struct {
	// Name is the hall's name.
	Name string
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Follower  *configuration.Follower
	Neighbors *neighbor.Neighbors
	Limiter   *ratelimit.Limiter
	Home      *home.Home
	Roster    *host.Watcher
	Client    *peer.Client
	Counters  *Counters
	Logger    *zap.Logger
	Now       func() time.Time
}

// Server serves the public API. It is safe for concurrent use.
type Server struct {
	Dependencies
	options Options
	active  *activeRequests
}

// New returns a server and subscribes it to the configuration, so that it
// cancels the active requests of a key when the key is withdrawn.
func New(options Options, dependencies Dependencies) *Server {
	s := &Server{Dependencies: dependencies, options: options, active: newActiveRequests()}
	dependencies.Follower.Subscribe(s.active.cancelWithdrawn)
	return s
}

// Mount adds the routes to a listener.
func (s *Server) Mount(l *listener.Listener) {
	router := l.Router()
	router.GET("/v1/models", s.authenticated(s.listModels))
	router.POST("/v1/chat/completions", s.authenticated(s.completeChat))
	router.POST("/v1/programs", s.authenticated(s.openProgram))
	router.GET("/v1/programs/:program", s.authenticated(s.describeProgram))
	router.DELETE("/v1/programs/:program", s.authenticated(s.endProgram))
	router.POST("/v1/programs/:program/turns", s.authenticated(s.runTurn))
	router.POST("/v1/programs/:program/children", s.authenticated(s.openChild))
	router.Any("/v1/services/:service/*path", s.callService)
	router.NoRoute(func(_ context.Context, c *app.RequestContext) {
		s.fail(c, "", failure.New(failure.CodeNotFound, failure.NotRun, "no route %s: see the API documentation", string(c.Path())))
	})
	router.NoMethod(func(_ context.Context, c *app.RequestContext) {
		s.fail(c, "", failure.New(failure.CodeMethodNotAllowed, failure.NotRun, "%s is not allowed on %s", string(c.Method()), string(c.Path())))
	})
}

// request identifies one request and its caller.
type request struct {
	id        string
	workspace string
	limits    table.Row // Limits of the workspace.
	keyID     string    // Empty on routes that need no key.
}

// handler serves a request. A returned error is written as the response, unless a
// response has started.
type handler func(ctx context.Context, c *app.RequestContext, r request) error

// authenticated returns a route that needs a valid key.
func (s *Server) authenticated(handle handler) app.HandlerFunc {
	return s.authenticatedWith(handle, func(apiErr *failure.Error) *failure.Error { return apiErr })
}

// authenticatedWith is like authenticated and applies adjustFailure to a failure
// before it is written.
func (s *Server) authenticatedWith(handle handler, adjustFailure func(*failure.Error) *failure.Error) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		r := request{id: uuid.NewString()}
		c.Header(requestIDHeader, r.id)
		r, err := s.authenticate(c, r)
		if err == nil {
			err = s.serve(ctx, c, r, handle)
		}
		if err != nil {
			s.fail(c, r.id, adjustFailure(failure.From(err)))
		}
	}
}

// serve calls the handler with a context that is canceled when the key is
// withdrawn.
func (s *Server) serve(ctx context.Context, c *app.RequestContext, r request, handle handler) error {
	if size := len(c.Request.Body()); size > s.options.MaxBody {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "the body has %d bytes, the maximum is %d", size, s.options.MaxBody)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.active.add(r.keyID, cancel)()
	if err := s.Neighbors.CheckCurrent(s.Now()); err != nil {
		return err
	}
	err := handle(ctx, c, r)
	if withdrawnErr := keyWithdrawnCause(ctx); err != nil && withdrawnErr != nil {
		return withdrawnErr
	}
	return err
}

// authenticate verifies the key in the Authorization header and sets the caller's
// workspace. All rejections have the same form, so that they do not disclose
// which keys exist.
func (s *Server) authenticate(c *app.RequestContext, r request) (request, error) {
	unauthorized := failure.New(failure.CodeUnauthorized, failure.NotRun, "send a valid key as Authorization: Bearer KEY")
	token, found := key.FromHeader(string(c.GetHeader("Authorization")), bearer)
	if !found {
		return r, unauthorized
	}
	id, secret, wellFormed := key.Parse(token)
	if !wellFormed {
		return r, unauthorized
	}
	current := s.Follower.Table()
	apiKey, exists := current.Key(id)
	if !exists || !apiKey.Matches(secret) {
		return r, unauthorized
	}
	limits, exists := current.Row(apiKey.Workspace())
	if !exists {
		return r, unauthorized
	}
	r.workspace = apiKey.Workspace()
	r.limits = limits
	r.keyID = id
	return r, nil
}

// fail logs and counts a failed request and writes the error as JSON, unless a
// response has started.
func (s *Server) fail(c *app.RequestContext, requestID string, err error) {
	apiErr := failure.From(err)
	s.Counters.RecordFailure(apiErr)
	level := zap.InfoLevel
	if apiErr.Code() == failure.CodeInternal {
		level = zap.ErrorLevel
	}
	s.Logger.Log(level, "request failed", zap.String("request", requestID), zap.String("path", string(c.Path())), zap.Error(err))
	if c.Response.GetHijackWriter() != nil {
		return
	}
	if delay := apiErr.RetryAfter(); delay > 0 {
		c.Header("Retry-After", retryAfterSeconds(delay))
	}
	if apiErr.Ticket() != "" {
		c.Header(ticketHeader, apiErr.Ticket())
	}
	c.Header(outcomeHeader, apiErr.Outcome().String())
	c.JSON(apiErr.Status(), errorResponse{Error: newErrorDocument(apiErr, requestID)})
}

// listModels handles GET /v1/models. It lists the models that the workspace may
// use and at least one backend server holds.
func (s *Server) listModels(_ context.Context, c *app.RequestContext, r request) error {
	response := modelList{Object: "list", Data: []modelEntry{}}
	listed := make(map[string]bool)
	for _, limpet := range s.Roster.Roster().Limpets() {
		for _, model := range limpet.Models() {
			if !listed[model] && r.limits.Allows(model) {
				listed[model] = true
				response.Data = append(response.Data, modelEntry{ID: model, Object: "model", OwnedBy: "limpethall"})
			}
		}
	}
	c.JSON(http.StatusOK, response)
	return nil
}
