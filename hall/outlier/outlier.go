// Package outlier compares the backend servers of a service with each other: how fast they
// are, how often they fail, and which of them receive no requests for a while.
//
// A server that fails at once, or says nothing, looks idle by its load and attracts requests.
// So a server that fails or is silent clearly more often than its peers is ejected for a time
// that doubles with each repetition, and returns with one request at a time. What all servers
// show is the fault of something else and ejects none of them. At most a part of a service's
// servers are ejected, and never the last one of a software version. Halls share their
// evidence, since each of them sends a server only a few requests.
//
// # Usage
//
//	detector := outlier.New("front-a-1", time.Now, logger)
//	detector.Record(outlier.Observation{Service: "models", Server: "i-7f3a", Result: outlier.Answered, Work: 30 * time.Millisecond})
//	assessment := detector.Assess("models", servers)
//	if !assessment.Of("i-7f3a").Allows(open) { … }
//	reply := detector.Exchange(summary) // Of another hall.
package outlier

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/backend"
)

const (
	// assessInterval is how long an assessment is used.
	assessInterval = 100 * time.Millisecond
	// minFailures is the least evidence of failures, weighted by age, for an ejection. One
	// failure alone may have any cause.
	minFailures = 1.8
	// minFailureRate is the least rate of failures for an ejection.
	minFailureRate = 0.25
	// rateMargin is by how much the rate must exceed the median of the service. What its
	// peers show as well is not the server's fault.
	rateMargin = 0.2
	// maxEjectedPortion is the largest portion of a service's servers that are ejected: the
	// others have to serve their requests.
	maxEjectedPortion = 0.3
	// firstEjection and maxEjection bound the time of an ejection, which doubles.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// staleAnswers is the weight of answers from before a silence. A server that stops
	// responding has answered until then, and should not be tried until that is outweighed.
	staleAnswers = 0.1
	// minReturnFailures is the least evidence of failures, weighted by age, that ejects a
	// returning server again: a single one that is not yet old.
	minReturnFailures = 0.5
	// returnAnswers is how many answers, weighted by age, end the return of a server.
	returnAnswers = 6
	// returnPeriod ends the return of a server that gets too few requests for that.
	returnPeriod = 5 * time.Second
	// maxServers bounds the servers of a service of which evidence is kept.
	maxServers = 16_384
	// forgetPeriod is the time after its return after which an ejection no longer makes the
	// next one longer.
	forgetPeriod = 20 * time.Second
)

// Result is how a server responded to one request.
type Result int

// The results.
const (
	// Answered is a response, also one that refuses the request without running it.
	Answered Result = iota
	// Failed is a failure of a request that the server ran, or a broken response.
	Failed
	// Silent is a request without a response for longer than its route and prompt explain.
	Silent
)

// Observation is the result of one request at a server.
type Observation struct {
	Service string
	Server  string
	// Route names requests whose work is alike.
	Route  string
	Result Result
	// Work is the time to the first event without that for reading the prompt, zero if not
	// measured.
	Work time.Duration
	// PerToken is the time for each token of the response, zero if not measured.
	PerToken time.Duration
}

// Verdict is what is known of one server. The zero value is that of a server like its peers.
type Verdict struct {
	slowness    float64 // Zero stands for 1.
	failureRate float64
	ejected     bool
	returning   bool
	maxOpen     int // Of a returning server.
	answers     float64
	silences    float64
}

// Slowness returns the time that work takes relative to the other servers: 1 is as usual, 2
// twice as long.
func (v Verdict) Slowness() float64 {
	if v.slowness == 0 {
		return 1
	}
	return v.slowness
}

// FailureRate returns the portion of requests that fail or get no response, 0 to 1.
func (v Verdict) FailureRate() float64 { return v.failureRate }

// IsEjected reports whether the server receives no requests while others can.
func (v Verdict) IsEjected() bool { return v.ejected }

// Allows reports whether the server should receive a request from this hall, which has the
// given number of requests open there.
func (v Verdict) Allows(open int) bool {
	return !v.ejected && (!v.returning || open < v.maxOpen)
}

// Assessment holds the verdicts on the servers of one service. Its nil value has no evidence.
type Assessment struct {
	verdicts map[string]Verdict
	answers  float64 // Of all servers, weighted by age.
	silences float64
}

