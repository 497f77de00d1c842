// Package caller is a client of the caller interface that behaves as a
// careful user would: it sends the newest ticket, repeats with the same ticket
// when an answer is lost, goes on with the fresh ticket after a refusal, and
// checks that each answer belongs to its own history.
//
// # Usage
//
//	c := caller.New(network.TCP{}, pick, key)
//	p, err := c.Open(ctx, 0)
//	answer, err := p.Turn(ctx, "magnet", "hello answer=20", true)
//	err = p.Tool(ctx, "orders", "/book", body)
//	err = p.End(ctx)
package caller

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

const (
	ticketHeader  = "Limpethall-Ticket"
	programHeader = "Limpethall-Program"
)

// Error is an error answer of the system.
type Error struct {
	Status     int
	Code       string `json:"code"`
	Message    string `json:"message"`
	Outcome    string `json:"outcome"`
	RetryAfter int64  `json:"retryAfterMilliseconds"`
	Ticket     string `json:"ticket"`
	RequestID  string `json:"requestId"`
}

// Error returns all parts in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// Hint returns how long to wait before the next try, at least a little.
func (e *Error) Hint() time.Duration {
	return max(20*time.Millisecond, time.Duration(e.RetryAfter)*time.Millisecond)
}

// Client calls the halls with one key.
type Client struct {
	pick func() string
	key  string
	http *http.Client
}

// New returns a client; pick returns the address of a hall for each request.
func New(own network.Network, pick func() string, key string) *Client {
	transport := &http.Transport{DialContext: own.DialContext, MaxIdleConnsPerHost: 256}
	return &Client{pick: pick, key: key, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one request and returns the whole answer. An error answer is an
// *Error.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (http.Header, []byte, error) {
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.Header, answer, err
}

// send returns the answer with its body still to be read, unless it is an
// error answer.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.pick()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil || response.StatusCode < http.StatusBadRequest {
		return response, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return nil, errorOf(response.StatusCode, answer)
}

func errorOf(status int, answer []byte) *Error {
	var document struct {
		Error Error `json:"error"`
	}
	if err := json.Unmarshal(answer, &document); err != nil {
		return &Error{Status: status, Code: "notJSON", Message: string(answer), Outcome: "unknown"}
	}
	document.Error.Status = status
	return &document.Error
}

// IsCode reports whether err is an error answer with that code.
func IsCode(err error, code string) bool {
	var answered *Error
	return errors.As(err, &answered) && answered.Code == code
}
