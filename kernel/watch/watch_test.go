package watch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/contract"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/watch"
)

const applyPeriod = 2 * time.Second

func newStore(direct platform.Store) *watch.Store {
	return watch.New(direct, watch.Options{ApplyPeriod: applyPeriod, Pause: applyPeriod / 4}, zap.NewNop())
}

// TestContract checks that a store with a shared watch passes the tests for all stores.
func TestContract(t *testing.T) {
	contract.Check(t, func(t *testing.T) (platform.Store, contract.FaultInjector) {
		service := memory.New(time.Now)
		store := newStore(service)
		t.Cleanup(store.Close)
		return store, service
	})
}

// listCounter counts the listings of a store.
type listCounter struct {
	platform.Store
	lists atomic.Int64
}

func (c *listCounter) List(ctx context.Context, prefix string) (platform.Listing, error) {
	c.lists.Add(1)
	return c.Store.List(ctx, prefix)
}

// recorder is a subscriber that records when it learned of a key.
type recorder struct {
	mutex    sync.Mutex
	learned  map[string]time.Time
	replaced int
}

func (r *recorder) Replace(_ context.Context, listing platform.Listing) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replaced++
	for _, entry := range listing.Entries {
		r.learn(entry.Key)
	}
	return nil
}

func (r *recorder) Apply(_ context.Context, changes platform.Changes) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range changes.Events {
		r.learn(event.Entry.Key)
	}
	return nil
}

func (r *recorder) Failed(error) {}

func (r *recorder) learn(key string) {
	if _, known := r.learned[key]; !known {
		r.learned[key] = time.Now()
	}
}

// learnedAt returns when the subscriber learned of a key, and how often it listed its
// prefix.
func (r *recorder) learnedAt(key string) (at time.Time, replaced int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.learned[key], r.replaced
}

func write(t *testing.T, service *memory.Store, key string) {
	t.Helper()
	if _, err := service.CompareAndSwap(t.Context(), key, nil, 0, 0); err != nil {
		t.Fatal(err)
	}
}

// TestChangeDuringSilenceArrivesInTime guards against processes that learned of a change
// only when their watch timed out. The service holds back the watches of 5, 40 and 510
// processes and then drops its history. All must learn of a change within the apply
// period, and the calls of each must not grow with their number.
func TestChangeDuringSilenceArrivesInTime(t *testing.T) {
	const (
		quiet = 20 * time.Second
		// One check in half of the apply period, and one watch call in the two seconds that
		// the service holds it.
		maxCallRate = 1.0 + 0.5
		prefixes    = 8
		// The check, the watch call made again twice, and a listing of each prefix.
		maxCallsToRecover = 4 + 2*prefixes
	)
	for _, processes := range []int{5, 40, 510} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				service := memory.New(time.Now)
				var recorders []*recorder
				for range processes {
					store := newStore(service)
					defer store.Close()
					for prefix := range prefixes {
						r := &recorder{learned: make(map[string]time.Time)}
						recorders = append(recorders, r)
						go func() { _ = platform.Follow(ctx, store, fmt.Sprintf("p%d/", prefix), r) }()
					}
				}
				time.Sleep(3 * time.Second)
				before := service.Calls()
				time.Sleep(quiet)
				if got, maximum := float64(service.Calls()-before)/quiet.Seconds()/float64(processes), maxCallRate; got > maximum {
					t.Errorf("calls a second of each process: got %.2f, want at most %.2f", got, maximum)
				}
				service.SetFaults(memory.Faults{SilentWatches: true})
				time.Sleep(400 * time.Millisecond)
				written, before := time.Now(), service.Calls()
				write(t, service, "p0/key")
				time.Sleep(600 * time.Millisecond)
				service.SetFaults(memory.Faults{})
				service.DropHistory()
				time.Sleep(applyPeriod - 600*time.Millisecond)
				if got, maximum := (service.Calls()-before)/int64(processes), int64(maxCallsToRecover); got > maximum {
					t.Errorf("calls of each process to learn of the change: got %d, want at most %d", got, maximum)
				}
				for index := 0; index < len(recorders); index += prefixes {
					at, _ := recorders[index].learnedAt("p0/key")
					if got, maximum := at.Sub(written), applyPeriod; at.IsZero() || got > maximum {
						t.Fatalf("process %d learned of the change after %s, want at most %s", index/prefixes, got, maximum)
					}
				}
				cancel()
			})
		})
	}
}

