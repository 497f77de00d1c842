package host_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform/memory"
)

// TestRegistersSoonAfterUnresponsiveStore starts a registrar while the store accepts
// calls but sends no responses. A process may not serve requests before it is
// registered, so it must not wait for responses that never come.
func TestRegistersSoonAfterUnresponsiveStore(t *testing.T) {
	const (
		unresponsivePeriod = 1350 * time.Millisecond
		maxDelay           = 450 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		store.SetFaults(memory.Faults{DelayMilliseconds: time.Minute.Milliseconds()})
		registrar := host.NewRegistrar(store, "hosts/hall-1", []byte("1"), 5*time.Second, zap.NewNop())
		go func() { _ = registrar.Run(ctx) }()
		time.Sleep(unresponsivePeriod)
		store.SetFaults(memory.Faults{DelayMilliseconds: 4})
		time.Sleep(maxDelay)
		if got, want := registrar.Epoch(), uint64(1); got != want {
			t.Errorf("registrations %s after the store recovered: got %d, want %d", maxDelay, got, want)
		}
	})
}

// TestRetiredRegistrarLeavesKeyToSuccessor guards against a stopping process that replaces,
// after its lease is lost, the registration of the process that already runs in its place.
func TestRetiredRegistrarLeavesKeyToSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		start := func(value string) *host.Registrar {
			registrar := host.NewRegistrar(store, "hosts/hall-1", []byte(value), 5*time.Second, zap.NewNop())
			go func() { _ = registrar.Run(ctx) }()
			time.Sleep(time.Second)
			return registrar
		}
		stopping := start("first")
		stopping.Retire()
		time.Sleep(20 * time.Second)
		if !stopping.LeaseValid() {
			t.Error("lease of a retired registrar: got lost, want it kept")
		}
		start("second")
		if err := store.Revoke(ctx, stopping.Lease()); err != nil {
			t.Fatalf("revoke: %v", err)
		}
		time.Sleep(20 * time.Second)
		entry, err := store.Get(ctx, "hosts/hall-1")
		if got, want := string(entry.Value), "second"; err != nil || got != want {
			t.Errorf("value after the lease of the stopping process is lost: got %q, %v, want %q", got, err, want)
		}
	})
}

// TestCallsOfRegistration guards against billed calls at each start, and against a key of an
// earlier process that keeps its successor from registering.
func TestCallsOfRegistration(t *testing.T) {
	for name, tt := range map[string]struct {
		left  bool
		calls int64
	}{
		"no key":                    {false, 2}, // The lease and the key.
		"key of an earlier process": {true, 4},  // A conflict and a read as well.
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				store := memory.New(time.Now)
				if tt.left {
					if _, err := store.CompareAndSwap(ctx, "hosts/hall-1", []byte("earlier"), 0, 0); err != nil {
						t.Fatal(err)
					}
				}
				before := store.Calls()
				registrar := host.NewRegistrar(store, "hosts/hall-1", []byte("own"), 5*time.Second, zap.NewNop())
				go func() { _ = registrar.Run(ctx) }()
				synctest.Wait()
				if got, want := store.Calls()-before, tt.calls; got != want {
					t.Errorf("calls: got %d, want %d", got, want)
				}
				entry, err := store.Get(ctx, "hosts/hall-1")
				if got, want := string(entry.Value), "own"; err != nil || got != want || entry.Version != registrar.Version() {
					t.Errorf("key: got %q at %d, %v, want %q at %d", got, entry.Version, err, want, registrar.Version())
				}
			})
		})
	}
}
