// Package archive stores a keeper's turns and reservations on its local disk.
//
// Records are grouped into buckets by expiry time. An expired bucket is removed
// with one range deletion, which lets the database reclaim its space. Store
// returns once the records are synced; concurrent callers share a sync.
//
// While the disk has no space or fails to write, writes wait, and Writable returns a
// *FullError or *WriteError, so that callers can refuse a request before they change
// anything. Records can be read all the while.
//
// Damage of the files ends nothing: what can be read of them is moved to a new database.
//
// # Usage
//
//	store, err := archive.Open(ctx, "/data/keeper", logger)
//	_, err = store.Scan(nil, func(record archive.Record) bool { … })
//	err = store.Store(archive.Record{Key: "t/4f2a", Value: value, Expires: expires})
//	err = store.Expire(now)
package archive

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"
)

const (
	// memTableBytes is the size at which a memtable is flushed to disk.
	memTableBytes = 2 << 20
	// blockCacheBytes is the size of the block cache.
	blockCacheBytes = 1 << 20
	// bucketDuration is the range of expiry times covered by one bucket.
	bucketDuration = 10 * time.Second
	// closeTimeout bounds the wait of Close.
	closeTimeout = 2 * time.Second
	// bucketPrefixBytes is the length of the bucket in front of a disk key: a
	// big-endian Unix time in seconds.
	bucketPrefixBytes = 8
)

// lastBucket is the first disk key after all buckets.
var lastBucket = bytes.Repeat([]byte{0xff}, bucketPrefixBytes)

// Record is a key-value pair with an expiry time.
type Record struct {
	Key     string
	Value   []byte
	Expires time.Time
}

// ClosedError reports that the archive was closed before the operation began.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "the archive is closed" }

// Archive is an open record store. It is safe for concurrent use.
type Archive struct {
	db      *pebble.DB
	fs      *waitingFS
	lock    io.Closer
	damaged bool
	damage  atomic.Pointer[DamageError] // Found by the database while it is open.

	backgroundErrorNoted atomic.Int64 // Unix time in nanoseconds.

	mutex   sync.RWMutex // Held for reading by operations, as the database panics if it is closed meanwhile.
	closing atomic.Pointer[closing]
}

// Damaged reports whether files of this archive were found damaged, at this opening or an
// earlier one, so that records may be missing.
func (a *Archive) Damaged() bool { return a.damaged }

// begin begins an operation on the database, which ends with a call of end. It returns an
// error if the archive is closed.
func (a *Archive) begin() (end func(), err error) {
	if !a.mutex.TryRLock() { // Only the end of the archive locks it for writing.
		return nil, &ClosedError{}
	}
	return a.mutex.RUnlock, nil
}

// Writable returns a *FullError if the disk has no space, and a *WriteError if it fails to
// write.
func (a *Archive) Writable() error {
	failure := a.failure()
	switch {
	case failure == nil:
		return nil
	case vfs.IsNoSpaceError(failure):
		return &FullError{since: failure.since}
	}
	return failure
}

func (a *Archive) failure() *WriteError {
	return a.fs.failed.Load()
}

// noteBackgroundError logs an error of the database's own work, which it tries again at once.
func (a *Archive) noteBackgroundError(err error) {
	now := time.Now().UnixNano()
	noted := a.backgroundErrorNoted.Load()
	if now-noted >= int64(reminderInterval) && a.backgroundErrorNoted.CompareAndSwap(noted, now) {
		a.fs.logger.Error("the database failed to reorganize its files, trying again", zap.Error(err))
	}
	time.Sleep(writeRetryInterval)
}

// Store writes the records in one batch and returns once they are synced.
func (a *Archive) Store(records ...Record) error { return a.write(pebble.Sync, records) }

// StoreNoSync writes the records in one batch without a sync of its own. They
// become durable with the next call of Store.
func (a *Archive) StoreNoSync(records ...Record) error { return a.write(pebble.NoSync, records) }

