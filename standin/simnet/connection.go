package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe transports bytes in one direction of a connection.
type pipe struct {
	latency time.Duration

	mutex  sync.Mutex
	chunks []chunk
	// changed is closed and replaced at each change of the pipe.
	changed chan struct{}
	closed  bool
	reset   bool
	frozen  bool
}

// chunk is the data of one write, which can be read at the delivery time.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

func newPipe(latency time.Duration) *pipe {
	return &pipe{latency: latency, changed: make(chan struct{})}
}

// update runs apply under the lock and wakes up blocked readers.
func (p *pipe) update(apply func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) setReset()  { p.update(func() { p.reset = true }) }
func (p *pipe) setFrozen() { p.update(func() { p.frozen = true }) }
func (p *pipe) setClosed() { p.update(func() { p.closed = true }) }

// write appends a copy of data. A frozen pipe discards the data without an error.
func (p *pipe) write(data []byte) error {
	var err error
	p.update(func() {
		switch {
		case p.reset || p.closed:
			err = syscall.EPIPE
		case !p.frozen:
			p.chunks = append(p.chunks, chunk{data: append([]byte(nil), data...), deliverAt: time.Now().Add(p.latency)})
		}
	})
	return err
}

// tryRead reads the data that can be read without blocking. If there is none and no
// error, the caller has to wait until the returned channel is closed or, if the returned
// duration is not negative, until it has elapsed.
func (p *pipe) tryRead(buffer []byte) (int, time.Duration, <-chan struct{}, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.reset:
		return 0, 0, nil, syscall.ECONNRESET
	case p.frozen:
		return 0, -1, p.changed, nil
	case len(p.chunks) == 0 && p.closed:
		return 0, 0, nil, io.EOF
	case len(p.chunks) == 0:
		return 0, -1, p.changed, nil
	}
	if delay := time.Until(p.chunks[0].deliverAt); delay > 0 {
		return 0, delay, p.changed, nil
	}
	count := copy(buffer, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[count:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return count, 0, nil, nil
}

// connection is one endpoint of an in-memory connection. It implements net.Conn.
type connection struct {
	incoming, outgoing *pipe
	local, remote      string
	onClose            func()

	mutex        sync.Mutex
	closed       bool
	resetOnClose bool
	readDeadline time.Time
	// changed is closed and replaced at each change of closed or readDeadline.
	changed chan struct{}
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		closed, deadline, connectionChanged := c.state()
		if closed {
			return 0, net.ErrClosed
		}
		count, delay, pipeChanged, err := c.incoming.tryRead(buffer)
		if count > 0 || err != nil {
			return count, err
		}
		if !deadline.IsZero() {
			remaining := time.Until(deadline)
			if remaining <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			if delay < 0 || remaining < delay {
				delay = remaining
			}
		}
		waitForChange(delay, pipeChanged, connectionChanged)
	}
}

// waitForChange blocks until one of the channels is closed or, if the delay is not
// negative, until it has elapsed.
func waitForChange(delay time.Duration, pipeChanged, connectionChanged <-chan struct{}) {
	var elapsed <-chan time.Time
	if delay >= 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-elapsed:
	case <-pipeChanged:
	case <-connectionChanged:
	}
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if closed, _, _ := c.state(); closed {
		return 0, net.ErrClosed
	}
	if err := c.outgoing.write(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	resets := false
	c.update(func() { c.closed, resets = true, c.resetOnClose })
	if resets {
		c.outgoing.setReset()
	} else {
		c.outgoing.setClosed()
	}
	c.incoming.setClosed()
	if c.onClose != nil {
		c.onClose()
	}
	return nil
}

// SetLinger makes Close reset the connection if seconds is zero, like that of
// net.TCPConn. Data that the peer has not read by then is lost.
func (c *connection) SetLinger(seconds int) error {
	c.update(func() { c.resetOnClose = seconds == 0 })
	return nil
}

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr { return memoryAddress(c.local) }

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return memoryAddress(c.remote) }

// SetDeadline implements net.Conn. Only the read deadline is set, because writes never
// block.
func (c *connection) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.update(func() { c.readDeadline = deadline })
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect, because writes never block.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

// state returns whether the connection is closed, its read deadline, and a channel that
// is closed when one of them changes.
func (c *connection) state() (bool, time.Time, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.closed, c.readDeadline, c.changed
}

// update runs apply under the lock and wakes up a blocked Read.
func (c *connection) update(apply func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	apply()
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}
