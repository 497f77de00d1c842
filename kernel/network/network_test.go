package network_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpethall.dev/kernel/network"
)

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := network.TCP{}.Listen(address)
	if err != nil {
		t.Fatalf("listen on %s: %v", address, err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // Some tests close it before.
	return listener
}

// TestListenWaitsForAddress guards against processes that end by themselves because
// another socket, such as one of the process before, still uses their address.
func TestListenWaitsForAddress(t *testing.T) {
	holder := listen(t, "127.0.0.1:0")
	address := holder.Addr().String()
	time.AfterFunc(300*time.Millisecond, func() { _ = holder.Close() })
	listener, err := network.NewWaiting(t.Context(), network.TCP{}, zap.NewNop()).Listen(address)
	if err != nil {
		t.Fatalf("listen on an address in use: got %v, want it to wait", err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := network.NewWaiting(ctx, network.TCP{}, zap.NewNop()).Listen(address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("listen with a context that ends: got %v, want %v", err, context.DeadlineExceeded)
	}
	if _, err := network.NewWaiting(t.Context(), network.TCP{}, zap.NewNop()).Listen("127.0.0.1:no port"); err == nil {
		t.Error("listen on an invalid address: got no error, want one")
	}
}

// refusingNetwork refuses to listen for the given number of attempts.
type refusingNetwork struct {
	network.TCP
	attempts int
	err      error
}

func (n *refusingNetwork) Listen(address string) (net.Listener, error) {
	if n.attempts--; n.attempts >= 0 {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", n.err)}
	}
	return n.TCP.Listen(address)
}

// TestListenOutlastsRefusals guards against processes that end by themselves because the
// operating system refuses a socket for a moment, and against waits that are logged once or
// too often.
func TestListenOutlastsRefusals(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EACCES} {
		synctest.Test(t, func(t *testing.T) {
			core, logs := observer.New(zap.WarnLevel)
			waiting := network.NewWaiting(t.Context(), &refusingNetwork{attempts: 300, err: errno}, zap.New(core))
			if _, err := waiting.TryListen([]string{"127.0.0.1:0"}); !errors.As(err, new(*network.UnavailableError)) {
				t.Errorf("one attempt with %v: got %v, want an UnavailableError", errno, err)
			}
			go func() {
				time.Sleep(time.Minute)
				if got := waiting.Unavailable(); got != 1 {
					t.Errorf("unavailable addresses with %v: got %d, want 1", errno, got)
				}
			}()
			start := time.Now()
			listener, err := waiting.ListenFirst(t.Context(), []string{"127.0.0.1:0"})
			if err != nil {
				t.Fatalf("listen with %v: got %v, want it to wait", errno, err)
			}
			_ = listener.Close()
			if got, took := logs.Len(), time.Since(start); got < int(took/(11*time.Second)) || got > 1+int(took/(9*time.Second)) {
				t.Errorf("log lines in %s: got %d, want one each 10 s", took, got)
			}
			if got := waiting.Unavailable(); got != 0 {
				t.Errorf("unavailable addresses after the wait: got %d, want 0", got)
			}
		})
	}
}

// TestListenOnLocalPortOfConnection guards against processes that can't start because a
// connection of another process got the port in their settings as its local port.
func TestListenOnLocalPortOfConnection(t *testing.T) {
	connection, err := network.TCP{}.DialContext(t.Context(), "tcp", listen(t, "127.0.0.1:0").Addr().String())
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = connection.Close() }()
	listen(t, connection.LocalAddr().String())
}
