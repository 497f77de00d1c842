// Package contract holds the tests that every implementation of platform.Store must
// pass.
//
// # Usage
//
//	func TestContract(t *testing.T) {
//		contract.Check(t, func(t *testing.T) (platform.Store, contract.FaultInjector) { … })
//	}
package contract

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
)

const leaseTTL = 2 * time.Second

// FaultInjector injects faults into the service that the store under test connects to.
type FaultInjector interface {
	SetFaults(faults memory.Faults)
}

// StoreFactory returns an empty store for a test case.
type StoreFactory func(t *testing.T) (platform.Store, FaultInjector)

// Check runs all test cases, each in a synctest bubble: they sleep until leases
// expire, which takes no real time there.
func Check(t *testing.T, newStore StoreFactory) {
	t.Helper()
	tests := []struct {
		name string
		run  func(t *testing.T, store platform.Store, injector FaultInjector)
	}{
		{"compare and swap", checkCompareAndSwap},
		{"list by prefix", checkList},
		{"delete", checkDelete},
		{"lease expires", checkLeaseExpiry},
		{"lease kept alive", checkLeaseKeepAlive},
		{"lease revoked", checkLeaseRevocation},
		{"watch", checkWatch},
		{"watch gap", checkWatchGap},
		{"response lost after the write", checkLostResponse},
		{"down", checkUnavailable},
		{"slow", checkSlowResponse},
		{"concurrent writers", checkConcurrentWriters},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, injector := newStore(t)
				tt.run(t, store, injector)
			})
		})
	}
}

func put(t *testing.T, store platform.Store, key, value string, expected uint64, lease platform.LeaseID) platform.Entry {
	t.Helper()
	entry, err := store.CompareAndSwap(t.Context(), key, []byte(value), expected, lease)
	if err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
	return entry
}

func grant(t *testing.T, store platform.Store) platform.LeaseID {
	t.Helper()
	lease, err := store.Grant(t.Context(), leaseTTL)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	return lease
}

func checkMissing(t *testing.T, store platform.Store, key string) {
	t.Helper()
	if _, err := store.Get(t.Context(), key); !platform.IsNotFound(err) {
		t.Errorf("get %s: got %v, want a NotFoundError", key, err)
	}
}

func checkCompareAndSwap(t *testing.T, store platform.Store, _ FaultInjector) {
	checkMissing(t, store, "a/b c")
	first := put(t, store, "a/b c", "1", 0, 0)
	second := put(t, store, "a/b c", "2", first.Version, 0)
	if second.Version <= first.Version {
		t.Errorf("version: got %d after %d, want a higher one", second.Version, first.Version)
	}
	for _, expected := range []uint64{0, first.Version, second.Version + 1} {
		if _, err := store.CompareAndSwap(t.Context(), "a/b c", []byte("3"), expected, 0); !platform.IsConflict(err) {
			t.Errorf("write at version %d: got %v, want a ConflictError", expected, err)
		}
	}
	entry, err := store.Get(t.Context(), "a/b c")
	if err != nil || string(entry.Value) != "2" || entry.Version != second.Version {
		t.Errorf("get: got %q at %d, %v, want 2 at %d", entry.Value, entry.Version, err, second.Version)
	}
}

func checkList(t *testing.T, store platform.Store, _ FaultInjector) {
	put(t, store, "p/2", "two", 0, 0)
	put(t, store, "p/1", "one", 0, 0)
	last := put(t, store, "q/1", "other", 0, 0)
	listing, err := store.List(t.Context(), "p/")
	if err != nil {
		t.Fatal(err)
	}
	if len(listing.Entries) != 2 || listing.Entries[0].Key != "p/1" || string(listing.Entries[1].Value) != "two" {
		t.Errorf("list: got %v, want p/1 and p/2", listing.Entries)
	}
	if got, minimum := listing.Revision, last.Version; got < minimum {
		t.Errorf("revision: got %d, want at least %d", got, minimum)
	}
}

func checkDelete(t *testing.T, store platform.Store, _ FaultInjector) {
	entry := put(t, store, "d", "1", 0, 0)
	if err := store.Delete(t.Context(), "d", entry.Version+1); !platform.IsConflict(err) {
		t.Errorf("delete at another version: got %v, want a ConflictError", err)
	}
	if err := store.Delete(t.Context(), "d", entry.Version); err != nil {
		t.Errorf("delete: got %v, want none", err)
	}
	checkMissing(t, store, "d")
}

