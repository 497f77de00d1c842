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
