package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Buckets is the number of buckets of a histogram of the time to the first byte. Bucket i
// counts the answers within 2^(i/2) ms, the last one all longer ones.
const Buckets = 36

const (
	// minFailures and minSlow are the bad answers below which a version is not bad. Times vary
	// more than failures do.
	minFailures = 4
	minSlow     = 6
	// minOldAnswers is the answers of the old version below which there is no comparison.
	minOldAnswers = 5
	// badDeviation is the standard deviations by which a version must be worse. With few
	// answers the distribution is skewed and the comparison is repeated about 80 times in a
	// roll-out: with 3.5, 2 of 400 good versions were rolled back while a fifth of the
	// answers of both versions failed, and 2 of 400 with a tenth in bursts. Beside an old version
	// without failures, 4 failures are above 5.
	badDeviation = 4.5
	// restDeviation and minRest apply to the answers without those of the worst servers.
	restDeviation = 3.5
	minRest       = 2
	// suspectDeviation and minSuspect delay the next step, if servers beside the worst ones
	// are above restSuspectDeviation.
	suspectDeviation     = 2.5
	restSuspectDeviation = 1.5
	minSuspect           = 2
	// rateFactor and the margins say how much worse than the old version is clearly worse.
	rateFactor    = 2
	failureMargin = 0.03
	slowMargin    = 0.1
	// uniformity is the least rate of bad answers without the worst servers, relative to the
	// rate with them. All servers run the same software.
	uniformity = 0.25
	// slowBuckets above the median of the old version are an answer that is at least 2.8
	// times as slow, and minSlowMilliseconds is the least difference.
	slowBuckets         = 3
	minSlowMilliseconds = 20
	// A slice holds the answers on one route of slicePeriod, or of up to maxSlicePeriod until
	// the old version has sliceAnswers. The versions are compared within slices, because
	// the load and the share of the target version change in the same seconds.
	slicePeriod    = 500 * time.Millisecond
	maxSlicePeriod = 2500 * time.Millisecond
	sliceAnswers   = 20
	// recentAnswers of the old version are its rate of failures once it has none any more.
	recentAnswers = 200
	// windowPeriod is the time over which slices are compared beside all slices, so that a
	// version that turns bad late is noticed.
	windowPeriod = 2500 * time.Millisecond
	// maxSlices bounds the slices of a route; the oldest ones are dropped. They cover 32 s at
	// least.
	maxSlices = 64
	maxRoutes = 64
	// maxServers bounds the servers of the target version in one slice.
	maxServers = 1024
)

// Bucket returns the bucket of a time to the first byte.
func Bucket(firstByte time.Duration) int {
	milliseconds := float64(firstByte) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(Buckets-1, int(math.Ceil(2*math.Log2(milliseconds))))
}

// Key identifies what counts are of. The servers of old versions are not told apart: their
// Server is empty.
type Key struct {
	Route   string
	Server  string
	Version string
}

// Counts are numbers of answers. Failures are among the Answers, and not in FirstByte.
type Counts struct {
	Answers   int64
	Failures  int64
	FirstByte [Buckets]int64
}

// Plus returns the sum.
func (c Counts) Plus(other Counts) Counts {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for bucket := range c.FirstByte {
		c.FirstByte[bucket] += other.FirstByte[bucket]
	}
	return c
}

// Minus returns the difference.
func (c Counts) Minus(other Counts) Counts {
	c.Answers -= other.Answers
	c.Failures -= other.Failures
	for bucket := range c.FirstByte {
		c.FirstByte[bucket] -= other.FirstByte[bucket]
	}
	return c
}

// Assessment is the result of the comparison of the target version with the old ones.
type Assessment struct {
	Bad bool
	// Suspect is set if the target version may be bad.
	Suspect bool
	Reason  string
}

// Evidence holds the answers of both versions. It is not safe for concurrent use.
type Evidence struct {
	target        string
	targetAnswers int64
	routes        map[string]*routeEvidence
}

// NewEvidence returns Evidence about a target version.
func NewEvidence(target string) *Evidence {
	return &Evidence{target: target, routes: make(map[string]*routeEvidence)}
}

