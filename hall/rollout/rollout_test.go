package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/hall/rollout"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform/memory"
)

const duration = 12 * time.Second

// some fails or is slow for a portion of the requests.
func some(portion float64) bool { return rand.Float64() < portion }

// badVersions are the ways to be bad.
var badVersions = map[string]answer{
	"at once":           func(r request) (bool, float64) { return r.isTarget() && some(0.3), 1 },
	"late":              func(r request) (bool, float64) { return r.isTarget() && r.elapsed > 0.45 && some(0.3), 1 },
	"in the last steps": func(r request) (bool, float64) { return r.isTarget() && r.elapsed > 0.68 && some(0.3), 1 },
	"under load":        func(r request) (bool, float64) { return r.isTarget() && r.open > 1, 1 },
	"one route":         func(r request) (bool, float64) { return r.isTarget() && r.route == "/b" && some(0.4), 1 },
	"slow": func(r request) (bool, float64) {
		if r.isTarget() && some(0.4) {
			return false, 5
		}
		return false, 1
	},
	"all fail": func(r request) (bool, float64) { return r.isTarget(), 1 },
}

// TestBadVersionIsRolledBack guards against a bad version that becomes the only one, that
// receives more than its bound of requests, or that goes on receiving some.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, answer := range badVersions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 6, duration, answer)
				d.load(200, 1)
				d.checkState(rollout.RolledBack)
				d.checkBounds()
				t.Logf("%d of %d requests to the target version, %d bad", d.exposed, d.requests, d.bad)
				d.stop()
			})
		})
	}
}

// TestGoodVersionIsDone guards against a version that is judged by load, by failures of both
// versions or by one of its servers.
func TestGoodVersionIsDone(t *testing.T) {
	for name, answer := range map[string]answer{
		"steady": good,
		"burst": func(r request) (bool, float64) {
			if r.elapsed > 0.3 && r.elapsed < 0.5 || r.elapsed > 0.66 && r.elapsed < 0.72 {
				return some(0.1), 4
			}
			return false, 1
		},
		"failing server": func(r request) (bool, float64) { return r.server == "v2-0" && r.elapsed > 0.1, 1 },
		"slow server": func(r request) (bool, float64) {
			if r.server == "v2-0" {
				return false, 5
			}
			return false, 1
		},
		"both fail":   func(request) (bool, float64) { return some(0.2), 1 },
		"slow others": func(r request) (bool, float64) { return false, map[bool]float64{true: 1, false: 3}[r.isTarget()] },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 6, duration, answer)
				var group sync.WaitGroup
				if name == "burst" {
					group.Go(func() { d.sleepUntil(0.3); d.load(600, 0.5) })
				}
				d.load(200, 0.97)
				group.Wait()
				d.checkState(rollout.Done)
				if got := d.halls["hall-0"].Select(service, "x"); got.Only() == nil || *got.Only() != "v2" {
					t.Errorf("selection when done: got %+v, want v2 only", got)
				}
				if got := d.store.writes.Load(); got > 2 {
					t.Errorf("writes to the store by 6 halls: got %d, want at most 2", got)
				}
				d.stop()
			})
		})
	}
}

// TestOwnerDies guards against a roll-out that ends with its owner, or whose bound a new
// owner does not know.
func TestOwnerDies(t *testing.T) {
	for _, at := range []float64{0.02, 0.4, 0.67, 0.72, 0.78} {
		for name, test := range map[string]struct {
			answer answer
			want   rollout.State
		}{"good": {good, rollout.Done}, "late": {badVersions["late"], rollout.RolledBack}, "at once": {badVersions["at once"], rollout.RolledBack}} {
			t.Run(fmt.Sprintf("%s, %g", name, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 6, duration, test.answer)
					go func() { d.sleepUntil(at); d.kill(d.owner()) }()
					d.load(200, 1)
					d.checkState(test.want)
					if test.want == rollout.RolledBack {
						d.checkBounds()
					}
					d.stop()
				})
			})
		}
	}
}

// TestStoreDoesNotRespond guards against a roll-out that needs the store for anything but its
// final state, and against old servers that stop before it is written.
func TestStoreDoesNotRespond(t *testing.T) {
	for _, from := range []float64{0.001, 0.3, 0.6, 0.7} {
		for name, test := range map[string]struct {
			answer answer
			want   rollout.State
		}{"good": {good, rollout.Done}, "bad": {badVersions["late"], rollout.RolledBack}} {
			t.Run(fmt.Sprintf("%s, %g", name, from), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newDeployment(t, 6, duration, test.answer)
					go func() {
						d.sleepUntil(from)
						d.store.SetFaults(memory.Faults{Down: true})
						d.sleepUntil(min(0.9, from+0.3))
						d.store.SetFaults(memory.Faults{LoseAnswers: true})
					}()
					d.load(200, 1)
					d.checkState(test.want)
					if test.want == rollout.RolledBack {
						d.checkBounds()
					}
					d.stop()
				})
			})
		}
	}
}

