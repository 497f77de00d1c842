package network_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
)

// faultyNetwork returns listeners whose Accept returns the faults first, each once.
type faultyNetwork struct {
	network.TCP
	faults  []error
	refused atomic.Int32 // Attempts to listen again that are refused.
	listens atomic.Int32
}

func (n *faultyNetwork) Listen(address string) (net.Listener, error) {
	if n.listens.Add(1) > 1 && n.refused.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	socket, err := n.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	return &faultyListener{Listener: socket, network: n}, nil
}

type faultyListener struct {
	net.Listener
	network *faultyNetwork
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if faults := l.network.faults; len(faults) > 0 {
		if errors.Is(faults[0], net.ErrClosed) {
			_ = l.Close() // It was not closed before.
		}
		l.network.faults = faults[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: faults[0]}
	}
	return l.Listener.Accept()
}

// TestServersOutliveFailedAccepts guards against a process that goes on without one of its
// addresses because a connection could not be accepted, or a listener was lost.
func TestServersOutliveFailedAccepts(t *testing.T) {
	servers := map[string]func(t *testing.T, waiting *network.Waiting) (address string){
		"net/http": func(t *testing.T, waiting *network.Waiting) string {
			socket, err := waiting.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(socket) }()
			t.Cleanup(func() {
				if err := errors.Join(server.Close(), <-ended); !errors.Is(err, http.ErrServerClosed) {
					t.Errorf("server: got %v, want %v", err, http.ErrServerClosed)
				}
			})
			return socket.Addr().String()
		},
		"hertz": func(t *testing.T, waiting *network.Waiting) string {
			server, err := listener.New(listener.Options{Network: waiting, Address: "127.0.0.1:0"})
			if err != nil {
				t.Fatal(err)
			}
			server.Start()
			t.Cleanup(func() { _ = server.Close() }) // Idle connections may remain.
			return server.Address()
		},
	}
	faults := map[string][]error{
		"no descriptors": {os.NewSyscallError("accept4", syscall.EMFILE), os.NewSyscallError("accept4", syscall.ENFILE)},
		"no memory":      {os.NewSyscallError("accept4", syscall.ENOBUFS), os.NewSyscallError("accept4", syscall.ENOMEM)},
		"one connection": {os.NewSyscallError("accept4", syscall.EPROTO), os.NewSyscallError("accept4", syscall.ECONNABORTED), os.NewSyscallError("accept4", syscall.EPERM)},
		"listener lost":  {net.ErrClosed},
	}
	for serverName, start := range servers {
		for faultName, sequence := range faults {
			t.Run(serverName+", "+faultName, func(t *testing.T) {
				base := &faultyNetwork{faults: sequence}
				base.refused.Store(2)
				waiting := network.NewWaiting(t.Context(), base, zap.NewNop())
				address := start(t, waiting)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				for !responds(ctx, t, address) {
					select {
					case <-ctx.Done():
						t.Fatal("response after the faults: got none, want one")
					case <-time.After(10 * time.Millisecond):
					}
				}
				if wantAgain := faultName == "listener lost"; (base.listens.Load() > 1) != wantAgain {
					t.Errorf("attempts to listen: got %d, want more than one %t", base.listens.Load(), wantAgain)
				}
			})
		}
	}
}

// responds reports whether a server responds to a request.
func responds(ctx context.Context, t *testing.T, address string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// slowNetwork takes its time to return the second listener and those that follow.
type slowNetwork struct {
	*faultyNetwork
	reopened chan struct{}
}

func (n *slowNetwork) Listen(address string) (net.Listener, error) {
	again := n.listens.Load() > 0
	socket, err := n.faultyNetwork.Listen(address)
	if again {
		n.reopened <- struct{}{}
		time.Sleep(200 * time.Millisecond)
	}
	return socket, err
}

// TestCloseWhileReopening guards against a process that can't have its address back, because
// the listener it closed was just opening it again.
func TestCloseWhileReopening(t *testing.T) {
	faulty := &slowNetwork{faultyNetwork: &faultyNetwork{faults: []error{net.ErrClosed}}, reopened: make(chan struct{}, 1)}
	socket, err := network.NewWaiting(t.Context(), faulty, zap.NewNop()).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := socket.Accept()
		ended <- err
	}()
	<-faulty.reopened
	if err := socket.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
	next, err := network.TCP{}.Listen(socket.Addr().String())
	if err != nil {
		t.Fatalf("listen after close: got %v, want the address free", err)
	}
	_ = next.Close()
	if err := <-ended; err == nil {
		t.Error("accept after close: got a connection, want an error")
	}
}
