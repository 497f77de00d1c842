package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/relay"
)

// pipes is a network with one listener.
type pipes struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipes) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	if address != p.address {
		return nil, errors.New("nobody listens there")
	}
	near, far := net.Pipe()
	p.accepted <- far
	return near, nil
}

func (p *pipes) Listen(string) (net.Listener, error) { return p, nil }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case accepted := <-p.accepted:
		return accepted, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// pair is a host that reads from the service and another one that starts.
type pair struct {
	service *memory.Store
	knowing *relay.Store
	starts  *relay.Store
	options relay.Options
	server  *http.Server
}

func newPair(t *testing.T) *pair {
	t.Helper()
	wires := &pipes{address: "a:1", accepted: make(chan net.Conn), closed: make(chan struct{})}
	p := &pair{service: memory.New(time.Now)}
	p.knowing = relay.New(p.service, relay.Options{Network: wires}, time.Now, zap.NewNop())
	p.server = &http.Server{Handler: relay.NewServer(p.knowing)}
	go func() { _ = p.server.Serve(wires) }()
	p.options = relay.Options{Peers: []string{"gone:1", "b:1", "a:1"}, Own: "b:1", Network: wires}
	p.starts = relay.New(p.service, p.options, time.Now, zap.NewNop())
	return p
}

func (p *pair) close() {
	p.starts.Close()
	p.knowing.Close()
	_ = p.server.Close()
	synctest.Wait()
}

func (p *pair) put(t *testing.T, key, value string) {
	t.Helper()
	entry, err := p.service.Get(t.Context(), key)
	if err != nil && !platform.IsNotFound(err) {
		t.Fatal(err)
	}
	if _, err := p.service.CompareAndSwap(t.Context(), key, []byte(value), entry.Version, 0); err != nil {
		t.Fatal(err)
	}
}

func text(listing platform.Listing) string {
	all := ""
	for _, entry := range listing.Entries {
		all += fmt.Sprintf("%s=%s@%d ", entry.Key, entry.Value, entry.Version)
	}
	return all
}

// TestListingFromAnotherHost lists while the service is away. The other host has
// seen one state by listing and two changes by watching.
func TestListingFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		p.put(t, "x/1", "one")
		p.put(t, "x/2", "two")
		listed, err := p.knowing.List(t.Context(), "x/")
		if err != nil {
			t.Fatal(err)
		}
		p.put(t, "x/1", "new")
		entry, err := p.service.Get(t.Context(), "x/2")
		if err != nil {
			t.Fatal(err)
		}
		if err := p.service.Delete(t.Context(), "x/2", entry.Version); err != nil {
			t.Fatal(err)
		}
		changes, err := p.knowing.Watch(t.Context(), "x/", listed.Revision)
		if err != nil {
			t.Fatal(err)
		}
		p.service.SetFaults(memory.Faults{Down: true})
		time.Sleep(2 * time.Second)
		got, err := p.starts.List(t.Context(), "x/")
		if err != nil {
			t.Fatalf("list: got %v, want the other host's state", err)
		}
		if got, want := text(got), "x/1=new@3 "; got != want {
			t.Errorf("entries: got %q, want %q", got, want)
		}
		if got, want := got.Revision, changes.Revision; got != want {
			t.Errorf("revision: got %d, want %d", got, want)
		}
		if got.Age < 2*time.Second || got.Age > 3*time.Second {
			t.Errorf("age: got %s, want about 2s", got.Age)
		}
		if _, err := p.starts.List(t.Context(), "y/"); err == nil {
			t.Error("prefix that nobody has read: got no error, want one")
		}
	})
}

// TestServiceAloneCountsOnceItHasAnswered has the other host fall behind.
func TestServiceAloneCountsOnceItHasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		p.put(t, "x/1", "old")
		if _, err := p.knowing.List(t.Context(), "x/"); err != nil {
			t.Fatal(err)
		}
		p.put(t, "x/1", "new")
		got, err := p.starts.List(t.Context(), "x/")
		if err != nil || got.Age != 0 {
			t.Fatalf("list: got age %s, %v, want the service's own answer", got.Age, err)
		}
		p.service.SetFaults(memory.Faults{Down: true})
		if got, err := p.starts.List(context.Background(), "x/"); err == nil {
			t.Errorf("list after that: got %q, want an error and no older state", text(got))
		}
	})
}

// outsider reads through a service of its own that is away, while the other host
// still reaches the real one.
type outsider struct {
	platform.Store
	away bool
}

func (o *outsider) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if o.away {
		return platform.Listing{}, platform.NewUnavailableError("list", false, context.DeadlineExceeded)
	}
	return o.Store.List(ctx, prefix)
}

func (o *outsider) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if o.away {
		return platform.Changes{}, platform.NewUnavailableError("watch", false, context.DeadlineExceeded)
	}
	return o.Store.Watch(ctx, prefix, after)
}

// TestChangesFromAnotherHost has the service turn one host away: it hears of
// changes and deletions from the other one, and of nothing once that one does not
// reach the service either.
func TestChangesFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		defer p.close()
		direct := &outsider{Store: p.service}
		options := p.options
		options.Peers = []string{"a:1"}
		turnedAway := relay.New(direct, options, time.Now, zap.NewNop())
		defer turnedAway.Close()
		p.put(t, "x/1", "one")
		p.put(t, "x/2", "two")
		known, err := p.knowing.List(t.Context(), "x/")
		if err != nil {
			t.Fatal(err)
		}
		listed, err := turnedAway.List(t.Context(), "x/")
		if err != nil {
			t.Fatal(err)
		}
		direct.away = true
		if _, err := turnedAway.Watch(t.Context(), "x/", listed.Revision); err == nil {
			t.Error("watch while the other host has heard nothing since: got no error, want one")
		}
		p.put(t, "x/1", "new")
		entry, err := p.service.Get(t.Context(), "x/2")
		if err != nil {
			t.Fatal(err)
		}
		if err := p.service.Delete(t.Context(), "x/2", entry.Version); err != nil {
			t.Fatal(err)
		}
		if _, err := p.knowing.Watch(t.Context(), "x/", known.Revision); err != nil {
			t.Fatal(err)
		}
		changes, err := turnedAway.Watch(t.Context(), "x/", listed.Revision)
		if err != nil {
			t.Fatalf("watch: got %v, want the other host's changes", err)
		}
		got := ""
		for _, event := range changes.Events {
			got += fmt.Sprintf("%s=%s deleted %t; ", event.Entry.Key, event.Entry.Value, event.Deleted)
		}
		if want := "x/1=new deleted false; x/2= deleted true; "; got != want {
			t.Errorf("changes: got %q, want %q", got, want)
		}
		if _, err := turnedAway.Watch(t.Context(), "x/", changes.Revision); err == nil {
			t.Error("watch while the other host hears nothing new: got no error, want one")
		}
	})
}
