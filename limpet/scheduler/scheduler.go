// Package scheduler schedules the calls of one backend server: it queues them,
// limits how many run concurrently and executes them. All calls from all halls
// to that server pass through one Scheduler, which therefore enforces the
// limits of the server.
//
// Scheduler.Run is an event loop in a single goroutine. It owns the queue and
// the concurrency window and receives events from a bounded queue. Each running
// call has its own goroutine, which reports its completion as an event.
//
// # Usage
//
//	s, err := scheduler.New(scheduler.Options{...}, backend, time.Now, logger)
//	group.Go("gate", s.Run)
//	c, err := s.Submit(dispatch)
//	frame, err := c.Read(ctx, 0)
package scheduler

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
	// orphanTimeout is how long a repeatable call without a reader may continue.
	orphanTimeout = 10 * time.Second
	// reservedEvents is the event buffer beyond the queue capacity. New calls
	// can't use it, so it is available for events that must not be lost.
	reservedEvents = 256
	// promptTokensPerGenerated is the number of prompt tokens that cost as much
	// as one generated token.
	promptTokensPerGenerated = 10
	// smoothingFactor is the weight of the latest sample in the moving averages
	// of the service rate and the answer length.
	smoothingFactor      = 0.3
	housekeepingInterval = 250 * time.Millisecond
	// initialAnswerTokens is the expected answer length before the first
	// completed model call.
	initialAnswerTokens = 64
)

// Options configure a Scheduler.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	QueuePolicy string
	Queue       queue.Options
	Window      window.Options
	Calls       call.Options
}

// Scheduler admits, queues and runs the calls of one backend server.
type Scheduler struct {
	options Options
	backend Backend
	now     func() time.Time
	logger  *zap.Logger
	calls   *call.Registry
	events  *ring.Ring[event]
	stopped chan struct{}

	refusalReason atomic.Pointer[string]
	load          atomic.Pointer[Load]

	// Only the goroutine of Run accesses the fields below.
	queue   queue.Queue
	window  *window.Window
	running map[string]*call.Call
	// exclusive is the call that runs alone or waits to do so.
	exclusive   *call.Call
	probes      probeLimiter
	serviceRate float64
	// meanAnswerTokens is the moving average of the actual cost of model calls,
	// which serves as the expected answer length.
	meanAnswerTokens float64
	servedCost       float64
	rateMeasuredAt   time.Time
}

// Load is a snapshot of the scheduler's load. Window is the concurrency limit,
// Running and Queued are numbers of calls, and Cost is the estimated cost of the
// queued calls in generated tokens.
type Load struct {
	Window  int64
	Running int64
	Queued  int64
	Cost    int64
	// Rate is the cost completed per second, averaged over busy intervals.
	Rate float64
}

// New returns a scheduler. Calls start only while Run is running.
func New(options Options, backend Backend, now func() time.Time, logger *zap.Logger) (*Scheduler, error) {
	newQueue, err := queue.Policies.Find(options.QueuePolicy)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{
		options: options, backend: backend, now: now, logger: logger,
		calls:            call.NewRegistry(options.Calls),
		events:           ring.New[event](options.Queue.Capacity + reservedEvents),
		stopped:          make(chan struct{}),
		queue:            newQueue(options.Queue),
		window:           window.New(options.Window, now()),
		running:          make(map[string]*call.Call),
		meanAnswerTokens: initialAnswerTokens,
		rateMeasuredAt:   now(),
	}
	s.load.Store(&Load{Window: int64(options.Window.ColdLimit)})
	if _, isModel := backend.(ModelBackend); isModel {
		s.probes = newProbeLimiter(options.Window.ColdLimit)
	}
	return s, nil
}

// Incarnation returns the number that identifies this start of the limpet.
func (s *Scheduler) Incarnation() uint64 { return s.options.Incarnation }

// Load returns the latest snapshot.
func (s *Scheduler) Load() Load { return *s.load.Load() }

// OpenCalls returns how many calls are waiting or running.
func (s *Scheduler) OpenCalls() int { return s.calls.OpenCount() }

// SetRefusal makes the scheduler refuse new calls for the given reason; an
// empty reason admits them again. Known calls continue.
func (s *Scheduler) SetRefusal(reason string) { s.refusalReason.Store(&reason) }