func checkLeaseExpiry(t *testing.T, store platform.Store, _ FaultInjector) {
	lease := grant(t, store)
	put(t, store, "l", "1", 0, lease)
	time.Sleep(2 * leaseTTL) // Simulates a lease holder that is paused.
	checkMissing(t, store, "l")
	var lost *platform.LeaseLostError
	if err := store.KeepAlive(t.Context(), lease); !errors.As(err, &lost) {
		t.Errorf("keep alive after expiry: got %v, want a LeaseLostError", err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "l2", nil, 0, lease); !errors.As(err, &lost) {
		t.Errorf("write with an expired lease: got %v, want a LeaseLostError", err)
	}
}

func checkLeaseKeepAlive(t *testing.T, store platform.Store, _ FaultInjector) {
	lease := grant(t, store)
	put(t, store, "k", "1", 0, lease)
	for range 6 {
		time.Sleep(leaseTTL / 2)
		if err := store.KeepAlive(t.Context(), lease); err != nil {
			t.Fatalf("keep alive: %v", err)
		}
	}
	if _, err := store.Get(t.Context(), "k"); err != nil {
		t.Errorf("get with a live lease: got %v, want the key", err)
	}
}

func checkLeaseRevocation(t *testing.T, store platform.Store, _ FaultInjector) {
	lease := grant(t, store)
	put(t, store, "r", "1", 0, lease)
	if err := store.Revoke(t.Context(), lease); err != nil {
		t.Errorf("revoke: got %v, want none", err)
	}
	checkMissing(t, store, "r")
}

func checkWatch(t *testing.T, store platform.Store, _ FaultInjector) {
	first := put(t, store, "w/1", "1", 0, 0)
	go func() {
		time.Sleep(leaseTTL / 4)
		_, _ = store.CompareAndSwap(context.WithoutCancel(t.Context()), "w/1", []byte("2"), first.Version, 0)
	}()
	changes, err := store.Watch(t.Context(), "w/", first.Version)
	if err != nil || len(changes.Events) != 1 || string(changes.Events[0].Entry.Value) != "2" {
		t.Fatalf("watch: got %v, %v, want the second value", changes, err)
	}
	unchanged, err := store.Watch(t.Context(), "w/", changes.Revision)
	if err != nil || len(unchanged.Events) != 0 {
		t.Errorf("watch without changes: got %v, %v, want no events", unchanged, err)
	}
	if err := store.Delete(t.Context(), "w/1", changes.Events[0].Entry.Version); err != nil {
		t.Fatal(err)
	}
	deletion, err := store.Watch(t.Context(), "w/", changes.Revision)
	if err != nil || len(deletion.Events) != 1 || !deletion.Events[0].Deleted {
		t.Errorf("watch of a deletion: got %v, %v, want one deletion", deletion, err)
	}
}

func checkWatchGap(t *testing.T, store platform.Store, injector FaultInjector) {
	injector.SetFaults(memory.Faults{Gap: true})
	var gap *platform.GapError
	if _, err := store.Watch(t.Context(), "w/", 1); !errors.As(err, &gap) {
		t.Errorf("watch from an unavailable revision: got %v, want a GapError", err)
	}
}

func checkLostResponse(t *testing.T, store platform.Store, injector FaultInjector) {
	injector.SetFaults(memory.Faults{LoseAnswers: true})
	var unavailable *platform.UnavailableError
	_, err := store.CompareAndSwap(t.Context(), "x", []byte("1"), 0, 0)
	if !errors.As(err, &unavailable) || !unavailable.EffectUnknown() {
		t.Errorf("write: got %v, want an UnavailableError with unknown effect", err)
	}
	injector.SetFaults(memory.Faults{})
	if read, err := store.Get(t.Context(), "x"); err != nil || string(read.Value) != "1" {
		t.Errorf("get: got %q, %v, want the value that was written", read.Value, err)
	}
}

func checkUnavailable(t *testing.T, store platform.Store, injector FaultInjector) {
	injector.SetFaults(memory.Faults{Down: true})
	var unavailable *platform.UnavailableError
	if _, err := store.Get(t.Context(), "x"); !errors.As(err, &unavailable) || unavailable.EffectUnknown() {
		t.Errorf("get: got %v, want an UnavailableError", err)
	}
	if _, err := store.Watch(t.Context(), "x", 0); !errors.As(err, &unavailable) {
		t.Errorf("watch: got %v, want an UnavailableError", err)
	}
	injector.SetFaults(memory.Faults{})
	checkMissing(t, store, "x")
}

func checkSlowResponse(t *testing.T, store platform.Store, injector FaultInjector) {
	injector.SetFaults(memory.Faults{DelayMilliseconds: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	start := time.Now()
	var unavailable *platform.UnavailableError
	if _, err := store.Get(ctx, "x"); !errors.As(err, &unavailable) {
		t.Errorf("get: got %v, want an UnavailableError", err)
	}
	if got, limit := time.Since(start), 2*time.Second; got > limit {
		t.Errorf("get returned after %s, want at most %s", got, limit)
	}
}

func checkConcurrentWriters(t *testing.T, store platform.Store, _ FaultInjector) {
	first := put(t, store, "two", "0", 0, 0)
	results := make(chan error, 2)
	for _, value := range []string{"a", "b"} {
		go func() {
			_, err := store.CompareAndSwap(context.WithoutCancel(t.Context()), "two", []byte(value), first.Version, 0)
			results <- err
		}()
	}
	conflicts := 0
	for range 2 {
		if err := <-results; platform.IsConflict(err) {
			conflicts++
		}
	}
	if got, want := conflicts, 1; got != want {
		t.Errorf("conflicts of concurrent writers: got %d, want %d", got, want)
	}
}
