package balance

import (
	"time"

	"limpethall.dev/hall/zonechoice"
	"limpethall.dev/kernel/backend"
)

// zoneRule decides which servers of other zones are candidates for one request, and what
// sending it there costs.
type zoneRule struct {
	balancer *Balancer
	query    Query
	measured bool // Whether the requests of the service are restricted to a zone, and the cost is measured.
	all      bool // Whether the servers of all zones are candidates nevertheless.
	plan     zonechoice.Plan
	trace    *trace // Nil unless the choice is explained.
}

// zoneRule returns the rule for the request. The caller must hold the mutex.
func (b *Balancer) zoneRule(now time.Time, query Query) zoneRule {
	rule := zoneRule{balancer: b, query: query, all: true}
	service := query.Service.Name
	if b.zones == nil || !b.zones.IsOn(service) {
		return rule
	}
	if b.zones.IsDue(now, service) {
		b.zones.Update(now, service, b.zoneServers(now, query))
	}
	rule.measured, rule.all, rule.plan = true, false, b.zones.Plan(service)
	return rule
}

// zoneServers returns what this hall knows of the load of the servers that requests like this
// one may use.
func (b *Balancer) zoneServers(now time.Time, query Query) []zonechoice.Server {
	usable := b.directory.List().Usable(query.Service.Name)
	compared := b.compare(query.Service.Name, usable)
	servers := make([]zonechoice.Server, 0, len(usable))
	for _, server := range usable {
		if !query.allowsVersion(server.Version()) {
			continue
		}
		state := b.stateOf(server)
		age := now.Sub(state.reportedAt)
		if state.reportedAt.IsZero() {
			age = -1
		}
		servers = append(servers, zonechoice.Server{
			ID: server.ID(), Zone: server.Zone(), Slots: slotsOf(server), Requests: state.estimatedRequests(now), Pace: state.lastReport.Pace,
			ReportAge: age, HasFailed: now.Sub(state.failedAt) < failureWindow || server.Cold(now) || compared.of(server.ID()).avoids(state),
		})
	}
	return servers
}

// selectServer returns the server with the lowest expected delay. If no server that the zone
// rule allows is in use, those of all zones are candidates. The caller must hold the mutex.
func (b *Balancer) selectServer(now time.Time, query Query) (Choice, error) {
	return b.selectTraced(now, query, nil)
}

// selectTraced is selectServer, and records the candidates in the trace unless it is nil.
func (b *Balancer) selectTraced(now time.Time, query Query, trace *trace) (Choice, error) {
	rule := b.zoneRule(now, query)
	rule.trace = trace
	best, err := b.selectAmong(now, query, rule)
	if rule.all || (err == nil && best.delay < failurePenalty) {
		return best, err
	}
	rule.all = true
	trace.reset()
	return b.selectAmong(now, query, rule)
}

// assess returns what sending the request to the server's zone costs, and whether the server
// is a candidate. reason is set if it is one although the plan does not allow it.
func (r *zoneRule) assess(server backend.Server, list *backend.List, prompt promptEstimate, object objectEstimate, preferred string) (delay time.Duration, reason zonechoice.Reason, allowed bool) {
	b := r.balancer
	switch {
	case server.Zone() == b.zone:
		return 0, "", true
	case !r.measured:
		return crossZoneDelay, "", true
	}
	allowed = r.plan.Allows(server.ID())
	saved := time.Duration(0)
	if !allowed {
		if saved = r.savedTime(server.ID(), list, prompt, object, preferred); saved <= 0 && !r.all {
			return 0, "", false // The usual case, without the cost of the way.
		}
	}
	delay = b.zones.Cost(r.query.Service.Name, server.Zone(), r.query.Bytes)
	switch {
	case allowed:
		return delay, "", true
	case saved > delay:
		return delay, zonechoice.ReasonHistory, true
	default:
		return delay, zonechoice.ReasonUnusable, r.all
	}
}

// prefer adds a candidate that is to hold the first part of the prompt.
func (r *zoneRule) prefer(prompt promptEstimate) {
	if r.measured {
		r.plan = r.balancer.zones.Prefer(r.query.Service.Name, r.plan, prompt.agreed)
	}
}

// savedTime returns how much sooner the server answers than those of the own zone because of
// what it has handled before, according to what this hall sent to it.
func (r *zoneRule) savedTime(serverID string, list *backend.List, prompt promptEstimate, object objectEstimate, preferred string) time.Duration {
	b, saved := r.balancer, time.Duration(0)
	isOwn := func(id string) bool {
		server, found := list.Lookup(id)
		return found && server.Zone() == b.zone
	}
	if held := prompt.held[serverID]; held > 0 {
		ownHeld := int64(0)
		for id, tokens := range prompt.held {
			if tokens > ownHeld && isOwn(id) {
				ownHeld = tokens
			}
		}
		for id := range prompt.agreed {
			if isOwn(id) {
				ownHeld = max(ownHeld, prompt.headTokens)
				break
			}
		}
		saved += prompt.delay(max(0, held-ownHeld))
	}
	if serverID == preferred && len(r.query.Prompt) == 0 && b.affinity.Contains(r.query.AffinityKey) {
		saved += recomputeDelay
	}
	if object.first != "" {
		own := object.gain
		for _, id := range []string{object.first, object.second, object.known} {
			if id != "" && isOwn(id) {
				own = min(own, object.delay(id))
			}
		}
		saved += own - object.delay(serverID)
	}
	return saved
}

// recordZone counts a request that is sent.
func (b *Balancer) recordZone(query Query, choice Choice) {
	if b.zones != nil && b.zones.IsOn(query.Service.Name) {
		b.zones.Record(query.Service.Name, choice.zonePlan, choice.server.Zone(), choice.zoneReason, query.Bytes)
	}
}

// recordStart records the time to the first byte of a response for which the server read
// next to nothing.
func (b *Balancer) recordStart(choice *Choice, query Query, duration time.Duration) {
	if b.zones != nil && b.zones.IsOn(query.Service.Name) && choice.reads <= maxUnreadTokens && query.Object == "" {
		b.zones.RecordStart(query.Service.Name, choice.server.Zone(), duration)
	}
}

// recordPace records that a server of the service has stated its pace.
func (b *Balancer) recordPace(service string, load Load) {
	if b.zones != nil && load.Pace > 0 {
		b.zones.RecordPace(service)
	}
}

// retainZones drops the state of services without servers.
func (b *Balancer) retainZones(list *backend.List) {
	if b.zones == nil {
		return
	}
	b.zones.Retain(func(service string) bool { return len(list.Usable(service)) > 0 })
}

// ZoneOutcomes returns the number of requests by target zone and reason, and the portion of
// requests that may leave the zone by service.
func (b *Balancer) ZoneOutcomes() (outcomes map[zonechoice.Outcome]int64, portions map[string]float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.zones == nil {
		return nil, nil
	}
	return b.zones.Outcomes(), b.zones.Portions()
}

// ZoneReason returns why the request is sent to its zone, empty if that is not decided for its
// service.
func (c *Choice) ZoneReason() zonechoice.Reason {
	if c.server.Zone() != c.balancer.zone && c.zoneReason != "" {
		return c.zoneReason
	}
	return c.zonePlan.Reason()
}
