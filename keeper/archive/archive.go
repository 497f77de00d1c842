// Package archive stores a keeper's turns and reservations on its disk.
//
// Records lie in buckets of the time at which they expire, so a whole bucket
// is removed at once and its space is used again. Store returns when the
// records are synced; concurrent callers share a sync.
//
// # Usage
//
//	kept, err := archive.Open("/data/keeper", logger)
//	_, err = kept.Scan(nil, func(record archive.Record) bool { … })
//	err = kept.Store(archive.Record{Key: "t/4f2a", Value: value, Expires: expires})
//	err = kept.Expire(now)
package archive

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// memTableBytes is the size of the table in memory before it is written out.
	memTableBytes = 2 << 20
	// cacheBytes is the size of the block cache.
	cacheBytes = 1 << 20
	// bucketLength is the span of expiry times that is removed together.
	bucketLength = 10 * time.Second
	bucketBytes  = 8
)

// Record is one stored value.
type Record struct {
	Key     string
	Value   []byte
	Expires time.Time
}

// Archive is an open store.
type Archive struct {
	db *pebble.DB
}

// Open opens the store in a folder and creates it where there is none.
func Open(folder string, logger *zap.Logger) (*Archive, error) {
	return OpenOn(vfs.Default, folder, logger)
}

// OpenOn opens the store on a file system of its own.
func OpenOn(files vfs.FS, folder string, logger *zap.Logger) (*Archive, error) {
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	db, err := pebble.Open(folder, &pebble.Options{
		FS:                          files,
		Cache:                       cache,
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: 4,
		MaxOpenFiles:                64,
		Logger:                      storeLogger{logger.Sugar()},
		FormatMajorVersion:          pebble.FormatNewest,
	})
	if err != nil {
		return nil, oops.In("archive").Wrapf(err, "open %s", folder)
	}
	return &Archive{db: db}, nil
}

// Close closes the store.
func (a *Archive) Close() error { return a.db.Close() }

// Store writes the records together and returns when they are synced.
func (a *Archive) Store(records ...Record) error { return a.write(pebble.Sync, records) }

// StoreLater writes the records together; they are synced with the next Store.
func (a *Archive) StoreLater(records ...Record) error { return a.write(pebble.NoSync, records) }

func (a *Archive) write(mode *pebble.WriteOptions, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	batch := a.db.NewBatch()
	defer func() { _ = batch.Close() }()
	for _, record := range records {
		if err := batch.Set(diskKey(record.Key, record.Expires), record.Value, nil); err != nil {
			return err
		}
	}
	return batch.Commit(mode)
}

// Scan calls take with every record after a position, which is nil for the
// first one, until take returns false. It returns the position of the last
// record, or nil when there are no more. Values are only valid during a call.
func (a *Archive) Scan(after []byte, take func(record Record) bool) ([]byte, error) {
	iterator, err := a.db.NewIter(nil)
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
		if len(key) < bucketBytes {
			return nil, errors.Join(fmt.Errorf("record key of %d bytes is too short", len(key)), iterator.Close())
		}
		expires := time.Unix(int64(binary.BigEndian.Uint64(key))-1, 0)
		if !take(Record{Key: string(key[bucketBytes:]), Value: iterator.Value(), Expires: expires}) {
			last := append([]byte(nil), key...)
			return last, iterator.Close()
		}
	}
	return nil, iterator.Close()
}

// Read returns a copy of the value that was stored with this expiry.
func (a *Archive) Read(key string, expires time.Time) ([]byte, error) {
	value, closer, err := a.db.Get(diskKey(key, expires))
	if err != nil {
		return nil, err
	}
	copied := append([]byte(nil), value...)
	return copied, closer.Close()
}

// Expire removes all buckets that ended before now.
func (a *Archive) Expire(now time.Time) error {
	end := make([]byte, bucketBytes)
	binary.BigEndian.PutUint64(end, uint64(bucket(now)))
	return a.db.DeleteRange(make([]byte, bucketBytes), end, pebble.NoSync)
}

// diskKey puts the bucket before the key, so buckets lie in order of expiry.
func diskKey(key string, expires time.Time) []byte {
	text := make([]byte, bucketBytes, bucketBytes+len(key))
	binary.BigEndian.PutUint64(text, uint64(bucket(expires)))
	return append(text, key...)
}

// bucket returns the Unix second at which the time's bucket ends.
func bucket(t time.Time) int64 {
	length := int64(bucketLength / time.Second)
	return (t.Unix()/length + 1) * length
}

// storeLogger passes the library's errors on; its progress reports are dropped.
type storeLogger struct{ *zap.SugaredLogger }

// Infof implements pebble.Logger.
func (l storeLogger) Infof(string, ...any) {}