// Of returns the verdict on a server.
func (a *Assessment) Of(serverID string) Verdict {
	if a == nil {
		return Verdict{}
	}
	return a.verdicts[serverID]
}

// Detector holds the evidence of all services. It is safe for concurrent use.
type Detector struct {
	ownName string
	now     func() time.Time
	logger  *zap.Logger

	mutex     sync.Mutex
	sequence  uint64
	services  map[string]*service
	ejections int64
}

// service is the evidence of one service.
type service struct {
	baselines  *baselines
	servers    map[string]*record
	assessment *Assessment
	assessedAt time.Time
}

// record is the evidence of one server.
type record struct {
	own          evidence
	others       map[string]sharedEvidence // By hall.
	sequence     uint64                    // Of the own evidence.
	ejectedUntil time.Time
	ejectedAt    time.Time
	ejections    int // In a row.
	ejected      bool
	returning    bool
	silentAt     time.Time // When a request without a response was last noticed.
}

// New returns a Detector without evidence. ownName is the name of this hall.
func New(ownName string, now func() time.Time, logger *zap.Logger) *Detector {
	// The sequence goes on above that of a former process of this hall.
	return &Detector{ownName: ownName, now: now, logger: logger, sequence: uint64(now().UnixNano()), services: make(map[string]*service)}
}

// Ejections returns how many times a server was ejected.
func (d *Detector) Ejections() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ejections
}

// Record adds the result of one request.
func (d *Detector) Record(observation Observation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	service := d.service(observation.Service)
	server := service.record(observation.Server)
	server.own.decay(now)
	if observation.Result == Answered || !server.ejected {
		server.own.count(observation.Result)
	}
	if observation.Result == Silent {
		server.own.answers *= staleAnswers
		server.silentAt = now
	}
	usual := service.baselines.of(observation.Route)
	if usual != nil {
		usual.measure(observation, &server.own)
	}
	d.sequence++
	server.sequence = d.sequence
}

// Assess returns the verdicts on the servers, which are those of the service that may be used.
func (d *Detector) Assess(name string, servers []backend.Server) *Assessment {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	service := d.service(name)
	if service.assessment != nil && now.Sub(service.assessedAt) < assessInterval {
		return service.assessment
	}
	totals := make(map[string]evidence, len(servers))
	speeds := make([]float64, 0, len(servers))
	for _, server := range servers {
		known := service.servers[server.ID()]
		if known == nil {
			continue
		}
		d.advance(now, name, server.ID(), known)
		total := known.total(now)
		totals[server.ID()] = total
		if total.speedWeight >= 1 {
			speeds = append(speeds, total.logRatio())
		}
	}
	d.ejectWorst(now, name, service, servers, totals)
	usual := median(speeds)
	assessment := &Assessment{verdicts: make(map[string]Verdict, len(totals))}
	for id, total := range totals {
		known := service.servers[id]
		assessment.verdicts[id] = Verdict{
			slowness: total.slowness(usual), failureRate: total.failureRate(),
			ejected: known.ejected, returning: known.returning, maxOpen: 1 + int(total.answers)/2,
			answers: total.answers, silences: total.silences,
		}
		assessment.answers += total.answers
		assessment.silences += total.silences
	}
	service.assessment, service.assessedAt = assessment, now
	return assessment
}

// advance begins the return of a server whose ejection is over, and ends it once the server
// answers. What was observed before the return says nothing of the server now.
func (d *Detector) advance(now time.Time, service, id string, server *record) {
	switch {
	case server.ejected && !now.Before(server.ejectedUntil):
		server.ejected, server.returning = false, true
		server.forgetResults(now)
	case server.returning:
		total := server.total(now)
		if total.answers < returnAnswers && now.Sub(server.ejectedUntil) < returnPeriod {
			return
		}
		server.returning = false
		d.logger.Info("backend server is in use again", zap.String("server", id), zap.String("service", service), zap.Int("ejections", server.ejections))
	}
}

// candidate is a server that may be ejected.
type candidate struct {
	id      string
	version string
	rate    float64
}