// Refusal returns why new calls are refused, empty if they are not.
func (s *Scheduler) Refusal() string {
	if reason := s.refusalReason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// Submit returns the call with the call ID of the dispatch and queues it if it
// is new. Errors are *failure.Error. The outcome is NotRun, except that it is
// Unknown if the dispatch expects another incarnation or only attaches to a
// call that is not known.
func (s *Scheduler) Submit(dispatch *wire.Dispatch) (*call.Call, error) {
	if expected := dispatch.GetLimpetIncarnation(); expected != 0 && expected != s.options.Incarnation {
		return nil, failure.New(failure.CodeWrongIncarnation, failure.Unknown,
			"server %s was restarted after the call was assigned to it", s.options.Name)
	}
	if existing, found := s.calls.Find(dispatch.GetCallId()); found && existing.Dispatch().GetDigest() == dispatch.GetDigest() {
		return existing, nil
	}
	if dispatch.GetAttachOnly() {
		return nil, failure.New(failure.CodeNotFound, failure.Unknown, "server %s has no call %s", s.options.Name, dispatch.GetCallId())
	}
	if reason := s.Refusal(); reason != "" {
		return nil, failure.New(failure.CodeServerLeaving, failure.NotRun, "server %s accepts no new calls: %s", s.options.Name, reason)
	}
	submitted, created, err := s.calls.GetOrCreate(dispatch, s.now())
	if err != nil || !created {
		return submitted, err
	}
	if s.events.Len() >= s.options.Queue.Capacity || !s.events.TryPut(arrival{call: submitted}) {
		s.refuseQueueFull(submitted)
	}
	return submitted, nil
}

// RefuseUnstarted permanently refuses the call unless it has started and
// reports whether it is refused.
func (s *Scheduler) RefuseUnstarted(callID string) bool {
	refused := s.calls.RefuseUnstarted(callID, s.now())
	if refused {
		s.events.Put(s.stopped, removal{callID: callID})
	}
	return refused
}

// Cancel stops a repeatable call. An at-most-once call continues to its end, so
// that its outcome is known.
func (s *Scheduler) Cancel(callID string) {
	c, found := s.calls.Find(callID)
	if !found || c.Dispatch().GetAtMostOnce() {
		return
	}
	c.Cancel()
	canceled := failure.New(failure.CodeCanceled, failure.NotRun, "the caller disconnected")
	if c.Refuse(s.now(), call.FailureFrame(canceled)) {
		s.events.Put(s.stopped, removal{callID: callID})
	}
}

// MarkCold resets the concurrency window to the cold limit, as after a restart
// of the server.
func (s *Scheduler) MarkCold(reason string) {
	s.events.Put(s.stopped, coldSignal{reason: reason})
}

// Run is the event loop. It returns when the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-s.events.Items():
			s.handle(received)
		case <-ticker.C:
			s.runHousekeeping()
		}
		s.startCalls(ctx)
		s.publishLoad()
	}
}

func (s *Scheduler) refuseQueueFull(c *call.Call) {
	queueFull := failure.New(failure.CodeQueueFull, failure.NotRun, "the queue of server %s is full", s.options.Name).WithRetryAfter(time.Second)
	c.Refuse(s.now(), call.FailureFrame(queueFull))
}

func (s *Scheduler) runHousekeeping() {
	now := s.now()
	s.calls.Expire(now)
	for _, orphan := range s.calls.Orphans(now, orphanTimeout) {
		s.logger.Info("canceling call without a reader", zap.String("call", orphan.ID()))
		s.Cancel(orphan.ID())
	}
	s.updateServiceRate(now)
}

// updateServiceRate updates the moving average of the service rate once per
// second or more. Intervals without a completed call don't count.
func (s *Scheduler) updateServiceRate(now time.Time) {
	elapsed := now.Sub(s.rateMeasuredAt).Seconds()
	if elapsed < 1 {
		return
	}
	if s.servedCost > 0 {
		s.serviceRate += smoothingFactor * (s.servedCost/elapsed - s.serviceRate)
	}
	s.servedCost = 0
	s.rateMeasuredAt = now
}

func (s *Scheduler) publishLoad() {
	s.load.Store(&Load{
		Window: int64(s.window.Limit(s.now())), Running: int64(len(s.running)),
		Queued: int64(s.queue.Len()), Cost: s.queue.Cost(), Rate: s.serviceRate,
	})
}
