// Package caller is a client of the public API of the halls that uses tickets
// correctly: it sends the latest ticket, retries with the same ticket if the
// answer is lost, continues with the new ticket after an error answer that
// carries one, and checks that each answer belongs to the program's history.
//
// # Usage
//
//	c := caller.New(network.TCP{}, pickAddress, key)
//	p, err := c.Open(ctx, 0)
//	answer, err := p.Turn(ctx, "magnet", "hello answer=20", true)
//	output, err := p.Tool(ctx, "orders", "/book", body)
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

// Error is an error answer of a hall.
type Error struct {
	Status     int
	Code       string `json:"code"`
	Message    string `json:"message"`
	Outcome    string `json:"outcome"`
	RetryAfter int64  `json:"retryAfterMilliseconds"`
	Ticket     string `json:"ticket"`
	RequestID  string `json:"requestId"`
}

// Error returns status, code, outcome and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

// RetryDelay returns how long to wait before the next attempt, at least 20 ms.
func (e *Error) RetryDelay() time.Duration {
	return max(20*time.Millisecond, time.Duration(e.RetryAfter)*time.Millisecond)
}

// Client calls halls with one access key.
type Client struct {
	pickAddress func() string
	key         string
	httpClient  *http.Client
}

// New returns a client that calls pickAddress for the address of the hall to send
// each request to.
func New(callerNetwork network.Network, pickAddress func() string, key string) *Client {
	transport := &http.Transport{DialContext: callerNetwork.DialContext, MaxIdleConnsPerHost: 256}
	return &Client{pickAddress: pickAddress, key: key, httpClient: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Do sends one request and returns the header and body of the answer. It returns
// an error answer as an *Error.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (http.Header, []byte, error) {
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answerBody, err := io.ReadAll(response.Body)
	return response.Header, answerBody, err
}

// send returns the answer with its body unread. It returns an error answer as an
// *Error.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.pickAddress()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // Prevents the transport from resending the request on its own.
	for name, values := range header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.httpClient.Do(request)
	if err != nil || response.StatusCode < http.StatusBadRequest {
		return response, err
	}
	defer func() { _ = response.Body.Close() }()
	answerBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return nil, decodeError(response.StatusCode, answerBody)
}

// decodeError decodes the body of an error answer. If the body is not JSON, it
// returns the code notJSON and the outcome unknown.
func decodeError(status int, body []byte) *Error {
	var document struct {
		Error Error `json:"error"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return &Error{Status: status, Code: "notJSON", Message: string(body), Outcome: "unknown"}
	}
	document.Error.Status = status
	return &document.Error
}

// IsCode reports whether err is an error answer with this code.
func IsCode(err error, code string) bool {
	var answerError *Error
	return errors.As(err, &answerError) && answerError.Code == code
}
