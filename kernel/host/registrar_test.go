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
