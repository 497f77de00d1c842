package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// minListenInterval and maxListenInterval bound the interval between attempts to
	// listen. It doubles with each attempt.
	minListenInterval = 50 * time.Millisecond
	maxListenInterval = 400 * time.Millisecond
	// unavailableLogInterval is the interval between log lines about an address that stays
	// unavailable.
	unavailableLogInterval = 10 * time.Second
)

// UnavailableError reports that the operating system refused all of the addresses. A later
// attempt may succeed.
type UnavailableError struct {
	addresses []string
	cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("address %s is not available: %v", describe(e.addresses), e.cause)
}

// Unwrap returns the error of the last address.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Waiting is a Network whose Listen waits while the address is not available: another
// socket uses it, such as one of a process that is still stopping, the host does not have
// it yet, or the process has no file descriptor left. An address that is malformed, or the
// end of the context, ends the wait. Its listeners accept connections until they are closed.
type Waiting struct {
	Network
	ctx         context.Context // Of the process, as Listen has none.
	logger      *zap.Logger
	unavailable atomic.Int64
}

// NewWaiting returns a network that listens and dials through base.
func NewWaiting(ctx context.Context, base Network, logger *zap.Logger) *Waiting {
	return &Waiting{Network: base, ctx: ctx, logger: logger}
}

// Listen implements Network.
func (w *Waiting) Listen(address string) (net.Listener, error) {
	return w.ListenFirst(w.ctx, []string{address})
}

// TryListen listens on the first of the addresses that is available, and makes one attempt
// for each. If none is available, the error is an *UnavailableError.
func (w *Waiting) TryListen(addresses []string) (net.Listener, error) {
	listener, err := w.listenOnce(addresses)
	if isUnavailable(err) {
		return nil, &UnavailableError{addresses: addresses, cause: err}
	}
	return listener, err
}

// ListenFirst listens on the first of the addresses that is available, and waits while none
// is.
func (w *Waiting) ListenFirst(ctx context.Context, addresses []string) (net.Listener, error) {
	listener, err := w.listenOnce(addresses)
	if !isUnavailable(err) {
		return listener, err
	}
	w.unavailable.Add(1)
	defer w.unavailable.Add(-1)
	since, lastLogged := time.Now(), time.Time{}
	for interval := minListenInterval; ; interval = min(2*interval, maxListenInterval) {
		if time.Since(lastLogged) >= unavailableLogInterval {
			lastLogged = time.Now()
			w.logger.Warn("address is not available, waiting for it", zap.String("address", describe(addresses)), zap.Duration("waited", time.Since(since)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(interval):
		}
		if listener, err = w.listenOnce(addresses); err == nil {
			w.logger.Info("address is available", zap.Stringer("address", listener.Addr()), zap.Duration("waited", time.Since(since)))
			return listener, nil
		}
		if !isUnavailable(err) {
			return nil, err
		}
	}
}

// Unavailable returns the number of listeners that wait for an address, or can't accept
// connections.
func (w *Waiting) Unavailable() int { return int(w.unavailable.Load()) }

// listenOnce tries each address and returns the first listener, or the last error.
func (w *Waiting) listenOnce(addresses []string) (net.Listener, error) {
	err := error(&net.AddrError{Err: "no address to listen on"})
	for _, address := range addresses {
		var listener net.Listener
		if listener, err = w.Network.Listen(address); err == nil {
			return newLastingListener(w, listener), nil
		}
		if !isUnavailable(err) {
			return nil, err
		}
	}
	return nil, err
}

// isUnavailable reports whether a later attempt may succeed: the operating system refused
// the address.
func isUnavailable(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// describe returns a short text of a range of addresses.
func describe(addresses []string) string {
	if len(addresses) == 1 {
		return addresses[0]
	}
	return addresses[0] + " to " + addresses[len(addresses)-1]
}
