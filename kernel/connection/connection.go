// Package connection keeps connections to backend servers and sends one HTTP
// request at a time on each.
//
// It knows what net/http's client does not tell: whether any byte of a request
// left this process, which decides whether the request may go elsewhere. It
// never sends a request twice. A connection on which anything unexpected
// arrives is closed.
//
// # Usage
//
//	pool := connection.NewPool(network.TCP{}, 40)
//	exchange, err := pool.Send(ctx, "10.0.0.9:8080", request, matches)
//	defer exchange.Close()
//	body, err := io.ReadAll(exchange.Response().Body)
package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"limpethall.dev/kernel/network"
)

const (
	bufferBytes = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is
	// read. A longer one is written beside it, since the server may answer
	// without reading it.
	inlineBody = 16 << 10
	// maxStray is how many answers to other requests are passed over.
	maxStray = 2
	// idleBound is how long a connection is kept without a request when its
	// server states no bound.
	idleBound = 10 * time.Second
	// idleMargin is taken off a stated bound, for the time on the way.
	idleMargin = 700 * time.Millisecond
)

// UnsentError reports a request of which no byte left this process.
type UnsentError struct{ cause error }

// Error gives the cause.
func (e *UnsentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// FullError reports that all connections to a server are in use.
type FullError struct {
	address string
	limit   int
}

// Error names the server and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.limit, e.address)
}

// BrokenError reports an exchange that ended without a whole answer. The
// request may have run.
type BrokenError struct{ cause error }

// NewBrokenError returns the error of an answer that broke off for that cause.
func NewBrokenError(cause error) *BrokenError { return &BrokenError{cause: cause} }

// Error gives the cause.
func (e *BrokenError) Error() string { return "exchange broken: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// Pool holds the connections to all backend servers.
type Pool struct {
	network network.Network
	mutex   sync.Mutex
	servers map[string]*server
	closed  bool
}

type server struct {
	idle []*connected
	open int
}

// connected is one open connection.
type connected struct {
	socket  net.Conn
	reader  *bufio.Reader
	address string
	until   time.Time // When an idle connection is no longer used.
}

// NewPool returns an empty pool.
func NewPool(own network.Network) *Pool {
	return &Pool{network: own, servers: make(map[string]*server)}
}

// Open returns how many connections to the server are open.
func (p *Pool) Open(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known := p.servers[address]; known != nil {
		return known.open
	}
	return 0
}

// Retain closes the idle connections to servers that are not wanted any more.
func (p *Pool) Retain(wanted func(address string) bool) {
	var surplus []*connected
	p.mutex.Lock()
	for address, known := range p.servers {
		if !wanted(address) {
			surplus = append(surplus, known.idle...)
			known.open -= len(known.idle)
			known.idle = nil
			if known.open == 0 {
				delete(p.servers, address)
			}
		}
	}
	p.mutex.Unlock()
	for _, c := range surplus {
		_ = c.socket.Close()
	}
}

// Exchange is one request with its answer.
type Exchange struct {
	pool     *Pool
	conn     *connected
	response *http.Response
	stop     func() bool
	written  chan error // Nil if the request was written before the answer came.
	reusable bool
	done     bool
}

// Response returns the answer; its body is read from the connection.
func (e *Exchange) Response() *http.Response { return e.response }

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing else is due on it.
func (e *Exchange) Close() {
	if e.done {
		return
	}
	e.done = true
	whole := e.wasRead() && e.wasWritten()
	if !e.stop() || !whole || !e.reusable || e.conn.reader.Buffered() > 0 {
		e.pool.discard(e.conn)
		return
	}
	e.pool.release(e.conn, e.response)
}

func (e *Exchange) wasRead() bool {
	var one [1]byte
	n, err := e.response.Body.Read(one[:])
	return n == 0 && errors.Is(err, io.EOF)
}

func (e *Exchange) wasWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// Send sends the request to a server with at most so many connections, and
// returns when the header of its answer is in. matches reports whether an
// answer belongs to the request; others are passed over. The error is an
// *UnsentError or a *BrokenError. When the context ends, the connection is
// closed.
func (p *Pool) Send(ctx context.Context, address string, limit int, request *http.Request, body []byte, matches func(*http.Response) bool) (*Exchange, error) {
	conn, err := p.acquire(ctx, address, limit)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	if ctx.Err() != nil {
		p.discard(conn)
		return nil, &UnsentError{cause: context.Cause(ctx)}
	}
	exchange := &Exchange{pool: p, conn: conn, reusable: true}
	exchange.stop = context.AfterFunc(ctx, func() { _ = conn.socket.Close() })
	if err := exchange.write(request, body); err != nil {
		exchange.stop()
		p.discard(conn)
		return nil, &BrokenError{cause: causeOf(ctx, err)}
	}
	if err := exchange.read(request, matches); err != nil {
		exchange.stop()
		p.discard(conn)
		return nil, &BrokenError{cause: causeOf(ctx, err)}
	}
	return exchange, nil
}

func (e *Exchange) write(request *http.Request, body []byte) error {
	writer := bufio.NewWriterSize(e.conn.socket, bufferBytes)
	send := func() error {
		if err := request.Write(writer); err != nil {
			return err
		}
		return writer.Flush()
	}
	if len(body) <= inlineBody {
		return send()
	}
	e.written = make(chan error, 1)
	go func() { e.written <- send() }()
	return nil
}

// read returns after the header of the answer that matches.
func (e *Exchange) read(request *http.Request, matches func(*http.Response) bool) error {
	for range maxStray + 1 {
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		if matches(response) {
			e.response = response
			e.reusable = e.reusable && !response.Close
			return nil
		}
		e.reusable = false
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return errors.New("only an answer to another request came")
		}
	}
	return errors.New("too many answers to other requests")
}

