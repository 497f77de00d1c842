package home

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

const (
	recordKeyPrefix = "programs/"
	// maxWritesPerSecond and maxWriteBurst limit the records that a hall writes
	// to the store.
	maxWritesPerSecond = 5
	maxWriteBurst      = 20
	// maxRecordBytes stays below the store's limit of one megabyte per value.
	maxRecordBytes = 900_000
	storeTimeout   = time.Second
)

var (
	errWriteRateExceeded = errors.New("rate limit for writing records to the key-value store exceeded")
	errRecordTooLarge    = errors.New("record is too large for the key-value store")
)

// RecordStore stores the records of programs in the key-value store when too few
// halls are available as replicas. It limits its rate of writes, so that a loss
// of many halls doesn't overload the store.
type RecordStore struct {
	store  platform.Store
	writes *rate.Limiter
}

// NewRecordStore returns a RecordStore that writes to the given store.
func NewRecordStore(store platform.Store) *RecordStore {
	return &RecordStore{store: store, writes: rate.NewLimiter(maxWritesPerSecond, maxWriteBurst)}
}

// Put writes the record. It returns a conflict error if the store holds a record
// that the given one does not extend.
func (s *RecordStore) Put(ctx context.Context, record *program.Record) error {
	value, err := proto.Marshal(record.ToWire(1))
	if err != nil {
		return err
	}
	if len(value) > maxRecordBytes {
		return errRecordTooLarge
	}
	if !s.writes.Allow() {
		return errWriteRateExceeded
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version := uint64(0)
	stored, storedVersion, err := s.fetch(ctx, record.ID())
	switch {
	case err == nil && !record.Extends(stored):
		return platform.NewConflictError(recordKeyPrefix+record.ID(), storedVersion)
	case err == nil:
		version = storedVersion
	case !platform.IsNotFound(err):
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, recordKeyPrefix+record.ID(), value, version, 0)
	return err
}

// Get returns the record of a program. It returns nil if there is none or if the
// store does not answer.
func (s *RecordStore) Get(ctx context.Context, id string) *program.Record {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, _, err := s.fetch(ctx, id)
	if err != nil {
		return nil
	}
	return stored
}

// Delete deletes the record of an ended program, if there is one.
func (s *RecordStore) Delete(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, version, err := s.fetch(ctx, id)
	if platform.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.store.Delete(ctx, recordKeyPrefix+id, version)
}

func (s *RecordStore) fetch(ctx context.Context, id string) (*program.Record, uint64, error) {
	entry, err := s.store.Get(ctx, recordKeyPrefix+id)
	if err != nil {
		return nil, 0, err
	}
	stored := &wire.ProgramRecord{}
	if err := proto.Unmarshal(entry.Value, stored); err != nil {
		return nil, 0, err
	}
	return program.FromWire(stored), entry.Version, nil
}
