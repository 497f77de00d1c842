// Package plain is an HTTP client for plain services: backend servers that are
// not model engines. It reports the outcome of each call.
//
// An at-most-once call uses a new connection. On a kept-alive connection that
// the service closes at the same moment, it would be unknown whether the call
// ran. No request is ever sent twice.
//
// # Usage
//
//	client := plain.New(network.TCP{}, "127.0.0.1:9000")
//	end, err := client.Call(ctx, callID, call, atMostOnce, onHead, onData)
package plain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/wire"
)

const (
	chunkBytes      = 64 << 10
	requestIDHeader = "X-Request-Id"
	// Statuses outside of this range are not those of HTTP.
	minStatus = 100
	maxStatus = 599
)

// forwardedHeaders are the response headers that are forwarded to the caller.
var forwardedHeaders = []string{
	"Content-Type", "Content-Language", "Content-Disposition", "Cache-Control",
	"Etag", "Last-Modified", "Location", "Retry-After",
}

type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

// Client is a client of one plain service.
type Client struct {
	dialer   network.Network
	address  string
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a client for the service at the given host:port.
func New(dialer network.Network, address string) *Client {
	return &Client{dialer: dialer, address: address, pooled: newClient(dialer, false), unpooled: newClient(dialer, true)}
}

func newClient(dialer network.Network, disableKeepAlives bool) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, networkName, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, networkName, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return connection, nil
		},
		MaxIdleConnsPerHost: 32,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
	}
	keepRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// Reachable reports whether the service accepts connections.
func (c *Client) Reachable(ctx context.Context) bool {
	connection, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// Call sends one request and streams the response through onHead and onData.
// Errors are *failure.Error with the actual outcome, Unknown if it can't be
// determined.
func (c *Client) Call(ctx context.Context, callID string, call *wire.ServiceCall, atMostOnce bool, onHead func(*wire.ServiceHead), onData func([]byte)) (*wire.End, error) {
	request, err := http.NewRequestWithContext(ctx, call.GetMethod(), "http://"+c.address+call.GetPath(), bytes.NewReader(call.GetBody()))
	if err != nil {
		return nil, failure.New(failure.CodeBadRequest, failure.NotRun, "invalid request: %v", err)
	}
	writing := newWriteResult()
	request = request.WithContext(httptrace.WithClientTrace(ctx, writing.trace()))
	request.GetBody = nil // Prevents the transport from resending the request.
	for _, header := range call.GetHeaders() {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set(requestIDHeader, callID)
	client := c.pooled
	if atMostOnce {
		client = c.unpooled
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, classifySendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get(requestIDHeader); echoed != "" && echoed != callID {
		return nil, failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "the response belongs to a different request")
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return nil, failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "the service sent the invalid status %q; the request may have run", response.Status)
	}
	onHead(responseHead(response))
	end, err := readBody(response.Body, onData)
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !writing.isWritten(ctx) {
		return nil, truncated(end.BodyBytes)
	}
	return end, err
}

// writeResult is the result of writing a request. The system reports a reset of the connection
// once. If the writer receives the error, the reader sees the end of the connection alone, so
// a response that ends with its connection is whole only if the request was written.
type writeResult struct {
	written chan struct{}
	failed  atomic.Bool // Whether the last attempt failed.
}

func newWriteResult() *writeResult { return &writeResult{written: make(chan struct{}, 1)} }

// trace records the result. The transport may make a second attempt if the connection of the
// first one was closed meanwhile.
func (r *writeResult) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		r.failed.Store(info.Err != nil)
		select {
		case r.written <- struct{}{}:
		default:
		}
	}}
}

// isWritten waits for the result and reports whether the request was written completely.
func (r *writeResult) isWritten(ctx context.Context) bool {
	select {
	case <-r.written:
		return !r.failed.Load()
	case <-ctx.Done():
		return false
	}
}

// readBody reads a response to its end. One without a length and without chunks ends with
// its connection, unless the connection was reset.
func readBody(body io.Reader, onData func([]byte)) (*wire.End, error) {
	end := &wire.End{}
	for {
		chunk := make([]byte, chunkBytes)
		n, err := body.Read(chunk)
		if n > 0 {
			end.BodyBytes += int64(n)
			onData(chunk[:n])
		}
		if errors.Is(err, io.EOF) {
			return end, nil
		}
		if err != nil {
			return nil, truncated(end.BodyBytes)
		}
	}
}

func truncated(bodyBytes int64) error {
	return failure.New(failure.CodeTruncatedAnswer, failure.Ran, "the service ran the request, but its response was truncated after %d bytes", bodyBytes)
}

func classifySendError(ctx context.Context, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return failure.New(failure.CodeServerFailed, failure.NotRun, "can't connect to the service: %v", dial.cause).WithRetryAfter(time.Second)
	}
	if ctx.Err() != nil {
		return failure.New(failure.CodeTimeout, failure.Unknown, "the service did not respond in time; the request may have run")
	}
	return failure.New(failure.CodeOutcomeUnknown, failure.Unknown, "connection to the service lost after the request was sent; the request may have run")
}

func responseHead(response *http.Response) *wire.ServiceHead {
	head := &wire.ServiceHead{Status: int32(response.StatusCode)}
	for _, name := range forwardedHeaders {
		for _, value := range response.Header.Values(name) {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return head
}
