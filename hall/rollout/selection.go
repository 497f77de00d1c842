package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethall.dev/hall/rollout/plan"
	"limpethall.dev/kernel/backend"
)

// grant is the permission of an owner to send requests to the target version.
type grant struct {
	owner     string
	remaining int64 // -1 for any number.
	expiresAt time.Time
	share     float64
	servers   []string
}

func (g *grant) take(now time.Time) bool {
	if !now.Before(g.expiresAt) || g.remaining == 0 {
		return false
	}
	if g.remaining > 0 {
		g.remaining--
	}
	return true
}

// rule says which versions of a service may be used. It is one of the types below.
type rule interface{ isRule() }

type (
	// unrestricted allows all versions.
	unrestricted struct{}
	// without allows all versions but these.
	without struct{ versions []string }
	// preferring allows only one version if it has usable servers.
	preferring struct{ version string }
	// sharing allows the target version by grant.
	sharing struct{ rollout *rollout }
)

func (unrestricted) isRule() {}
func (without) isRule()      {}
func (preferring) isRule()   {}
func (sharing) isRule()      {}

// rule returns the rule for a service. The caller must hold the mutex.
func (r *Rollouts) rule(service string) rule {
	stored, recorded := r.records[service]
	rollout := r.rollouts[service]
	switch {
	case rollout != nil && recorded && stored.Revision > rollout.order.revision:
		// A later order that this hall has not read yet.
		if r.state(rollout) == Done {
			return without{versions: []string{stored.Version}}
		}
		return without{versions: append(rollout.forbidden(), stored.Version)}
	case rollout != nil && r.state(rollout) == Done:
		return preferring{version: rollout.order.version}
	case rollout != nil && (r.state(rollout) == RolledBack || !r.recordsKnown):
		return without{versions: rollout.forbidden()}
	case rollout != nil:
		return sharing{rollout: rollout}
	case recorded && stored.state() != Done:
		return without{versions: []string{stored.Version}} // Withdrawn or rolled back.
	case recorded:
		return preferring{version: stored.Version}
	}
	if added := r.versions(service).added; added != "" {
		return without{versions: []string{added}}
	}
	return unrestricted{}
}

// forbidden returns the versions that receive nothing unless a grant allows it.
func (o *rollout) forbidden() []string {
	if o.previous == "" || o.previous == o.order.version {
		return []string{o.order.version}
	}
	return []string{o.order.version, o.previous}
}

// Select returns which versions may be used for one request. key is equal for requests that
// should go to the same version; without one, requests are spread. A selection of the target
// version takes from the grant.
func (r *Rollouts) Select(service, key string) Selection {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch rule := r.rule(service).(type) {
	case without:
		return r.exclude(service, rule.versions)
	case preferring:
		if r.versions(service).usable[rule.version] > 0 {
			return Selection{only: &rule.version}
		}
	case sharing:
		return r.share(service, key, rule.rollout)
	}
	return Selection{}
}

// Allowed reports whether one request that is pinned to a version may be sent. A request to
// the target version takes from the grant, so Allowed must be called once for each send.
func (r *Rollouts) Allowed(service, version string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch rule := r.rule(service).(type) {
	case without:
		return !slices.Contains(rule.versions, version)
	case preferring:
		return version == rule.version || r.versions(service).usable[rule.version] == 0
	case sharing:
		if version == rule.rollout.order.version {
			return rule.rollout.expose(r.options.Now())
		}
		return version != rule.rollout.previous
	}
	return true
}

func (r *Rollouts) share(service, key string, rollout *rollout) Selection {
	now := r.options.Now()
	version := rollout.order.version
	if position(version, key) >= rollout.grant.share || r.versions(service).usable[version] == 0 || !rollout.expose(now) {
		return r.exclude(service, rollout.forbidden())
	}
	return Selection{only: &version, servers: rollout.grant.servers}
}

func (o *rollout) expose(now time.Time) bool {
	if !o.grant.take(now) {
		return false
	}
	o.exposed++
	return true
}

