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

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 16 << 20

// JSONCaller makes the calls of a Store plug-in whose service speaks JSON over
// HTTP. It sends nothing twice.
type JSONCaller struct {
	base    string
	client  *http.Client
	timeout time.Duration
	failed  func(call JSONCall, status int) error
}

// NewJSONCaller returns a caller of an address that keeps so many idle
// connections. timeout bounds calls that state none; failed returns the error of a
// call that was answered with another status than 200.
func NewJSONCaller(own network.Network, address string, idleConnections int, timeout time.Duration, failed func(call JSONCall, status int) error) *JSONCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	if own != nil {
		transport.DialContext = own.DialContext
	}
	return &JSONCaller{base: "http://" + address, client: &http.Client{Transport: transport}, timeout: timeout, failed: failed}
}

// Close closes idle connections.
func (c *JSONCaller) Close() { c.client.CloseIdleConnections() }

// JSONCall is one call.
type JSONCall struct {
	Method string
	// Path is path and query.
	Path string
	// Name stands for the call in errors and counts.
	Name string
	// Key, Expected and Lease are what the call is about, for its errors.
	Key      string
	Expected uint64
	Lease    LeaseID
	// Body is sent as JSON, nil for none.
	Body any
	// Write says that the call may have an effect although it is not answered.
	Write bool
	// Timeout bounds the call; zero stands for the caller's own.
	Timeout time.Duration
}

// Do makes the call. An answer of status 200 is decoded into answer, which may
// be nil. A call that is not answered is an *UnavailableError.
func (c *JSONCaller) Do(ctx context.Context, call JSONCall, answer any) error {
	if call.Timeout <= 0 {
		call.Timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	outgoing, err := call.request(ctx, c.base)
	if err != nil {
		return err
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.Close() // Other connections may be as silent as this one.
		}
		return NewUnavailableError(call.Name, call.Write, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return c.failed(call, response.StatusCode)
	}
	if answer == nil {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer); err != nil {
		return NewUnavailableError(call.Name, call.Write, err)
	}
	return nil
}

// Refused is the error of a status that no rule of the protocol covers. effect
// says that the call may have had an effect.
func (call JSONCall) Refused(status int, effect bool) error {
	return NewUnavailableError(call.Name, effect, fmt.Errorf("status %d", status))
}

func (call JSONCall) request(ctx context.Context, base string) (*http.Request, error) {
	var body io.Reader
	if call.Body != nil {
		text, err := json.Marshal(call.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	outgoing, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, body)
	if err != nil {
		return nil, err
	}
	outgoing.GetBody = nil // A write must not be sent again behind our back.
	if call.Body != nil {
		outgoing.Header.Set("Content-Type", "application/json")
	}
	return outgoing, nil
}
