package allowance_test

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

	"limpethall.dev/hall/allowance"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/platform"
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

// recalledStore answers listings with what it held so long ago, and nothing else.
type recalledStore struct {
	platform.Store
	held map[string]platform.Entry
	age  time.Duration
}

func (s *recalledStore) List(_ context.Context, prefix string) (platform.Listing, error) {
	listing := platform.Listing{Revision: 1, Age: s.age}
	for key, entry := range s.held {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

func (s *recalledStore) Watch(context.Context, string, uint64) (platform.Changes, error) {
	return platform.Changes{}, platform.NewUnavailableError("watch", false, context.DeadlineExceeded)
}

func (s *recalledStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.NewUnavailableError("grant", true, context.DeadlineExceeded)
}

// TestShareOfTheEarlierIncarnation starts a hall while the service is away, with
// a table that another host has read.
func TestShareOfTheEarlierIncarnation(t *testing.T) {
	const hall = "hall-0"
	table, err := json.Marshal(limit.NewShares(hall, 1))
	if err != nil {
		t.Fatal(err)
	}
	shares := platform.Entry{Key: "limits/shares", Value: table, Version: 1}
	holder := platform.Entry{Key: "limits/holders/" + hall, Value: []byte("1"), Version: 1}
	cases := []struct {
		name      string
		held      []platform.Entry
		age       time.Duration
		wantSoon  bool
		wantParts int64
	}{
		{"its key was there just now", []platform.Entry{shares, holder}, time.Second, true, limit.WholeParts},
		{"its key is gone, so that the share may be another's", []platform.Entry{shares}, time.Second, false, 0},
		{"its key was there a tenure ago", []platform.Entry{shares, holder}, allowance.TenureLength, false, limit.WholeParts},
		{"it has no entry in the table", []platform.Entry{holder}, time.Second, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				store := &recalledStore{held: make(map[string]platform.Entry), age: c.age}
				for _, entry := range c.held {
					store.held[entry.Key] = entry
				}
				keeper := allowance.NewKeeper(store, hall, 2, func(time.Time) bool { return true }, zap.NewNop())
				spending := allowance.New(nil, keeper.Valid, 0, time.Now)
				keeper.Bind(spending)
				go func() { _ = keeper.Follow(ctx) }()
				time.Sleep(100 * time.Millisecond)
				if got, want := keeper.Valid(time.Now()), c.wantSoon; got != want {
					t.Errorf("may spend: got %t, want %t", got, want)
				}
				if got, want := spending.Parts(), c.wantParts; got != want {
					t.Errorf("parts: got %d, want %d", got, want)
				}
			})
		})
	}
}

// lateStore takes no writes while it is stuck; reads go on.
type lateStore struct {
	platform.Store
	stuck atomic.Bool
}

func (s *lateStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (platform.Entry, error) {
	if s.stuck.Load() {
		return platform.Entry{}, platform.NewUnavailableError("write", true, context.DeadlineExceeded)
	}
	return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
}

// TestShareThatWasTakenOverIsNotSpent takes a hall off the table while it can read
// and not write. What it had is another's from then on.
func TestShareThatWasTakenOverIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		held := memory.New(time.Now)
		store := &lateStore{Store: held}
		keeper := allowance.NewKeeper(store, "hall-0", 1, func(time.Time) bool { return true }, zap.NewNop())
		spending := allowance.New(nil, keeper.Valid, 0, time.Now)
		keeper.Bind(spending)
		go func() { _ = keeper.Register(ctx) }()
		go func() { _ = keeper.Follow(ctx) }()
		time.Sleep(time.Second)
		if got, want := spending.Parts(), int64(limit.WholeParts); got != want {
			t.Fatalf("parts at first: got %d, want %d", got, want)
		}
		store.stuck.Store(true)
		entry, err := held.Get(ctx, "limits/shares")
		if err != nil {
			t.Fatal(err)
		}
		table, err := json.Marshal(limit.NewShares("hall-1", 2))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := held.CompareAndSwap(ctx, entry.Key, table, entry.Version, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got, want := spending.Parts(), int64(0); got != want {
			t.Errorf("parts after another hall has them: got %d, want %d", got, want)
		}
	})
}
