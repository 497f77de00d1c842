package outlier

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

const (
	// shareTimeout bounds a call. Evidence that comes later is of little use.
	shareTimeout = 100 * time.Millisecond
	// ownZoneCalls of allCalls calls go to halls of the hall's own zone, as traffic between
	// zones costs money.
	ownZoneCalls = 3
	allCalls     = 4
)

// Peer is another hall.
type Peer interface {
	// Exchange merges the evidence of this hall there and returns that of the other one.
	Exchange(ctx context.Context, summary *wire.ObservationSummary) (*wire.ObservationSummary, error)
}

// Sharer shares the evidence of a hall with others.
type Sharer struct {
	detector *Detector
	zone     string
	others   func() []host.Member
	client   func(hall host.Member) Peer
	logger   *zap.Logger
	answered atomic.Int64
	failed   atomic.Int64
}

// NewSharer returns a Sharer of the detector's evidence for a hall in the zone. others returns
// the other halls.
func NewSharer(detector *Detector, zone string, others func() []host.Member, client func(hall host.Member) Peer, logger *zap.Logger) *Sharer {
	return &Sharer{detector: detector, zone: zone, others: others, client: client, logger: logger}
}

// Share exchanges evidence with one other hall, if this hall has any. It is called at regular
// intervals.
func (s *Sharer) Share(ctx context.Context) {
	if !s.detector.HasEvidence() {
		return
	}
	hall, found := s.pick(rand.IntN(allCalls) < ownZoneCalls)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	reply, err := s.client(hall).Exchange(ctx, s.detector.Summary())
	if err != nil {
		s.failed.Add(1)
		s.logger.Debug("hall did not answer with its evidence about backend servers", zap.String("hall", hall.Name()), zap.Error(err))
		return
	}
	s.answered.Add(1)
	s.detector.Merge(reply)
}

// Calls returns the number of calls by outcome.
func (s *Sharer) Calls() map[string]int64 {
	return map[string]int64{"answered": s.answered.Load(), "failed": s.failed.Load()}
}

// pick returns a random hall of this zone or of another one. If there is none, it is any.
func (s *Sharer) pick(ofZone bool) (host.Member, bool) {
	all := s.others()
	if len(all) == 0 {
		return host.Member{}, false
	}
	wanted := slices.DeleteFunc(slices.Clone(all), func(hall host.Member) bool { return (hall.Zone() == s.zone) != ofZone })
	if len(wanted) == 0 {
		wanted = all
	}
	return wanted[rand.IntN(len(wanted))], true
}
