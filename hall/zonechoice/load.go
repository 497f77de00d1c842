package zonechoice

import (
	"math"
	"time"
)

const (
	// nearFull is the load of a zone from which requests are expected to wait: its servers
	// are not loaded evenly, so the first ones are full before all of them are.
	nearFull = 0.85
	// fullDelay is the expected wait in a zone whose servers have just no free slot.
	fullDelay = 35 * time.Millisecond
	// queueDelay is the wait for each request beyond the slots of a server at the usual pace.
	queueDelay = 15 * time.Millisecond
	// paceLifetime is the time constant with which a reported pace loses its weight.
	paceLifetime = 300 * time.Millisecond
	// minPace and maxPace bound the effect of a report.
	minPace, maxPace = 0.5, 10
)

// Server is what a hall knows of the load of one server.
type Server struct {
	ID   string
	Zone string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Requests is the estimated number of requests that it processes or queues.
	Requests float64
	// Pace is how long work takes on the server's machine, in percent of the usual time;
	// zero if not stated.
	Pace int
	// ReportAge is the age of the load report, negative if there is none.
	ReportAge time.Duration
	// HasFailed says that the server failed recently, or takes no further requests now.
	HasFailed bool
}

// pace returns how long work takes as a multiple of the usual time. An old report counts less.
func (s Server) pace() float64 {
	if s.Pace <= 0 || s.ReportAge < 0 {
		return 1
	}
	reported := min(maxPace, max(minPace, float64(s.Pace)/100))
	return 1 + (reported-1)*math.Exp(-float64(s.ReportAge)/float64(paceLifetime))
}

// room returns how many requests the server can take at once. Free slots of a slow machine
// count for less.
func (s Server) room() float64 {
	if s.HasFailed {
		return 0
	}
	return max(0, float64(s.Slots)-s.Requests) / max(1, s.pace())
}

// zoneLoad sums up the servers of one zone that have not failed recently.
type zoneLoad struct {
	servers   int
	slots     float64
	requests  float64
	room      float64
	queue     float64 // Requests beyond the slots, each weighted by the pace of its server.
	minLoad   float64 // Requests per slot of the server with the fewest.
	oldest    time.Duration
	unusables int // Servers that failed recently.
}

func (l *zoneLoad) add(server Server) {
	if server.HasFailed || server.Slots <= 0 {
		l.unusables++
		return
	}
	load := server.Requests / float64(server.Slots)
	if l.servers == 0 || load < l.minLoad {
		l.minLoad = load
	}
	l.servers++
	l.slots += float64(server.Slots)
	l.requests += server.Requests
	l.room += server.room()
	l.queue += max(0, server.Requests-float64(server.Slots)) * server.pace()
	l.oldest = max(l.oldest, server.ReportAge)
}

// load returns the portion of the zone's slots that are not free, 0 to 1.
func (l zoneLoad) load() float64 {
	if l.slots == 0 {
		return 1
	}
	return 1 - min(1, l.room/l.slots)
}

// wait returns the expected wait of a further request in the zone.
func (l zoneLoad) wait() time.Duration { return max(0, l.pressure()) }

// pressure returns the expected wait in the zone. It is negative if the zone can take more
// requests before any waits, down to the negative fullDelay.
func (l zoneLoad) pressure() time.Duration {
	if l.servers == 0 {
		return 0
	}
	crowding := max(-1, (l.load()-nearFull)/(1-nearFull))
	return time.Duration(crowding*float64(fullDelay) + l.queue/float64(l.servers)*float64(queueDelay))
}
