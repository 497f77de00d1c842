// Package contract is the test that every Store plug-in must pass.
//
// # Usage
//
//	func TestContract(t *testing.T) {
//		contract.Check(t, func(t *testing.T) (platform.Store, contract.Control) { … })
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

const leaseLength = 2 * time.Second

// Control switches the faults of the service behind the plug-in.
type Control interface {
	SetFaults(faults memory.Faults)
}

// Open returns an empty store for one case.
type Open func(t *testing.T) (platform.Store, Control)

// Check runs all cases, each under a fake clock: they sleep to let leases lapse.
func Check(t *testing.T, open Open) {
	t.Helper()
	cases := []struct {
		name string
		run  func(t *testing.T, store platform.Store, control Control)
	}{
		{"compare and swap", checkSwap},
		{"list by prefix", checkList},
		{"delete", checkDelete},
		{"lease lapses", checkLapse},
		{"lease kept alive", checkKeepAlive},
		{"lease revoked", checkRevoke},
		{"watch", checkWatch},
		{"watch gap", checkGap},
		{"answer lost after the effect", checkLostAnswer},
		{"down", checkDown},
		{"slow", checkSlow},
		{"two writers", checkTwoWriters},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, control := open(t)
				c.run(t, store, control)
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
	lease, err := store.Grant(t.Context(), leaseLength)
	if err != nil {
		t.Fatalf("grant: %v", err)
	}
	return lease
}

func wantMissing(t *testing.T, store platform.Store, key string) {
	t.Helper()
	if _, err := store.Get(t.Context(), key); !platform.IsNotFound(err) {
		t.Errorf("get %s: got %v, want a NotFoundError", key, err)
	}
}

func checkSwap(t *testing.T, store platform.Store, _ Control) {
	wantMissing(t, store, "a/b c")
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
	read, err := store.Get(t.Context(), "a/b c")
	if err != nil || string(read.Value) != "2" || read.Version != second.Version {
		t.Errorf("get: got %q at %d, %v, want 2 at %d", read.Value, read.Version, err, second.Version)
	}
}

func checkList(t *testing.T, store platform.Store, _ Control) {
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
	if got, least := listing.Revision, last.Version; got < least {
		t.Errorf("revision: got %d, want at least %d", got, least)
	}
}

func checkDelete(t *testing.T, store platform.Store, _ Control) {
	entry := put(t, store, "d", "1", 0, 0)
	if err := store.Delete(t.Context(), "d", entry.Version+1); !platform.IsConflict(err) {
		t.Errorf("delete at another version: got %v, want a ConflictError", err)
	}
	if err := store.Delete(t.Context(), "d", entry.Version); err != nil {
		t.Errorf("delete: got %v, want none", err)
	}
	wantMissing(t, store, "d")
}

func checkLapse(t *testing.T, store platform.Store, _ Control) {
	lease := grant(t, store)
	put(t, store, "l", "1", 0, lease)
	time.Sleep(2 * leaseLength) // As a holder does that is paused.
	wantMissing(t, store, "l")
	var lost *platform.LeaseLostError
	if err := store.KeepAlive(t.Context(), lease); !errors.As(err, &lost) {
		t.Errorf("keep alive after the lapse: got %v, want a LeaseLostError", err)
	}
	if _, err := store.CompareAndSwap(t.Context(), "l2", nil, 0, lease); !errors.As(err, &lost) {
		t.Errorf("write under the lapsed lease: got %v, want a LeaseLostError", err)
	}
}

func checkKeepAlive(t *testing.T, store platform.Store, _ Control) {
	lease := grant(t, store)
	put(t, store, "k", "1", 0, lease)
	for range 6 {
		time.Sleep(leaseLength / 2)
		if err := store.KeepAlive(t.Context(), lease); err != nil {
			t.Fatalf("keep alive: %v", err)
		}
	}
	if _, err := store.Get(t.Context(), "k"); err != nil {
		t.Errorf("get under a live lease: got %v, want the key", err)
	}
}

func checkRevoke(t *testing.T, store platform.Store, _ Control) {
	lease := grant(t, store)
	put(t, store, "r", "1", 0, lease)
	if err := store.Revoke(t.Context(), lease); err != nil {
		t.Errorf("revoke: got %v, want none", err)
	}
	wantMissing(t, store, "r")
}

func checkWatch(t *testing.T, store platform.Store, _ Control) {
	first := put(t, store, "w/1", "1", 0, 0)
	go func() {
		time.Sleep(leaseLength / 4)
		_, _ = store.CompareAndSwap(context.WithoutCancel(t.Context()), "w/1", []byte("2"), first.Version, 0)
	}()
	changes, err := store.Watch(t.Context(), "w/", first.Version)
	if err != nil || len(changes.Events) != 1 || string(changes.Events[0].Entry.Value) != "2" {
		t.Fatalf("watch: got %v, %v, want the second value", changes, err)
	}
	again, err := store.Watch(t.Context(), "w/", changes.Revision)
	if err != nil || len(again.Events) != 0 {
		t.Errorf("watch without changes: got %v, %v, want an empty answer", again, err)
	}
	if err := store.Delete(t.Context(), "w/1", changes.Events[0].Entry.Version); err != nil {
		t.Fatal(err)
	}
	gone, err := store.Watch(t.Context(), "w/", changes.Revision)
	if err != nil || len(gone.Events) != 1 || !gone.Events[0].Deleted {
		t.Errorf("watch of a deletion: got %v, %v, want one deletion", gone, err)
	}
}

func checkGap(t *testing.T, store platform.Store, control Control) {
	control.SetFaults(memory.Faults{Gap: true})
	var gap *platform.GapError
	if _, err := store.Watch(t.Context(), "w/", 1); !errors.As(err, &gap) {
		t.Errorf("watch from a position not kept: got %v, want a GapError", err)
	}
}

func checkLostAnswer(t *testing.T, store platform.Store, control Control) {
	control.SetFaults(memory.Faults{LoseAnswers: true})
	var unavailable *platform.UnavailableError
	_, err := store.CompareAndSwap(t.Context(), "x", []byte("1"), 0, 0)
	if !errors.As(err, &unavailable) || !unavailable.EffectUnknown() {
		t.Errorf("write: got %v, want an UnavailableError with unknown effect", err)
	}
	control.SetFaults(memory.Faults{})
	if read, err := store.Get(t.Context(), "x"); err != nil || string(read.Value) != "1" {
		t.Errorf("get: got %q, %v, want the value that was written", read.Value, err)
	}
}

func checkDown(t *testing.T, store platform.Store, control Control) {
	control.SetFaults(memory.Faults{Down: true})
	var unavailable *platform.UnavailableError
	if _, err := store.Get(t.Context(), "x"); !errors.As(err, &unavailable) || unavailable.EffectUnknown() {
		t.Errorf("get: got %v, want an UnavailableError", err)
	}
	if _, err := store.Watch(t.Context(), "x", 0); !errors.As(err, &unavailable) {
		t.Errorf("watch: got %v, want an UnavailableError", err)
	}
	control.SetFaults(memory.Faults{})
	wantMissing(t, store, "x")
}

func checkSlow(t *testing.T, store platform.Store, control Control) {
	control.SetFaults(memory.Faults{DelayMilliseconds: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	began := time.Now()
	var unavailable *platform.UnavailableError
	if _, err := store.Get(ctx, "x"); !errors.As(err, &unavailable) {
		t.Errorf("get: got %v, want an UnavailableError", err)
	}
	if got, most := time.Since(began), 2*time.Second; got > most {
		t.Errorf("get returned after %s, want at most %s", got, most)
	}
}

func checkTwoWriters(t *testing.T, store platform.Store, _ Control) {
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
		t.Errorf("conflicts of two writers: got %d, want %d", got, want)
	}
}
