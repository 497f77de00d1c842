// Package gate is the only way to a backend server: all calls from all halls
// meet here, so whatever is bounded for each server is decided here.
//
// One goroutine, the duty Run, owns the queue and the window and takes its
// events from a bounded ring. Each running call has a goroutine of its own,
// which reports its completion to the ring.
//
// # Usage
//
//	g := gate.New(gate.Options{...}, backend, clock.Now, logger)
//	group.Go("gate", g.Run)
//	c, err := g.Submit(dispatch)
//	frame, err := c.Read(ctx, 0)
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/ring"
	"limpethall.dev/kernel/window"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/call"
)

const (
	// orphanGrace is how long a model call goes on without a reader.
	orphanGrace = 10 * time.Second
	// completionRoom is the room of the ring beyond the queue's capacity, for
	// events that must not be lost.
	completionRoom = 256
	// promptDiscount is how many prompt tokens cost as much as one generated
	// token.
	promptDiscount = 10
	// rateSmoothing is the weight of a new measurement of the service rate.
	rateSmoothing = 0.3
	// tick is the interval of the housekeeping.
	tick = 250 * time.Millisecond
	// defaultAnswer is the expected length of an answer before any was seen.
	defaultAnswer = 64
)

// Options are the settings of a gate.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	QueuePolicy string
	Queue       queue.Options
	Window      window.Options
	Calls       call.Options
}

// Gate admits, orders and runs the calls of one backend server.
type Gate struct {
	options Options
	backend Backend
	now     func() time.Time
	logger  *zap.Logger
	calls   *call.Book
	events  *ring.Ring[event]
	stopped chan struct{}

	refusal atomic.Pointer[string]
	load    atomic.Pointer[Load]

	// The fields below belong to the goroutine of Run.
	waiting  queue.Queue
	bound    *window.Window
	running  map[string]*call.Call
	alone    *call.Call
	sight    sight
	rate     float64
	answer   float64
	served   float64
	measured time.Time
}

// Load is the gate's state for others to read.
type Load struct {
	Window  int64
	Running int64
	Queued  int64
	Cost    int64
	// Rate is the cost served in a second when busy.
	Rate float64
}

// New returns a gate; Run must be started for calls to be taken.
func New(options Options, backend Backend, now func() time.Time, logger *zap.Logger) (*Gate, error) {
	construct, err := queue.Policies.Find(options.QueuePolicy)
	if err != nil {
		return nil, err
	}
	g := &Gate{
		options: options, backend: backend, now: now, logger: logger,
		calls:    call.NewBook(options.Calls),
		events:   ring.New[event](options.Queue.Capacity + completionRoom),
		stopped:  make(chan struct{}),
		waiting:  construct(options.Queue),
		bound:    window.New(options.Window, now()),
		running:  make(map[string]*call.Call),
		answer:   defaultAnswer,
		measured: now(),
	}
	g.load.Store(&Load{Window: int64(options.Window.Cold)})
	if _, isModel := backend.(ModelBackend); isModel {
		g.sight = newSight(options.Window.Cold)
	}
	return g, nil
}

// Incarnation returns the number of this start of the limpet.
func (g *Gate) Incarnation() uint64 { return g.options.Incarnation }

// Load returns the newest state.
func (g *Gate) Load() Load { return *g.load.Load() }

// Open returns how many calls wait or run.
func (g *Gate) Open() int { return g.calls.Open() }

// Refuse makes the gate refuse new calls for the given reason; an empty
// reason admits them again. Calls that are known go on.
func (g *Gate) Refuse(reason string) { g.refusal.Store(&reason) }

// Refusal returns why new calls are refused, empty if they are not.
func (g *Gate) Refusal() string {
	if reason := g.refusal.Load(); reason != nil {
		return *reason
	}
	return ""
}

// Submit returns the call with the dispatch's identifier, starting it if it
// is new. Errors are *failure.Error with outcome NotRun.
func (g *Gate) Submit(dispatch *wire.Dispatch) (*call.Call, error) {
	if wanted := dispatch.GetLimpetIncarnation(); wanted != 0 && wanted != g.options.Incarnation {
		return nil, failure.New(failure.CodeWrongIncarnation, failure.Unknown,
			"server %s was restarted since the call was placed", g.options.Name)
	}
	if known, found := g.calls.Find(dispatch.GetCallId()); found && known.Dispatch().GetDigest() == dispatch.GetDigest() {
		return known, nil
	}
	if dispatch.GetAttachOnly() {
		return nil, failure.New(failure.CodeNotFound, failure.Unknown, "server %s does not know call %s", g.options.Name, dispatch.GetCallId())
	}
	if reason := g.Refusal(); reason != "" {
		return nil, failure.New(failure.CodeServerLeaving, failure.NotRun, "server %s takes no new calls: %s", g.options.Name, reason)
	}
	submitted, created, err := g.calls.Begin(dispatch, g.now())
	if err != nil || !created {
		return submitted, err
	}
	if g.events.Len() >= g.options.Queue.Capacity || !g.events.Offer(arrival{call: submitted}) {
		g.refuseFull(submitted)
	}
	return submitted, nil
}

// Settle makes sure that the call never starts, if it has not, and reports
// whether that is so.
func (g *Gate) Settle(id string) bool {
	refused := g.calls.Settle(id, g.now())
	if refused {
		g.events.Put(g.stopped, removal{id: id})
	}
	return refused
}

// Cancel stops a call that may be repeated. One that may not be runs to its
// end, so that its outcome is known.
func (g *Gate) Cancel(id string) {
	known, found := g.calls.Find(id)
	if !found || known.Dispatch().GetAtMostOnce() {
		return
	}
	known.Cancel()
	canceled := failure.New(failure.CodeCanceled, failure.NotRun, "the caller has gone")
	if known.Refuse(g.now(), call.FailureFrame(canceled)) {
		g.events.Put(g.stopped, removal{id: id})
	}
}

// TurnedCold sets the window back, as after a restart of the server.
func (g *Gate) TurnedCold(reason string) {
	g.events.Put(g.stopped, coldness{reason: reason})
}

// Run owns the queue and the window until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-g.events.Items():
			g.handle(next)
		case <-ticker.C:
			g.housekeep()
		}
		g.startReady(ctx)
		g.publish()
	}
}

func (g *Gate) refuseFull(submitted *call.Call) {
	full := failure.New(failure.CodeQueueFull, failure.NotRun, "the queue of server %s is full", g.options.Name).WithRetryAfter(time.Second)
	submitted.Refuse(g.now(), call.FailureFrame(full))
}

func (g *Gate) housekeep() {
	now := g.now()
	g.calls.Expire(now)
	for _, orphan := range g.calls.Orphans(now, orphanGrace) {
		g.logger.Info("call without a reader is canceled", zap.String("call", orphan.ID()))
		g.Cancel(orphan.ID())
	}
	g.measure(now)
}

// measure updates the rate of service over a busy interval.
func (g *Gate) measure(now time.Time) {
	length := now.Sub(g.measured).Seconds()
	if length < 1 {
		return
	}
	if g.served > 0 {
		g.rate += rateSmoothing * (g.served/length - g.rate)
	}
	g.served = 0
	g.measured = now
}

func (g *Gate) publish() {
	g.load.Store(&Load{
		Window: int64(g.bound.Size(g.now())), Running: int64(len(g.running)),
		Queued: int64(g.waiting.Len()), Cost: g.waiting.Cost(), Rate: g.rate,
	})
}
