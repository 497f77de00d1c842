package serverlimit_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

// fullPeer has no memory for calls.
type fullPeer struct{ calls *int }

// Acquire implements serverlimit.Peer.
func (p fullPeer) Acquire(context.Context, *wire.AcquireRequest) (*wire.AcquireReply, error) {
	*p.calls++
	return nil, twirp.NewError(twirp.Unavailable, "Service Unavailable").WithMeta("status_code", "503")
}

// Inform implements serverlimit.Peer.
func (p fullPeer) Inform(ctx context.Context, _ *wire.InformRequest) (*wire.Empty, error) {
	_, err := p.Acquire(ctx, nil)
	return nil, err
}

// TestOwnerWithoutMemoryKeepsItsLimits guards against limits that two halls decide about,
// because the owner refused a call for lack of memory and is taken for lost.
func TestOwnerWithoutMemoryKeepsItsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		halls := []host.Member{host.NewHall("hall-0", "zone", "hall-0", 1), host.NewHall("hall-1", "zone", "hall-1", 1), host.NewHall("hall-2", "zone", "hall-2", 1)}
		// The caller is not on the list, so that it owns no limit.
		limiter := serverlimit.New("hall-9", func() []host.Member { return halls }, func(host.Member) serverlimit.Peer { return fullPeer{&calls} }, serverlimit.NewTracker(zap.NewNop()), zap.NewNop())
		now := time.Now()
		limiter.Tracker().Observe(now, serverID, serverlimit.NewObservation(serverlimit.Limited(10), now.Add(-messageDelay), now))
		for request := range 3 {
			_, err := limiter.Acquire(t.Context(), serverID, time.Second)
			var exceededErr *serverlimit.ExceededError
			if !errors.As(err, &exceededErr) || exceededErr.RetryAfter() <= 0 {
				t.Errorf("request %d: got error %v, want an ExceededError", request, err)
			}
			if got, want := calls, request+1; got != want {
				t.Errorf("request %d: got %d calls, want %d", request, got, want)
			}
		}
		limiter.Spread(t.Context())
		if _, err := limiter.Acquire(t.Context(), serverID, time.Second); err == nil {
			t.Errorf("after a message that was refused: got a permission, want none")
		}
	})
}