// Add adds the answers since the last call with the same key.
func (e *Evidence) Add(key Key, counts Counts) {
	route := e.routes[key.Route]
	if route == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		route = &routeEvidence{servers: make(map[string]Counts)}
		e.routes[key.Route] = route
	}
	if key.Version != e.target {
		route.old = route.old.Plus(counts)
		return
	}
	e.targetAnswers += counts.Answers
	if _, known := route.servers[key.Server]; known || len(route.servers) < maxServers {
		route.servers[key.Server] = route.servers[key.Server].Plus(counts)
	}
}

// Advance ends the slices that are complete. It must be called several times a second before
// Assess.
func (e *Evidence) Advance(now time.Time) {
	for _, route := range e.routes {
		route.advance(now)
	}
}

// TargetAnswers returns the answers of the target version.
func (e *Evidence) TargetAnswers() int64 { return e.targetAnswers }

// Assess compares the versions, all routes together and each alone, over all slices and those
// of the last seconds. servers are the usable ones of the target version.
func (e *Evidence) Assess(now time.Time, servers int) Assessment {
	result := Assessment{Reason: "nothing bad"}
	for _, since := range []time.Time{{}, now.Add(-windowPeriod)} {
		for _, kind := range []kind{failures, slowness} {
			var all []stratum
			for _, name := range slices.Sorted(maps.Keys(e.routes)) {
				strata := e.routes[name].strata(kind, since)
				all = append(all, strata...)
				result = result.worst(assess(strata, kind, servers, name))
			}
			result = result.worst(assess(all, kind, servers, "all"))
		}
	}
	return result
}

func (a Assessment) worst(other Assessment) Assessment {
	if (other.Bad && !a.Bad) || (other.Suspect && !a.Suspect && !a.Bad) {
		return other
	}
	return a
}

// routeEvidence holds the answers on one route: those of the slice in progress, and the
// slices before it, oldest first.
type routeEvidence struct {
	openedAt time.Time
	old      Counts
	servers  map[string]Counts // Of the target version.
	slices   []slice
}

// slice holds the comparisons by kind, without servers if there is none.
type slice struct {
	endedAt time.Time
	old     tally // Failures of the old version.
	strata  [2]stratum
}

func (r *routeEvidence) advance(now time.Time) {
	if r.openedAt.IsZero() {
		r.openedAt = now
	}
	period := now.Sub(r.openedAt)
	if period < slicePeriod || (period < maxSlicePeriod && r.old.Answers < sliceAnswers) {
		return
	}
	r.slices = append(r.slices, slice{endedAt: now, old: r.old.tally(failures, 0), strata: [2]stratum{r.stratum(failures), r.stratum(slowness)}})
	if len(r.slices) > maxSlices {
		r.slices = r.slices[1:]
	}
	r.openedAt, r.old, r.servers = now, Counts{}, make(map[string]Counts)
}

// strata returns the comparisons since a time, with that of the slice in progress.
func (r *routeEvidence) strata(kind kind, since time.Time) []stratum {
	var strata []stratum
	for _, slice := range r.slices {
		if slice.endedAt.After(since) && len(slice.strata[kind].servers) > 0 {
			strata = append(strata, slice.strata[kind])
		}
	}
	if current := r.stratum(kind); len(current.servers) > 0 {
		strata = append(strata, current)
	}
	return strata
}

// kind is a way to be bad.
type kind int

const (
	failures kind = iota
	slowness
)

func (k kind) String() string {
	if k == failures {
		return "failed"
	}
	return "slow"
}

// tally counts answers and the bad ones among them.
type tally struct{ answers, bad int64 }

func (t tally) plus(other tally) tally {
	return tally{answers: t.answers + other.answers, bad: t.bad + other.bad}
}

func (t tally) rate() float64 { return float64(t.bad) / float64(max(1, t.answers)) }

// stratum compares the versions on one route in one slice.
type stratum struct {
	old     tally
	servers map[string]tally
}

// stratum returns the comparison of the slice in progress, without servers if there are too
// few answers of the old version. In the last step, which has none, the rate of failures is
// that of the slices before; times are not compared then, as they depend on the load.
func (r *routeEvidence) stratum(kind kind) stratum {
	slowest := r.old.slowBucket()
	old := r.old.tally(kind, slowest)
	if old.answers < minOldAnswers && kind == failures {
		old = r.recentOld()
	}
	if old.answers < minOldAnswers {
		return stratum{}
	}
	compared := stratum{old: old, servers: make(map[string]tally, len(r.servers))}
	for server, counts := range r.servers {
		if tally := counts.tally(kind, slowest); tally.answers > 0 {
			compared.servers[server] = tally
		}
	}
	return compared
}