func (a *Archive) write(options *pebble.WriteOptions, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	end, err := a.begin()
	if err != nil {
		return err
	}
	defer end()
	batch := a.db.NewBatch()
	defer func() { _ = batch.Close() }()
	for _, record := range records {
		if err := batch.Set(diskKey(record.Key, record.Expires), record.Value, nil); err != nil {
			return err
		}
	}
	return batch.Commit(options)
}

// Scan calls visit for each record after the given cursor, in order of expiry
// bucket, until visit returns false. A nil cursor starts at the first record. If
// visit stopped the scan, Scan returns the cursor of the last record visited;
// otherwise it returns nil. A record's value is valid only during the call of
// visit.
func (a *Archive) Scan(after []byte, visit func(record Record) bool) ([]byte, error) {
	end, err := a.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	iterator, err := a.db.NewIter(&pebble.IterOptions{UpperBound: lastBucket})
	if err != nil {
		return nil, err
	}
	valid := false
	if after == nil {
		valid = iterator.First()
	} else {
		valid = iterator.SeekGE(append(append([]byte(nil), after...), 0))
	}
	for ; valid; valid = iterator.Next() {
		key := iterator.Key()
		if len(key) < bucketPrefixBytes {
			return nil, errors.Join(fmt.Errorf("disk key of %d bytes is shorter than its bucket prefix", len(key)), iterator.Close())
		}
		// The last second before the bucket's end maps back to the same bucket.
		expires := time.Unix(int64(binary.BigEndian.Uint64(key))-1, 0)
		if !visit(Record{Key: string(key[bucketPrefixBytes:]), Value: iterator.Value(), Expires: expires}) {
			cursor := append([]byte(nil), key...)
			return cursor, iterator.Close()
		}
	}
	return nil, iterator.Close()
}

// Read returns a copy of the value stored under the key with the given expiry.
func (a *Archive) Read(key string, expires time.Time) ([]byte, error) {
	return a.AppendTo(nil, key, expires)
}

// AppendTo appends the value stored under the key with the given expiry to buffer.
func (a *Archive) AppendTo(buffer []byte, key string, expires time.Time) ([]byte, error) {
	end, err := a.begin()
	if err != nil {
		return nil, err
	}
	defer end()
	value, closer, err := a.db.Get(diskKey(key, expires))
	if err != nil {
		return nil, err
	}
	buffer = append(buffer, value...)
	return buffer, closer.Close()
}

// Expire removes all buckets that have ended by now.
func (a *Archive) Expire(now time.Time) error {
	if err := a.Writable(); err != nil {
		return err
	}
	end, err := a.begin()
	if err != nil {
		return err
	}
	defer end()
	return a.db.DeleteRange(make([]byte, bucketPrefixBytes), bucketKey(now), pebble.NoSync)
}

// bucketKey returns the first disk key of the bucket of t.
func bucketKey(t time.Time) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(bucketEnd(t)))
}

// diskKey returns the key prefixed with its bucket, which sorts the database by
// expiry.
func diskKey(key string, expires time.Time) []byte {
	return append(bucketKey(expires), key...)
}

// bucketEnd returns the Unix time, in seconds, at which the bucket of t ends.
func bucketEnd(t time.Time) int64 {
	seconds := int64(bucketDuration / time.Second)
	return (t.Unix()/seconds + 1) * seconds
}

// pebbleLogger forwards the database's errors and discards its progress messages.
type pebbleLogger struct {
	*zap.SugaredLogger
	fs *waitingFS
}

// Infof implements pebble.Logger.
func (pebbleLogger) Infof(string, ...any) {}

// Fatalf implements pebble.Logger. The database can't go on, but its callers expect that
// Fatalf doesn't return. While the archive is being opened, opening is tried again. Later the
// process ends, so that its restart opens the archive again.
func (l pebbleLogger) Fatalf(format string, values ...any) {
	err := fmt.Errorf(format, values...)
	l.fs.failures.Add(1)
	if !l.fs.opened.Load() {
		l.fs.stop(&WriteError{since: time.Now(), err: err})
		select {}
	}
	l.Fatalw("the database can't go on; the process ends to open it again", "error", err)
}
