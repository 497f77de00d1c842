package serverlimit

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// maxCandidates is how many halls, in the order of rendezvous hashing, may own the
	// limit of a server. Halls that do not answer are passed over.
	maxCandidates = 8
	// maxCalls is how many of them are called for one request.
	maxCalls = 2
	// contactPeriod is how long the answer of another hall proves that this hall is not
	// cut off from all of them.
	contactPeriod = 2 * time.Second
	// acquireTimeout bounds one call to another hall.
	acquireTimeout = 100 * time.Millisecond
	// refusedRetryDelay is how long a hall that has no memory for a call is not asked for the
	// same server.
	refusedRetryDelay = 100 * time.Millisecond
	// minRate is the rate at which a server with a lower limit still gets requests: only
	// its responses tell that the limit has changed.
	minRate = 0.2
	// maxInformed bounds the observations in one message to another hall.
	maxInformed = 32
)

// ExceededError reports that a request would exceed the limit of its server.
type ExceededError struct {
	serverID   string
	rate       float64
	retryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("server %s takes %g requests/s from all halls together", e.serverID, e.rate)
}

// RetryAfter returns how long not to ask for this server again.
func (e *ExceededError) RetryAfter() time.Duration { return e.retryAfter }

// Peer is the RPC interface of another hall.
type Peer interface {
	Acquire(ctx context.Context, request *wire.AcquireRequest) (*wire.AcquireReply, error)
	Inform(ctx context.Context, request *wire.InformRequest) (*wire.Empty, error)
}

// Limiter keeps the halls together within the limits that backend servers name. Each
// limit has an owner that decides about all requests to the server: the first of the
// halls that answer by rendezvous hashing of the server's ID. So a limit of one request
// per second is not divided among halls. A request to a limited server costs one call, at most. Halls tell each
// other with these calls what the server said last.
//
// The state is in memory. A hall that takes over from another one starts without a
// burst. A hall that hears no other one sends no more than an equal part of the limit.
type Limiter struct {
	ownName string
	halls   func() []host.Member
	client  func(hall host.Member) Peer
	tracker *Tracker
	logger  *zap.Logger

	granted atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	// lastContact is when another hall last called or answered, in Unix nanoseconds.
	lastContact atomic.Int64

	mutex       sync.Mutex
	schedules   map[string]*schedule // By server ID, for the limits that this hall owns.
	isolated    map[string]*schedule // By server ID, for the part used while no other hall is heard.
	unreachable map[string]bool      // Halls that did not answer, until a probe is answered.
}

// New returns the Limiter of the hall ownName. halls returns the live halls; client
// returns an RPC client for another hall.
func New(ownName string, halls func() []host.Member, client func(hall host.Member) Peer, tracker *Tracker, logger *zap.Logger) *Limiter {
	return &Limiter{
		ownName: ownName, halls: halls, client: client, tracker: tracker, logger: logger,
		schedules: make(map[string]*schedule), isolated: make(map[string]*schedule), unreachable: make(map[string]bool),
	}
}

// Tracker returns what the servers said about their limits.
func (l *Limiter) Tracker() *Tracker { return l.tracker }

// Calls returns the number of calls to other halls by outcome.
func (l *Limiter) Calls() map[string]int64 {
	return map[string]int64{"granted": l.granted.Load(), "refused": l.refused.Load(), "failed": l.failed.Load()}
}

// Acquire takes the permission to send one request to the server. It returns how long
// to wait before sending, at most maxWait, or an *ExceededError. A negative maxWait takes
// only what the limit has left unused for that long.
func (l *Limiter) Acquire(ctx context.Context, serverID string, maxWait time.Duration) (time.Duration, error) {
	observation := l.tracker.Current(serverID)
	if !observation.statement.limited {
		return 0, nil
	}
	rate := max(minRate, observation.statement.rate)
	halls := l.halls()
	candidates := host.Top(serverID, halls, maxCandidates)
	calls := 0
	for _, hall := range candidates {
		if hall.Name() == l.ownName {
			if !l.isInTouch(ctx, halls) {
				break
			}
			return l.reserve(serverID, rate, maxWait)
		}
		if calls == maxCalls || l.isUnreachable(hall.Name()) {
			continue
		}
		calls++
		reply, err := l.ask(ctx, hall, serverID, maxWait, observation)
		switch {
		case err != nil && ctx.Err() != nil:
			return 0, ctx.Err()
		case err != nil:
			continue
		case reply.GetGranted():
			return microseconds(reply.GetWaitMicroseconds()), nil
		default:
			return 0, &ExceededError{serverID: serverID, rate: rate, retryAfter: microseconds(reply.GetWaitMicroseconds())}
		}
	}
	return l.reserveIsolated(serverID, rate/float64(max(1, len(halls))), maxWait)
}

