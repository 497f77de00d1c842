// Package listener runs the HTTP servers of a process.
//
// A Listener opens its port at once, so that a port of zero can be asked for
// and read back, and counts the requests it serves, so that a shutdown can
// wait for them. While it drains, each answer asks the client to close its
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
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/samber/oops"

	"limpethall.dev/kernel/network"
)

const (
	defaultMaxBody = 4 << 20
	idleTimeout    = 60 * time.Second
	exitWait       = 200 * time.Millisecond
	drainPoll      = 10 * time.Millisecond
)

func init() {
	// The library's own log lines would bypass the layers of package logs.
	hlog.SetOutput(io.Discard)
}

// Options are the settings of a listener.
type Options struct {
	// Network is where the port is opened; none means TCP.
	Network network.Network
	// Address is host and port; port zero takes a free one.
	Address string
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// TLS switches encryption on.
	TLS *tls.Config
}

// Listener is one open port with its routes.
type Listener struct {
	socket   net.Listener
	hertz    *server.Hertz
	active   atomic.Int64
	draining atomic.Bool
}

// New opens the port.
func New(options Options) (*Listener, error) {
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	socket, err := options.Network.Listen(options.Address)
	if err != nil {
		return nil, oops.In("listener").Wrapf(err, "open %s", options.Address)
	}
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	l := &Listener{socket: socket}
	l.hertz = server.New(
		server.WithListener(watchedListener{socket}),
		server.WithOnAccept(contextOf),
		server.WithTransport(standard.NewTransporter),
		server.WithTLS(options.TLS),
		server.WithMaxRequestBodySize(options.MaxBody),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
		server.WithUseRawPath(true),
		server.WithHandleMethodNotAllowed(true),
		server.WithRedirectTrailingSlash(false),
	)
	l.hertz.Use(l.count)
	return l, nil
}

// Router returns where routes are added, before Start.
func (l *Listener) Router() *server.Hertz { return l.hertz }

// Address returns host and port as opened.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Active returns the number of requests being served.
func (l *Listener) Active() int64 { return l.active.Load() }

// Start serves in the background.
func (l *Listener) Start() {
	go func() { _ = l.hertz.Run() }()
}

// Drain asks clients to close their connections and waits until no request
// is left or the context ends. New requests are still served.
func (l *Listener) Drain(ctx context.Context) error {
	l.draining.Store(true)
	for l.Active() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// Close stops listening and closes what is open. The HTTP library's own
// shutdown leaves the socket open if it has not begun to serve yet.
func (l *Listener) Close() error {
	defer func() { _ = l.socket.Close() }()
	if !l.hertz.IsRunning() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitWait)
	defer cancel()
	err := l.hertz.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // Idle connections were left; they end with the process.
	}
	return err
}

func (l *Listener) count(ctx context.Context, c *app.RequestContext) {
	l.active.Add(1)
	defer l.active.Add(-1)
	if l.draining.Load() {
		c.SetConnectionClose()
	}
	c.Next(ctx)
}
