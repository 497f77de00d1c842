// Package suspect keeps the requests that ran when a backend server died, by the
// digest of their content, for all halls. Crashes are rare, so each is one write
// to the key-value service.
//
// # Usage
//
//	book := suspect.New(store, 2, time.Now, logger)
//	group.Go("suspects", book.Follow)
//	if err := book.Check(digest); err != nil { refuse }
//	err := book.Note(ctx, digest)
package suspect

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
	// Length is how long a request stays suspect or refused.
	Length = 10 * time.Minute
	// runLength is how long a suspect holds the right to run alone.
	runLength = 2 * time.Minute
	// retryHint is when a suspect that runs elsewhere may come back.
	retryHint = time.Second
)

// Book is the list of suspects.
//
// A suspect that goes through Enter runs alone on its server and on one server
// at a time. One that was there for too many deaths is refused.
type Book struct {
	store  platform.Store
	limit  int
	logger *zap.Logger
	now    func() time.Time

	mutex  sync.Mutex
	deaths map[string]deathCount
}

type deathCount struct {
	Deaths int       `json:"deaths"`
	At     time.Time `json:"at"`
}

// New returns an empty book. limit is how many servers a request may take down
// before it is refused.
func New(store platform.Store, limit int, now func() time.Time, logger *zap.Logger) *Book {
	return &Book{store: store, limit: limit, now: now, logger: logger, deaths: make(map[string]deathCount)}
}

// Follow keeps the list in step with the service until the context ends.
func (b *Book) Follow(ctx context.Context) error {
	return platform.Follow(ctx, b.store, suspectsPrefix, b)
}

// Replace implements platform.Subscriber.
func (b *Book) Replace(_ context.Context, listing platform.Listing) error {
	for _, entry := range listing.Entries {
		b.take(entry)
	}
	return nil
}

// Apply implements platform.Subscriber.
func (b *Book) Apply(_ context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if !event.Deleted {
			b.take(event.Entry)
		}
	}
	return nil
}

// Failed implements platform.Subscriber.
func (b *Book) Failed(err error) {
	b.logger.Debug("suspects not read", zap.Error(err))
}

// IsEmpty reports whether there are no suspects at all.
func (b *Book) IsEmpty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.deaths) == 0
}

// Check refuses a request that has been there for too many deaths.
func (b *Book) Check(digest []byte) error {
	if count := b.count(digest); count >= b.limit {
		return failure.New(failure.CodeSuspectBlocked, failure.NotRun,
			"%d servers died while they ran this request: it is refused for %s; change it before you send it again", count, Length).WithRetryAfter(Length)
	}
	return nil
}

// Enter reports whether the request must run alone. For a suspect it first
// takes the right to run, which one hall has at a time; the returned function
// gives it back.
func (b *Book) Enter(ctx context.Context, digest []byte) (release func(), alone bool, err error) {
	if b.count(digest) == 0 {
		return func() {}, false, nil
	}
	lease, err := b.store.Grant(ctx, runLength)
	if err != nil {
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server died while it ran this request, and it can't be tried again safely now").WithRetryAfter(retryHint)
	}
	release = func() {
		if err := b.store.Revoke(context.WithoutCancel(ctx), lease); err != nil {
			b.logger.Warn("right to run a suspect not given back, it will lapse", zap.Error(err))
		}
	}
	if _, err := b.store.CompareAndSwap(ctx, runsPrefix+hex.EncodeToString(digest), []byte("1"), 0, lease); err != nil {
		release()
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server died while it ran this request; it runs elsewhere now, one at a time").WithRetryAfter(retryHint)
	}
	return release, true, nil
}

// Note counts one more death.
func (b *Book) Note(ctx context.Context, digest []byte) error {
	key := suspectsPrefix + hex.EncodeToString(digest)
	b.raise(key, b.count(digest)+1)
	for {
		known := deathCount{}
		version := uint64(0)
		entry, err := b.store.Get(ctx, key)
		if err == nil {
			version = entry.Version
			if err := json.Unmarshal(entry.Value, &known); err != nil {
				b.logger.Warn("suspect not understood", zap.Error(err))
			}
		} else if !platform.IsNotFound(err) {
			return err
		}
		if b.now().Sub(known.At) >= Length {
			known.Deaths = 0
		}
		known = deathCount{Deaths: known.Deaths + 1, At: b.now()}
		value, err := json.Marshal(known)
		if err != nil {
			return err
		}
		if err := b.write(ctx, key, value, version); !platform.IsConflict(err) {
			b.logger.Warn("request is suspect of killing its server", zap.String("digest", hex.EncodeToString(digest)), zap.String("deaths", strconv.Itoa(known.Deaths)))
			b.raise(key, known.Deaths)
			return err
		}
	}
}

func (b *Book) write(ctx context.Context, key string, value []byte, version uint64) error {
	lease, err := b.store.Grant(ctx, Length)
	if err != nil {
		return err
	}
	_, err = b.store.CompareAndSwap(ctx, key, value, version, lease)
	return err
}

func (b *Book) count(digest []byte) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, found := b.deaths[suspectsPrefix+hex.EncodeToString(digest)]
	if !found || b.now().Sub(known.At) >= Length {
		return 0
	}
	return known.Deaths
}

func (b *Book) raise(key string, deaths int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if deaths > b.deaths[key].Deaths {
		b.deaths[key] = deathCount{Deaths: deaths, At: b.now()}
	}
}

func (b *Book) take(entry platform.Entry) {
	var known deathCount
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deaths[entry.Key] = known
}
