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
	base   string
	client *http.Client
}

// NewJSONCaller returns a caller of an address that keeps so many idle
// connections.
func NewJSONCaller(own network.Network, address string, idleConnections int) *JSONCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	if own != nil {
		transport.DialContext = own.DialContext
	}
	return &JSONCaller{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *JSONCaller) Close() { c.client.CloseIdleConnections() }

// JSONCall is one call.
type JSONCall struct {
	Method string
	// Path is path and query.
	Path string
	// Name stands for the call in errors.
	Name string
	// Body is sent as JSON, nil for none.
	Body any
	// Write says that the call may have an effect although it is not answered.
	Write   bool
	Timeout time.Duration
}

// Do makes the call. An answer of status 200 is decoded into answer, which may
// be nil; for any other status failed returns the error. A call that is not
// answered is an *UnavailableError.
func (c *JSONCaller) Do(ctx context.Context, call JSONCall, answer any, failed func(status int) error) error {
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
		return failed(response.StatusCode)
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
