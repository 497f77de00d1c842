package listener_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"limpethall.dev/kernel/listener"
)

// blockedListener accepts no connection; Accept returns only after Close. This
// simulates a serving goroutine that is scheduled late.
type blockedListener struct {
	net.Listener
	closed chan struct{}
}

func (s *blockedListener) Accept() (net.Conn, error) {
	<-s.closed
	return nil, net.ErrClosed
}

func (s *blockedListener) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

func (s *blockedListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 80} }

// blockedNetwork is a network whose Listen returns a blockedListener.
type blockedNetwork struct{ socket *blockedListener }

func (n blockedNetwork) Listen(string) (net.Listener, error) { return n.socket, nil }

func (n blockedNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("dialing is not supported")
}

// TestCloseBeforeServing guards against a leaked serving goroutine and an open socket
// if Close is called right after Start. synctest fails if a goroutine is left.
func TestCloseBeforeServing(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			socket := &blockedListener{closed: make(chan struct{})}
			l, err := listener.New(listener.Options{Network: blockedNetwork{socket}})
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
