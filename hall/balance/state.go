package balance

import (
	"math/rand/v2"
	"time"

	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/catalog"
)

// serverState is what this hall knows about the load of one server.
type serverState struct {
	outstanding         int
	lastReport          Load
	reportedAt          time.Time
	outstandingAtReport int     // Requests of this hall when the report arrived.
	logPace             float64 // Mean logarithm of the reported paces, relative to usualPace.
	failedAt            time.Time
	coldSends           []time.Time
	nextColdSend        time.Time // Used if this hall may send less than one cold request per window.
	limitWaitUntil      time.Time // When a request that was granted last may be sent.
	refusedUntil        time.Time // When the limit may allow a request again that waits up to refusedWait.
	refusedWait         time.Duration
}

// hasRoom reports whether the server has free slots and no recent failure.
func (s *serverState) hasRoom(now time.Time, server backend.Server) bool {
	return now.Sub(s.failedAt) >= failureWindow && s.estimatedRequests(now) < float64(slotsOf(server))
}

func slotsOf(server backend.Server) int {
	if server.Slots() == 0 {
		return defaultSlots
	}
	return server.Slots()
}

// estimatedRequests estimates the number of requests at the server: those of
// this hall, plus those of other halls at the last report, weighted down as the
// report ages.
func (s *serverState) estimatedRequests(now time.Time) float64 {
	others := float64(s.lastReport.Running + s.lastReport.Waiting - s.outstandingAtReport)
	if others <= 0 {
		return float64(s.outstanding)
	}
	age := now.Sub(s.reportedAt)
	return float64(s.outstanding) + others*float64(reportHalfLife)/float64(reportHalfLife+age)
}

// allowsColdSend reports whether this hall may send one more request to a cold
// server. With so many halls that each may send less than one request per window,
// each sends at a fixed interval with a random offset, so that the halls do not
// send at the same time.
func (s *serverState) allowsColdSend(now time.Time, service *catalog.Service, hallCount int) bool {
	if interval := coldInterval(service, hallCount); interval > coldRateWindow {
		if now.Sub(s.nextColdSend) > interval {
			s.nextColdSend = now.Add(rand.N(interval))
		}
		return !now.Before(s.nextColdSend)
	}
	expired := 0
	for expired < len(s.coldSends) && now.Sub(s.coldSends[expired]) > coldRateWindow {
		expired++
	}
	s.coldSends = s.coldSends[expired:]
	if service.ColdRate <= 0 {
		return true
	}
	return float64(len(s.coldSends)+1) <= service.ColdRate/float64(max(1, hallCount))
}

// recordColdSend counts a request that is sent to a cold server.
func (s *serverState) recordColdSend(now time.Time, service *catalog.Service, hallCount int) {
	s.coldSends = append(s.coldSends, now)
	s.nextColdSend = now.Add(coldInterval(service, hallCount))
}

// coldInterval returns the interval between two requests of one hall to a cold
// server, or zero if the service has no cold rate.
func coldInterval(service *catalog.Service, hallCount int) time.Duration {
	if service.ColdRate <= 0 {
		return 0
	}
	return time.Duration(float64(max(1, hallCount)) / service.ColdRate * float64(time.Second))
}