// TestOrderIsWithdrawn guards against a version without an order that receives requests, and
// a roll-out that runs for ever.
func TestOrderIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 6, duration, good)
		go func() {
			d.sleepUntil(0.5)
			for _, hall := range d.halls {
				hall.SetOrders(nil)
			}
		}()
		d.load(200, 0.7)
		d.checkState(rollout.RolledBack)
		if late := d.lastSent.Sub(d.orderedAt.Add(duration / 2)); late > 0 {
			t.Errorf("last request to the version of a withdrawn order: got %s later, want none", late)
		}
		d.stop()
	})
}

// TestOrderIsReplaced guards against evidence and permissions of an earlier order that count
// for a new one, and against its version receiving requests.
func TestOrderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 4, duration, badVersions["at once"])
		d.load(200, 0.5)
		d.checkState(rollout.RolledBack)
		d.publish("v1", "v2", "v3")
		sent := d.lastSent
		for _, hall := range d.halls {
			hall.SetOrders([]rollout.Order{rollout.NewOrder(service, "v3", revision+1, duration)})
		}
		d.load(200, 1.48)
		d.checkState(rollout.Done)
		if d.lastSent != sent {
			t.Errorf("last request to a version that was rolled back: got %s later, want none", d.lastSent.Sub(sent))
		}
		d.stop()
	})
}

// TestHallsSeeDifferentEvidence guards against halls that decide on their own: one half sees
// a bad version and the other half a good one, and all must leave it.
func TestHallsSeeDifferentEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2, duration, func(r request) (bool, float64) { return r.isTarget() && r.hall == "hall-0" && some(0.5), 1 })
		d.load(200, 1)
		d.checkState(rollout.RolledBack)
		d.checkBounds()
		for _, member := range d.members {
			if got := d.halls[member.Name()].Select(service, "x").Excluded(); got != "v2" {
				t.Errorf("%s excludes %q after the roll-back, want v2", member.Name(), got)
			}
		}
		d.stop()
	})
}

// TestBoundHoldsForAnyNumberOfHalls guards against a bound that grows with the halls, and
// against shares of it that are too small to be of use. The bad version is noticed by nobody:
// its failures are those of the old version, so only grants bound it before the shift.
func TestBoundHoldsForAnyNumberOfHalls(t *testing.T) {
	for _, halls := range []int{4, 510} {
		t.Run(fmt.Sprint(halls), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, halls, 5*time.Second, func(request) (bool, float64) { return some(0.3), 1 })
				for portion := 0.1; portion < 0.65; portion += 0.05 {
					d.load(2000, portion)
					limit := int(bounds.ExposureShare*float64(d.requests)) + int(bounds.ExposureSlack)
					if d.exposed > limit {
						t.Errorf("requests to the target version at %.2f of the duration: got %d of %d, want at most %d", portion, d.exposed, d.requests, limit)
					}
				}
				if want := 20; d.exposed < want { // What the shift starts with.
					t.Errorf("requests to the target version: got %d of %d, want at least %d", d.exposed, d.requests, want)
				}
				t.Logf("%d of %d requests to the target version", d.exposed, d.requests)
				d.stop()
			})
		})
	}
}

// TestHallsAreCutOff guards against two owners that do not hear each other: the smaller part
// must send nothing, and the bound must hold over both.
func TestHallsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 6, duration, good)
		d.load(200, 0.3)
		cut := host.Top(service, d.members, 2)[1].Name()
		d.cutOff(cut)
		time.Sleep(time.Second)
		for number := range 200 {
			if got := d.halls[cut].Select(service, fmt.Sprint(number)).Excluded(); got != "v2" {
				t.Fatalf("hall that is cut off: got %q excluded, want v2", got)
			}
			time.Sleep(5 * time.Millisecond)
		}
		d.load(200, 0.97)
		d.checkState(rollout.Done)
		d.stop()
	})
}

// TestVersionWithoutOrder guards against requests to a version that no order allows: before
// the orders are read, before a grant, and after the roll-back.
func TestVersionWithoutOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1, duration, good)
		d.stop()
		hall := rollout.New(rollout.Options{Store: d.store, OwnName: "hall-9", Bounds: bounds, Directory: d.directory, Now: time.Now})
		if got := hall.Select(service, "x").Excluded(); got != "v2" || hall.Allowed(service, "v2") || !hall.Allowed(service, "v1") {
			t.Errorf("two versions before the orders are read: got %q excluded, want v2, the newer one", got)
		}
		d.publish("v2")
		if got := hall.Select(service, "x"); got.Excluded() != "" || got.Only() != nil {
			t.Errorf("one version before the orders are read: got %+v, want no restriction", got)
		}
	})
}
