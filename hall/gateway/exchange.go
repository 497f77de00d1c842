package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/connection"
)

// wholeBytes is the size up to which a plain answer is read whole before any of
// it is passed on, so that one that breaks off can be replaced.
const wholeBytes = 64 << 10

// sent is an answer that is being read, with the server that gives it.
type sent struct {
	*Answer
	choice *balance.Choice
}

// end closes the exchange and ends the choice.
func (s *sent) end() {
	s.Close()
	s.choice.Done()
}

// exchange sends the request to one server after the other until one runs it
// and answers.
func (c *call) exchange(ctx context.Context, resumeAfter string) (*sent, *Refusal) {
	for {
		if refusal := c.mayNotSend(ctx); refusal != nil {
			return nil, refusal
		}
		choice, err := c.gateway.options.Balancer.Choose(time.Now(), balance.Query{Service: c.service, Key: c.key, Tried: c.tried})
		if err != nil {
			return nil, c.givenUp(err)
		}
		c.last = choice
		c.sends++
		answer, err := c.gateway.options.Backend.Send(ctx, choice.Server(), c.outgoing(resumeAfter))
		if err == nil && !answer.NotRun {
			c.report(choice, answer)
			return &sent{Answer: answer, choice: choice}, nil
		}
		c.passOver(choice, answer, err)
		if refusal := c.broken(ctx, err); refusal != nil {
			return nil, refusal
		}
	}
}

// mayNotSend returns why the request may not be sent any more.
func (c *call) mayNotSend(ctx context.Context) *Refusal {
	attempts := c.attempts()
	switch {
	case ctx.Err() != nil || time.Until(c.deadline) < leastRemaining:
		return c.ended(ctx)
	case c.runs >= attempts:
		return refuse(http.StatusBadGateway, "%d backend servers failed", c.runs)
	case c.sends >= attempts+extraSends:
		return c.givenUp(fmt.Errorf("%d backend servers did not run it", c.sends-c.runs))
	}
	return nil
}

func (c *call) attempts() int {
	if c.route.Attempts > 0 {
		return c.route.Attempts
	}
	return defaultAttempts
}

func (c *call) outgoing(resumeAfter string) Outgoing {
	connections := 0
	if c.service.MaxConnections > 0 {
		connections = max(1, c.service.MaxConnections/max(1, c.gateway.options.Halls()))
	}
	return Outgoing{
		Request: c.request, Workspace: c.workspaceName(), Body: c.body, Remaining: time.Until(c.deadline),
		ResumeAfter: resumeAfter, MaxConnections: connections,
	}
}

func (c *call) report(choice *balance.Choice, answer *Answer) {
	if answer.Load != nil {
		choice.Report(time.Now(), *answer.Load)
	}
}

// passOver ends the exchange with a server that did not run the request or
// broke off.
func (c *call) passOver(choice *balance.Choice, answer *Answer, err error) {
	if c.tried == nil {
		c.tried = make(map[string]bool)
	}
	c.tried[choice.Server().ID()] = true
	var full *connection.FullError
	switch {
	case err == nil:
		c.report(choice, answer)
		answer.Close()
	case !errors.As(err, &full) && !errors.Is(err, context.Canceled):
		choice.Fail(time.Now())
	}
	choice.Done()
	c.gateway.options.Logger.Info("backend server passed over", zap.String("requestId", c.request.ID),
		zap.String("server", choice.Server().ID()), zap.Bool("answered", err == nil), zap.Error(err))
}

// broken decides whether the request may go to another server after an error.
func (c *call) broken(ctx context.Context, err error) *Refusal {
	var broken *connection.BrokenError
	if !errors.As(err, &broken) {
		return nil
	}
	c.runs++
	if ctx.Err() != nil {
		return c.ended(ctx)
	}
	c.suspectCrash(c.last.Server())
	if !c.route.IsRepeatable() {
		return refuse(http.StatusBadGateway, "the backend server broke off: %v", err)
	}
	return nil
}

// ended is the refusal of a request whose time is over or whose caller has gone.
func (c *call) ended(ctx context.Context) *Refusal {
	if c.runs == 0 {
		return later(soon, "not sent to any backend server in time")
	}
	return refuse(http.StatusGatewayTimeout, "no answer in time: %v", context.Cause(ctx))
}

// givenUp is the refusal of a request that no server takes.
func (c *call) givenUp(err error) *Refusal {
	if c.runs > 0 {
		return refuse(http.StatusBadGateway, "%d backend servers failed and %v", c.runs, err)
	}
	return later(soon, "%v", err)
}

// servePlain passes on an answer that is not a stream of events.
func (c *call) servePlain(ctx context.Context) *Refusal {
	for {
		answer, refusal := c.exchange(ctx, "")
		if refusal != nil {
			return refusal
		}
		refusal, again := c.passPlain(ctx, answer)
		if !again {
			return refusal
		}
	}
}

// passPlain passes one answer on. again says that it broke off before any of it
// was passed on and that another server may be asked.
func (c *call) passPlain(ctx context.Context, answer *sent) (refusal *Refusal, again bool) {
	defer answer.end()
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		c.passOver(answer.choice, answer.Answer, err)
		refusal := c.broken(ctx, connection.NewBrokenError(err))
		return refusal, refusal == nil
	}
	if answer.Length < 0 && len(body) < wholeBytes {
		answer.Length = int64(len(body))
	}
	c.begin(answer.Answer)
	if _, err := c.writer.Write(body); err != nil {
		c.aborted = err
		return nil, false
	}
	if len(body) == wholeBytes {
		if _, err := io.Copy(c.writer, answer.Body); err != nil {
			c.aborted = err
		}
	}
	return nil, false
}

// begin passes status and headers on.
func (c *call) begin(answer *Answer) {
	header := c.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if _, found := header["Date"]; !found {
		header["Date"] = nil // Nothing is added to what the server sent.
	}
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.status = answer.Status
	c.first = time.Since(c.request.Received)
	c.writer.WriteHeader(answer.Status)
}