// isInTouch reports whether another hall has answered or called within contactPeriod. If
// none has, it asks one. A hall that is cut off must not grant itself the whole limit,
// because the other halls take another one as the owner.
func (l *Limiter) isInTouch(ctx context.Context, halls []host.Member) bool {
	if time.Since(time.Unix(0, l.lastContact.Load())) < contactPeriod {
		return true
	}
	others := 0
	for _, offset := range rand.Perm(len(halls)) {
		hall := halls[offset]
		if hall.Name() == l.ownName {
			continue
		}
		others++
		if l.isUnreachable(hall.Name()) {
			continue
		}
		if _, err := l.ask(ctx, hall, "", 0, Observation{}); err == nil {
			return true
		}
		if others == maxCalls {
			break
		}
	}
	return others == 0
}

// Grant answers a call of another hall for a server whose limit this hall owns.
func (l *Limiter) Grant(request *wire.AcquireRequest) *wire.AcquireReply {
	now := time.Now()
	l.lastContact.Store(now.UnixNano())
	observation := l.tracker.Observe(now, request.GetServer(), decodeObservation(now, request.GetObservation()))
	rate := max(minRate, observation.statement.rate)
	reply := &wire.AcquireReply{Granted: true, Observation: encodeObservation(now, observation)}
	if !observation.statement.limited {
		return reply
	}
	wait, err := l.reserve(request.GetServer(), rate, microseconds(request.GetMaxWaitMicroseconds()))
	var exceededErr *ExceededError
	if errors.As(err, &exceededErr) {
		reply.Granted, wait = false, exceededErr.retryAfter
	}
	reply.WaitMicroseconds = wait.Microseconds()
	return reply
}

