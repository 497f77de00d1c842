// Package listener runs the HTTP servers of a process.
//
// New opens the port, so that the address is known before Start even if port zero was
// requested. A Listener counts the requests in progress, so that a shutdown can wait
// for them. While it is draining, each response asks the client to close the
// connection.
//
// # Usage
//
//	public, err := listener.New(listener.Options{Address: "127.0.0.1:0"})
//	public.Router().GET("/v1/models", handler)
//	public.Start()
//	defer public.Close()
//	public.Drain(ctx)
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"limpethall.dev/kernel/network"
)

const (
	defaultMaxBodyBytes = 4 << 20
	idleTimeout         = 60 * time.Second
	shutdownTimeout     = 200 * time.Millisecond
	drainPollInterval   = 10 * time.Millisecond
)

func init() {
	// Hertz's own log output would bypass the loggers of package logs.
	hlog.SetOutput(io.Discard)
}

// Options are the settings of a listener.
type Options struct {
	// Network opens the port; nil means TCP.
	Network network.Network
	// Address holds the host and port to listen on; port zero selects a free port.
	Address string
	// MaxBody is the maximum size of a request body in bytes; zero means the
	// default of 4 MiB.
	MaxBody int
	// TLS is the TLS configuration; nil disables TLS.
	TLS *tls.Config
	// Logger logs panics of handlers; nil means to standard error.
	Logger *zap.Logger
}

// Listener is an HTTP server on an open port.
type Listener struct {
	socket   net.Listener
	hertz    *server.Hertz
	active   atomic.Int64
	draining atomic.Bool
}

// New opens the port and returns a listener without routes.
func New(options Options) (*Listener, error) {
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	socket, err := options.Network.Listen(options.Address)
	if err != nil {
		return nil, oops.In("listener").Wrapf(err, "open %s", options.Address)
	}
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBodyBytes
	}
	if options.Logger == nil {
		options.Logger = zap.Must(zap.NewProduction())
	}
	l := &Listener{socket: socket}
	l.hertz = server.New(
		server.WithListener(monitoredListener{socket}),
		server.WithOnAccept(connectionContext),
		server.WithTransport(newTransporter(options.Logger)),
		server.WithTLS(options.TLS),
		server.WithMaxRequestBodySize(options.MaxBody),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
		server.WithUseRawPath(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
	)
	l.hertz.Use(l.countActive)
	return l, nil
}

// Router returns the router, to which routes are added before Start.
func (l *Listener) Router() *server.Hertz { return l.hertz }

// Address returns the host and port that the listener is bound to.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// ActiveRequests returns the number of requests in progress.
func (l *Listener) ActiveRequests() int64 { return l.active.Load() }

// Start starts serving requests in the background.
func (l *Listener) Start() {
	go func() { _ = l.hertz.Run() }()
}

// Drain asks clients to close their connections, and waits until no request is in
// progress or the context ends. New requests are still served.
func (l *Listener) Drain(ctx context.Context) error {
	l.draining.Store(true)
	for l.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// Close shuts the server down and closes the socket, which Hertz's shutdown leaves
// open if serving has not started yet.
func (l *Listener) Close() error {
	defer func() { _ = l.socket.Close() }()
	if !l.hertz.IsRunning() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := l.hertz.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // Idle connections remain open until the process exits.
	}
	return err
}

func (l *Listener) countActive(ctx context.Context, c *app.RequestContext) {
	l.active.Add(1)
	defer l.active.Add(-1)
	if l.draining.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}