// ejectWorst ejects the servers that fail clearly more often than their peers, the worst ones
// first, as far as enough others remain.
func (d *Detector) ejectWorst(now time.Time, name string, service *service, servers []backend.Server, totals map[string]evidence) {
	rates, byVersion, ejected := make([]float64, 0, len(servers)), make(map[string]int), 0
	var candidates []candidate
	for _, server := range servers {
		known := service.servers[server.ID()]
		if known != nil && known.ejected {
			ejected++
			continue
		}
		byVersion[server.Version()]++
		total := totals[server.ID()]
		rates = append(rates, total.failureRate())
		if known != nil && total.failureRate() >= minFailureRate && total.bad() >= known.minFailures() {
			candidates = append(candidates, candidate{id: server.ID(), version: server.Version(), rate: total.failureRate()})
		}
	}
	if len(candidates) == 0 {
		return
	}
	usual := median(rates)
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.id, b.id))
	})
	for _, worst := range candidates {
		if worst.rate < usual+rateMargin || float64(ejected+1) > maxEjectedPortion*float64(len(servers)) {
			return
		}
		if byVersion[worst.version] <= 1 {
			continue
		}
		byVersion[worst.version]--
		ejected++
		d.eject(now, name, worst, service.servers[worst.id], totals[worst.id])
	}
}

// eject keeps requests away from a server for a while. The evidence so far has led to this
// ejection and does not count for the next one.
func (d *Detector) eject(now time.Time, service string, worst candidate, server *record, total evidence) {
	if now.Sub(server.ejectedUntil) > forgetPeriod {
		server.ejections = 0
	}
	duration := min(maxEjection, firstEjection<<min(server.ejections, 8))
	server.ejections++
	server.ejectedAt, server.ejectedUntil = now, now.Add(duration)
	server.ejected, server.returning = true, false
	server.forgetResults(now)
	d.ejections++
	d.logger.Info("backend server is ejected: it fails more often than its peers", zap.String("server", worst.id), zap.String("service", service), zap.Duration("for", duration),
		zap.Float64("rate", worst.rate), zap.Float64("answers", total.answers), zap.Float64("failures", total.failures), zap.Float64("silences", total.silences), zap.Int("ejections", server.ejections))
}

// median returns the median of the values, zero if there are none. It sorts them.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Ejected returns how many servers are ejected.
func (d *Detector) Ejected() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, count := d.now(), int64(0)
	for _, service := range d.services {
		for _, server := range service.servers {
			if now.Before(server.ejectedUntil) {
				count++
			}
		}
	}
	return count
}

// HasEvidence reports whether there is anything to share with other halls.
func (d *Detector) HasEvidence() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, service := range d.services {
		for _, server := range service.servers {
			if server.sequence > 0 && d.now().Sub(server.own.at) < maxEvidenceAge {
				return true
			}
		}
	}
	return false
}

// Retain drops the evidence of servers for which listed returns false.
func (d *Detector) Retain(listed func(serverID string) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, service := range d.services {
		for id := range service.servers {
			if !listed(id) {
				delete(service.servers, id)
			}
		}
	}
}

func (d *Detector) service(name string) *service {
	known := d.services[name]
	if known == nil {
		known = &service{baselines: newBaselines(), servers: make(map[string]*record)}
		d.services[name] = known
	}
	return known
}

func (s *service) record(serverID string) *record {
	known := s.servers[serverID]
	if known == nil {
		known = &record{others: make(map[string]sharedEvidence)}
		s.servers[serverID] = known
	}
	return known
}

// total returns the evidence of all halls.
func (r *record) total(now time.Time) evidence {
	total := r.own
	total.decay(now)
	if r.own.at.Before(r.silentAt) {
		total.answers *= staleAnswers
	}
	for hall, other := range r.others {
		if now.Sub(other.evidence.at) > maxEvidenceAge && now.Sub(other.forgotten.at) > maxEvidenceAge {
			delete(r.others, hall)
			continue
		}
		news := other.news(now)
		if other.evidence.at.Before(r.silentAt) {
			news.answers *= staleAnswers
		}
		total.add(news)
	}
	return total
}

// minFailures returns the least evidence of failures for an ejection.
func (r *record) minFailures() float64 {
	if r.returning {
		return minReturnFailures
	}
	return minFailures
}

// forgetResults makes the answers and failures so far count no longer, also if other halls
// send them again as part of their evidence.
func (r *record) forgetResults(now time.Time) {
	r.own.forgetResults()
	for hall, other := range r.others {
		other.forgotten = other.evidence
		other.forgotten.decay(now)
		r.others[hall] = other
	}
}
