package outlier

import (
	"math"
	"slices"
	"time"

	"limpethall.dev/kernel/wire"
)

const (
	// maxShared bounds the servers in one message to another hall.
	maxShared = 64
	// maxHalls bounds the halls whose evidence about one server is kept.
	maxHalls = 64
	// maxEvidenceAge is the age above which evidence of other halls is not used.
	maxEvidenceAge = 15 * time.Second
	// maxSharedWeight bounds what one hall can add to the evidence about a server.
	maxSharedWeight = 100
	// maxFailuresOfHall bounds the weight of the failures that one other hall observed, so
	// that they alone eject no server: the link of that hall may be their cause.
	maxFailuresOfHall = 1
	// newSilence is the least growth of the weight of silences that shows a new one.
	newSilence = 0.5
	// minSharedFailures is the least evidence of failures, weighted by age, that is shared
	// before evidence of answers.
	minSharedFailures = 0.5
)

// sharedEvidence is the evidence of another hall.
type sharedEvidence struct {
	evidence  evidence
	forgotten evidence // The part of it that no longer counts.
	sequence  uint64
}

// news returns the evidence that counts at the given time. Both parts lose weight alike, so
// that their difference is what was observed since, or less if the other hall has forgotten
// the results as well.
func (s *sharedEvidence) news(now time.Time) evidence {
	known, forgotten := s.evidence, s.forgotten
	known.decay(now)
	if !forgotten.at.IsZero() {
		forgotten.decay(now)
		known.answers = max(0, known.answers-forgotten.answers)
		known.failures = max(0, known.failures-forgotten.failures)
		known.silences = max(0, known.silences-forgotten.silences)
	}
	if bad := known.bad(); bad > maxFailuresOfHall {
		scale := maxFailuresOfHall / bad
		known.answers, known.failures, known.silences = known.answers*scale, known.failures*scale, known.silences*scale
	}
	return known
}

// news is evidence that may be told to another hall.
type news struct {
	evidence              evidence
	hall, service, server string
	sequence              uint64
}

// hasFailures reports whether the evidence is mostly of use for ejections.
func (n *news) hasFailures() bool { return n.evidence.bad() >= minSharedFailures }

// Summary returns the newest evidence of this hall. Evidence of other halls is passed on if it
// tells of failures, which must be known everywhere soon.
func (d *Detector) Summary() *wire.ObservationSummary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	var all []news
	for name, service := range d.services {
		for id, known := range service.servers {
			if known.sequence > 0 && now.Sub(known.own.at) < maxEvidenceAge {
				all = append(all, news{evidence: known.own, hall: d.ownName, service: name, server: id, sequence: known.sequence})
			}
			for hall, other := range known.others {
				told := news{evidence: other.evidence, hall: hall, service: name, server: id, sequence: other.sequence}
				if now.Sub(other.evidence.at) < maxEvidenceAge && told.hasFailures() {
					all = append(all, told)
				}
			}
		}
	}
	if len(all) > maxShared {
		slices.SortFunc(all, compareNews)
		all = all[:maxShared]
	}
	summary := &wire.ObservationSummary{Hall: d.ownName, Servers: make([]*wire.ServerObservation, 0, len(all))}
	for index := range all {
		summary.Servers = append(summary.Servers, all[index].toWire(now))
	}
	return summary
}

// compareNews orders evidence by its use to other halls: that of failures first, as few of
// them decide on an ejection, then the newest.
func compareNews(a, b news) int {
	if a.hasFailures() != b.hasFailures() {
		if a.hasFailures() {
			return -1
		}
		return 1
	}
	return b.evidence.at.Compare(a.evidence.at)
}

// Exchange adds the evidence of another hall and returns that of this one.
func (d *Detector) Exchange(summary *wire.ObservationSummary) *wire.ObservationSummary {
	d.Merge(summary)
	return d.Summary()
}

// Merge adds the evidence in the summary of another hall. Evidence that is known already does
// not count again, whoever passes it on.
func (d *Detector) Merge(summary *wire.ObservationSummary) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	for _, observed := range summary.GetServers()[:min(len(summary.GetServers()), maxShared)] {
		age := time.Duration(observed.GetAgeMilliseconds()) * time.Millisecond
		if observed.GetHall() == d.ownName || observed.GetHall() == "" || age < 0 || age > maxEvidenceAge {
			continue
		}
		service := d.services[observed.GetService()]
		if service == nil {
			continue // This hall sends the service nothing.
		}
		if len(service.servers) >= maxServers && service.servers[observed.GetServer()] == nil {
			continue
		}
		known := service.record(observed.GetServer())
		last, found := known.others[observed.GetHall()]
		at := now.Add(-age)
		if (found && last.sequence >= observed.GetSequence()) || (!found && !at.After(known.ejectedAt)) || (!found && len(known.others) >= maxHalls) {
			continue
		}
		received := sharedEvidence{evidence: fromWire(observed, at), forgotten: last.forgotten, sequence: observed.GetSequence()}
		if last.evidence.decay(at); received.evidence.silences > last.evidence.silences+newSilence && at.After(known.silentAt) {
			known.silentAt = at
		}
		known.others[observed.GetHall()] = received
	}
}

func (n *news) toWire(now time.Time) *wire.ServerObservation {
	known := n.evidence
	return &wire.ServerObservation{
		Hall: n.hall, Service: n.service, Server: n.server, Sequence: n.sequence, AgeMilliseconds: now.Sub(known.at).Milliseconds(),
		Answers: known.answers, Failures: known.failures, Silences: known.silences, Slowness: known.logSlowness, SlownessWeight: known.speedWeight,
	}
}

func fromWire(observed *wire.ServerObservation, at time.Time) evidence {
	speedWeight, slowness := sharedWeight(observed.GetSlownessWeight()), observed.GetSlowness()
	if bound := speedWeight * math.Log(maxRatio); math.IsNaN(slowness) || math.Abs(slowness) > bound {
		slowness, speedWeight = 0, 0
	}
	return evidence{
		answers: sharedWeight(observed.GetAnswers()), failures: sharedWeight(observed.GetFailures()), silences: sharedWeight(observed.GetSilences()),
		logSlowness: slowness, speedWeight: speedWeight, at: at,
	}
}

// sharedWeight returns a weight of another hall within its bounds.
func sharedWeight(value float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(maxSharedWeight, max(0, value))
}
