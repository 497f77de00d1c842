package revision_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/revision"
	"limpethall.dev/kernel/watch"
)

const (
	applyPeriod = 2 * time.Second
	longPoll    = 15 * time.Second
)

var errRefused = errors.New("refused")

// process is a hall with a connection of its own to the service. It subscribes to one prefix.
type process struct {
	*memory.Store
	hall    host.Member
	store   *watch.Store
	readers *revision.Readers
	handler http.Handler

	silent  atomic.Bool // Watches are not answered.
	hanging atomic.Bool // No call to the service is answered.
	refused atomic.Bool // Calls to the service are refused, but for watches that wait already.
	gone    atomic.Bool // Calls of other processes are not answered.
	reads   atomic.Int64

	mutex           sync.Mutex
	learned, failed time.Time
}

// List implements platform.Store.
func (p *process) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if prefix == "revision/" {
		p.reads.Add(1)
	}
	if err := p.fault(ctx); err != nil {
		return platform.Listing{}, err
	}
	return p.Store.List(ctx, prefix)
}

// Watch implements platform.Store. The service holds it for longPoll.
func (p *process) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if err := p.fault(ctx); err != nil {
		return platform.Changes{}, err
	}
	for started := time.Now(); ; {
		changes, err := p.Store.Watch(ctx, prefix, after)
		if p.silent.Load() {
			<-ctx.Done()
			return platform.Changes{}, platform.NewUnavailableError("watch", false, ctx.Err())
		}
		if err != nil || len(changes.Events) > 0 || time.Since(started) >= longPoll {
			return changes, err
		}
	}
}

func (p *process) fault(ctx context.Context) error {
	if p.hanging.Load() {
		<-ctx.Done()
		return platform.NewUnavailableError("call", false, ctx.Err())
	}
	if p.refused.Load() {
		return platform.NewUnavailableError("call", false, errRefused)
	}
	return nil
}

// Replace implements platform.Subscriber.
func (p *process) Replace(_ context.Context, listing platform.Listing) error {
	if len(listing.Entries) > 0 {
		p.learn()
	}
	return nil
}

// Apply implements platform.Subscriber.
func (p *process) Apply(_ context.Context, changes platform.Changes) error {
	if len(changes.Events) > 0 {
		p.learn()
	}
	return nil
}

func (p *process) learn() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.learned.IsZero() {
		p.learned = time.Now()
	}
}

// Failed implements platform.Subscriber.
func (p *process) Failed(error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failed = time.Now()
}

// noticed returns when the process learned of the change or that its state may be old.
func (p *process) noticed() time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.learned.IsZero() {
		return p.failed
	}
	return p.learned
}

// processes are halls that call each other by address.
type processes []*process

// RoundTrip implements http.RoundTripper.
func (all processes) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, p := range all {
		if p.hall.Address() != request.URL.Host {
			continue
		}
		if p.gone.Load() {
			<-request.Context().Done()
			return nil, request.Context().Err()
		}
		recorder := httptest.NewRecorder()
		p.handler.ServeHTTP(recorder, request)
		return recorder.Result(), nil
	}
	return nil, errRefused
}

// start starts processes, a number of them in each zone.
func start(t *testing.T, service *memory.Store, zones []string, inZone int) processes {
	t.Helper()
	var all processes
	var halls []host.Member
	client := revision.NewClient(&http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) { return all.RoundTrip(r) })})
	for _, zone := range zones {
		for number := range inZone {
			name := fmt.Sprintf("%s-%d", zone, number)
			p := &process{Store: service, hall: host.NewHall(name, zone, name+":1", 1)}
			p.store = watch.New(p, watch.Options{ApplyPeriod: applyPeriod, Pause: applyPeriod / 4}, zap.NewNop())
			p.readers = revision.New(revision.Options{Kind: host.KindHall, Name: name, Zone: zone, Halls: func() []host.Member { return halls }, Client: client})
			p.store.SetReader(p.readers.Find)
			p.handler = recipient.Handler(host.KindHall, name, revision.NewServer(p.store))
			all, halls = append(all, p), append(halls, p.hall)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, p := range all {
		go func() { _ = platform.Follow(ctx, p.store, "p/", p) }() // Ends with the context.
	}
	t.Cleanup(func() {
		cancel()
		for _, p := range all {
			p.store.Close()
		}
		synctest.Wait()
	})
	time.Sleep(3 * applyPeriod)
	return all
}

type roundTripper func(*http.Request) (*http.Response, error)

func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// reader returns the process that reads the revision for the others, which follow.
func (all processes) reader() (reader *process, others []*process) {
	for _, p := range all {
		if _, found := p.readers.Find(); found {
			others = append(others, p)
		} else {
			reader = p
		}
	}
	return reader, others
}

// TestOnlyReadersReadWhileNothingChanges guards against a billed read of each process in half
// of the apply period, which was most of the calls of a calm day.
func TestOnlyReadersReadWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet = 40 * time.Second
		all := start(t, memory.New(time.Now), []string{"a", "b"}, 4)
		before := make(map[*process]int64)
		for _, p := range all {
			before[p] = p.reads.Load()
		}
		time.Sleep(quiet)
		for _, p := range all {
			maximum := int64(0)
			if _, found := p.readers.Find(); !found {
				maximum = int64(quiet/(applyPeriod*4/10)) + 1
			}
			if got := p.reads.Load() - before[p]; got > maximum {
				t.Errorf("reads of %s: got %d, want at most %d", p.hall.Name(), got, maximum)
			}
			if got := p.store.Age(); got > applyPeriod*6/10 {
				t.Errorf("age of the state of %s: got %s, want it confirmed", p.hall.Name(), got)
			}
		}
	})
}

