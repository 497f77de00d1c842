package entry

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
)

// retryHint is when to come back after a hall or a server was not reached.
const retryHint = time.Second

// openWorkspace is charged for requests on routes that are open to all.
const openWorkspace = "open"

// secretParameters are query parameters that never reach a service.
var secretParameters = []string{"key", "api_key", "apikey", "access_token", "token", "authorization"}

// callService answers /v1/services/SERVICE/… .
func (e *Entry) callService(ctx context.Context, c *app.RequestContext) {
	name, path := c.Param("service"), cleanPath(c.Param("path"))
	service, found := e.Follower.Table().Service(name)
	route := service.Match(string(c.Method()), path)
	if found && route.Open() {
		r := request{id: uuid.NewString(), workspace: openWorkspace}
		c.Header(requestIDHeader, r.id)
		if err := e.runService(ctx, c, r, name, path, route); err != nil {
			e.fail(c, r.id, err)
		}
		return
	}
	serve := func(ctx context.Context, c *app.RequestContext, r request) error {
		if !found {
			return failure.New(failure.CodeNotFound, failure.NotRun, "there is no service %q", name)
		}
		if err := e.Allowance.Admit(ctx, r.workspace, allowance.Continuing); err != nil {
			return err
		}
		return e.runService(ctx, c, r, name, path, route)
	}
	if route.Idempotent() || !repeatable(c) {
		e.keyed(serve)(ctx, c)
		return
	}
	e.keyedWith(serve, (*failure.Error).Repeatable)(ctx, c)
}

// repeatable reports whether the request may be a repetition.
func repeatable(c *app.RequestContext) bool {
	return len(c.GetHeader(ticketHeader)) > 0 || len(c.GetHeader(keyHeader)) > 0
}

func (e *Entry) runService(ctx context.Context, c *app.RequestContext, r request, name, path string, route table.Route) error {
	turn := &wire.TurnRequest{
		RequestId: r.id, Workspace: r.workspace, Idempotent: route.Idempotent(), IdempotencyKey: string(c.GetHeader(keyHeader)),
		Service: &wire.ServiceCall{
			Service: name, Method: string(c.Method()), Path: withQuery(path, string(c.Request.QueryString())),
			Headers: serviceHeaders(c), Body: append([]byte(nil), c.Request.Body()...),
		},
	}
	writer := &serviceWriter{c: c}
	turn.ProgramId = string(c.GetHeader(programHeader))
	if turn.GetProgramId() == "" {
		return writer.close(e.Home.RunSingle(ctx, turn, writer.take))
	}
	if r.keyID == "" {
		return badRequest("a call of a program needs a key, on open routes too")
	}
	turn.Ticket = string(c.GetHeader(ticketHeader))
	if turn.GetTicket() == "" {
		return badRequest("%s is missing: send the ticket of the last answer of the program", ticketHeader)
	}
	return writer.close(e.atHome(ctx, turn, writer.take))
}

// serviceWriter collects a plain service's answer and writes it once it is
// known to be whole and kept.
type serviceWriter struct {
	c     *app.RequestContext
	head  *wire.ServiceHead
	body  []byte
	ended bool
}

func (w *serviceWriter) take(frame *wire.Frame) error {
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

func (w *serviceWriter) close(err error) error {
	if err != nil {
		return err
	}
	if !w.ended || w.head == nil {
		return failure.New(failure.CodeTruncated, failure.Unknown, "the answer ended before it was whole")
	}
	for _, header := range w.head.GetHeaders() {
		w.c.Response.Header.Add(header.GetName(), header.GetValue())
	}
	w.c.Header(outcomeHeader, failure.Ran.String())
	w.c.SetStatusCode(int(w.head.GetStatus()))
	w.c.Response.SetBody(w.body)
	return nil
}

// cleanPath returns the path below the service, with its leading slash.
func cleanPath(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// withQuery adds the caller's query without parameters that carry secrets.
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
