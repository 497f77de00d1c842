// Package accept bounds the connections that the servers of a process have accepted.
//
// Each connection takes its buffers and stacks, and the bytes of a header as they arrive, from
// the budget of the process, and all connections of a Limiter together use at most a part of
// it. Where memory is short, connections that wait for a request are given up, the one that
// waits longest first. What still does not fit is answered 503 at once, and closed.
//
// # Usage
//
//	limiter := accept.New(accept.Options{Memory: budget, Parts: 2, Logger: logger})
//	server := &http.Server{Handler: handler, ConnState: limiter.ConnState}
//	err := server.Serve(limiter.Listener(listener))
//
// While Crowded returns true, responses should ask clients to close their connections.
package accept

import (
	"container/list"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
)

const (
	// ConnectionBytes is the memory that a connection takes without the bytes of a long
	// header: the buffers of net/http, two stacks, and the values of one request.
	ConnectionBytes = 24 << 10
	// freeHeaderBytes of a header are part of ConnectionBytes.
	freeHeaderBytes = 4 << 10
	// headerCopies is how often net/http keeps the bytes of a header: as read, and as strings.
	headerCopies = 2
	// headerParts is the part of the memory of connections for long headers, one of this many,
	// so that they leave the rest to requests with short ones.
	headerParts = 2
	// crowdedNumerator and crowdedDenominator are the part of the memory of connections from
	// which on clients should close theirs.
	crowdedNumerator, crowdedDenominator = 3, 4
	// minConnections fit whatever the budget is.
	minConnections = 8
	// MinWait is how long a connection waits for a request before it may be given up. A program
	// that goes on at once keeps its connection, and others are refused.
	MinWait = time.Second
	// logInterval is the interval at which refused connections are logged.
	logInterval = time.Second
)

// FullError reports that the connections of a Limiter have no memory left.
type FullError struct{ used, limit int64 }

// Error states the memory in use.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for the connection: %d of %d bytes in use", e.used, e.limit)
}

// Options configures a Limiter.
type Options struct {
	Memory *buffer.Budget
	// Parts says how much of the memory connections may use: one part of this many.
	Parts int64
	// Priority is that of the connections' memory.
	Priority buffer.Priority
	Logger   *zap.Logger
}

// Limiter bounds the connections of one or more servers. It is safe for concurrent use.
type Limiter struct {
	options  Options
	limit    int64
	refusals refusals
	refused  atomic.Int64
	givenUp  atomic.Int64
	loggedAt atomic.Int64 // Unix time in nanoseconds.

	mutex        sync.Mutex
	used         int64
	headers      int64 // Memory of long headers, a part of used.
	open         int64
	idle, silent *list.List // Connections that wait for a request: a further one, the first one.
}

// New returns a limiter, which the budget asks for the memory of idle connections.
func New(options Options) *Limiter {
	limit := max(options.Memory.Limit()/options.Parts, minConnections*ConnectionBytes)
	l := &Limiter{options: options, limit: limit, refusals: newRefusals(limit / ConnectionBytes), idle: list.New(), silent: list.New()}
	options.Memory.OnFull(l.reclaim)
	return l
}

// Open returns the number of connections.
func (l *Limiter) Open() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// Waiting returns the number of connections that wait for a request.
func (l *Limiter) Waiting() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return int64(l.idle.Len() + l.silent.Len())
}

// Used returns the memory that the connections use.
func (l *Limiter) Used() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.used
}

// Refused returns the number of connections that were answered 503.
func (l *Limiter) Refused() int64 { return l.refused.Load() }

// GivenUp returns the number of connections that were closed while they waited for a request.
func (l *Limiter) GivenUp() int64 { return l.givenUp.Load() }

// Crowded reports whether most of the memory of connections is in use, and much of it by
// connections that wait for a further request. Otherwise it would not help to close one.
func (l *Limiter) Crowded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.used >= l.limit/crowdedDenominator*crowdedNumerator && int64(l.idle.Len())*ConnectionBytes >= l.limit/crowdedDenominator
}

// Listener returns a listener that returns only connections for which there is memory.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	return limitedListener{Listener: listener, limiter: l}
}

// ConnState is the ConnState hook of an http.Server.
func (l *Limiter) ConnState(connection net.Conn, state http.ConnState) {
	c, limited := connection.(*conn)
	if !limited {
		return
	}
	switch state {
	case http.StateActive:
		c.serving = true
	case http.StateIdle:
		c.serving, c.served, c.headerBytes = false, true, 0
		l.returnHeader(c)
	case http.StateClosed:
		l.release(c)
	default:
	}
}

