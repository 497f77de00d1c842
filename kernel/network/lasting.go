package network

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// minAcceptDelay is the delay after a connection could not be accepted. It doubles with each
// failure up to maxListenInterval.
const minAcceptDelay = 5 * time.Millisecond

// lastingListener is a listener whose Accept fails only after Close. HTTP servers end at an
// error, such as one of a connection that was reset before it was accepted, and leave the
// process without this address.
type lastingListener struct {
	waiting *Waiting
	address net.Addr
	closed  chan struct{}

	mutex      sync.Mutex
	current    net.Listener
	isClosed   bool
	failures   int       // Since the last log line.
	lastLogged time.Time // Zero before the first failure.
}

func newLastingListener(waiting *Waiting, current net.Listener) *lastingListener {
	return &lastingListener{waiting: waiting, address: current.Addr(), closed: make(chan struct{}), current: current}
}

// Accept implements net.Listener.
func (l *lastingListener) Accept() (net.Conn, error) {
	listener := l.listener()
	accepted, err := listener.Accept()
	if err == nil {
		return accepted, nil
	}
	l.waiting.unavailable.Add(1)
	defer l.waiting.unavailable.Add(-1)
	for delay := minAcceptDelay; err != nil; delay = min(2*delay, maxListenInterval) {
		select {
		case <-l.closed:
			return nil, err
		default:
		}
		l.logFailure(err)
		select {
		case <-l.closed:
			return nil, err
		case <-time.After(delay):
		}
		if isBroken(err) {
			l.reopen(listener)
		}
		listener = l.listener()
		accepted, err = listener.Accept()
	}
	return accepted, nil
}

// isBroken reports whether the listener that returned the error will accept no connection any
// more. All other errors are of one connection, or of the resources of the moment.
func isBroken(err error) bool {
	var errno syscall.Errno
	return !errors.As(err, &errno) || errno == syscall.EBADF || errno == syscall.EINVAL || errno == syscall.ENOTSOCK
}

// logFailure writes one line in each unavailableLogInterval.
func (l *lastingListener) logFailure(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failures++
	if time.Since(l.lastLogged) < unavailableLogInterval {
		return
	}
	l.waiting.logger.Warn("failed to accept a connection, trying again", zap.Stringer("address", l.address), zap.Int("failures", l.failures), zap.Error(err))
	l.failures, l.lastLogged = 0, time.Now()
}

// reopen replaces a broken listener by a new one at the same address, if that is available.
// Close waits meanwhile, so that the address is free once it has returned.
func (l *lastingListener) reopen(broken net.Listener) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isClosed {
		return
	}
	_ = broken.Close() // It fails if it is closed already.
	reopened, err := l.waiting.Network.Listen(l.address.String())
	if err != nil {
		return // Accept returns the error of the broken listener again.
	}
	l.current = reopened
}

func (l *lastingListener) listener() net.Listener {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

// Close implements net.Listener.
func (l *lastingListener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.isClosed {
		l.isClosed = true
		close(l.closed)
	}
	return l.current.Close()
}

// Addr implements net.Listener.
func (l *lastingListener) Addr() net.Addr { return l.address }
