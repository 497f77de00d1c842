package ratelimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/wire"
)

// fullLender has no memory for calls.
type fullLender struct{}

// Lend implements ratelimit.Lender.
func (fullLender) Lend(context.Context, *wire.LendRequest) (*wire.LendReply, error) {
	return nil, twirp.NewError(twirp.Unavailable, "Service Unavailable").WithMeta("status_code", "503")
}

type oneHolder string

// HoldersOf implements ratelimit.Holders.
func (h oneHolder) HoldersOf(string) []string { return []string{string(h)} }

// TestHallWithoutMemoryIsAskedAgain guards against a holder of limits that is taken for
// lost, because it refused a call for lack of memory.
func TestHallWithoutMemoryIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := newStore()
		roster := host.NewWatcher(store, zap.NewNop())
		peers := ratelimit.NewPeers("hall-0", roster, oneHolder("hall-1"), func(host.Member) ratelimit.Lender { return fullLender{} }, time.Now, zap.NewNop())
		registrar, err := host.NewMemberRegistrar(store, host.NewHall("hall-1", "zone", "hall-1", 1), time.Minute, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = registrar.Run(ctx) }()
		go func() { _ = roster.Follow(ctx) }()
		time.Sleep(3 * time.Second)
		const retryAfter = 100 * time.Millisecond
		bucket := limit.NewBucket(time.Now(), time.Second)
		for request := range 2 {
			want := ratelimit.NewBorrowing(1, retryAfter, false)
			if got := peers.Borrow(ctx, "workspace", ratelimit.RunningProgram, 1, bucket); got != want {
				t.Errorf("request %d: got %+v, want %+v", request, got, want)
			}
			time.Sleep(retryAfter)
		}
		if got := peers.Calls()["failed"]; got != 0 {
			t.Errorf("got %d failed calls, want none", got)
		}
	})
}
