package accept

import (
	"container/list"
	"net"
	"time"

	"limpethall.dev/kernel/buffer"
)

// limitedListener refuses the connections for which there is no memory.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.limiter.admit(raw)
		if err == nil {
			return c, nil
		}
		l.limiter.logRefusal(err)
		l.limiter.refusals.answer(raw, false)
	}
}

// conn is a connection whose memory is counted. The mutex of the limiter guards the fields
// of the second group. Those of the third belong to the server, which reads a connection
// from one goroutine at a time.
type conn struct {
	net.Conn
	limiter *Limiter
	account *buffer.Account

	taken     int64 // Memory that the connection uses.
	list      *list.List
	element   *list.Element // In list, nil while it does not wait for a request.
	waiting   time.Time     // Since when it waits.
	givenUp   bool
	forgotten bool // Whether it is no longer counted.
	refused   bool // Whether it was answered 503 because of its header.

	serving     bool // Whether a header was read and its request is not finished.
	served      bool // Whether a request was finished.
	headerBytes int64
}

// Read implements net.Conn. It counts the bytes of a header. A connection that is given up
// while it waits for a request returns none of it, even if that has just arrived.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.serving {
		return c.Conn.Read(buffer)
	}
	waits := c.headerBytes == 0
	if waits {
		c.limiter.beginWaiting(c)
	}
	n, err := c.Conn.Read(buffer)
	if waits && c.limiter.endWaiting(c) {
		return 0, readError(net.ErrClosed)
	}
	c.headerBytes += int64(n)
	if n == 0 {
		return n, err
	}
	if fullErr := c.takeHeader(); fullErr != nil {
		c.limiter.logRefusal(fullErr)
		c.limiter.setRefused(c)
		return 0, readError(fullErr)
	}
	return n, err
}

// takeHeader takes memory for the bytes of the header that have arrived.
func (c *conn) takeHeader() error {
	size := headerCopies*max(0, c.headerBytes-freeHeaderBytes) - (c.limiter.takenBy(c) - ConnectionBytes)
	if size <= 0 {
		return nil
	}
	return c.limiter.takeHeader(c, size)
}

// Close implements net.Conn. A client whose header is refused gets its answer.
func (c *conn) Close() error {
	if c.limiter.isRefused(c) {
		c.limiter.refusals.answer(c.Conn, true)
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite lets the server end a response before the request was read whole.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }

func (l *Limiter) takenBy(c *conn) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return c.taken
}

func (l *Limiter) setRefused(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.refused = true
}

// isRefused reports once whether the connection is to be answered 503.
func (l *Limiter) isRefused(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	refused := c.refused
	c.refused = false
	return refused
}

// readError returns an error on which net/http closes the connection without an answer of
// its own.
func readError(cause error) error { return &net.OpError{Op: "read", Net: "tcp", Err: cause} }