// admit takes the memory of a new connection.
func (l *Limiter) admit(raw net.Conn) (*conn, error) {
	c := &conn{Conn: raw, limiter: l, account: l.options.Memory.Open(l.options.Priority)}
	if err := l.take(c, ConnectionBytes); err != nil {
		c.account.Release()
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open++
	return c, nil
}

// take takes memory for a connection, for which it may give up others.
func (l *Limiter) take(c *conn, size int64) error {
	l.mutex.Lock()
	victims, found := l.pick(l.used + size - l.limit)
	if !found {
		err := &FullError{used: l.used, limit: l.limit}
		l.mutex.Unlock()
		return err
	}
	l.used += size
	c.taken += size
	l.mutex.Unlock()
	discard(victims)
	if err := c.account.Take(size); err != nil { // Calls reclaim if the budget is full.
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.used -= size
		c.taken -= size
		return err
	}
	return nil
}

// takeHeader takes memory for a long header.
func (l *Limiter) takeHeader(c *conn, size int64) error {
	l.mutex.Lock()
	if l.headers+size > l.limit/headerParts {
		defer l.mutex.Unlock()
		return &FullError{used: l.headers, limit: l.limit / headerParts}
	}
	l.headers += size
	l.mutex.Unlock()
	err := l.take(c, size)
	if err != nil {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.headers -= size
	}
	return err
}

// reclaim gives up connections that wait for a request until they have returned size bytes.
func (l *Limiter) reclaim(size int64) bool {
	l.mutex.Lock()
	victims, found := l.pick(size)
	l.mutex.Unlock()
	discard(victims)
	return found
}

// pick returns connections to give up that use size bytes together, and false if there are
// not enough. They are no longer counted. The caller holds the mutex.
func (l *Limiter) pick(size int64) (victims []*conn, found bool) {
	freed := int64(0)
	idle, silent := l.idle.Front(), l.silent.Front()
	for freed < size {
		next := &idle
		if idle == nil || silent != nil && waitedSince(silent).Before(waitedSince(idle)) {
			next = &silent
		}
		if *next == nil || time.Since(waitedSince(*next)) < MinWait {
			return nil, false
		}
		victim := (*next).Value.(*conn)
		freed += victim.taken
		victims = append(victims, victim)
		*next = (*next).Next()
	}
	for _, victim := range victims {
		l.unlink(victim)
		l.forget(victim)
		victim.givenUp = true
	}
	return victims, true
}

func waitedSince(element *list.Element) time.Time { return element.Value.(*conn).waiting }

func discard(victims []*conn) {
	for _, victim := range victims {
		victim.limiter.givenUp.Add(1)
		_ = victim.Conn.Close() // Its server is told by the error of its read.
		victim.account.Release()
	}
}

// unlink removes a connection from those that wait. The caller holds the mutex.
func (l *Limiter) unlink(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// forget no longer counts a connection, and reports whether it was counted. The caller holds
// the mutex.
func (l *Limiter) forget(c *conn) bool {
	if c.forgotten {
		return false
	}
	c.forgotten = true
	l.used -= c.taken
	l.headers -= max(0, c.taken-ConnectionBytes)
	l.open--
	return true
}

// beginWaiting adds a connection to those that can be given up.
func (l *Limiter) beginWaiting(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.forgotten {
		return
	}
	c.waiting, c.list = time.Now(), l.silent
	if c.served {
		c.list = l.idle
	}
	c.element = c.list.PushBack(c)
}

// endWaiting reports whether the connection was given up while it waited.
func (l *Limiter) endWaiting(c *conn) (givenUp bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unlink(c)
	return c.givenUp
}

func (l *Limiter) returnHeader(c *conn) {
	l.mutex.Lock()
	if c.forgotten || c.taken == ConnectionBytes {
		l.mutex.Unlock()
		return
	}
	size := c.taken - ConnectionBytes
	l.used -= size
	l.headers -= size
	c.taken = ConnectionBytes
	l.mutex.Unlock()
	c.account.Return(size)
}

// release returns the memory of a connection that has ended.
func (l *Limiter) release(c *conn) {
	l.mutex.Lock()
	counted := l.forget(c)
	l.mutex.Unlock()
	if counted {
		c.account.Release()
	}
}

func (l *Limiter) logRefusal(err error) {
	refused := l.refused.Add(1)
	now, logged := time.Now().UnixNano(), l.loggedAt.Load()
	if now-logged >= int64(logInterval) && l.loggedAt.CompareAndSwap(logged, now) {
		l.options.Logger.Warn("connections refused for lack of memory", zap.Int64("refused", refused), zap.Int64("givenUp", l.GivenUp()), zap.Int64("open", l.Open()), zap.Error(err))
	}
}
