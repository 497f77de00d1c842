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

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/network"
)

const (
	// maxResponseBytes limits one response: a configuration of 4 MB in base64, and what is
	// sent with it.
	maxResponseBytes = 8 << 20
	// responseMemory is the memory for the responses of all calls in progress, as received and
	// as decoded.
	responseMemory = 3 * maxResponseBytes
)

// JSONCaller makes the calls of a Store plug-in for a service with a JSON-over-HTTP
// API. It never retries a request.
type JSONCaller struct {
	base        string
	client      *http.Client
	timeout     time.Duration
	memory      *buffer.Budget
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
	return &JSONCaller{base: "http://" + address, client: &http.Client{Transport: transport}, timeout: timeout, memory: buffer.NewBudget(responseMemory), statusError: statusError}
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
// which may be nil. It returns an *UnavailableError if there is no response, or its body
// can't be decoded, is too large, or finds no memory beside those of other calls.
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
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return err
	}
	if err := c.decode(response, result); err != nil {
		return NewUnavailableError(call.Name, call.Write, err)
	}
	return nil
}

// decode decodes the body of a response in memory that is counted.
func (c *JSONCaller) decode(response *http.Response, result any) error {
	account := c.memory.Open(buffer.PriorityStarted)
	defer account.Release()
	body, err := account.Read(response.Body, response.ContentLength, maxResponseBytes)
	if err != nil {
		return err
	}
	if err := account.Take(int64(len(body))); err != nil {
		return err
	}
	return json.Unmarshal(body, result)
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
