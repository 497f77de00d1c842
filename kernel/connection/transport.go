package connection

import (
	"io"
	"net/http"
	"time"

	"limpethall.dev/kernel/network"
)

// Transport is an http.RoundTripper for http URLs that uses the connections of a pool. Unlike
// that of net/http it has no goroutines and no write buffers for each connection, and the
// goroutine of a call writes a short request and reads its response itself, so a call wakes up
// fewer goroutines. It never resends a request. The body of a response must be closed.
type Transport struct{ pool *Pool }

// NewTransport returns a transport that keeps at most maxIdle idle connections to a server.
func NewTransport(dialer network.Network, maxIdle int) *Transport {
	pool := NewPool(dialer)
	pool.maxIdle = maxIdle
	return &Transport{pool: pool}
}

// RoundTrip implements http.RoundTripper. Its error is that of Pool.Send.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	exchange, err := t.pool.Send(request.Context(), request.URL.Host, 0, request, func(*http.Response) bool { return true })
	if err != nil {
		if request.Body != nil {
			_ = request.Body.Close() // The cause is returned.
		}
		return nil, err
	}
	response := exchange.Response()
	response.Body = &exchangeBody{Reader: response.Body, exchange: exchange}
	return response, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.pool.CloseIdleExcept(func(string) bool { return false })
}

// CloseExpired closes the idle connections that would not be used any more.
func (t *Transport) CloseExpired() { t.pool.closeExpired(time.Now()) }

// exchangeBody is the body of a response, whose Close ends the exchange.
type exchangeBody struct {
	io.Reader
	exchange *Exchange
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.exchange.Close()
	return nil
}
