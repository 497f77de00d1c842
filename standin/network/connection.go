package network

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe carries bytes in one direction.
type pipe struct {
	latency time.Duration

	mutex    sync.Mutex
	chunks   []chunk
	changed  chan struct{}
	finished bool
	broken   bool
	frozen   bool
}

type chunk struct {
	data []byte
	due  time.Time
}

func newPipe(latency time.Duration) *pipe {
	return &pipe{latency: latency, changed: make(chan struct{})}
}

func (p *pipe) change(apply func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) reset()  { p.change(func() { p.broken = true }) }
func (p *pipe) freeze() { p.change(func() { p.frozen = true }) }
func (p *pipe) finish() { p.change(func() { p.finished = true }) }

func (p *pipe) push(data []byte) error {
	var err error
	p.change(func() {
		switch {
		case p.broken || p.finished:
			err = syscall.EPIPE
		case !p.frozen:
			p.chunks = append(p.chunks, chunk{data: append([]byte(nil), data...), due: time.Now().Add(p.latency)})
		}
	})
	return err
}

// take returns what can be read now, or until when to wait, or an error.
func (p *pipe) take(buffer []byte) (int, time.Duration, <-chan struct{}, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.broken:
		return 0, 0, nil, syscall.ECONNRESET
	case p.frozen:
		return 0, -1, p.changed, nil
	case len(p.chunks) == 0 && p.finished:
		return 0, 0, nil, io.EOF
	case len(p.chunks) == 0:
		return 0, -1, p.changed, nil
	}
	if wait := time.Until(p.chunks[0].due); wait > 0 {
		return 0, wait, p.changed, nil
	}
	read := copy(buffer, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[read:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return read, 0, nil, nil
}

// connection is one end of a connection.
type connection struct {
	read, write   *pipe
	local, remote string
	closed        func()

	mutex    sync.Mutex
	over     bool
	deadline time.Time
	changed  chan struct{}
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		over, deadline, moved := c.state()
		if over {
			return 0, net.ErrClosed
		}
		read, wait, changed, err := c.read.take(buffer)
		if read > 0 || err != nil {
			return read, err
		}
		if !deadline.IsZero() {
			left := time.Until(deadline)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			if wait < 0 || left < wait {
				wait = left
			}
		}
		await(wait, changed, moved)
	}
}

// await returns after the wait, if it is not negative, or on a change.
func await(wait time.Duration, changed, moved <-chan struct{}) {
	var due <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-changed:
	case <-moved:
	}
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	if over, _, _ := c.state(); over {
		return 0, net.ErrClosed
	}
	if err := c.write.push(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.update(func() { c.over = true })
	c.write.finish()
	c.read.finish()
	if c.closed != nil {
		c.closed()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.update(func() { c.deadline = deadline })
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *connection) SetWriteDeadline(time.Time) error { return nil }

func (c *connection) state() (bool, time.Time, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.over, c.deadline, c.changed
}

func (c *connection) update(apply func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	apply()
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}