// exclude returns the selection without these versions. A selection excludes one version;
// with several, it names the one with the most servers among the others.
func (r *Rollouts) exclude(service string, versions []string) Selection {
	if len(versions) == 1 {
		return Selection{excluded: versions[0]}
	}
	usable, best := r.versions(service).usable, ""
	for version, count := range usable {
		if slices.Contains(versions, version) {
			continue
		}
		if best == "" || count > usable[best] || (count == usable[best] && version < best) {
			best = version
		}
	}
	if usable[best] == 0 {
		return Selection{excluded: versions[0]}
	}
	return Selection{only: &best}
}

// position maps a key to the range from 0 to 1, at random if it is empty. It depends on the
// version, so that it is not always the same programs that get new versions first.
func position(version, key string) float64 {
	if key == "" {
		return rand.Float64()
	}
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(version)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// Opened records a request that is open at a server until closed is called. It counts as a
// request to the service.
func (r *Rollouts) Opened(service, version string) (closed func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if rollout := r.rollouts[service]; rollout != nil {
		rollout.requests++
	}
	r.count(service, version, 1)
	ended := false
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if !ended {
			ended = true
			r.count(service, version, -1)
		}
	}
}

func (r *Rollouts) count(service, version string, change int64) {
	versions := r.open[service]
	if versions == nil {
		versions = make(map[string]int64)
		r.open[service] = versions
	}
	versions[version] += change
	if versions[version] == 0 {
		delete(versions, version)
	}
	if len(versions) == 0 {
		delete(r.open, service)
	}
}

// openOld returns the requests that are open at other versions than the target.
func (r *Rollouts) openOld(order Order) int64 {
	sum := int64(0)
	for version, count := range r.open[order.service] {
		if version != order.version {
			sum += count
		}
	}
	return sum
}

// Record records the result of a request.
func (r *Rollouts) Record(outcome Outcome) {
	if outcome.Cold {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	rollout := r.rollouts[outcome.Service]
	if rollout == nil || r.state(rollout) != Running {
		return
	}
	key := plan.Key{Route: outcome.Route, Version: outcome.Version, Server: outcome.Server}
	if outcome.Version != rollout.order.version {
		key = plan.Key{Route: outcome.Route} // Old servers are not told apart.
	}
	known := rollout.samples[key]
	if known == nil {
		if len(rollout.samples) >= maxSamples(len(rollout.live)) {
			return
		}
		known = &sample{}
		rollout.samples[key] = known
	}
	known.changed = true
	known.counts.Answers++
	if outcome.Failed {
		known.counts.Failures++
	} else {
		known.counts.FirstByte[plan.Bucket(outcome.FirstByte)]++
	}
}

// versionCounts are the versions of the usable servers of a service in a list.
type versionCounts struct {
	list   *backend.List
	usable map[string]int
	// added is the version that seems to have been added to the others, empty if there is
	// only one.
	added string
}

// versions returns the versions of a service. The caller must hold the mutex.
func (r *Rollouts) versions(service string) versionCounts {
	list := r.options.Directory.List()
	if known, found := r.directories[service]; found && known.list == list {
		return known
	}
	known := newVersionCounts(list, service)
	r.directories[service] = known
	if len(known.usable) == 0 {
		delete(r.directories, service) // Bounds the services.
	}
	return known
}

func newVersionCounts(list *backend.List, service string) versionCounts {
	counts := versionCounts{list: list, usable: make(map[string]int)}
	born := make(map[string]int64) // Of the first server of each version; 0 is unknown.
	for _, server := range list.Usable(service) {
		version := server.Version()
		if counts.usable[version] == 0 || server.Born() < born[version] {
			born[version] = server.Born()
		}
		counts.usable[version]++
	}
	if len(counts.usable) < 2 {
		return counts
	}
	first := true
	for version := range counts.usable {
		if first || isAdded(counts.usable, born, version, counts.added) {
			counts.added, first = version, false
		}
	}
	return counts
}

// isAdded reports whether a version seems to be more recent than another one: its first
// server started later, or it has fewer servers.
func isAdded(usable map[string]int, born map[string]int64, version, other string) bool {
	switch {
	case born[version] != 0 && born[other] != 0 && born[version] != born[other]:
		return born[version] > born[other]
	case usable[version] != usable[other]:
		return usable[version] < usable[other]
	default:
		return version > other
	}
}
