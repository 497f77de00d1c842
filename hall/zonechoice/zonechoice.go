// Package zonechoice decides which requests may leave the availability zone of their hall.
//
// Traffic between zones is slower and costs money, but the servers of a zone are sometimes too
// few for its own load. For each service, a portion of the requests may be sent to another
// zone. It is none while the own zone has free capacity, rises while a request is expected to
// wait longer there than in other zones plus the cost of sending it, and returns to none as the
// zone recovers. It changes slowly, so that zones whose load rises and falls in turn do not
// send their requests to and fro. Which of the allowed requests leave is up to the balancer,
// which compares single servers.
//
// The package has no clock, network or goroutines. A Chooser is not safe for concurrent use.
//
// # Usage
//
//	chooser := zonechoice.New(zonechoice.Options{Zone: "hu-central-a", Always: true, Seed: rand.Uint64(), Logger: logger})
//	if chooser.IsDue(now, "models") {
//		chooser.Update(now, "models", servers)
//	}
//	plan := chooser.Plan("models")
//	if plan.Allows("i-7f3a") { … }
//	chooser.Record("models", plan, "hu-central-b", false, requestBytes) // After it was sent.
package zonechoice

import (
	"math"
	"time"

	"go.uber.org/zap"
)

const (
	// updateInterval is the interval at which the portion is decided anew.
	updateInterval = 50 * time.Millisecond
	// logInterval is the least interval between two log lines about one service.
	logInterval = time.Second
	// loggedChange is the change of the portion that is logged.
	loggedChange = 0.05
	// minWay is the round trip time between zones if less is measured.
	minWay = time.Millisecond
	// maxWay bounds the measured time: what is longer is not the way but the load.
	maxWay = 50 * time.Millisecond
	// riseGain and fallGain are the weights of a measurement above and below the estimate of
	// the time to the first byte. The estimate is thus low in the range of measurements,
	// where they show the way rather than the load of servers.
	riseGain, fallGain = 0.01, 0.2
	// bytesGain is the weight of a request in the usual number of bytes.
	bytesGain = 0.05
	// priceBytes is the number of bytes to which the price applies.
	priceBytes = 100_000
	// defaultBytePrice applies if the options state no price.
	defaultBytePrice = time.Millisecond
	// minWeight is the weight of the slots of a server without room, against free slots, when
	// servers are drawn.
	minWeight = 0.02
	// goldenRatio, silverRatio and plasticRatio are steps of sequences that fill the range
	// from 0 to 1 evenly.
	goldenRatio  = 0.6180339887498949
	silverRatio  = 0.4142135623730951
	plasticRatio = 0.7548776662466927
)

// Options are the settings and dependencies of a Chooser.
type Options struct {
	// Zone is the availability zone of the hall.
	Zone string
	// Always says that the portion is decided for all services, and not only for those with a
	// server that has stated its pace.
	Always bool
	// BytePrice is the delay that sending 100,000 bytes to or from another zone is worth, zero
	// for the default of 1 ms.
	BytePrice time.Duration
	// Seed makes the sequences of halls differ.
	Seed   uint64
	Logger *zap.Logger
}

// Outcome is where a request was sent, and why.
type Outcome struct {
	// Other says that it was sent to another zone.
	Other  bool
	Reason Reason
}

// Chooser holds the state of all services.
type Chooser struct {
	options  Options
	services map[string]*service
	outcomes map[Outcome]int64
}

// service is the state of one service.
type service struct {
	portion   portion
	inputs    inputs
	updatedAt time.Time
	credit    float64 // Portions of requests that may leave, since one did.
	drawn     uint64  // Number of draws of servers.
	offset    float64 // Of the sequences of draws.
	weights   []weightedServer
	bytes     float64            // Usual bytes of a request and its response.
	starts    map[string]float64 // Seconds to the first byte without load and reading, by zone.

	loggedAt      time.Time
	loggedPortion float64
	loggedReason  Reason
}

// weightedServer is a server of another zone with its weight in draws.
type weightedServer struct {
	id     string
	weight float64
}

// New returns a Chooser under which no request leaves its zone.
func New(options Options) *Chooser {
	if options.BytePrice <= 0 {
		options.BytePrice = defaultBytePrice
	}
	return &Chooser{options: options, services: make(map[string]*service), outcomes: make(map[Outcome]int64)}
}

// IsOn reports whether the portion is decided for the service. If not, its requests are not
// to be restricted.
func (c *Chooser) IsOn(name string) bool {
	_, known := c.services[name]
	return known || c.options.Always
}