// Spread tells one random hall what servers said about their limits, if any server named
// one. Called every second at each hall, it reaches all halls within a time that grows
// with the logarithm of their number, also those that do not use these servers yet.
func (l *Limiter) Spread(ctx context.Context) {
	halls := l.halls()
	observations := l.tracker.sample(maxInformed)
	if len(observations) == 0 || len(halls) < 2 {
		return
	}
	hall := halls[rand.IntN(len(halls))]
	if hall.Name() == l.ownName || l.isUnreachable(hall.Name()) {
		return
	}
	now := time.Now()
	request := &wire.InformRequest{Hall: l.ownName, Observations: make(map[string]*wire.LimitObservation, len(observations))}
	for serverID, observation := range observations {
		request.Observations[serverID] = encodeObservation(now, observation)
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	if _, err := l.client(hall).Inform(ctx, request); err != nil {
		l.failed.Add(1)
		if ctx.Err() != context.Canceled && !failure.IsRefused(err) {
			l.markUnreachable(hall.Name(), err)
		}
	}
}

// Probe asks the halls that did not answer whether they do now. It is called several
// times a second: while some halls still pass over the owner of a limit that is back, two
// halls decide about the limit.
func (l *Limiter) Probe(ctx context.Context) {
	listed := make(map[string]host.Member)
	for _, hall := range l.halls() {
		listed[hall.Name()] = hall
	}
	var group sync.WaitGroup
	for _, name := range l.unreachableHalls() {
		hall, found := listed[name]
		if !found {
			l.markReachable(name) // It is not asked, as it is not on the roster.
			continue
		}
		group.Go(func() {
			// An error leaves it unreachable.
			_ = task.Guard(l.logger, "limit owner probe", func() error {
				_, err := l.ask(ctx, hall, "", 0, Observation{})
				return err
			})
		})
	}
	group.Wait()
}

// Inform records what another hall knows of the limits of servers.
func (l *Limiter) Inform(request *wire.InformRequest) {
	now := time.Now()
	l.lastContact.Store(now.UnixNano())
	for serverID, observation := range request.GetObservations() {
		l.tracker.Observe(now, serverID, decodeObservation(now, observation))
	}
}

// Retain removes the state of servers for which keep returns false.
func (l *Limiter) Retain(keep func(serverID string) bool) {
	l.tracker.Retain(keep)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, schedules := range []map[string]*schedule{l.schedules, l.isolated} {
		for serverID := range schedules {
			if !keep(serverID) {
				delete(schedules, serverID)
			}
		}
	}
}

// ask calls another hall for the permission to send a request to a server whose limit
// that hall owns.
func (l *Limiter) ask(ctx context.Context, hall host.Member, serverID string, maxWait time.Duration, observation Observation) (*wire.AcquireReply, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := l.client(hall).Acquire(ctx, &wire.AcquireRequest{
		Hall: l.ownName, Server: serverID, MaxWaitMicroseconds: maxWait.Microseconds(), Observation: encodeObservation(time.Now(), observation),
	})
	now := time.Now()
	if failure.IsRefused(err) {
		// The hall goes on deciding about the limit, so nobody may pass it over.
		l.lastContact.Store(now.UnixNano())
		l.markReachable(hall.Name())
		l.refused.Add(1)
		return &wire.AcquireReply{WaitMicroseconds: refusedRetryDelay.Microseconds()}, nil
	}
	if err != nil {
		l.failed.Add(1)
		if ctx.Err() != context.Canceled {
			l.markUnreachable(hall.Name(), err)
		}
		return nil, err
	}
	l.lastContact.Store(now.UnixNano())
	l.markReachable(hall.Name())
	l.tracker.Observe(now, serverID, decodeObservation(now, reply.GetObservation()))
	if reply.GetGranted() {
		l.granted.Add(1)
	} else {
		l.refused.Add(1)
	}
	return reply, nil
}

// reserve takes a request of a limit that this hall owns.
func (l *Limiter) reserve(serverID string, rate float64, maxWait time.Duration) (time.Duration, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	server := l.schedules[serverID]
	if server == nil {
		server = newSchedule(now, rate, 0)
		l.schedules[serverID] = server
	}
	return permission(serverID, rate, server, now, maxWait)
}

// reserveIsolated takes a request of this hall's part of a limit. Its first request
// waits, so that halls which lose contact at once do not send together.
func (l *Limiter) reserveIsolated(serverID string, rate float64, maxWait time.Duration) (time.Duration, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	server := l.isolated[serverID]
	if server == nil {
		server = newSchedule(now, rate, rand.N(interval(rate)))
		l.isolated[serverID] = server
	}
	return permission(serverID, rate, server, now, maxWait)
}

func permission(serverID string, rate float64, server *schedule, now time.Time, maxWait time.Duration) (time.Duration, error) {
	wait, granted := server.reserve(now, rate, maxWait)
	if !granted {
		return 0, &ExceededError{serverID: serverID, rate: rate, retryAfter: wait}
	}
	return wait, nil
}

func (l *Limiter) isUnreachable(hall string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unreachable[hall]
}

func (l *Limiter) unreachableHalls() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Collect(maps.Keys(l.unreachable))
}

func (l *Limiter) markUnreachable(hall string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.unreachable[hall] {
		l.unreachable[hall] = true
		l.logger.Info("hall that owns limits of backend servers does not answer, passing it over", zap.String("hall", hall), zap.Error(err))
	}
}

func (l *Limiter) markReachable(hall string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unreachable[hall] {
		delete(l.unreachable, hall)
		l.logger.Info("hall that owns limits of backend servers answers again", zap.String("hall", hall))
	}
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

func encodeObservation(now time.Time, observation Observation) *wire.LimitObservation {
	if !observation.statement.known {
		return nil
	}
	return &wire.LimitObservation{
		Known: true, Limited: observation.statement.limited, RequestsPerSecond: observation.statement.rate,
		SentAgoMicroseconds: now.Sub(observation.sentAt).Microseconds(), ReceivedAgoMicroseconds: now.Sub(observation.receivedAt).Microseconds(),
	}
}

// decodeObservation returns the observation of a message. It ignores the time that the
// message took, which makes the observation look later by that time.
func decodeObservation(now time.Time, message *wire.LimitObservation) Observation {
	statement := Statement{}
	switch {
	case message.GetLimited():
		statement = Limited(message.GetRequestsPerSecond())
	case message.GetKnown():
		statement = Unlimited()
	}
	return NewObservation(statement, now.Add(-microseconds(message.GetSentAgoMicroseconds())), now.Add(-microseconds(message.GetReceivedAgoMicroseconds())))
}
