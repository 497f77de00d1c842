package entry

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
)

// retryDelay is the Retry-After time when a hall or a server was unreachable.
const retryDelay = time.Second

// anonymousWorkspace is charged for requests on routes that need no key.
const anonymousWorkspace = "open"

// secretParameters are query parameters that are removed from the calls of a
// service, because they may carry a secret.
var secretParameters = []string{"key", "api_key", "apikey", "access_token", "token", "authorization"}

// callService handles /v1/services/SERVICE/… .
func (s *Server) callService(ctx context.Context, c *app.RequestContext) {
	name, path := c.Param("service"), withLeadingSlash(c.Param("path"))
	service, found := s.Follower.Table().Service(name)
	route := service.Match(string(c.Method()), path)
	if found && route.Open() {
		r := request{id: uuid.NewString(), workspace: anonymousWorkspace}
		c.Header(requestIDHeader, r.id)
		if err := s.runService(ctx, c, r, name, path, route); err != nil {
			s.fail(c, r.id, err)
		}
		return
	}
	handle := func(ctx context.Context, c *app.RequestContext, r request) error {
		if !found {
			return failure.New(failure.CodeNotFound, failure.NotRun, "no service %q", name)
		}
		if _, err := s.Limiter.Admit(ctx, r.workspace, ratelimit.RunningProgram); err != nil {
			return err
		}
		return s.runService(ctx, c, r, name, path, route)
	}
	if route.Idempotent() || !mayBeRetry(c) {
		s.authenticated(handle)(ctx, c)
		return
	}
	s.authenticatedWith(handle, (*failure.Error).AsRetryable)(ctx, c)
}

// mayBeRetry reports whether the request may repeat an earlier one.
func mayBeRetry(c *app.RequestContext) bool {
	return len(c.GetHeader(ticketHeader)) > 0 || len(c.GetHeader(idempotencyKeyHeader)) > 0
}

func (s *Server) runService(ctx context.Context, c *app.RequestContext, r request, name, path string, route table.Route) error {
	turn := &wire.TurnRequest{
		RequestId: r.id, Workspace: r.workspace, Idempotent: route.Idempotent(), IdempotencyKey: string(c.GetHeader(idempotencyKeyHeader)),
		Service: &wire.ServiceCall{
			Service: name, Method: string(c.Method()), Path: withQuery(path, string(c.Request.QueryString())),
			Headers: serviceHeaders(c), Body: append([]byte(nil), c.Request.Body()...),
		},
	}
	writer := &serviceWriter{c: c}
	turn.ProgramId = string(c.GetHeader(programHeader))
	if turn.GetProgramId() == "" {
		return writer.close(s.Home.RunService(ctx, turn, writer.handleFrame))
	}
	if r.keyID == "" {
		return badRequest("a call that belongs to a program needs a key, even on routes without authentication")
	}
	turn.Ticket = string(c.GetHeader(ticketHeader))
	if turn.GetTicket() == "" {
		return badRequest("%s is missing: send the ticket from the last response of the program", ticketHeader)
	}
	return writer.close(s.runAtHome(ctx, turn, writer.handleFrame))
}

// serviceWriter buffers the response of a plain service and writes it once it is
// complete and stored.
type serviceWriter struct {
	c     *app.RequestContext
	head  *wire.ServiceHead
	body  []byte
	ended bool
}

// handleFrame implements home.Send.
func (w *serviceWriter) handleFrame(frame *wire.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Head:
		w.head = body.Head
	case *wire.Frame_Data:
		w.body = append(w.body, body.Data...)
	case *wire.Frame_TurnEnd:
		w.ended = true
		if ticket := body.TurnEnd.GetTicket(); ticket != "" {
			w.c.Header(ticketHeader, ticket)
		}
	}
	return nil
}

// close writes the response if the call succeeded.
func (w *serviceWriter) close(err error) error {
	if err != nil {
		return err
	}
	if !w.ended || w.head == nil {
		return failure.New(failure.CodeTruncatedAnswer, failure.Unknown, "the response ended before it was complete")
	}
	for _, header := range w.head.GetHeaders() {
		w.c.Response.Header.Add(header.GetName(), header.GetValue())
	}
	w.c.Header(outcomeHeader, failure.Ran.String())
	w.c.SetStatusCode(int(w.head.GetStatus()))
	w.c.Response.SetBody(w.body)
	return nil
}

// withLeadingSlash returns the path below the service with a leading slash.
func withLeadingSlash(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// withQuery appends the caller's query without secretParameters. A query that
// can't be parsed is dropped.
func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return path
	}
	for name := range values {
		for _, secret := range secretParameters {
			if strings.EqualFold(name, secret) {
				values.Del(name)
			}
		}
	}
	if encoded := values.Encode(); encoded != "" {
		return path + "?" + encoded
	}
	return path
}
