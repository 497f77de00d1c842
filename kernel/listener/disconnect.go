package listener

import (
	"context"
	"io"
	"net"
	"time"
)

// monitoredListener accepts connections with a context that is canceled when the
// client disconnects.
//
// Hertz has an option for this, WithSenseClientDisconnection. But in v0.10.4 its
// monitoring read continues after a failed write, when the connection's buffers are
// already reused for another connection. Here, one goroutine per connection reads
// continuously and passes the data on through a pipe, so that the connection and the
// pipe have a single reader each.
type monitoredListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l monitoredListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newMonitoredConn(raw), nil
}

// monitoredConn is a connection that is read continuously to detect a disconnect.
type monitoredConn struct {
	net.Conn
	received net.Conn
	ctx      context.Context
}

func newMonitoredConn(raw net.Conn) *monitoredConn {
	reader, writer := net.Pipe()
	// Hertz applies the idle timeout only from the second request on.
	_ = reader.SetReadDeadline(time.Now().Add(idleTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(writer, raw)
		cancel()
		_ = writer.Close()
	}()
	return &monitoredConn{Conn: raw, received: reader, ctx: ctx}
}

// Read implements net.Conn.
func (c *monitoredConn) Read(buffer []byte) (int, error) { return c.received.Read(buffer) }

// SetReadDeadline implements net.Conn.
func (c *monitoredConn) SetReadDeadline(deadline time.Time) error {
	return c.received.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *monitoredConn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *monitoredConn) Close() error {
	err := c.Conn.Close()
	_ = c.received.Close()
	return err
}

// connectionContext returns the context of an accepted connection, which is canceled
// when the client disconnects.
func connectionContext(conn net.Conn) context.Context {
	if monitored, ok := conn.(*monitoredConn); ok {
		return monitored.ctx
	}
	return context.Background()
}
