// Package peer connects the project's own processes: authenticated unary
// calls over Twirp and streams of frames with heartbeats.
//
// Heartbeats run on every open stream, in the direction of the answer. A
// stream that is silent for longer than the bound is closed by its reader with
// a *SilentError; the reader then asks about the call by its identifier over a
// new connection. Nothing is ever sent again because a connection went silent.
//
// # Usage
//
//	client := peer.NewClient(book, network.TCP{})
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
	// CallPath is where a limpet takes a Dispatch.
	CallPath = "/stream/call"
	// TurnPath is where a hall takes a TurnRequest as the program's home.
	TurnPath = "/stream/turn"

	// HeartbeatInterval is the pause between heartbeats on a stream.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceBound is how long a stream may be silent.
	SilenceBound = 2 * time.Second
	// unaryTimeout bounds a unary call whose context has no deadline.
	unaryTimeout = 2 * time.Second
	idlePerHost  = 64
)

// SilentError reports a stream on which nothing came for too long.
type SilentError struct{ address string }

// Error names the other end.
func (e *SilentError) Error() string {
	return fmt.Sprintf("connection to %s was silent for %s", e.address, SilenceBound)
}

// Address returns the other end.
func (e *SilentError) Address() string { return e.address }

// UnsentError reports a request of which no byte left this process.
type UnsentError struct{ cause error }

// Error says why.
func (e *UnsentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// IsUnsent reports whether err promises that no byte was sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	address string
	status  int
}

// Error names the other end and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.address, e.status)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Client calls other processes of the project.
type Client struct {
	book      *secret.Book
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a client that signs with the book's first secret.
func NewClient(book *secret.Book, own network.Network) *Client {
	transport := &http.Transport{
		DialContext:         markUnsent(own),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	client := &Client{book: book, transport: transport}
	client.http = &http.Client{Transport: signer{book: book, next: transport}}
	return client
}

// markUnsent marks failures to connect, after which certainly nothing was
// sent.
func markUnsent(own network.Network) func(ctx context.Context, protocol, address string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		connection, err := own.DialContext(ctx, protocol, address)
		if err != nil {
			return nil, &UnsentError{cause: err}
		}
		return connection, nil
	}
}

// Hall returns the unary interface of a hall.
func (c *Client) Hall(address string) wire.Hall {
	return wire.NewHallProtobufClient("http://"+address, boundedClient{c.http})
}

// Limpet returns the unary interface of a limpet.
func (c *Client) Limpet(address string) wire.Limpet {
	return wire.NewLimpetProtobufClient("http://"+address, boundedClient{c.http})
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Open sends the request and returns the stream of its answer. The error is
// an *UnsentError if no byte was sent.
func (c *Client) Open(ctx context.Context, address, path string, request proto.Message) (*Stream, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(SilenceBound, func() { cancel(&SilentError{address: address}) })
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel(err)
		return nil, &UnsentError{cause: err}
	}
	outgoing.GetBody = nil // The library must not send a call a second time.
	response, err := c.http.Do(outgoing)
	if err != nil {
		watchdog.Stop()
		err = causeOf(ctx, err)
		cancel(err)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		watchdog.Stop()
		_ = response.Body.Close()
		cancel(nil)
		return nil, &StatusError{address: address, status: response.StatusCode}
	}
	return newStream(ctx, cancel, watchdog, response.Body), nil
}

// boundedClient gives each unary call a deadline.
type boundedClient struct{ http *http.Client }

// Do implements the client interface of Twirp.
func (b boundedClient) Do(request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	if _, bounded := request.Context().Deadline(); bounded {
		return b.http.Do(request)
	}
	ctx, cancel := context.WithTimeout(request.Context(), unaryTimeout)
	response, err := b.http.Do(request.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &closingBody{ReadCloser: response.Body, release: cancel}
	return response, nil
}

// signer adds the authentication of the project's own processes.
type signer struct {
	book *secret.Book
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s signer) RoundTrip(request *http.Request) (*http.Response, error) {
	signed := request.Clone(request.Context())
	signed.Header.Set("Authorization", s.book.Authorization(request.Method, request.URL.Path, time.Now()))
	return s.next.RoundTrip(signed)
}
