package allowance_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/kernel/platform/memory"
)

// TestHallsThatStartTogetherSpendSoon starts five halls at the same moment, as
// after a loss of power, and wants each to have proved its share within half a
// second: until then it refuses everything.
func TestHallsThatStartTogetherSpendSoon(t *testing.T) {
	const (
		count  = 5
		wanted = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		store.SetFaults(memory.Faults{DelayMilliseconds: 4})
		keepers := make([]*allowance.Keeper, count)
		for index := range keepers {
			keeper := allowance.NewKeeper(store, fmt.Sprintf("hall-%d", index), uint64(index+1), func(time.Time) bool { return true }, zap.NewNop())
			keeper.Bind(allowance.New(nil, keeper.Valid, 0, time.Now))
			keepers[index] = keeper
			go func() { _ = keeper.Register(ctx) }()
			go func() { _ = keeper.Follow(ctx) }()
		}
		time.Sleep(wanted)
		for index, keeper := range keepers {
			if !keeper.Valid(time.Now()) {
				t.Errorf("hall %d after %s: got no proof of its share, want one", index, wanted)
			}
		}
	})
}