func (p *Pool) acquire(ctx context.Context, address string, limit int) (*connected, error) {
	for {
		conn, mayDial := p.take(address, limit)
		switch {
		case conn == nil && !mayDial:
			return nil, &FullError{address: address, limit: limit}
		case conn == nil:
			return p.dial(ctx, address)
		case time.Now().Before(conn.until) && conn.isQuiet():
			return conn, nil
		}
		p.discard(conn)
	}
}

// take returns an idle connection, or nil and whether one may be opened, which
// then counts as open.
func (p *Pool) take(address string, limit int) (conn *connected, mayDial bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.servers[address]
	if known == nil {
		known = &server{}
		p.servers[address] = known
	}
	if last := len(known.idle) - 1; last >= 0 {
		conn = known.idle[last]
		known.idle = known.idle[:last]
		return conn, false
	}
	if limit > 0 && known.open >= limit {
		return nil, false
	}
	known.open++
	return nil, true
}

func (p *Pool) dial(ctx context.Context, address string) (*connected, error) {
	socket, err := p.network.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	return &connected{socket: socket, reader: bufio.NewReaderSize(socket, bufferBytes), address: address}, nil
}

func (p *Pool) release(conn *connected, response *http.Response) {
	bound := idleBound
	if stated, found := keepAlive(response.Header.Get("Keep-Alive")); found {
		bound = min(bound, stated-idleMargin)
	}
	conn.until = time.Now().Add(bound)
	p.mutex.Lock()
	known := p.servers[conn.address]
	if known == nil || p.closed || bound <= 0 {
		p.mutex.Unlock()
		p.discard(conn)
		return
	}
	known.idle = append(known.idle, conn)
	p.mutex.Unlock()
}

func (p *Pool) discard(conn *connected) {
	_ = conn.socket.Close()
	p.forget(conn.address)
}

func (p *Pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.servers[address]
	if known == nil {
		return
	}
	known.open--
	if known.open <= 0 && len(known.idle) == 0 {
		delete(p.servers, address)
	}
}

// Probe opens a connection to a server and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	socket, err := p.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return socket.Close()
}

// Close closes idle connections; those in use are closed when they are done.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Retain(func(string) bool { return false })
}

// isQuiet reports whether the server has neither closed the idle connection nor
// sent anything on it.
func (c *connected) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepAlive returns the timeout that a Keep-Alive header states.
func keepAlive(header string) (time.Duration, bool) {
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

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
