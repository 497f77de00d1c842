package outlier

import (
	"math"
	"time"
)

const (
	// minMeasurements is how many measurements make the usual time of a route known.
	minMeasurements = 20
	// upperDeviations is how many mean deviations the upper usual time is above the usual
	// one. The times of routes vary by a factor, so that deviations are of its logarithm.
	upperDeviations = 3
	// maxSilencePortion is the portion of silences to answers above which silence is usual:
	// the service is overloaded, and moving requests to its other servers helps none.
	maxSilencePortion = 0.05
)

// Usual is what responses of a route usually take. Times that are not known are zero.
type Usual struct {
	upper    time.Duration
	perToken time.Duration
}

// Upper returns the time to the first event, without that for reading the prompt, which few
// responses exceed.
func (u Usual) Upper() time.Duration { return u.upper }

// PerToken returns the time for each token of the response.
func (u Usual) PerToken() time.Duration { return u.perToken }

// Usual returns the usual times of a route of a service.
func (d *Detector) Usual(serviceName, route string) Usual {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := d.services[serviceName]
	if service == nil {
		return Usual{}
	}
	usual := Usual{}
	if known := service.baselines.byRoute[route]; known != nil && known.count >= minMeasurements {
		usual.upper = time.Duration(math.Exp(known.logTime + upperDeviations*known.deviation))
	}
	if known := service.baselines.byRoute[perTokenOf(route)]; known != nil && known.count >= minMeasurements {
		usual.perToken = time.Duration(math.Exp(known.logTime))
	}
	return usual
}

// perTokenOf returns the key of the baseline of the time per token.
func perTokenOf(route string) string { return route + " per token" }

// IsSilenceUnusual reports whether the other servers of the service answered nearly all
// requests at the last assessment.
func (d *Detector) IsSilenceUnusual(serviceName, serverID string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := d.services[serviceName]
	if service == nil || service.assessment == nil {
		return false
	}
	all, own := service.assessment, service.assessment.Of(serverID)
	return all.silences-own.silences < maxSilencePortion*(all.answers-own.answers)
}

// IsEjected reports whether the server is ejected.
func (d *Detector) IsEjected(serviceName, serverID string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service := d.services[serviceName]
	if service == nil || service.servers[serverID] == nil {
		return false
	}
	return d.now().Before(service.servers[serverID].ejectedUntil)
}
