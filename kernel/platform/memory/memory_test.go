package memory_test

import (
	"testing"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/contract"
	"limpethall.dev/kernel/platform/memory"
)

func TestContract(t *testing.T) {
	contract.Check(t, func(*testing.T) (platform.Store, contract.FaultInjector) {
		store := memory.New(time.Now)
		return store, store
	})
}
