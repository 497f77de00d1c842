package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/rollout/plan"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// maxCandidates is how many halls, in the order of rendezvous hashing, may own a roll-out.
	maxCandidates = 8
	// maxCalls is how many of them are called in one Tick.
	maxCalls = 2
	// reportTimeout bounds one call to another hall. Two calls that fail take less than
	// grantPeriod.
	reportTimeout = 200 * time.Millisecond
	// maxFailures is the consecutive calls without an answer after which a hall is passed over.
	maxFailures = 2
	// probeInterval is how often a hall that is passed over is called again.
	probeInterval = 600 * time.Millisecond
)

// unknownOrderError reports a hall that has not read the order yet.
type unknownOrderError struct {
	hall     string
	revision uint64
}

// Error implements error.
func (e *unknownOrderError) Error() string {
	return fmt.Sprintf("hall %s has not read the order at revision %d", e.hall, e.revision)
}

// contact is the state of a hall that does not answer.
type contact struct {
	failures int
	calledAt time.Time
}

// Tick reports to the owners of the roll-outs in progress, and decides about those that this
// hall owns. Writes to the key-value service go on after Tick until the context ends.
func (r *Rollouts) Tick(ctx context.Context) {
	halls := r.options.Halls()
	r.rollBackWithdrawn(ctx, halls)
	r.mutex.Lock()
	changed := len(halls) != len(r.halls) || (len(halls) > 0 && &halls[0] != &r.halls[0])
	if changed {
		r.setHalls(halls)
	}
	var running []*rollout
	for _, rollout := range r.rollouts {
		if !r.recordsKnown || r.isSettled(rollout) {
			continue
		}
		if changed || rollout.candidates == nil {
			rollout.candidates, rollout.live = host.Top(rollout.order.service, halls, maxCandidates), r.live
		}
		running = append(running, rollout)
	}
	r.mutex.Unlock()
	var group sync.WaitGroup
	for _, rollout := range running {
		group.Go(func() {
			// Guard logs a panic, which is the only error.
			_ = task.Guard(r.options.Logger, "roll-out report", func() error {
				r.tick(ctx, rollout)
				return nil
			})
		})
	}
	group.Wait()
}

// setHalls takes over another list of live halls. The caller must hold the mutex.
func (r *Rollouts) setHalls(halls []host.Member) {
	r.halls, r.live = halls, make(map[string]bool, len(halls))
	for _, hall := range halls {
		r.live[hall.Name()] = true
	}
	for name := range r.failures {
		if !r.live[name] {
			delete(r.failures, name)
		}
	}
}

// isSettled reports whether the key-value service has the final state, or a later order.
func (r *Rollouts) isSettled(rollout *rollout) bool {
	stored, found := r.records[rollout.order.service]
	return found && (stored.Revision > rollout.order.revision || (stored.Revision == rollout.order.revision && stored.state() != Running))
}

// tick reports to the first candidate that answers, or decides if that is this hall.
func (r *Rollouts) tick(ctx context.Context, rollout *rollout) {
	calls := 0
	for _, hall := range rollout.candidates {
		if hall.Name() == r.options.OwnName {
			r.lead(ctx, rollout)
			return
		}
		if calls == maxCalls {
			return
		}
		if !r.mayCall(hall.Name()) {
			continue
		}
		calls++
		if r.reportTo(ctx, hall, rollout) || r.mayCall(hall.Name()) || ctx.Err() != nil {
			return
		}
	}
}

// mayCall reports whether a hall is called: it answers, or a probe is due.
func (r *Rollouts) mayCall(name string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.failures[name]
	return known.failures < maxFailures || r.options.Now().Sub(known.calledAt) >= probeInterval
}

