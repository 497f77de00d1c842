// Package entry is the face towards callers: it authenticates, limits and
// checks requests, hands programs' calls to their home, and writes answers.
//
// Routes: POST /v1/chat/completions and GET /v1/models as existing clients
// know them; /v1/programs for programs with turns, children and an end;
// /v1/services/SERVICE/… for plain services. Every error has one JSON form
// with code, message, outcome, retry hint and request id.
//
// # Usage
//
//	e := entry.New(options, parts)
//	e.Mount(listener)
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/hall/home"
	"limpethall.dev/hall/neighbor"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/table"
)

const (
	requestIDHeader = "X-Request-Id"
	ticketHeader    = "Limpethall-Ticket"
	programHeader   = "Limpethall-Program"
	outcomeHeader   = "Limpethall-Outcome"
	keyHeader       = "Idempotency-Key"
	bearer          = "Bearer"
)

// Options are the settings of an entry.
type Options struct {
	// Name is the hall's name.
	Name string
	// MaxBody bounds a request body in bytes.
	MaxBody int
}

// Parts are what an entry works with.
type Parts struct {
	Follower  *configuration.Follower
	Neighbors *neighbor.Neighbors
	Allowance *allowance.Allowance
	Home      *home.Home
	Roster    *host.Watcher
	Client    *peer.Client
	Counters  *Counters
	Logger    *zap.Logger
	Now       func() time.Time
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	Parts
	options Options
	open    *openRequests
}

// New returns an entry, which ends the open requests of withdrawn keys from
// now on.
func New(options Options, parts Parts) *Entry {
	e := &Entry{Parts: parts, options: options, open: newOpenRequests()}
	parts.Follower.Subscribe(e.open.endWithdrawn)
	return e
}

// Mount adds the routes to a listener.
func (e *Entry) Mount(l *listener.Listener) {
	router := l.Router()
	router.GET("/v1/models", e.keyed(e.listModels))
	router.POST("/v1/chat/completions", e.keyed(e.completeChat))
	router.POST("/v1/programs", e.keyed(e.openProgram))
	router.GET("/v1/programs/:program", e.keyed(e.describeProgram))
	router.DELETE("/v1/programs/:program", e.keyed(e.endProgram))
	router.POST("/v1/programs/:program/turns", e.keyed(e.runTurn))
	router.POST("/v1/programs/:program/children", e.keyed(e.openChild))
	router.Any("/v1/services/:service/*path", e.callService)
	router.NoRoute(func(_ context.Context, c *app.RequestContext) {
		e.fail(c, "", failure.New(failure.CodeNotFound, failure.NotRun, "there is no route %s: see the documentation of the caller interface", string(c.Path())))
	})
	router.NoMethod(func(_ context.Context, c *app.RequestContext) {
		e.fail(c, "", failure.New(failure.CodeMethodNotAllowed, failure.NotRun, "%s is not allowed on %s", string(c.Method()), string(c.Path())))
	})
}

// request is one authenticated request of a caller.
type request struct {
	id        string
	workspace string
	row       table.Row
	keyID     string
}

// handler serves an authenticated request. An error is written as the answer
// if none has begun.
type handler func(ctx context.Context, c *app.RequestContext, r request) error

// keyed returns a route that needs a key.
func (e *Entry) keyed(serve handler) app.HandlerFunc {
	return e.keyedWith(serve, func(known *failure.Error) *failure.Error { return known })
}

// keyedWith is keyed with a last word on what failures tell.
func (e *Entry) keyedWith(serve handler, tell func(*failure.Error) *failure.Error) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		r := request{id: uuid.NewString()}
		c.Header(requestIDHeader, r.id)
		r, err := e.authenticate(c, r)
		if err == nil {
			err = e.serve(ctx, c, r, serve)
		}
		if err != nil {
			e.fail(c, r.id, tell(failure.From(err)))
		}
	}
}

// serve runs the handler in a context that ends when the key is withdrawn.
func (e *Entry) serve(ctx context.Context, c *app.RequestContext, r request, serve handler) error {
	if size := len(c.Request.Body()); size > e.options.MaxBody {
		return failure.New(failure.CodeTooLarge, failure.NotRun, "the body has %d bytes, the most is %d", size, e.options.MaxBody)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer e.open.add(r.keyID, cancel)()
	if err := e.Neighbors.Current(e.Now()); err != nil {
		return err
	}
	err := serve(ctx, c, r)
	if withdrawn := withdrawal(ctx); err != nil && withdrawn != nil {
		return withdrawn
	}
	return err
}

// authenticate finds the workspace of the key that came with the request. All
// refusals look the same, so that nothing is learned from them.
func (e *Entry) authenticate(c *app.RequestContext, r request) (request, error) {
	refused := failure.New(failure.CodeUnauthorized, failure.NotRun, "send a valid key as Authorization: Bearer KEY")
	text, found := key.FromHeader(string(c.GetHeader("Authorization")), bearer)
	if !found {
		return r, refused
	}
	id, secret, formed := key.Split(text)
	if !formed {
		return r, refused
	}
	accepted := e.Follower.Table()
	kept, known := accepted.Key(id)
	if !known || !kept.Matches(secret) {
		return r, refused
	}
	row, listed := accepted.Row(kept.Workspace())
	if !listed {
		return r, refused
	}
	r.workspace = kept.Workspace()
	r.row = row
	r.keyID = id
	return r, nil
}

// fail writes an error in its one JSON form, unless an answer has begun.
func (e *Entry) fail(c *app.RequestContext, requestID string, err error) {
	known := failure.From(err)
	e.Counters.Refused(known)
	level := zap.InfoLevel
	if known.Code() == failure.CodeInternal {
		level = zap.ErrorLevel
	}
	e.Logger.Log(level, "request failed", zap.String("request", requestID), zap.String("path", string(c.Path())), zap.Error(err))
	if c.Response.GetHijackWriter() != nil {
		return
	}
	if wait := known.RetryAfter(); wait > 0 {
		c.Header("Retry-After", retryAfterSeconds(wait))
	}
	if known.Ticket() != "" {
		c.Header(ticketHeader, known.Ticket())
	}
	c.Header(outcomeHeader, known.Outcome().String())
	c.JSON(known.Status(), errorAnswer{Error: errorOf(known, requestID)})
}

// listModels answers GET /v1/models with the models that the workspace may
// use and some backend server holds.
func (e *Entry) listModels(_ context.Context, c *app.RequestContext, r request) error {
	answer := modelList{Object: "list", Data: []modelEntry{}}
	seen := make(map[string]bool)
	for _, limpet := range e.Roster.Roster().Limpets() {
		for _, name := range limpet.Models() {
			if !seen[name] && r.row.Allows(name) {
				seen[name] = true
				answer.Data = append(answer.Data, modelEntry{ID: name, Object: "model", OwnedBy: "limpethall"})
			}
		}
	}
	c.JSON(http.StatusOK, answer)
	return nil
}
