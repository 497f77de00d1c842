package rollout_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/rollout"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/wire"
)

const (
	service  = "models"
	revision = 7
)

var (
	bounds    = rollout.Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackPeriod: 5 * time.Second}
	errSilent = errors.New("no answer")
)

// request is what the answer of a fake server depends on.
type request struct {
	hall, version, server, route string
	elapsed                      float64 // Portion of the duration since the order.
	open                         int     // Requests at the server, with this one.
}

// isTarget reports whether the request is at the version that the order names.
func (r request) isTarget() bool { return r.version == "v2" }

// answer says whether a request fails, and how many times slower than usual it is.
type answer func(request) (failed bool, slowness float64)

func good(request) (bool, float64) { return false, 1 }

// deployment consists of halls that call each other directly and send to fake servers, 8 of
// each version.
type deployment struct {
	t         *testing.T
	duration  time.Duration
	answer    answer
	store     *countingStore
	directory *backend.Directory
	members   []host.Member
	halls     map[string]*rollout.Rollouts
	cancels   map[string]context.CancelFunc
	orderedAt time.Time

	mutex    sync.Mutex
	silent   map[string]bool
	open     map[string]int
	requests int
	exposed  int
	bad      int
	badAt    time.Time // Of the 50th bad answer.
	lastSent time.Time // To the target version.
}

func newDeployment(t *testing.T, halls int, duration time.Duration, answer answer) *deployment {
	d := &deployment{
		t: t, duration: duration, answer: answer, store: &countingStore{Store: memory.New(time.Now)}, directory: backend.NewDirectory(), halls: make(map[string]*rollout.Rollouts),
		cancels: make(map[string]context.CancelFunc), silent: make(map[string]bool), open: make(map[string]int), orderedAt: time.Now(),
	}
	d.publish("v1", "v2")
	for index := range halls {
		name := fmt.Sprintf("hall-%d", index)
		d.members = append(d.members, host.NewHall(name, "zone", name, 1))
	}
	for _, member := range d.members {
		d.create(member.Name())
	}
	for name, hall := range d.halls {
		ctx, cancel := context.WithCancel(t.Context())
		d.cancels[name] = cancel
		go run(ctx, hall)
	}
	time.Sleep(time.Millisecond) // Lets all halls list the records.
	return d
}

func (d *deployment) publish(versions ...string) {
	var servers []backend.Server
	for born, version := range versions {
		for index := range 8 {
			servers = append(servers, backend.NewServer(backend.Options{
				ID: fmt.Sprintf("%s-%d", version, index), Service: service, Version: version, Zone: fmt.Sprint(index % 2), Born: int64(born + 1),
			}))
		}
	}
	d.directory.Publish(backend.NewList(1, time.Now(), servers, nil))
}

func (d *deployment) create(name string) {
	hall := rollout.New(rollout.Options{
		Store: d.store, OwnName: name, Halls: func() []host.Member { return d.members }, Bounds: bounds, Directory: d.directory, Now: time.Now,
		Client: func(hall host.Member) rollout.Peer { return peer{deployment: d, caller: name, name: hall.Name()} }, Logger: zap.NewNop(),
	})
	d.halls[name] = hall
	hall.SetOrders([]rollout.Order{rollout.NewOrder(service, "v2", revision, d.duration)})
}

// run runs the tasks of a hall until the context ends.
func run(ctx context.Context, hall *rollout.Rollouts) {
	go func() { _ = hall.Follow(ctx) }() // Returns nil when the context ends.
	time.Sleep(rand.N(rollout.Interval))
	for ctx.Err() == nil {
		hall.Tick(ctx)
		time.Sleep(rollout.Interval)
	}
}

// stop ends all halls, so that their goroutines end with the test.
func (d *deployment) stop() {
	for _, cancel := range d.cancels {
		cancel()
	}
	time.Sleep(2 * time.Second)
}

// kill ends a hall. The others still have it on their list.
func (d *deployment) kill(name string) {
	d.cutOff(name)
	d.cancels[name]()
}

// cutOff cuts a hall off from the others.
func (d *deployment) cutOff(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.silent[name] = true
}

func (d *deployment) isSilent(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.silent[name]
}

func (d *deployment) owner() string { return host.Top(service, d.members, 1)[0].Name() }

func (d *deployment) portion() float64 { return float64(time.Since(d.orderedAt)) / float64(d.duration) }

// sleepUntil waits until a portion of the duration has passed.
func (d *deployment) sleepUntil(portion float64) {
	time.Sleep(time.Until(d.orderedAt.Add(time.Duration(portion * float64(d.duration)))))
}