// recentOld returns the failures of the old version in the last slices. With 20 answers alone,
// no number of failures of the target version would be above badDeviation.
func (r *routeEvidence) recentOld() tally {
	sum := tally{}
	for index := len(r.slices) - 1; index >= 0 && sum.answers < recentAnswers; index-- {
		sum = sum.plus(r.slices[index].old)
	}
	return sum
}

func (c Counts) tally(kind kind, slowest int) tally {
	if kind == failures {
		return tally{answers: c.Answers, bad: c.Failures}
	}
	result := tally{}
	for bucket, count := range c.FirstByte {
		result.answers += count
		if bucket >= slowest {
			result.bad += count
		}
	}
	return result
}

// slowBucket returns the first bucket of answers that are slow beside these.
func (c Counts) slowBucket() int {
	total := int64(0)
	for _, count := range c.FirstByte {
		total += count
	}
	median, below := 0, c.FirstByte[0]
	for median < Buckets-1 && 2*below < total {
		median++
		below += c.FirstByte[median]
	}
	milliseconds := math.Exp2(float64(median) / 2)
	return max(median+slowBuckets, Bucket(time.Duration((milliseconds+minSlowMilliseconds)*float64(time.Millisecond))))
}

// comparison is a Mantel-Haenszel test: the bad answers of the target version against those
// expected if each route had one rate for both versions.
type comparison struct {
	target, old tally
	deviation   float64
}

func compare(strata []stratum, without map[string]bool) comparison {
	result := comparison{}
	expected, variance := 0.0, 0.0
	for _, stratum := range strata {
		target := tally{}
		for server, tally := range stratum.servers {
			if !without[server] {
				target = target.plus(tally)
			}
		}
		result.target, result.old = result.target.plus(target), result.old.plus(stratum.old)
		if target.answers == 0 {
			continue
		}
		all := target.plus(stratum.old)
		expected += float64(target.answers) * all.rate()
		variance += float64(target.answers) * float64(stratum.old.answers) * all.rate() * (1 - all.rate()) / float64(all.answers-1)
	}
	if variance > 0 {
		result.deviation = (float64(result.target.bad) - expected) / math.Sqrt(variance)
	}
	return result
}

// exceeds reports whether the target version is clearly worse.
func (c comparison) exceeds(kind kind, minBad int64, deviation float64) bool {
	margin := failureMargin
	if kind == slowness {
		margin = slowMargin
	}
	return c.target.bad >= minBad && c.deviation >= deviation && c.target.rate() >= rateFactor*c.old.rate()+margin
}

func assess(strata []stratum, kind kind, servers int, route string) Assessment {
	minBad := int64(minFailures)
	if kind == slowness {
		minBad = minSlow
	}
	total := compare(strata, nil)
	if !total.exceeds(kind, minSuspect, suspectDeviation) {
		return Assessment{}
	}
	result := Assessment{Suspect: true, Reason: fmt.Sprintf("route %s: %d of %d answers %s, at the old version %d of %d",
		route, total.target.bad, total.target.answers, kind, total.old.bad, total.old.answers)}
	worst, answered := worstServers(strata)
	if answered > 1 || servers > 1 {
		rest := compare(strata, worst)
		if !rest.exceeds(kind, minRest, restDeviation) || rest.target.rate() < uniformity*total.target.rate() {
			// If other servers show nothing, the version is not suspect either.
			result.Suspect = rest.target.bad > 0 && rest.deviation >= restSuspectDeviation
			return result
		}
	}
	result.Bad = total.exceeds(kind, minBad, badDeviation)
	return result
}

// worstServers returns the quarter of the servers with the most bad answers, at least one, and
// the number of servers that answered.
func worstServers(strata []stratum) (worst map[string]bool, answered int) {
	sums := make(map[string]tally)
	for _, stratum := range strata {
		for server, tally := range stratum.servers {
			sums[server] = sums[server].plus(tally)
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b].bad, sums[a].bad), cmp.Compare(a, b))
	})
	worst = make(map[string]bool)
	for _, name := range names[:max(1, len(names)/4)] {
		worst[name] = true
	}
	return worst, len(names)
}
