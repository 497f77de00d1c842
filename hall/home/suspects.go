package home

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/platform"
)

const (
	suspectsPrefix = "suspects/"
	runsPrefix     = "suspect-runs/"
	// maxDeaths is how many servers a request may take down before it is
	// refused.
	maxDeaths = 2
	// SuspectLength is how long a request stays suspect or refused.
	SuspectLength = 10 * time.Minute
	// runLength is how long a suspect holds the right to run alone.
	runLength = 2 * time.Minute
)

// Suspects keeps the requests that ran when a backend server died, by the
// digest of their content, for all halls. Crashes are rare, so each is one
// write to the key-value service.
//
// A suspect runs alone on its server and on one server at a time. When it has
// been there for a second death, it is refused.
type Suspects struct {
	store  platform.Store
	logger *zap.Logger
	now    func() time.Time

	mutex  sync.Mutex
	deaths map[string]deathCount
}

type deathCount struct {
	Deaths int       `json:"deaths"`
	At     time.Time `json:"at"`
}

// NewSuspects returns an empty list.
func NewSuspects(store platform.Store, now func() time.Time, logger *zap.Logger) *Suspects {
	return &Suspects{store: store, now: now, logger: logger, deaths: make(map[string]deathCount)}
}

// Follow keeps the list in step with the service until the context ends.
func (s *Suspects) Follow(ctx context.Context) error {
	return platform.Follow(ctx, s.store, suspectsPrefix, s)
}

// Replace implements platform.Subscriber.
func (s *Suspects) Replace(_ context.Context, listing platform.Listing) error {
	for _, entry := range listing.Entries {
		s.take(entry)
	}
	return nil
}

// Apply implements platform.Subscriber.
func (s *Suspects) Apply(_ context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if !event.Deleted {
			s.take(event.Entry)
		}
	}
	return nil
}

// Failed implements platform.Subscriber.
func (s *Suspects) Failed(err error) {
	s.logger.Debug("suspects not read", zap.Error(err))
}

// Check refuses a request that has been there for too many deaths.
func (s *Suspects) Check(digest []byte) error {
	if count := s.count(digest); count >= maxDeaths {
		return failure.New(failure.CodeSuspectBlocked, failure.NotRun,
			"%d servers died while they ran this request: it is refused for %s; change it before you send it again", count, SuspectLength).WithRetryAfter(SuspectLength)
	}
	return nil
}

// Enter reports whether the request must run alone. For a suspect it first
// takes the right to run, which one hall has at a time; the returned function
// gives it back.
func (s *Suspects) Enter(ctx context.Context, digest []byte) (release func(), alone bool, err error) {
	if s.count(digest) == 0 {
		return func() {}, false, nil
	}
	lease, err := s.store.Grant(ctx, runLength)
	if err != nil {
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server died while it ran this request, and it can't be tried again safely now").WithRetryAfter(retryHint)
	}
	release = func() {
		if err := s.store.Revoke(context.WithoutCancel(ctx), lease); err != nil {
			s.logger.Warn("right to run a suspect not given back, it will lapse", zap.Error(err))
		}
	}
	if _, err := s.store.CompareAndSwap(ctx, runsPrefix+hex.EncodeToString(digest), []byte("1"), 0, lease); err != nil {
		release()
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server died while it ran this request; it runs elsewhere now, one at a time").WithRetryAfter(retryHint)
	}
	return release, true, nil
}

// Note counts one more death.
func (s *Suspects) Note(ctx context.Context, digest []byte) error {
	key := suspectsPrefix + hex.EncodeToString(digest)
	s.raise(key, s.count(digest)+1)
	for {
		known := deathCount{}
		version := uint64(0)
		entry, err := s.store.Get(ctx, key)
		if err == nil {
			version = entry.Version
			if err := json.Unmarshal(entry.Value, &known); err != nil {
				s.logger.Warn("suspect not understood", zap.Error(err))
			}
		} else if !platform.IsNotFound(err) {
			return err
		}
		if s.now().Sub(known.At) >= SuspectLength {
			known.Deaths = 0
		}
		known = deathCount{Deaths: known.Deaths + 1, At: s.now()}
		value, err := json.Marshal(known)
		if err != nil {
			return err
		}
		if err := s.write(ctx, key, value, version); !platform.IsConflict(err) {
			s.logger.Warn("request is suspect of killing its server", zap.String("digest", hex.EncodeToString(digest)), zap.String("deaths", strconv.Itoa(known.Deaths)))
			s.raise(key, known.Deaths)
			return err
		}
	}
}

func (s *Suspects) write(ctx context.Context, key string, value []byte, version uint64) error {
	lease, err := s.store.Grant(ctx, SuspectLength)
	if err != nil {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, key, value, version, lease)
	return err
}

func (s *Suspects) count(digest []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.deaths[suspectsPrefix+hex.EncodeToString(digest)]
	if !found || s.now().Sub(known.At) >= SuspectLength {
		return 0
	}
	return known.Deaths
}

func (s *Suspects) raise(key string, deaths int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if deaths > s.deaths[key].Deaths {
		s.deaths[key] = deathCount{Deaths: deaths, At: s.now()}
	}
}

func (s *Suspects) take(entry platform.Entry) {
	var known deathCount
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaths[entry.Key] = known
}