// load sends requests until a portion of the duration has passed.
func (d *deployment) load(perSecond float64, until float64) {
	var group sync.WaitGroup
	for number := 0; d.portion() < until; number++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		name := d.members[rand.IntN(len(d.members))].Name()
		if !d.isSilent(name) {
			group.Go(func() { d.send(name, fmt.Sprintf("program-%d", rand.IntN(200))) })
		}
	}
	group.Wait()
}

// send sends one request through a hall, as the gateway does.
func (d *deployment) send(name, program string) {
	hall := d.halls[name]
	selection := hall.Select(service, program)
	var candidates []backend.Server
	for _, server := range d.directory.List().Usable(service) {
		if (selection.Only() == nil || server.Version() == *selection.Only()) && server.Version() != selection.Excluded() {
			candidates = append(candidates, server)
		}
	}
	if servers := selection.Servers(); len(servers) > 0 {
		candidates = nil
		for _, id := range servers {
			if server, found := d.directory.List().Lookup(id); found {
				candidates = append(candidates, server)
			}
		}
	}
	if len(candidates) == 0 {
		d.t.Errorf("request at %.2f of the duration: no server, want one", d.portion())
		return
	}
	server := candidates[rand.IntN(len(candidates))]
	r := request{hall: name, version: server.Version(), server: server.ID(), route: "/a", elapsed: d.portion()}
	if rand.IntN(4) == 0 {
		r.route = "/b"
	}
	d.mutex.Lock()
	d.requests++
	d.open[r.server]++
	r.open = d.open[r.server]
	if r.isTarget() {
		d.exposed++
		d.lastSent = time.Now()
	}
	d.mutex.Unlock()
	closed := hall.Opened(service, r.version)
	failed, slowness := d.answer(r)
	firstByte := time.Duration((20 + rand.Float64()*40) * slowness * float64(time.Millisecond))
	time.Sleep(firstByte)
	closed()
	hall.Record(rollout.Outcome{Service: service, Route: r.route, Server: r.server, Version: r.version, Failed: failed, FirstByte: firstByte})
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open[r.server]--
	if r.isTarget() && (failed || slowness > 2) {
		if d.bad++; d.bad == 50 {
			d.badAt = time.Now()
		}
	}
}

// state returns the state in the store.
func (d *deployment) state() string {
	entry, err := d.store.Get(d.t.Context(), "rollouts/"+service)
	if err != nil {
		return err.Error()
	}
	var stored struct{ State string }
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return err.Error()
	}
	return stored.State
}

// checkState checks the state in the store.
func (d *deployment) checkState(want rollout.State) {
	d.t.Helper()
	if got := d.state(); got != want.String() {
		d.t.Errorf("state at %.2f of the duration: got %s, want %s", d.portion(), got, want)
		for name, hall := range d.halls {
			d.t.Logf("%s: %+v", name, hall.Statuses())
		}
	}
}

// checkBounds checks what a bad version received.
func (d *deployment) checkBounds() {
	d.t.Helper()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if limit := int(bounds.ExposureShare*float64(d.requests)) + int(bounds.ExposureSlack); d.exposed > limit {
		d.t.Errorf("requests to a bad version: got %d of %d, want at most %d", d.exposed, d.requests, limit)
	}
	if !d.badAt.IsZero() && d.lastSent.Sub(d.badAt) > bounds.RollbackPeriod {
		d.t.Errorf("last request to a bad version: got %s after its 50th bad answer, want at most %s", d.lastSent.Sub(d.badAt), bounds.RollbackPeriod)
	}
	if d.bad > 50 {
		d.t.Errorf("bad answers: got %d, want at most 50", d.bad)
	}
}

// countingStore counts the writes.
type countingStore struct {
	*memory.Store
	writes atomic.Int64
}

// CompareAndSwap implements platform.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (platform.Entry, error) {
	s.writes.Add(1)
	return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
}

// peer calls one hall of the deployment.
type peer struct {
	deployment   *deployment
	caller, name string
}

// Report implements rollout.Peer.
func (p peer) Report(ctx context.Context, report *wire.RolloutReport) (*wire.RolloutGrant, error) {
	time.Sleep(time.Millisecond)
	if p.deployment.isSilent(p.name) || p.deployment.isSilent(p.caller) {
		<-ctx.Done()
		return nil, errSilent
	}
	reply := p.deployment.halls[p.name].Report(report)
	time.Sleep(time.Millisecond)
	return reply, nil
}
