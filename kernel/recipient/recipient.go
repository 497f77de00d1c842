// Package recipient makes calls between processes name the process that they are meant for.
//
// Processes of one machine share a range of ports, so an address that a caller still knows
// may belong to another process by now. A server refuses calls that are meant for another
// process with 421 Misdirected Request. Calls without the header, of earlier versions, are
// served.
//
// # Usage
//
//	server.Handler = recipient.Handler(host.KindKeeper, "keeper-1", mux)
//	client := wire.NewKeeperProtobufClient("http://"+address, recipient.NewClient(httpClient, host.KindKeeper, "keeper-1"))
//	_, err := client.Find(ctx, request)
//	var misdirectedErr *recipient.MisdirectedError
//	if errors.As(err, &misdirectedErr) { the call was not executed }
package recipient

import (
	"fmt"
	"net/http"
	"net/url"

	"limpethall.dev/kernel/host"
)

const (
	// header names the process that a call is meant for.
	header = "Limpethall-Recipient"
	// forwardHeader names the process to which the recipient passes the call on.
	forwardHeader = "Limpethall-Forward-To"
)

// MisdirectedError reports that a process received a call that is meant for another one. It
// has not executed the call.
type MisdirectedError struct {
	recipient string
	address   string
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("%s does not listen on %s any more", e.recipient, e.address)
}

// Recipient returns the kind and name of the process that the call was meant for.
func (e *MisdirectedError) Recipient() string { return e.recipient }

// encode returns the header value of a process.
func encode(kind host.Kind, name string) string { return string(kind) + "/" + url.PathEscape(name) }

// Client is an HTTP client of one process.
type Client struct {
	client    *http.Client
	recipient string
	forwardTo string // Empty for calls that the recipient executes itself.
}

// NewClient returns a client of the named process that sends its requests through client.
func NewClient(client *http.Client, kind host.Kind, name string) *Client {
	return &Client{client: client, recipient: encode(kind, name)}
}

// ForwardingTo returns a client whose requests the recipient passes on to another process.
func (c *Client) ForwardingTo(kind host.Kind, name string) *Client {
	return &Client{client: c.client, recipient: c.recipient, forwardTo: encode(kind, name)}
}

// Do sends a request. If another process received it, the error is a *MisdirectedError.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	request.Header.Set(header, c.recipient)
	if c.forwardTo != "" {
		request.Header.Set(forwardHeader, c.forwardTo)
	}
	response, err := c.client.Do(request)
	if err != nil || response.StatusCode != http.StatusMisdirectedRequest {
		return response, err
	}
	_ = response.Body.Close() // Its content does not matter.
	return nil, &MisdirectedError{recipient: c.recipient, address: request.URL.Host}
}

// Forward sets the header of an outgoing request by which the recipient of the incoming one
// passes it on.
func Forward(outgoing, incoming *http.Request) {
	if forwardTo := incoming.Header.Get(forwardHeader); forwardTo != "" {
		outgoing.Header.Set(header, forwardTo)
	}
}

// Handler refuses requests that are meant for another process than the named one.
func Handler(kind host.Kind, name string, next http.Handler) http.Handler {
	own := encode(kind, name)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if meantFor := r.Header.Get(header); meantFor != "" && meantFor != own {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}
