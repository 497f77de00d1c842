package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"limpethall.dev/kernel/network"
)

const maxResponseBytes = 16 << 20

// JSONCaller makes the calls of a Store plug-in for a service with a JSON-over-HTTP
// API. It never retries a request.
type JSONCaller struct {
	base        string
	client      *http.Client
	timeout     time.Duration
	statusError func(call JSONCall, status int) error
}

// NewJSONCaller returns a caller for an address that keeps up to
// maxIdleConnections idle connections. timeout is the default timeout of a call;
// statusError maps a response status other than 200 to an error.
func NewJSONCaller(dialer network.Network, address string, maxIdleConnections int, timeout time.Duration, statusError func(call JSONCall, status int) error) *JSONCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	if dialer != nil {
		transport.DialContext = dialer.DialContext
	}
	return &JSONCaller{base: "http://" + address, client: &http.Client{Transport: transport}, timeout: timeout, statusError: statusError}
}

// Close closes idle connections.
func (c *JSONCaller) Close() { c.client.CloseIdleConnections() }

// JSONCall describes a call.
type JSONCall struct {
	Method string
	// Path holds the path and the query string.
	Path string
	// Name identifies the call in errors and metrics.
	Name string
	// Key, Expected and Lease are the arguments that errors report. A watch keeps
	// its start revision in Expected.
	Key      string
	Expected uint64
	Lease    LeaseID
	// Body is encoded as JSON; nil means no body.
	Body any
	// Write marks a call that may be applied even if no response arrives.
	Write bool
	// Timeout limits the call; zero means the default of the JSONCaller.
	Timeout time.Duration
}

// Do makes the call and decodes the body of a response with status 200 into result,
// which may be nil. It returns an *UnavailableError if there is no response or its
// body can't be decoded.
func (c *JSONCaller) Do(ctx context.Context, call JSONCall, result any) error {
	if call.Timeout <= 0 {
		call.Timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	request, err := call.newRequest(ctx, c.base)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.Close() // Other connections of the pool may be unresponsive too.
		}
		return NewUnavailableError(call.Name, call.Write, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return c.statusError(call, response.StatusCode)
	}
	if result == nil {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return NewUnavailableError(call.Name, call.Write, err)
	}
	return nil
}

// UnexpectedStatus returns the error for a status that the protocol doesn't define.
// effectUnknown means that the call may have been applied.
func (call JSONCall) UnexpectedStatus(status int, effectUnknown bool) error {
	return NewUnavailableError(call.Name, effectUnknown, fmt.Errorf("status %d", status))
}

func (call JSONCall) newRequest(ctx context.Context, base string) (*http.Request, error) {
	var body io.Reader
	if call.Body != nil {
		encoded, err := json.Marshal(call.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // Keeps net/http from resending a write on its own.
	if call.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
