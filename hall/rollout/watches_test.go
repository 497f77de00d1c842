package rollout_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/rollout"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform/memory"
)

// TestOwnerLacksOrder guards against a roll-out that stands still because the first candidate,
// whose watch lags behind by 1.5 s, answers reports without knowing the order: the next one decides.
func TestOwnerLacksOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 4, duration, good)
		late := d.halls[d.owner()]
		late.SetOrders(nil)
		d.load(200, 1.5/12)
		late.SetOrders([]rollout.Order{rollout.NewOrder(service, "v2", revision, duration)})
		d.load(200, 1)
		d.checkState(rollout.Done)
		d.stop()
	})
}

// TestOrderAgainAfterDone guards against an outage: the order of a version that is done already
// is written again, and the servers of the old version are gone.
func TestOrderAgainAfterDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 4, duration, good)
		d.load(200, 1)
		d.checkState(rollout.Done)
		d.publish("v2")
		for name, hall := range d.halls {
			hall.SetOrders([]rollout.Order{rollout.NewOrder(service, "v2", revision+1, duration)})
			if !hall.Allowed(service, "v2") {
				t.Errorf("%s: version that is done: got not allowed, want allowed", name)
			}
		}
		time.Sleep(time.Second)
		d.checkState(rollout.Done)
		d.stop()
	})
}

// TestVersionThatNoOrderAllows guards against requests to a version that no order allows, also
// once the orders are read: its servers may be listed before the order, as the two arrive by
// different watches.
func TestVersionThatNoOrderAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, duration, good)
		d.stop()
		hall := rollout.New(rollout.Options{Store: memory.New(time.Now), OwnName: "hall-9", Halls: func() []host.Member { return nil }, Bounds: bounds, Directory: d.directory, Now: time.Now, Logger: zap.NewNop()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go run(ctx, hall)
		hall.SetOrders(nil)
		time.Sleep(10 * time.Second)
		if got := hall.Select(service, "x").Excluded(); got != "v2" || hall.Allowed(service, "v2") || !hall.Allowed(service, "v1") {
			t.Errorf("two versions without an order: got %q excluded, want v2, the newer one", got)
		}
		d.publish("v2")
		if got := hall.Select(service, "x"); got.Excluded() != "" || got.Only() != nil {
			t.Errorf("one version without an order: got %+v, want no restriction", got)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}
