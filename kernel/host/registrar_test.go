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

// TestRegistersSoonAfterASilentStart starts while the service takes calls and
// answers none. A process may serve nobody before it is registered, so it must
// not wait for answers to calls that will never come.
func TestRegistersSoonAfterASilentStart(t *testing.T) {
	const (
		silence = 1350 * time.Millisecond
		wanted  = 450 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		store.SetFaults(memory.Faults{DelayMilliseconds: time.Minute.Milliseconds()})
		registrar := host.NewRegistrar(store, "hosts/hall-1", []byte("1"), 5*time.Second, zap.NewNop())
		go func() { _ = registrar.Keep(ctx) }()
		time.Sleep(silence)
		store.SetFaults(memory.Faults{DelayMilliseconds: 4})
		time.Sleep(wanted)
		if got, want := registrar.Epoch(), uint64(1); got != want {
			t.Errorf("registrations %s after the service's return: got %d, want %d", wanted, got, want)
		}
	})
}
