package outlier

import (
	"math"
	"time"
)

const (
	// failureLifetime is the time constant with which evidence of failures loses weight.
	failureLifetime = 5 * time.Second
	// speedLifetime is that of evidence of speed, which changes less often.
	speedLifetime = 10 * time.Second
	// priorAnswers is the weight of the assumption that a server answers.
	priorAnswers = 1
	// usualDeviation is the logarithm of how much slower or faster than its peers a server may
	// be and still counts like them. Twice as much counts in full. Its requests and their prompts change its speed by as
	// much: halls that followed such differences sent twice the mean load to some servers.
	usualDeviation = 0.3
	// priorSpeed is the weight of the assumption that a server is as fast as its peers.
	priorSpeed = 2
	// maxRatio bounds the effect of a single measurement.
	maxRatio = 6
	// baselineGain is the least weight of a measurement in the usual time.
	baselineGain = 0.02
	// maxBaselines bounds the routes whose usual times are known.
	maxBaselines = 256
)

// evidence is what was observed of a server, weighted by age.
type evidence struct {
	answers     float64
	failures    float64
	silences    float64
	logSlowness float64 // Sum of the logarithms of the measured ratios to the usual time.
	speedWeight float64 // Their number.
	at          time.Time
}

// decay reduces the weights to those of the given time.
func (e *evidence) decay(now time.Time) {
	elapsed := now.Sub(e.at)
	e.at = now
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(failureLifetime))
	e.answers, e.failures, e.silences = e.answers*factor, e.failures*factor, e.silences*factor
	factor = math.Exp(-float64(elapsed) / float64(speedLifetime))
	e.logSlowness, e.speedWeight = e.logSlowness*factor, e.speedWeight*factor
}

func (e *evidence) count(result Result) {
	switch result {
	case Answered:
		e.answers++
	case Failed:
		e.failures++
	case Silent:
		e.silences++
	}
}

func (e *evidence) addSpeed(ratio float64) {
	e.logSlowness += math.Log(ratio)
	e.speedWeight++
}

func (e *evidence) add(other evidence) {
	e.answers += other.answers
	e.failures += other.failures
	e.silences += other.silences
	e.logSlowness += other.logSlowness
	e.speedWeight += other.speedWeight
}

func (e *evidence) forgetResults() { e.answers, e.failures, e.silences = 0, 0, 0 }

func (e *evidence) bad() float64 { return e.failures + e.silences }

func (e *evidence) failureRate() float64 { return e.bad() / (e.answers + e.bad() + priorAnswers) }

// logRatio returns the mean logarithm of the measured ratios to the usual time.
func (e *evidence) logRatio() float64 { return e.logSlowness / e.speedWeight }

// slowness returns the time that work takes relative to the median of the peers, whose logRatio
// is usual.
func (e *evidence) slowness(usual float64) float64 {
	deviation := (e.logSlowness - usual*e.speedWeight) / (e.speedWeight + priorSpeed)
	size := math.Abs(deviation)
	return math.Exp(math.Copysign(min(size, max(0, size-usualDeviation)*2), deviation))
}

// baselines are the usual times of a service by route.
type baselines struct{ byRoute map[string]*routeBaselines }

// routeBaselines are the usual times of a route.
type routeBaselines struct{ work, perToken baseline }

type baseline struct {
	logTime   float64
	deviation float64 // Mean absolute deviation of the logarithm.
	count     int
}

func newBaselines() *baselines { return &baselines{byRoute: make(map[string]*routeBaselines)} }

// of returns the usual times of a route, nil if there are too many routes.
func (b *baselines) of(route string) *routeBaselines {
	known := b.byRoute[route]
	if known == nil && len(b.byRoute) < maxBaselines {
		known = &routeBaselines{}
		b.byRoute[route] = known
	}
	return known
}

// ratio returns the measured time relative to the usual one, and adds it to that.
func (b *baseline) ratio(measured time.Duration) float64 {
	logTime := math.Log(float64(measured))
	if b.count == 0 {
		b.logTime = logTime
	}
	ratio := min(maxRatio, max(1.0/maxRatio, math.Exp(logTime-b.logTime)))
	b.count++
	gain := max(baselineGain, 1/float64(b.count))
	b.logTime += gain * math.Log(ratio)
	b.deviation += gain * (math.Abs(math.Log(ratio)) - b.deviation)
	return ratio
}

// usual returns the time that is the given number of deviations above the usual one, zero
// if too little was measured.
func (b *baseline) usual(deviations float64) time.Duration {
	if b.count < minMeasurements {
		return 0
	}
	return time.Duration(math.Exp(b.logTime + deviations*b.deviation))
}

// measure adds the times of an observation to the usual ones, and the server's speed to its
// evidence.
func (b *routeBaselines) measure(observation Observation, server *evidence) {
	ratio := 0.0
	if observation.Work > 0 {
		ratio = b.work.ratio(observation.Work)
	}
	if observation.PerToken > 0 {
		// The time to the first event depends on the queue and on prompts of other requests.
		ratio = b.perToken.ratio(observation.PerToken)
	}
	if ratio > 0 {
		server.addSpeed(ratio)
	}
}
