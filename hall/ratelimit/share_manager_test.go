package ratelimit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
)

// TestSimultaneousStartConfirmsSharesQuickly starts five halls at the same moment,
// as after a power failure. Their writes to the share table conflict, and a hall
// rejects all requests until its share is confirmed, so each hall must have
// confirmed it within half a second.
func TestSimultaneousStartConfirmsSharesQuickly(t *testing.T) {
	const (
		count    = 5
		deadline = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		store.SetFaults(memory.Faults{DelayMilliseconds: 4})
		managers := make([]*ratelimit.ShareManager, count)
		for index := range managers {
			manager := ratelimit.NewShareManager(store, fmt.Sprintf("hall-%d", index), uint64(index+1), func(time.Time) bool { return true }, zap.NewNop())
			manager.SetLimiter(ratelimit.New(nil, manager.ShareValid, 0, time.Now))
			managers[index] = manager
			go func() { _ = manager.Register(ctx) }()
			go func() { _ = manager.Follow(ctx) }()
		}
		time.Sleep(deadline)
		for index, manager := range managers {
			if !manager.ShareValid(time.Now()) {
				t.Errorf("hall %d after %s: share is not confirmed, want confirmed", index, deadline)
			}
		}
	})
}

// staleStore is a store that cannot be reached directly: it answers listings
// from entries that are age old and fails all other calls that a ShareManager makes.
type staleStore struct {
	platform.Store
	entries map[string]platform.Entry
	age     time.Duration
}