// reportTo calls the hall as the owner. It reports whether the hall answered.
func (r *Rollouts) reportTo(ctx context.Context, hall host.Member, rollout *rollout) bool {
	r.mutex.Lock()
	if rollout.grant.owner != hall.Name() {
		// A hall has one owner's grant at a time, so that two owners do not add up.
		rollout.grant = grant{owner: hall.Name()}
		for _, sample := range rollout.samples {
			sample.changed = true
		}
	}
	report, sent := r.newReport(rollout)
	r.mutex.Unlock()
	sentAt := r.options.Now()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.options.Client(hall).Report(callCtx, report)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil && reply.GetOrder() != rollout.order.revision {
		// It can't decide, so the next candidate must.
		err = &unknownOrderError{hall: hall.Name(), revision: rollout.order.revision}
	}
	if err == nil {
		delete(r.failures, hall.Name())
		r.accept(rollout, report, reply, sentAt)
		return true
	}
	for _, sample := range sent {
		sample.changed = true
	}
	if failure.IsRefused(err) {
		return true // It lacks memory for the call, but goes on deciding.
	}
	if ctx.Err() == nil {
		known := r.failures[hall.Name()]
		known.failures, known.calledAt = known.failures+1, r.options.Now()
		if known.failures == maxFailures {
			r.options.Logger.Info("hall does not answer reports about roll-outs, passing it over", zap.String("hall", hall.Name()), zap.Error(err))
		}
		r.failures[hall.Name()] = known
	}
	return false
}

// newReport returns the report of this hall, and the samples in it, which count as reported
// until the call fails. The caller must hold the mutex.
func (r *Rollouts) newReport(rollout *rollout) (*wire.RolloutReport, []*sample) {
	report := &wire.RolloutReport{
		Hall: r.options.OwnName, Incarnation: r.incarnation, Service: rollout.order.service, Order: rollout.order.revision,
		Requests: rollout.requests, Exposed: rollout.exposed, OpenOld: r.openOld(rollout.order),
	}
	var sent []*sample
	for key, sample := range rollout.samples {
		if !sample.changed {
			continue
		}
		sample.changed = false
		sent = append(sent, sample)
		report.Samples = append(report.Samples, encodeCounts(key, sample.counts))
	}
	return report, sent
}

// accept takes the reply of an owner. The caller must hold the mutex.
func (r *Rollouts) accept(rollout *rollout, report *wire.RolloutReport, reply *wire.RolloutGrant, sentAt time.Time) {
	switch reply.GetState() {
	case wire.RolloutState_ROLLOUT_STATE_DONE:
		rollout.told = Done
	case wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK:
		rollout.told = RolledBack
	default:
		if reply.GetOwner() {
			r.use(rollout, report, reply, sentAt)
		}
	}
}

// use puts a grant into force. It counts from the report, so what was sent since then is
// taken from it.
func (r *Rollouts) use(rollout *rollout, report *wire.RolloutReport, reply *wire.RolloutGrant, sentAt time.Time) {
	remaining := reply.GetRequests()
	if remaining >= 0 {
		remaining = max(0, remaining-(rollout.exposed-report.GetExposed()))
	}
	rollout.grant.remaining = remaining
	valid := min(grantPeriod.Milliseconds(), reply.GetValidMilliseconds())
	rollout.grant.expiresAt = sentAt.Add(time.Duration(valid) * time.Millisecond)
	rollout.grant.servers = reply.GetServers()
	if share := reply.GetShare(); share >= 0 && share <= 1 {
		rollout.grant.share, rollout.share = share, share
	}
}

// Report processes the report of another hall, which takes this hall for the owner.
func (r *Rollouts) Report(report *wire.RolloutReport) *wire.RolloutGrant {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rollout := r.rollouts[report.GetService()]
	if rollout == nil || rollout.order.revision != report.GetOrder() || !r.recordsKnown {
		return &wire.RolloutGrant{}
	}
	return r.answer(rollout, report)
}

