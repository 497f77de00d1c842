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
	return math.Exp((e.logSlowness - usual*e.speedWeight) / (e.speedWeight + priorSpeed))
}

// baselines are the usual times of a service by route.
type baselines struct{ byRoute map[string]*baseline }

type baseline struct {
	logTime   float64
	deviation float64 // Mean absolute deviation of the logarithm.
	count     int
}

func newBaselines() *baselines { return &baselines{byRoute: make(map[string]*baseline)} }

// ratio returns the measured time relative to the usual one of the route, and adds it to that.
func (b *baselines) ratio(route string, measured time.Duration) float64 {
	known := b.byRoute[route]
	logTime := math.Log(float64(measured))
	if known == nil {
		if len(b.byRoute) >= maxBaselines {
			return 1
		}
		known = &baseline{logTime: logTime}
		b.byRoute[route] = known
	}
	ratio := min(maxRatio, max(1.0/maxRatio, math.Exp(logTime-known.logTime)))
	known.count++
	gain := max(baselineGain, 1/float64(known.count))
	known.logTime += gain * math.Log(ratio)
	known.deviation += gain * (math.Abs(math.Log(ratio)) - known.deviation)
	return ratio
}