// TestChangeArrivesInTime guards against changes that arrive after the apply period because a
// process relies on the reader. The watches of all others are silent in each case.
func TestChangeArrivesInTime(t *testing.T) {
	for name, inject := range map[string]func(reader *process, others []*process){
		"reader served":                      func(*process, []*process) {},
		"reader gone":                        func(reader *process, _ []*process) { reader.gone.Store(true) },
		"reader refused by the service":      func(reader *process, _ []*process) { reader.refused.Store(true); reader.silent.Store(true) },
		"reader not answered by the service": func(reader *process, _ []*process) { reader.hanging.Store(true); reader.silent.Store(true) },
		"reader's watch silent":              func(reader *process, _ []*process) { reader.silent.Store(true) },
		"others refused by the service": func(_ *process, others []*process) {
			for _, p := range others {
				p.refused.Store(true)
			}
		},
	} {
		for delay := range 4 {
			t.Run(fmt.Sprint(name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					service := memory.New(time.Now)
					reader, others := start(t, service, []string{"a"}, 4).reader()
					for _, p := range others {
						p.silent.Store(true)
					}
					inject(reader, others)
					time.Sleep(time.Duration(delay) * applyPeriod / 8)
					written := time.Now()
					if _, err := service.CompareAndSwap(t.Context(), "p/key", nil, 0, 0); err != nil {
						t.Fatal(err)
					}
					time.Sleep(applyPeriod + time.Millisecond)
					for _, p := range others {
						if got := p.noticed().Sub(written); p.noticed().IsZero() || got > applyPeriod {
							t.Errorf("%s noticed the change after %s, want at most %s", p.hall.Name(), got, applyPeriod)
						}
					}
				})
			})
		}
	}
}

// TestRefusedProcessIsConfirmedByReader guards against processes that take their state for old
// because the service refuses their reads, while their reader knows that nothing changed.
func TestRefusedProcessIsConfirmedByReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, others := start(t, memory.New(time.Now), []string{"a"}, 3).reader()
		refused := others[0]
		refused.refused.Store(true)
		time.Sleep(3 * applyPeriod)
		if got := refused.noticed(); !got.IsZero() {
			t.Errorf("state: got an error at %s, want it confirmed", got)
		}
		if got, want := refused.store.HeardReaderWithin(applyPeriod), true; got != want {
			t.Errorf("heard the reader: got %t, want %t", got, want)
		}
	})
}

// lateStore delivers the answers of watches late, as a process does that was suspended when
// they arrived, and answers nothing else.
type lateStore struct {
	*memory.Store
	delay time.Duration
}

// List implements platform.Store.
func (l *lateStore) List(ctx context.Context, _ string) (platform.Listing, error) {
	<-ctx.Done()
	return platform.Listing{}, ctx.Err()
}

// Watch implements platform.Store.
func (l *lateStore) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	changes, err := l.Store.Watch(ctx, prefix, after)
	time.Sleep(l.delay)
	return changes, err
}

// TestSuspendedReaderTellsAgeOfItsAnswers guards against a reader that was suspended and
// confirms, as if it were new, the state of an answer that had waited in its connection.
func TestSuspendedReaderTellsAgeOfItsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memory.New(time.Now)
		entry, err := service.CompareAndSwap(t.Context(), "p/key", nil, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		const suspended = applyPeriod * 3 / 4
		store := watch.New(&lateStore{Store: service, delay: suspended}, watch.Options{ApplyPeriod: applyPeriod}, zap.NewNop())
		defer store.Close()
		if _, err := store.Watch(t.Context(), "p/", entry.Version-1); err != nil {
			t.Fatal(err)
		}
		confirmation, known := store.Confirmation()
		if got, want := confirmation.Age(), suspended; !known || got < want {
			t.Errorf("age of an answer that waited: got %s, known %t, want at least %s", got, known, want)
		}
		store.Close()
		time.Sleep(longPoll)
	})
}