// answer takes a report into the ledger and returns the grant for it. The caller must hold
// the mutex.
func (r *Rollouts) answer(rollout *rollout, report *wire.RolloutReport) *wire.RolloutGrant {
	now := r.options.Now()
	reply := &wire.RolloutGrant{Order: rollout.order.revision}
	switch r.state(rollout) {
	case Done:
		reply.State = wire.RolloutState_ROLLOUT_STATE_DONE
		return reply
	case RolledBack:
		reply.State = wire.RolloutState_ROLLOUT_STATE_ROLLED_BACK
		return reply
	}
	if rollout.ledger == nil {
		rollout.ledger = newLedger(rollout.order.version)
	}
	ledger := rollout.ledger
	ledger.add(now, report, maxSamples(len(rollout.live)))
	if r.ownerName(rollout) != r.options.OwnName || now.Sub(ledger.active) > freshPeriod {
		return reply // This hall does not act as the owner.
	}
	if !ledger.isReady(now, rollout.live) || !ledger.hasMajority(now, rollout.live) {
		return reply
	}
	period := min(grantPeriod, r.options.Bounds.RollbackPeriod/4)
	reply.Owner = true
	reply.Requests = ledger.grant(now, report.GetHall(), r.options.Bounds, period)
	reply.ValidMilliseconds = period.Milliseconds()
	reply.Share = ledger.share()
	reply.Servers = ledger.servers
	return reply
}

// ownerName returns the first candidate that is not passed over, empty if there is none. The
// caller must hold the mutex.
func (r *Rollouts) ownerName(rollout *rollout) string {
	for _, hall := range rollout.candidates {
		if hall.Name() == r.options.OwnName || r.failures[hall.Name()].failures < maxFailures {
			return hall.Name()
		}
	}
	return ""
}

// lead decides as the owner, and takes the grant of this hall.
func (r *Rollouts) lead(ctx context.Context, rollout *rollout) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	if rollout.ledger == nil {
		rollout.ledger = newLedger(rollout.order.version)
	}
	if rollout.ledger.own(now, rollout.share) {
		r.options.Logger.Info("this hall owns the roll-out", zap.String("service", rollout.order.service), zap.String("version", rollout.order.version))
	}
	if rollout.grant.owner != r.options.OwnName {
		rollout.grant = grant{owner: r.options.OwnName}
		for _, sample := range rollout.samples {
			sample.changed = true
		}
	}
	report, _ := r.newReport(rollout)
	reply := r.answer(rollout, report)
	r.decide(rollout, now)
	switch state := r.state(rollout); {
	case state != Running:
		r.save(ctx, rollout, state)
	case rollout.ledger.outcome == plan.Complete:
		r.save(ctx, rollout, Done)
	default:
		r.save(ctx, rollout, Running)
	}
	r.accept(rollout, report, reply, now)
}

// decide computes the step and the outcome from all reports. The caller must hold the mutex.
func (r *Rollouts) decide(rollout *rollout, now time.Time) {
	ledger, order := rollout.ledger, rollout.order
	if r.state(rollout) != Running || !ledger.isReady(now, rollout.live) {
		return
	}
	elapsed := now.Sub(rollout.started)
	if ledger.observeShare == 0 || elapsed < order.duration/10 {
		ledger.observeShare = plan.ObserveShare(r.options.Bounds.ExposureShare, r.options.Bounds.ExposureSlack, ledger.requests(), elapsed, order.duration)
	}
	var servers int
	ledger.servers, servers = ledger.chooseServers(now, r.options.Directory.List().Usable(order.service), order.version)
	ledger.evidence.Advance(now)
	decision := plan.Decide(plan.Input{
		Elapsed: elapsed, Duration: order.duration, Step: ledger.step, InStep: now.Sub(ledger.stepAt),
		Assessment: ledger.evidence.Assess(now, servers), StepAnswers: ledger.evidence.TargetAnswers() - ledger.stepAnswers, Servers: servers,
		OpenOld: ledger.openOld(rollout.live), AllReported: ledger.allReported(rollout.live), Majority: ledger.hasMajority(now, rollout.live),
	})
	rollout.reason = decision.Reason
	if decision.Step != ledger.step || decision.Outcome != ledger.outcome {
		r.options.Logger.Info("roll-out goes on", zap.String("service", order.service), zap.String("version", order.version), zap.Int("step", int(decision.Step)),
			zap.Int("outcome", int(decision.Outcome)), zap.String("reason", decision.Reason), zap.Duration("elapsed", elapsed))
	}
	if decision.Step != ledger.step {
		ledger.enter(now, decision.Step)
	}
	ledger.outcome = decision.Outcome
	if decision.Outcome == plan.RollBack {
		rollout.told = RolledBack
	}
}
