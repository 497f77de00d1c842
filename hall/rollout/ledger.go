package rollout

import (
	"math"
	"slices"
	"time"

	"limpethall.dev/hall/rollout/plan"
	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/wire"
)

const (
	// grantPeriod is how long a grant is valid. It bridges two lost reports.
	grantPeriod = 500 * time.Millisecond
	// takeoverPeriod is the time after which an owner grants without reports from all live
	// halls. The grants of the owner before it have expired by then.
	takeoverPeriod = time.Second
	// freshPeriod is how long a report counts as that of a hall in contact.
	freshPeriod = time.Second
	// minObserveServers leaves enough servers for a comparison without the worst one.
	minObserveServers = 4
	// demandMargin is the requests that are granted for each one expected, as requests vary.
	demandMargin = 1.5
	// rateGain is the weight of the last report in the rate of a hall's requests.
	rateGain = 0.3
	// minRate is the requests per second below which a hall counts as idle.
	minRate = 0.05
	// reservePortion of the bound, and at least minReserve requests, are not granted. They are
	// for requests that a hall counted and lost by a restart.
	reservePortion = 0.1
	minReserve     = 2
	// observePortion of the bound ends the grants of the observation.
	observePortion = 0.5
	// sampleMemory bounds the samples of all halls at an owner, at about 350 bytes each.
	sampleMemory = 32768
	minSamples   = 32
	mostSamples  = 1024
)

// maxSamples returns how many samples one of this many halls may have.
func maxSamples(halls int) int {
	return max(minSamples, min(mostSamples, sampleMemory/max(1, halls)))
}

// ledger is what the owner of a roll-out knows of all halls. Its owner locks it.
type ledger struct {
	target       string
	since        time.Time // This hall owns the roll-out since then.
	active       time.Time // This hall last acted as the owner.
	halls        map[string]*account
	ended        account // The sum over incarnations that have ended.
	evidence     *plan.Evidence
	step         plan.Step
	stepAt       time.Time
	stepAnswers  int64 // Of the target version before the step.
	observeShare float64
	servers      []string
	outcome      plan.Outcome
}

// account is what one hall reported.
type account struct {
	incarnation uint64
	reportedAt  time.Time
	requests    int64
	exposed     int64
	openOld     int64
	rate        float64 // Requests per second, as the mean of the last reports.
	ceilings    []ceiling
	step        plan.Step // That of the last grant, since steppedAt.
	steppedAt   time.Time
	samples     map[plan.Key]plan.Counts
	hasBase     bool // This owner has the counts from which the next ones are evidence.
}

// ceiling is the count of exposed requests that a hall may reach by a grant.
type ceiling struct {
	exposed   int64
	expiresAt time.Time
}

func newLedger(target string) *ledger {
	return &ledger{target: target, halls: make(map[string]*account), evidence: plan.NewEvidence(target)}
}

// own records that this hall acts as the owner. It is a new owner if it did not act for a
// time; share is the one that the hall was told last, by which the step goes on.
func (l *ledger) own(now time.Time, share float64) (isNew bool) {
	isNew = now.Sub(l.active) > freshPeriod
	l.active = now
	if isNew {
		l.since = now
		l.evidence = plan.NewEvidence(l.target)
		for _, hall := range l.halls {
			hall.hasBase = false
		}
		l.enter(now, plan.StepOf(share))
	}
	return isNew
}

func (l *ledger) enter(now time.Time, step plan.Step) {
	l.step, l.stepAt = step, now
	l.stepAnswers = 0
	if step != plan.Observe {
		l.stepAnswers = l.evidence.TargetAnswers()
	}
}

// add takes a report. Counters are cumulative, so that a report that arrives twice, or after
// a lost one, does no harm.
func (l *ledger) add(now time.Time, report *wire.RolloutReport, limit int) {
	hall := l.halls[report.GetHall()]
	if hall == nil || hall.incarnation != report.GetIncarnation() {
		if hall != nil {
			l.ended.requests += hall.requests
			l.ended.exposed += max(hall.exposed, hall.highest(now))
		}
		hall = &account{incarnation: report.GetIncarnation(), samples: make(map[plan.Key]plan.Counts)}
		l.halls[report.GetHall()] = hall
	}
	if period := now.Sub(hall.reportedAt); !hall.reportedAt.IsZero() && period > 0 {
		hall.rate += rateGain * (float64(max(0, report.GetRequests()-hall.requests))/period.Seconds() - hall.rate)
		if hall.rate < minRate {
			hall.rate = 0
		}
	}
	hall.reportedAt = now
	hall.requests = max(hall.requests, report.GetRequests())
	hall.exposed = max(hall.exposed, report.GetExposed())
	hall.openOld = report.GetOpenOld()
	// The first counts of a hall are the base of the next ones: they are of a longer time, in
	// which the load and the share have changed.
	isEvidence := hall.hasBase
	hall.hasBase = true
	for _, message := range report.GetSamples() {
		key := plan.Key{Route: message.GetRoute(), Server: message.GetServer(), Version: message.GetVersion()}
		before, known := hall.samples[key]
		if !known && len(hall.samples) >= limit {
			continue
		}
		counts := decodeCounts(message)
		if counts.Answers < before.Answers {
			continue // Arrived after a later report.
		}
		hall.samples[key] = counts
		if isEvidence {
			l.evidence.Add(key, counts.Minus(before))
		}
	}
}

