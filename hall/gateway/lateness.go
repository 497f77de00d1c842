package gateway

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/catalog"
)

const (
	// lateProgramsSize bounds the LRU cache of programs whose requests gave way.
	lateProgramsSize = 4096
	// maxTimesGivenWay is how many requests of a program give way in a row because it
	// can't make its time. The caller's next attempt goes before new programs, so that
	// programs are delayed and neither lost nor kept waiting for ever.
	maxTimesGivenWay = 1
	// paceGain is the weight of one stream in the measured time for each token.
	paceGain = 0.05
)

// lateness decides which programs can't make their time any more. Where rates or servers
// are short, their requests leave a reserve to programs that can.
type lateness struct {
	givenWay *lru.Cache[string, int] // By program, the requests refused in a row.

	mutex sync.Mutex
	pace  map[string]float64 // By service, measured seconds for each token of a stream.
}

func newLateness() *lateness {
	givenWay, err := lru.New[string, int](lateProgramsSize)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &lateness{givenWay: givenWay, pace: make(map[string]float64)}
}

// recordStream records how long the tokens of a stream took.
func (l *lateness) recordStream(service string, tokens int64, duration time.Duration) {
	if tokens <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	measured := duration.Seconds() / float64(tokens)
	if known, found := l.pace[service]; found {
		measured = known + paceGain*(measured-known)
	}
	l.pace[service] = measured
}

// expectedDuration returns how long a stream of so many tokens is expected to take.
func (l *lateness) expectedDuration(service string, tokens int64) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Duration(l.pace[service] * float64(tokens) * float64(time.Second))
}

// givesWay reports whether a request of a program leaves a reserve to others.
func (l *lateness) givesWay(request *Request, service *catalog.Service) bool {
	if !request.HasProgramTime || request.Program == "" {
		return false
	}
	if request.ProgramTime > l.expectedDuration(service.Name, request.LengthHint) {
		return false
	}
	times, _ := l.givenWay.Get(request.Program)
	return times < maxTimesGivenWay
}

// recordOutcome counts the requests of a program that gave way and were refused in a row.
func (l *lateness) recordOutcome(program string, refused bool) {
	if !refused {
		l.givenWay.Remove(program)
		return
	}
	times, _ := l.givenWay.Get(program)
	l.givenWay.Add(program, times+1)
}

// priority distinguishes requests of running programs, whose work so far is lost if they
// are refused, from those that leave a reserve: the first request of a program, and
// requests of programs that can't make their time any more. A turn that names a previous
// one belongs to a running program; for the others, the hall looks up whether it has sent
// a request of the program to a server before.
func (h *requestHandler) priority() ratelimit.Priority {
	h.late = h.gateway.lateness.givesWay(h.request, h.service)
	isRunning := h.route.Kind != catalog.KindStream || h.request.PreviousTurn != "" || h.gateway.knownPrograms.Contains(h.request.Program)
	if isRunning && !h.late {
		return ratelimit.RunningProgram
	}
	return ratelimit.NewProgram
}
