package listener_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"limpethall.dev/kernel/listener"
)

// lateSocket accepts only after it has been released, as when the goroutine
// that serves is scheduled late.
type lateSocket struct {
	net.Listener
	closed chan struct{}
}

func (s *lateSocket) Accept() (net.Conn, error) {
	<-s.closed
	return nil, net.ErrClosed
}

func (s *lateSocket) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

func (s *lateSocket) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80} }

// lateNetwork opens lateSockets.
type lateNetwork struct{ socket *lateSocket }

func (n lateNetwork) Listen(string) (net.Listener, error) { return n.socket, nil }

func (n lateNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("nobody dials here")
}

// TestClosedBeforeItServes closes a listener right after Start; synctest fails
// if the goroutine that serves stays behind.
func TestClosedBeforeItServes(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			socket := &lateSocket{closed: make(chan struct{})}
			l, err := listener.New(listener.Options{Network: lateNetwork{socket}})
			if err != nil {
				t.Fatal(err)
			}
			l.Start()
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			select {
			case <-socket.closed:
			default:
				t.Errorf("got an open socket after Close, want it closed")
			}
		})
	}
}