// highest returns the count that the hall may reach with the grants that have not expired.
func (a *account) highest(now time.Time) int64 {
	highest := a.exposed
	a.ceilings = slices.DeleteFunc(a.ceilings, func(c ceiling) bool { return !now.Before(c.expiresAt) })
	for _, ceiling := range a.ceilings {
		highest = max(highest, ceiling.exposed)
	}
	return highest
}

// isReady reports whether grants may be given: all live halls have reported to this owner, or
// it has waited for them.
func (l *ledger) isReady(now time.Time, live map[string]bool) bool {
	if now.Sub(l.since) >= takeoverPeriod {
		return true
	}
	for name := range live {
		if hall := l.halls[name]; hall == nil || hall.reportedAt.Before(l.since) {
			return false
		}
	}
	return true
}

// hasMajority reports whether more than half of the live halls are in contact. At most one
// of two owners that do not hear each other has it.
func (l *ledger) hasMajority(now time.Time, live map[string]bool) bool {
	fresh := 0
	for name := range live {
		if hall := l.halls[name]; hall != nil && now.Sub(hall.reportedAt) <= freshPeriod {
			fresh++
		}
	}
	return 2*fresh > len(live)
}

// allReported reports whether all live halls reported after a grant of the present step.
func (l *ledger) allReported(live map[string]bool) bool {
	for name := range live {
		hall := l.halls[name]
		if hall == nil || hall.step != l.step || hall.steppedAt.Before(l.stepAt) || !hall.reportedAt.After(hall.steppedAt) {
			return false
		}
	}
	return true
}

func (l *ledger) openOld(live map[string]bool) int64 {
	sum := int64(0)
	for name := range live {
		if hall := l.halls[name]; hall != nil {
			sum += hall.openOld
		}
	}
	return sum
}

func (l *ledger) requests() int64 {
	sum := l.ended.requests
	for _, hall := range l.halls {
		sum += hall.requests
	}
	return sum
}

// share returns the portion of programs for the target version.
func (l *ledger) share() float64 {
	if l.step == plan.Observe {
		return l.observeShare
	}
	return l.step.Share()
}

func (l *ledger) exposed() int64 {
	sum := l.ended.exposed
	for _, hall := range l.halls {
		sum += hall.exposed
	}
	return sum
}

// limit returns the requests to the target version that are allowed so far, and false if any
// number is.
func (l *ledger) limit(bounds Bounds) (int64, bool) {
	bound := bounds.ExposureShare*float64(l.requests()) + float64(bounds.ExposureSlack)
	switch {
	case l.step > plan.Minor:
		return 0, false
	case l.step == plan.Observe && float64(l.exposed()) >= observePortion*bound:
		return 0, true
	default:
		return int64(bound - max(minReserve, reservePortion*bound)), true
	}
}

// grant returns how many requests a hall that has just reported may send, -1 for any number.
func (l *ledger) grant(now time.Time, name string, bounds Bounds, period time.Duration) int64 {
	hall := l.halls[name]
	if hall.step != l.step || hall.steppedAt.Before(l.stepAt) {
		hall.step, hall.steppedAt = l.step, now
	}
	limit, limited := l.limit(bounds)
	if !limited {
		return -1
	}
	free := limit - l.ended.exposed - hall.exposed
	for other, account := range l.halls {
		if other != name {
			free -= account.highest(now)
		}
	}
	expected := demandMargin * l.share() * hall.rate * period.Seconds()
	wanted := int64(math.Ceil(expected))
	if expected == 0 && free >= int64(len(l.halls)) {
		wanted = 1 // For the first request of a hall.
	}
	granted := max(0, min(wanted, free))
	hall.highest(now) // Removes the ceilings that have expired.
	hall.ceilings = append(hall.ceilings, ceiling{exposed: hall.exposed + granted, expiresAt: now.Add(period)})
	return granted
}

// chooseServers selects the servers of the target version for the observation, spread over
// zones. It returns none if all are to be used.
func (l *ledger) chooseServers(now time.Time, usable []backend.Server, target string) (chosen []string, all int) {
	byZone := make(map[string][]string)
	var zones []string
	for _, server := range usable {
		if server.Version() != target {
			continue
		}
		all++
		if server.Cold(now) {
			continue
		}
		if byZone[server.Zone()] == nil {
			zones = append(zones, server.Zone())
		}
		byZone[server.Zone()] = append(byZone[server.Zone()], server.ID())
	}
	count := max(minObserveServers, int(math.Ceil(l.observeShare*float64(all))))
	if l.step != plan.Observe || count >= all {
		return nil, all
	}
	slices.Sort(zones)
	for index := 0; len(chosen) < count; index++ {
		before := len(chosen)
		for _, zone := range zones {
			if index < len(byZone[zone]) && len(chosen) < count {
				chosen = append(chosen, byZone[zone][index])
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen, all
}

func decodeCounts(message *wire.RolloutSample) plan.Counts {
	counts := plan.Counts{Answers: message.GetAnswers(), Failures: message.GetFailures()}
	copy(counts.FirstByte[:], message.GetFirstByte())
	return counts
}

func encodeCounts(key plan.Key, counts plan.Counts) *wire.RolloutSample {
	buckets := plan.Buckets
	for buckets > 0 && counts.FirstByte[buckets-1] == 0 {
		buckets--
	}
	return &wire.RolloutSample{
		Route: key.Route, Server: key.Server, Version: key.Version, Answers: counts.Answers, Failures: counts.Failures,
		FirstByte: slices.Clone(counts.FirstByte[:buckets]),
	}
}
