// Package suspect tracks suspect requests: those that were running when a backend
// server crashed. They are identified by the digest of their content and shared by
// all halls. Crashes are rare, so each is written to the key-value service at once.
//
// # Usage
//
//	tracker := suspect.New(store, 2, time.Now, logger)
//	group.Go("suspects", tracker.Follow)
//	if err := tracker.Check(digest); err != nil { refuse }
//	err := tracker.RecordCrash(ctx, digest)
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
	suspectKeyPrefix = "suspects/"
	runLockKeyPrefix = "suspect-runs/"
	// TTL is how long a request stays suspect or refused after the last server crash
	// attributed to it.
	TTL = 10 * time.Minute
	// runLockTTL is the lease of a run lock. It bounds how long the lock remains if
	// the hall that holds it stops without releasing it.
	runLockTTL = 2 * time.Minute
	// runLockRetryAfter is the retry delay for a suspect whose lock can't be
	// acquired.
	runLockRetryAfter = time.Second
)

// Tracker holds the list of suspect requests. It is safe for concurrent use.
//
// A suspect that goes through AcquireRun runs alone on its server and on one
// server at a time. One that crashed too many servers is refused.
type Tracker struct {
	store      platform.Store
	maxCrashes int
	logger     *zap.Logger
	now        func() time.Time

	mutex   sync.Mutex
	crashes map[string]crashRecord
}

type crashRecord struct {
	Crashes   int       `json:"deaths"`
	LastCrash time.Time `json:"at"`
}

// New returns an empty list. A request that has crashed maxCrashes servers is
// refused.
func New(store platform.Store, maxCrashes int, now func() time.Time, logger *zap.Logger) *Tracker {
	return &Tracker{store: store, maxCrashes: maxCrashes, now: now, logger: logger, crashes: make(map[string]crashRecord)}
}

// Follow keeps the list up to date with the key-value service until the context
// ends.
func (t *Tracker) Follow(ctx context.Context) error {
	return platform.Follow(ctx, t.store, suspectKeyPrefix, t)
}

// Replace implements platform.Subscriber.
func (t *Tracker) Replace(_ context.Context, listing platform.Listing) error {
	for _, entry := range listing.Entries {
		t.loadEntry(entry)
	}
	return nil
}

// Apply implements platform.Subscriber.
func (t *Tracker) Apply(_ context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if !event.Deleted {
			t.loadEntry(event.Entry)
		}
	}
	return nil
}

// Failed implements platform.Subscriber.
func (t *Tracker) Failed(err error) {
	t.logger.Debug("reading suspect requests failed", zap.Error(err))
}

// IsEmpty reports whether the list has no entries.
func (t *Tracker) IsEmpty() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.crashes) == 0
}

// Check returns an error for a request that crashed too many servers.
func (t *Tracker) Check(digest []byte) error {
	if crashes := t.crashCount(digest); crashes >= t.maxCrashes {
		return failure.New(failure.CodeSuspectBlocked, failure.NotRun,
			"%d servers crashed while running this request: it is refused for %s; change it before you send it again", crashes, TTL).WithRetryAfter(TTL)
	}
	return nil
}

// AcquireRun acquires the run lock of a suspect request, which one hall holds at a
// time, and reports whether the request is suspect and must run alone. release
// releases the lock. A request that is not suspect needs no lock.
func (t *Tracker) AcquireRun(ctx context.Context, digest []byte) (release func(), alone bool, err error) {
	if t.crashCount(digest) == 0 {
		return func() {}, false, nil
	}
	lease, err := t.store.Grant(ctx, runLockTTL)
	if err != nil {
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server crashed while running this request, and the store did not grant the lease for the lock that it needs to run again").WithRetryAfter(runLockRetryAfter)
	}
	release = func() {
		if err := t.store.Revoke(context.WithoutCancel(ctx), lease); err != nil {
			t.logger.Warn("run lock of a suspect request not released; its lease will expire", zap.Error(err))
		}
	}
	if _, err := t.store.CompareAndSwap(ctx, runLockKeyPrefix+hex.EncodeToString(digest), []byte("1"), 0, lease); err != nil {
		release()
		return nil, false, failure.New(failure.CodeSuspectBlocked, failure.NotRun, "a server crashed while running this request, and the lock that it needs to run again could not be acquired: it may be running on another server, and it may run on only one at a time").WithRetryAfter(runLockRetryAfter)
	}
	return release, true, nil
}

// RecordCrash records one more crash of a server that was running the request.
func (t *Tracker) RecordCrash(ctx context.Context, digest []byte) error {
	key := suspectKeyPrefix + hex.EncodeToString(digest)
	t.raiseCount(key, t.crashCount(digest)+1)
	for {
		record := crashRecord{}
		version := uint64(0)
		entry, err := t.store.Get(ctx, key)
		if err == nil {
			version = entry.Version
			if err := json.Unmarshal(entry.Value, &record); err != nil {
				t.logger.Warn("malformed record of a suspect request", zap.Error(err))
			}
		} else if !platform.IsNotFound(err) {
			return err
		}
		if t.now().Sub(record.LastCrash) >= TTL {
			record.Crashes = 0
		}
		record = crashRecord{Crashes: record.Crashes + 1, LastCrash: t.now()}
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		if err := t.writeRecord(ctx, key, value, version); !platform.IsConflict(err) {
			t.logger.Warn("request suspected of crashing its server", zap.String("digest", hex.EncodeToString(digest)), zap.String("deaths", strconv.Itoa(record.Crashes)))
			t.raiseCount(key, record.Crashes)
			return err
		}
	}
}

func (t *Tracker) writeRecord(ctx context.Context, key string, value []byte, version uint64) error {
	lease, err := t.store.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	_, err = t.store.CompareAndSwap(ctx, key, value, version, lease)
	return err
}

func (t *Tracker) crashCount(digest []byte) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record, found := t.crashes[suspectKeyPrefix+hex.EncodeToString(digest)]
	if !found || t.now().Sub(record.LastCrash) >= TTL {
		return 0
	}
	return record.Crashes
}

func (t *Tracker) raiseCount(key string, crashes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if crashes > t.crashes[key].Crashes {
		t.crashes[key] = crashRecord{Crashes: crashes, LastCrash: t.now()}
	}
}

func (t *Tracker) loadEntry(entry platform.Entry) {
	var record crashRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.crashes[entry.Key] = record
}
