// Package peer implements communication between the processes of this project:
// authenticated unary calls over Twirp, and streams of frames with heartbeats.
//
// The server sends heartbeats on every open stream. If the client receives no frame
// for StreamIdleTimeout, the stream is closed and Read returns an *IdleTimeoutError;
// the caller then queries the state of the call by its ID over a new connection. A
// request is never resent because of an idle timeout.
//
// # Usage
//
//	client := peer.NewClient(secrets, network.TCP{})
//	status, err := client.Limpet(address).Beat(ctx, &wire.BeatRequest{...})
//	stream, err := client.Open(ctx, address, peer.CallPath, dispatch)
//	defer stream.Close()
//	frame, err := stream.Read()
package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

const (
	// CallPath is the path on which a limpet accepts a Dispatch.
	CallPath = "/stream/call"
	// TurnPath is the path on which a hall accepts a TurnRequest for a program whose
	// home it is.
	TurnPath = "/stream/turn"

	// HeartbeatInterval is the interval between heartbeats on a stream.
	HeartbeatInterval = 500 * time.Millisecond
	// StreamIdleTimeout is the time without a frame after which a stream is
	// considered broken.
	StreamIdleTimeout = 2 * time.Second
	// unaryTimeout is the timeout of a unary call whose context has no deadline.
	unaryTimeout   = 2 * time.Second
	maxIdlePerHost = 64
)

// IdleTimeoutError reports that no frame arrived on a stream for StreamIdleTimeout.
type IdleTimeoutError struct{ address string }

// Error implements error.
func (e *IdleTimeoutError) Error() string {
	return fmt.Sprintf("no frame received from %s for %s", e.address, StreamIdleTimeout)
}

// Address returns the address of the server.
func (e *IdleTimeoutError) Address() string { return e.address }

// UnsentError reports a request of which no byte was sent.
type UnsentError struct{ cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// IsUnsent reports whether err guarantees that no byte of the request was sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	address string
	status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.address, e.status)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Client calls other processes of this project.
type Client struct {
	secrets    *secret.Keyring
	transport  *http.Transport
	httpClient *http.Client
}

// NewClient returns a client that signs its requests with the first of the secrets.
func NewClient(secrets *secret.Keyring, dialer network.Network) *Client {
	transport := &http.Transport{
		DialContext:         dialMarkingUnsent(dialer),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	client := &Client{secrets: secrets, transport: transport}
	client.httpClient = &http.Client{Transport: signingTransport{secrets: secrets, next: transport}}
	return client
}

// dialMarkingUnsent returns a dial function whose errors are *UnsentError, since
// nothing was sent if the connection could not be established.
func dialMarkingUnsent(dialer network.Network) func(ctx context.Context, protocol, address string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, protocol, address)
		if err != nil {
			return nil, &UnsentError{cause: err}
		}
		return connection, nil
	}
}

// Hall returns a client for the unary calls of a hall.
func (c *Client) Hall(address string) wire.Hall {
	return wire.NewHallProtobufClient("http://"+address, timeoutClient{c.httpClient})
}

// Limpet returns a client for the unary calls of a limpet.
func (c *Client) Limpet(address string) wire.Limpet {
	return wire.NewLimpetProtobufClient("http://"+address, timeoutClient{c.httpClient})
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Open sends a request and returns the response as a stream of frames. The error is
// an *UnsentError if no byte of the request was sent.
func (c *Client) Open(ctx context.Context, address, path string, request proto.Message) (*Stream, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(&IdleTimeoutError{address: address}) })
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel(err)
		return nil, &UnsentError{cause: err}
	}
	httpRequest.GetBody = nil // Keeps net/http from resending the request on its own.
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		idleTimer.Stop()
		err = cancellationCause(ctx, err)
		cancel(err)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		idleTimer.Stop()
		_ = response.Body.Close()
		cancel(nil)
		return nil, &StatusError{address: address, status: response.StatusCode}
	}
	return newStream(ctx, cancel, idleTimer, response.Body), nil
}

// timeoutClient applies unaryTimeout to calls whose context has no deadline.
type timeoutClient struct{ httpClient *http.Client }

// Do implements wire.HTTPClient, the HTTP client interface of Twirp.
func (c timeoutClient) Do(request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	if _, hasDeadline := request.Context().Deadline(); hasDeadline {
		return c.httpClient.Do(request)
	}
	ctx, cancel := context.WithTimeout(request.Context(), unaryTimeout)
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelingBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// signingTransport signs each request with the shared secret of this project's
// processes.
type signingTransport struct {
	secrets *secret.Keyring
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s signingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	signed := request.Clone(request.Context())
	signed.Header.Set("Authorization", s.secrets.Authorization(request.Method, request.URL.Path, time.Now()))
	return s.next.RoundTrip(signed)
}
