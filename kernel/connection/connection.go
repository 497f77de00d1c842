// Package connection implements a pool of HTTP/1.1 connections to backend servers,
// each with at most one request at a time.
//
// Unlike the client of net/http, it reports whether any byte of a failed request was
// sent, which decides whether the request may be sent to another server. It never
// resends a request on its own. A connection that receives unexpected data is
// closed.
//
// # Usage
//
//	pool := connection.NewPool(network.TCP{})
//	exchange, err := pool.Send(ctx, "10.0.0.9:8080", 40, request, matches)
//	defer exchange.Close()
//	responseBody, err := io.ReadAll(exchange.Response().Body)
package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"limpethall.dev/kernel/network"
)

const (
	bufferSizeBytes = 4 << 10
	// bodyBufferBytes is the size of the buffer for writing a request with a body.
	bodyBufferBytes = 16 << 10
	// maxInlineBodyBytes is the maximum size of a body that is written before the
	// response is read. A larger one is written concurrently, since the server may
	// respond without reading it.
	maxInlineBodyBytes = 16 << 10
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 256 << 10
	// maxMismatchedResponses is the maximum number of skipped responses to other
	// requests; informational (1xx) responses count too.
	maxMismatchedResponses = 2
	// maxIdleTime is how long an idle connection is reusable, unless the server
	// announces a shorter time in a Keep-Alive header.
	maxIdleTime = 10 * time.Second
	// keepAliveMargin is subtracted from the announced time to allow for network
	// latency.
	keepAliveMargin = 700 * time.Millisecond
)

// Pool holds the connections to all backend servers.
type Pool struct {
	dialer  network.Network
	mutex   sync.Mutex
	servers map[string]*serverConns
	maxIdle int // Idle connections to a server, zero for no limit.
	closed  bool
}

type serverConns struct {
	idle []*pooledConn
	open int
}

// pooledConn is an open connection.
type pooledConn struct {
	socket    net.Conn
	header    *headerReader // From which reader reads.
	reader    *bufio.Reader
	address   string
	idleUntil time.Time // End of the time in which the idle connection is reusable.
}

// NewPool returns an empty pool.
func NewPool(dialer network.Network) *Pool {
	return &Pool{dialer: dialer, servers: make(map[string]*serverConns)}
}

// OpenConnections returns the number of open connections to a server, including those
// being established.
func (p *Pool) OpenConnections(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if server := p.servers[address]; server != nil {
		return server.open
	}
	return 0
}

// CloseIdleExcept closes the idle connections to all servers for which wanted returns
// false.
func (p *Pool) CloseIdleExcept(wanted func(address string) bool) {
	var unwanted []*pooledConn
	p.mutex.Lock()
	for address, server := range p.servers {
		if !wanted(address) {
			unwanted = append(unwanted, server.idle...)
			server.open -= len(server.idle)
			server.idle = nil
			if server.open == 0 {
				delete(p.servers, address)
			}
		}
	}
	p.mutex.Unlock()
	for _, c := range unwanted {
		_ = c.socket.Close()
	}
}

// The writers of requests are kept for other requests: one that is allocated for each would be
// most of the garbage of a request with a body.
var (
	headerWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSizeBytes) }}
	bodyWriters   = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bodyBufferBytes) }}
)

// closeExpired closes the idle connections that are no longer reusable because of their age.
func (p *Pool) closeExpired(now time.Time) {
	var expired []*pooledConn
	p.mutex.Lock()
	for address, server := range p.servers {
		server.idle = slices.DeleteFunc(server.idle, func(conn *pooledConn) bool {
			if now.Before(conn.idleUntil) {
				return false
			}
			expired = append(expired, conn)
			server.open--
			return true
		})
		if server.open <= 0 {
			delete(p.servers, address)
		}
	}
	p.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.socket.Close()
	}
}

// plainWriter hides the other methods of a writer, by which a bufio.Writer would copy a body
// through one more buffer.
type plainWriter struct{ io.Writer }

// Exchange is a request with its response.
type Exchange struct {
	pool              *Pool
	conn              *pooledConn
	response          *http.Response
	stopCloseOnCancel func() bool
	writing           *writeResult // Nil if the request was written before the response was read.
	reusable          bool
	closed            bool
}

// Response returns the response. Its body is read from the connection.
func (e *Exchange) Response() *http.Response { return e.response }

// Close ends the exchange. The connection returns to the pool if the request was
// written and the response was read completely, and no unexpected data arrived.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	complete := e.isRequestWritten() && e.isResponseConsumed()
	if !e.stopCloseOnCancel() || !complete || !e.reusable || e.conn.reader.Buffered() > 0 {
		e.pool.discard(e.conn)
		return
	}
	e.pool.release(e.conn, e.response)
}

func (e *Exchange) isResponseConsumed() bool {
	var buffer [1]byte
	n, err := e.response.Body.Read(buffer[:])
	return n == 0 && errors.Is(err, io.EOF)
}

func (e *Exchange) isRequestWritten() bool {
	return e.writing == nil || e.writing.isWritten()
}