// TestSilentConnectionIsReplaced guards against a listing of all prefixes where a new
// watch call is enough: only the connection of the watch is silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := memory.New(time.Now)
		store := newStore(service)
		defer store.Close()
		r := &recorder{learned: make(map[string]time.Time)}
		go func() { _ = platform.Follow(ctx, store, "p/", r) }()
		time.Sleep(time.Second)
		service.SetFaults(memory.Faults{SilentWatches: true})
		synctest.Wait()
		service.SetFaults(memory.Faults{})
		written := time.Now()
		write(t, service, "p/key")
		time.Sleep(applyPeriod)
		at, replaced := r.learnedAt("p/key")
		if got, maximum := at.Sub(written), applyPeriod; at.IsZero() || got > maximum {
			t.Errorf("learned of the change after %s, want at most %s", got, maximum)
		}
		if got, want := replaced, 1; got != want {
			t.Errorf("listings: got %d, want %d", got, want)
		}
		if got, want := store.Outcomes()[watch.Behind], int64(1); got != want {
			t.Errorf("calls made again: got %d, want %d", got, want)
		}
		cancel()
	})
}

// TestBusyServiceIsNotChecked guards against billed calls that nobody needs: a watch that
// is answered all the time needs no check.
func TestBusyServiceIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		service := memory.New(time.Now)
		counter := &listCounter{Store: service}
		store := newStore(counter)
		defer store.Close()
		r := &recorder{learned: make(map[string]time.Time)}
		go func() { _ = platform.Follow(ctx, store, "p/", r) }()
		for number := range 100 {
			write(t, service, fmt.Sprintf("other/%d", number))
			time.Sleep(applyPeriod / 4)
		}
		if got, want := counter.lists.Load(), int64(1); got != want {
			t.Errorf("listings: got %d, want %d, that of the subscriber", got, want)
		}
		cancel()
	})
}

// TestUnansweredCheckEndsWatch guards against subscribers that take the silence of a
// service that answers nothing at all for "no changes".
func TestUnansweredCheckEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(time.Now)
		write(t, service, "p/key")
		store := newStore(service)
		defer store.Close()
		listing, err := store.List(t.Context(), "p/")
		if err != nil {
			t.Fatal(err)
		}
		service.SetFaults(memory.Faults{SilentWatches: true, DelayMilliseconds: 60_000})
		started := time.Now()
		_, err = store.Watch(t.Context(), "p/", listing.Revision)
		var unavailable *platform.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Errorf("watch: got %v, want an UnavailableError", err)
		}
		if got, maximum := time.Since(started), applyPeriod+applyPeriod/8; got > maximum {
			t.Errorf("watch returned after %s, want at most %s", got, maximum)
		}
	})
}

// panickingStore panics at the first watch call, as a fault of a client would.
type panickingStore struct {
	platform.Store
	panicked atomic.Bool
}

func (p *panickingStore) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if !p.panicked.Swap(true) {
		panic("malformed answer")
	}
	return p.Store.Watch(ctx, prefix, after)
}

// TestPanicOfWatchCall guards against processes that end, or hear of no more changes, because
// a watch call panics.
func TestPanicOfWatchCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(time.Now)
		store := newStore(&panickingStore{Store: service})
		defer store.Close()
		subscriber := &recorder{learned: make(map[string]time.Time)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = platform.Follow(ctx, store, "engines/", subscriber) }() // Ends with the context.
		time.Sleep(applyPeriod)
		if _, err := service.CompareAndSwap(ctx, "engines/a", []byte("1"), 0, 0); err != nil {
			t.Fatalf("write: %v", err)
		}
		time.Sleep(applyPeriod)
		subscriber.mutex.Lock()
		defer subscriber.mutex.Unlock()
		if _, known := subscriber.learned["engines/a"]; !known {
			t.Error("change after a watch call that panicked: got unknown, want known")
		}
	})
}

// TestMemoryOfBufferedEventsIsBounded guards against processes whose memory grows with each
// change of a large value. A subscriber that lags behind lists its prefix instead.
func TestMemoryOfBufferedEventsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(time.Now)
		store := newStore(service)
		defer store.Close()
		value := make([]byte, 700<<10)
		version := uint64(0)
		put := func() {
			t.Helper()
			value = append([]byte{byte(version)}, value[1:]...)
			entry, err := service.CompareAndSwap(t.Context(), "tables/large", value, version, 0)
			if err != nil {
				t.Fatal(err)
			}
			version = entry.Version
		}
		put()
		first := version
		watched := func(after uint64) (platform.Changes, error) {
			t.Helper()
			return store.Watch(t.Context(), "tables/", after)
		}
		idle := make(chan error, 1)
		go func() {
			_, err := store.Watch(t.Context(), "hosts/", first)
			idle <- err
		}()
		for after := first; ; {
			put()
			changes, err := watched(after)
			if err != nil || len(changes.Events) != 1 || changes.Revision != version {
				t.Fatalf("change at %d: got %d events at %d, %v, want it", version, len(changes.Events), changes.Revision, err)
			}
			after = changes.Revision
			if version == first+4 {
				break
			}
		}
		if err := <-idle; err != nil {
			t.Errorf("subscriber of a prefix without changes: got error %v, want none", err)
		}
		var gap *platform.GapError
		if changes, err := watched(first); !errors.As(err, &gap) {
			t.Errorf("subscriber that lags behind: got %d events, %v, want a GapError", len(changes.Events), err)
		}
	})
}