// RecordPace records that a server of the service has stated its pace.
func (c *Chooser) RecordPace(name string) { c.service(name) }

// Retain drops the state of services for which listed returns false.
func (c *Chooser) Retain(listed func(service string) bool) {
	for name := range c.services {
		if !listed(name) {
			delete(c.services, name)
		}
	}
}

// Portions returns the portion of the requests that may leave the zone, by service.
func (c *Chooser) Portions() map[string]float64 {
	portions := make(map[string]float64, len(c.services))
	for name, service := range c.services {
		portions[name] = service.portion.value
	}
	return portions
}

// Outcomes returns the number of requests by target zone and reason.
func (c *Chooser) Outcomes() map[Outcome]int64 {
	outcomes := make(map[Outcome]int64, len(c.outcomes))
	for outcome, count := range c.outcomes {
		outcomes[outcome] = count
	}
	return outcomes
}

func (c *Chooser) service(name string) *service {
	known := c.services[name]
	if known == nil {
		known = &service{starts: make(map[string]float64), offset: float64(c.options.Seed%1_000_003) / 1_000_003}
		known.credit = known.offset
		c.services[name] = known
	}
	return known
}

// IsDue reports whether Update should be called before the next plan.
func (c *Chooser) IsDue(now time.Time, name string) bool {
	return now.Sub(c.service(name).updatedAt) >= updateInterval
}

// Update decides the portion anew from the load of all servers of the service that may be
// used.
func (c *Chooser) Update(now time.Time, name string, servers []Server) {
	service := c.service(name)
	zones := make(map[string]*zoneLoad)
	var in inputs
	service.weights = service.weights[:0]
	for _, server := range servers {
		if server.Zone == c.options.Zone {
			in.own.add(server)
			continue
		}
		in.other.add(server)
		if zones[server.Zone] == nil {
			zones[server.Zone] = &zoneLoad{}
		}
		zones[server.Zone].add(server)
		if !server.HasFailed {
			service.weights = append(service.weights, weightedServer{id: server.ID, weight: max(server.room(), minWeight*float64(server.Slots))})
		}
	}
	in.otherWait, in.cost = c.expectation(name, zones)
	service.portion.update(now.Sub(service.updatedAt), in)
	service.inputs, service.updatedAt = in, now
	c.log(now, name, service)
}

// expectation returns the expected wait and the cost of a usual request that leaves: the means
// over the other zones, weighted by what these can take.
func (c *Chooser) expectation(name string, zones map[string]*zoneLoad) (wait, cost time.Duration) {
	weights, waits, costs := 0.0, 0.0, 0.0
	bytes := int64(c.service(name).bytes)
	for zone, load := range zones {
		weight := max(load.room, minWeight*load.slots)
		weights += weight
		waits += weight * float64(load.wait())
		costs += weight * float64(c.Cost(name, zone, bytes))
	}
	if weights == 0 {
		return 0, 0
	}
	return time.Duration(waits / weights), time.Duration(costs / weights)
}

// Cost returns what sending a request to a server of the zone costs: the measured time for
// the way, and the price of the bytes of request and response.
func (c *Chooser) Cost(name, zone string, bytes int64) time.Duration {
	if zone == c.options.Zone {
		return 0
	}
	way := minWay
	service := c.service(name)
	own, ownKnown := service.starts[c.options.Zone]
	if other, known := service.starts[zone]; known && ownKnown {
		way = min(maxWay, max(minWay, time.Duration((other-own)*float64(time.Second))))
	}
	return way + time.Duration(float64(bytes)/priceBytes*float64(c.options.BytePrice))
}

// RecordStart records the time to the first byte of a response for which the server read
// next to nothing.
func (c *Chooser) RecordStart(name, zone string, duration time.Duration) {
	service := c.service(name)
	known, found := service.starts[zone]
	measured := duration.Seconds()
	switch {
	case !found:
		service.starts[zone] = measured
	case measured > known:
		service.starts[zone] = known + riseGain*(measured-known)
	default:
		service.starts[zone] = known + fallGain*(measured-known)
	}
}

// Plan is the decision about one request.
type Plan struct {
	mayLeave bool
	counted  bool // Whether the request belongs to the portion.
	reason   Reason
	servers  [3]string
}

// MayLeave reports whether the request may be sent to one of the servers of other zones.
func (p Plan) MayLeave() bool { return p.mayLeave }

// Reason returns why the request may leave, or may not.
func (p Plan) Reason() Reason { return p.reason }

// Allows reports whether the server of another zone may be chosen.
func (p Plan) Allows(serverID string) bool {
	return p.mayLeave && (serverID == p.servers[0] || serverID == p.servers[1] || serverID == p.servers[2])
}

