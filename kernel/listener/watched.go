package listener

import (
	"context"
	"io"
	"net"
	"time"
)

// watchedListener accepts connections whose context ends when the client goes.
//
// The HTTP library can watch for that itself (WithSenseClientDisconnection),
// but in v0.10.4 its watching read goes on after a failed write, while the
// connection's buffers already serve another one. Here, one goroutine for each
// connection reads it all the time and hands the bytes on through a pipe, so
// there is never more than one reader of anything.
type watchedListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newWatchedConn(raw), nil
}

// watchedConn is one connection that is always being read.
type watchedConn struct {
	net.Conn
	input net.Conn
	ctx   context.Context
}

func newWatchedConn(raw net.Conn) *watchedConn {
	near, far := net.Pipe()
	// The HTTP library bounds the wait for every request but the first one.
	_ = near.SetReadDeadline(time.Now().Add(idleTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(far, raw)
		cancel()
		_ = far.Close()
	}()
	return &watchedConn{Conn: raw, input: near, ctx: ctx}
}

// Read implements net.Conn.
func (c *watchedConn) Read(buffer []byte) (int, error) { return c.input.Read(buffer) }

// SetReadDeadline implements net.Conn.
func (c *watchedConn) SetReadDeadline(deadline time.Time) error {
	return c.input.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *watchedConn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	err := c.Conn.Close()
	_ = c.input.Close()
	return err
}

// contextOf returns the context of an accepted connection.
func contextOf(accepted net.Conn) context.Context {
	if watched, ok := accepted.(*watchedConn); ok {
		return watched.ctx
	}
	return context.Background()
}