// Send sends a request and returns after the header of the response has arrived. At
// most limit connections to the server are open at a time; zero means no limit.
// matches reports whether a response belongs to the request; other responses are
// skipped. The error is an *UnsentError or a *IncompleteResponseError. If the context
// ends before Close is called, the connection is closed.
func (p *Pool) Send(ctx context.Context, address string, limit int, request *http.Request, matches func(*http.Response) bool) (*Exchange, error) {
	conn, err := p.acquire(ctx, address, limit)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	if ctx.Err() != nil {
		p.discard(conn)
		return nil, &UnsentError{cause: context.Cause(ctx)}
	}
	exchange := &Exchange{pool: p, conn: conn, reusable: true}
	exchange.stopCloseOnCancel = context.AfterFunc(ctx, func() { _ = conn.socket.Close() })
	if err := exchange.write(request); err != nil {
		exchange.stopCloseOnCancel()
		p.discard(conn)
		return nil, &IncompleteResponseError{cause: cancellationCause(ctx, err)}
	}
	if err := exchange.read(request, matches); err != nil {
		exchange.stopCloseOnCancel()
		p.discard(conn)
		return nil, &IncompleteResponseError{cause: cancellationCause(ctx, err)}
	}
	return exchange, nil
}

func (e *Exchange) write(request *http.Request) error {
	writers := &headerWriters
	if request.ContentLength > bufferSizeBytes {
		writers = &bodyWriters
	}
	writeRequest := func() error {
		writer := writers.Get().(*bufio.Writer)
		defer writers.Put(writer)
		defer writer.Reset(nil)
		writer.Reset(plainWriter{e.conn.socket})
		if err := request.Write(writer); err != nil {
			return err
		}
		return writer.Flush()
	}
	if request.ContentLength >= 0 && request.ContentLength <= maxInlineBodyBytes {
		return writeRequest()
	}
	e.writing = newWriteResult()
	e.writing.run(writeRequest)
	return nil
}

// read reads responses up to the header of the one that matches the request.
func (e *Exchange) read(request *http.Request, matches func(*http.Response) bool) error {
	for range maxMismatchedResponses + 1 {
		e.conn.header.limit(maxHeaderBytes)
		response, err := http.ReadResponse(e.conn.reader, request)
		e.conn.header.unlimit()
		if err != nil {
			return err
		}
		if err := checkStatus(response); err != nil {
			return err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response) {
			if e.writing != nil && isUnframed(response) {
				response.Body = &unframedBody{ReadCloser: response.Body, request: e.writing}
			}
			e.response = response
			e.reusable = e.reusable && !response.Close
			return nil
		}
		e.reusable = false
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return errors.New("connection ended after the response to another request")
		}
	}
	return errors.New("too many responses to other requests")
}

func (p *Pool) acquire(ctx context.Context, address string, limit int) (*pooledConn, error) {
	for {
		conn, reserved := p.takeIdleOrReserve(address, limit)
		switch {
		case conn == nil && !reserved:
			return nil, &LimitError{address: address, limit: limit}
		case conn == nil:
			return p.dial(ctx, address)
		case time.Now().Before(conn.idleUntil) && conn.isReusable():
			return conn, nil
		}
		p.discard(conn)
	}
}

// takeIdleOrReserve returns an idle connection, or nil and whether the limit allows
// a new one. In that case the new connection already counts as open.
func (p *Pool) takeIdleOrReserve(address string, limit int) (conn *pooledConn, reserved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	server := p.servers[address]
	if server == nil {
		server = &serverConns{}
		p.servers[address] = server
	}
	if lastIndex := len(server.idle) - 1; lastIndex >= 0 {
		conn = server.idle[lastIndex]
		server.idle = server.idle[:lastIndex]
		return conn, false
	}
	if limit > 0 && server.open >= limit {
		return nil, false
	}
	server.open++
	return nil, true
}

func (p *Pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, err
	}
	header := &headerReader{reader: socket}
	return &pooledConn{socket: socket, header: header, reader: bufio.NewReaderSize(header, bufferSizeBytes), address: address}, nil
}

func (p *Pool) release(conn *pooledConn, response *http.Response) {
	idleTime := maxIdleTime
	if timeout, found := parseKeepAliveTimeout(response.Header.Get("Keep-Alive")); found {
		idleTime = min(idleTime, timeout-keepAliveMargin)
	}
	conn.idleUntil = time.Now().Add(idleTime)
	p.mutex.Lock()
	server := p.servers[conn.address]
	if server == nil || p.closed || idleTime <= 0 || (p.maxIdle > 0 && len(server.idle) >= p.maxIdle) {
		p.mutex.Unlock()
		p.discard(conn)
		return
	}
	server.idle = append(server.idle, conn)
	p.mutex.Unlock()
}

func (p *Pool) discard(conn *pooledConn) {
	_ = conn.socket.Close()
	p.releaseSlot(conn.address)
}

func (p *Pool) releaseSlot(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	server := p.servers[address]
	if server == nil {
		return
	}
	server.open--
	if server.open <= 0 && len(server.idle) == 0 {
		delete(p.servers, address)
	}
}

// Probe opens a connection to a server and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return socket.Close()
}

// Close closes all idle connections. Connections in use are closed at the end of
// their exchange.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.CloseIdleExcept(func(string) bool { return false })
}

// isReusable reports whether the server has neither closed the idle connection nor
// sent data on it. It makes a non-blocking read on the socket.
func (c *pooledConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return c.isSilent()
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(descriptor), buffer[:])
		reusable = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// isSilent is isReusable for a connection that is no socket of the system: it reads with a
// deadline in the past, which fails at once if the server has neither closed it nor sent data.
func (c *pooledConn) isSilent() bool {
	if err := c.socket.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	_, err := c.socket.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && c.socket.SetReadDeadline(time.Time{}) == nil
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
	var seconds int
	for start := 0; start+len("timeout=") <= len(header); start++ {
		if header[start:start+len("timeout=")] == "timeout=" {
			if _, err := fmt.Sscanf(header[start:], "timeout=%d", &seconds); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