// Servers returns the servers of other zones that may be chosen, empty if there are none. They
// are drawn by their free capacity, so that the halls of a zone do not all choose the one that
// looks best. The third is set by Prefer.
func (p Plan) Servers() (first, second, third string) {
	return p.servers[0], p.servers[1], p.servers[2]
}

// Plan returns the decision about the next request of the service. It is the same until
// Record is called.
func (c *Chooser) Plan(name string) Plan {
	service := c.service(name)
	plan := Plan{reason: service.portion.reason, counted: service.portion.value > 0 && service.credit+service.portion.value >= 1}
	switch service.portion.reason {
	case ReasonFull, ReasonUnusable:
		plan.mayLeave = true
	case ReasonFree, ReasonPortion, ReasonAlone, ReasonDelay, ReasonHistory:
		if plan.mayLeave = plan.counted; service.portion.value > 0 {
			plan.reason = ReasonPortion // Also on the way back to none.
		}
	}
	if plan.mayLeave {
		plan.servers[0] = service.draw(goldenRatio, nil)
		plan.servers[1] = service.draw(silverRatio, nil)
	}
	return plan
}

// Prefer returns the plan with a third server, drawn from those that the map has, if there are
// any. They are to hold a part of the prompt, which others would have to read.
func (c *Chooser) Prefer(name string, plan Plan, preferred map[string]bool) Plan {
	if plan.mayLeave && len(preferred) > 0 {
		plan.servers[2] = c.service(name).draw(plasticRatio, preferred)
	}
	return plan
}

// draw returns a server of another zone, which is one of those in the map unless that is nil. It
// is empty if there is none. Each gets a part of the draws in proportion to its weight.
func (s *service) draw(step float64, among map[string]bool) string {
	total := 0.0
	for _, server := range s.weights {
		if among == nil || among[server.id] {
			total += server.weight
		}
	}
	_, position := math.Modf(s.offset + float64(s.drawn)*step)
	position *= total
	drawn := ""
	for _, server := range s.weights {
		if among != nil && !among[server.id] {
			continue
		}
		if drawn = server.id; position < server.weight {
			break
		}
		position -= server.weight
	}
	return drawn
}

// Record counts a request that was sent according to the plan to a server of the zone. reason
// is that of a request that left although the plan did not allow it, empty for others. bytes
// is the size of the request and the expected response.
func (c *Chooser) Record(name string, plan Plan, zone string, reason Reason, bytes int64) {
	service := c.service(name)
	service.bytes += bytesGain * (float64(bytes) - service.bytes)
	service.credit += service.portion.value
	if plan.counted {
		service.credit--
	}
	service.credit = min(1, max(0, service.credit))
	if plan.mayLeave {
		service.drawn++
	}
	outcome := Outcome{Other: zone != c.options.Zone, Reason: plan.reason}
	switch {
	case outcome.Other && reason != "":
		outcome.Reason = reason
	case !outcome.Other && plan.mayLeave:
		outcome.Reason = ReasonDelay
	}
	c.outcomes[outcome]++
}

// log logs a change of the portion or its reason.
func (c *Chooser) log(now time.Time, name string, service *service) {
	current, in := service.portion, service.inputs
	changed := current.reason != service.loggedReason || math.Abs(current.value-service.loggedPortion) >= loggedChange ||
		(current.value == 0) != (service.loggedPortion == 0)
	if !changed || now.Sub(service.loggedAt) < logInterval {
		return
	}
	service.loggedAt, service.loggedPortion, service.loggedReason = now, current.value, current.reason
	c.options.Logger.Info("portion of requests that may leave the zone", zap.String("service", name), zap.String("zone", c.options.Zone),
		zap.Float64("portion", current.value), zap.String("reason", string(current.reason)), zap.Float64("load", in.own.load()),
		zap.Int("servers", in.own.servers), zap.Int("failedServers", in.own.unusables), zap.Float64("slots", in.own.slots), zap.Float64("requests", in.own.requests),
		zap.Float64("room", in.own.room), zap.Duration("wait", in.own.wait()), zap.Duration("oldestReport", in.own.oldest),
		zap.Int("otherServers", in.other.servers), zap.Float64("otherSlots", in.other.slots), zap.Float64("otherRequests", in.other.requests),
		zap.Float64("otherRoom", in.other.room), zap.Duration("otherWait", in.otherWait), zap.Duration("otherOldestReport", in.other.oldest),
		zap.Duration("cost", in.cost), zap.Float64("usualBytes", service.bytes))
}
