package outlier

import "time"

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
	known := service.baselines.byRoute[route]
	if known == nil {
		return Usual{}
	}
	return Usual{upper: known.work.usual(upperDeviations), perToken: known.perToken.usual(0)}
}

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