func (s *staleStore) List(_ context.Context, prefix string) (platform.Listing, error) {
	listing := platform.Listing{Revision: 1, Age: s.age}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

func (s *staleStore) Watch(context.Context, string, uint64) (platform.Changes, error) {
	return platform.Changes{}, platform.NewUnavailableError("watch", false, context.DeadlineExceeded)
}

func (s *staleStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.NewUnavailableError("grant", true, context.DeadlineExceeded)
}

// TestShareOfEarlierIncarnation starts a hall while it cannot reach the store and
// only gets listings that another host has read. It may spend the share of its
// earlier incarnation only if no other hall can have taken that over.
func TestShareOfEarlierIncarnation(t *testing.T) {
	const hall = "hall-0"
	table, err := json.Marshal(limit.NewShares(limit.NewHolder(hall, 1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	shares := platform.Entry{Key: "limits/slices", Value: table, Version: 1}
	holder := platform.Entry{Key: "limits/live/" + hall, Value: []byte("1"), Version: 1}
	cases := []struct {
		name      string
		entries   []platform.Entry
		age       time.Duration
		wantValid bool
		wantParts int64
	}{
		{"holder key seen recently", []platform.Entry{shares, holder}, time.Second, true, limit.TotalParts},
		{"holder key missing, share may be taken over", []platform.Entry{shares}, time.Second, false, 0},
		{"holder key seen a lease duration ago", []platform.Entry{shares, holder}, ratelimit.LeaseDuration, false, limit.TotalParts},
		{"no entry in the share table", []platform.Entry{holder}, time.Second, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				store := &staleStore{entries: make(map[string]platform.Entry), age: c.age}
				for _, entry := range c.entries {
					store.entries[entry.Key] = entry
				}
				manager := ratelimit.NewShareManager(store, hall, 2, func(time.Time) bool { return true }, zap.NewNop())
				limiter := ratelimit.New(nil, manager.ShareValid, 0, time.Now)
				manager.SetLimiter(limiter)
				go func() { _ = manager.Follow(ctx) }()
				time.Sleep(100 * time.Millisecond)
				if got, want := manager.ShareValid(time.Now()), c.wantValid; got != want {
					t.Errorf("share valid: got %t, want %t", got, want)
				}
				if got, want := limiter.ShareParts(), c.wantParts; got != want {
					t.Errorf("parts: got %d, want %d", got, want)
				}
			})
		})
	}
}

// readOnlyStore is a store whose writes fail while readOnly is set.
type readOnlyStore struct {
	platform.Store
	readOnly atomic.Bool
}

func (s *readOnlyStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (platform.Entry, error) {
	if s.readOnly.Load() {
		return platform.Entry{}, platform.NewUnavailableError("write", true, context.DeadlineExceeded)
	}
	return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
}

// TestTakenOverShareIsNotSpent removes a hall from the share table while that hall
// can read the store but not write to it. Another hall owns the share from then
// on, so both would spend it if the first went on.
func TestTakenOverShareIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		backing := memory.New(time.Now)
		store := &readOnlyStore{Store: backing}
		manager := ratelimit.NewShareManager(store, "hall-0", 1, func(time.Time) bool { return true }, zap.NewNop())
		limiter := ratelimit.New(nil, manager.ShareValid, 0, time.Now)
		manager.SetLimiter(limiter)
		go func() { _ = manager.Register(ctx) }()
		go func() { _ = manager.Follow(ctx) }()
		time.Sleep(time.Second)
		if got, want := limiter.ShareParts(), int64(limit.TotalParts); got != want {
			t.Fatalf("parts before the takeover: got %d, want %d", got, want)
		}
		store.readOnly.Store(true)
		entry, err := backing.Get(ctx, "limits/slices")
		if err != nil {
			t.Fatal(err)
		}
		table, err := json.Marshal(limit.NewShares(limit.NewHolder("hall-1", 2, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := backing.CompareAndSwap(ctx, entry.Key, table, entry.Version, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got, want := limiter.ShareParts(), int64(0); got != want {
			t.Errorf("parts after the takeover: got %d, want %d", got, want)
		}
	})
}

// TestHallWaitsForHallsOfEarlierVersion starts a hall while one of a version with another
// share table runs. It guards against both tables standing for the whole limits.
func TestHallWaitsForHallsOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		const earlierKey = "limits/holders/hall-0"
		earlier, err := store.CompareAndSwap(ctx, earlierKey, []byte("1"), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		manager := ratelimit.NewShareManager(store, "hall-1", 2, func(time.Time) bool { return true }, zap.NewNop())
		limiter := ratelimit.New(nil, manager.ShareValid, 0, time.Now)
		manager.SetLimiter(limiter)
		go func() { _ = manager.Register(ctx) }()
		go func() { _ = manager.Follow(ctx) }()
		time.Sleep(5 * time.Second)
		if got, want := manager.ShareValid(time.Now()), false; got != want {
			t.Errorf("share valid while the earlier hall runs: got %t, want %t", got, want)
		}
		if err := store.Delete(ctx, earlierKey, earlier.Version); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got, want := limiter.ShareParts(), int64(limit.TotalParts); got != want {
			t.Errorf("parts after the earlier hall has stopped: got %d, want %d", got, want)
		}
	})
}

// TestLeaveKeepsShareOfNewerIncarnation guards against a hall that gives away, as it stops,
// the share that its successor already spends: the two would count twice.
func TestLeaveKeepsShareOfNewerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		start := func(hall string, incarnation uint64) (*ratelimit.ShareManager, *ratelimit.Limiter) {
			manager := ratelimit.NewShareManager(store, hall, incarnation, func(time.Time) bool { return true }, zap.NewNop())
			limiter := ratelimit.New(nil, manager.ShareValid, 0, time.Now)
			manager.SetLimiter(limiter)
			go func() { _ = manager.Register(ctx) }()
			go func() { _ = manager.Follow(ctx) }()
			time.Sleep(5 * time.Second)
			return manager, limiter
		}
		stopping, _ := start("hall-0", 1)
		start("hall-1", 1)
		_, successor := start("hall-0", 2)
		want := successor.ShareParts()
		if want == 0 {
			t.Fatal("share of the successor: got none, want a part")
		}
		if err := stopping.Leave(ctx); err != nil {
			t.Errorf("leave: got %v, want no error", err)
		}
		for range 100 {
			time.Sleep(time.Millisecond)
			if got := successor.ShareParts(); got != want {
				t.Fatalf("share of the successor after its predecessor has left: got %d parts, want %d", got, want)
			}
		}
	})
}
