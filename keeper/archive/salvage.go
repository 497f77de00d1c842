package archive

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/batchrepr"
	"github.com/cockroachdb/pebble/v2/record"
	"github.com/cockroachdb/pebble/v2/sstable"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/wal"
	"go.uber.org/zap"
)

const (
	// tableSuffix ends the names of table files.
	tableSuffix = ".sst"
	// salvageBatchBytes is the size at which a batch of salvaged records is stored.
	salvageBatchBytes = 256 << 10
	// logBlockBytes is the size of the blocks of a log. Records after a damaged block can be
	// read from the next one.
	logBlockBytes = 32 << 10
)

// Choose returns the value to keep of a record that was found in damaged files, nil for
// none. stored is the value that is stored under the same key already, nil if there is none.
type Choose func(key string, stored, found []byte) []byte

// salvage stores the records that can be read from damaged files. Each table and log is read
// by itself, and checksums tell which parts are damaged.
type salvage struct {
	archive   *Archive
	opener    *opener
	logger    *zap.Logger
	firstKept []byte
	batch     *pebble.Batch
	records   int
	unread    []string
}

func newSalvage(archive *Archive, o *opener) *salvage {
	return &salvage{archive: archive, opener: o, logger: o.logger, firstKept: bucketKey(time.Now()), batch: archive.db.NewIndexedBatch()}
}

// readGeneration reads all tables and logs of a generation. A file that can't be read to its
// end is logged. The error is one of the machine, so that the salvage can be repeated.
func (s *salvage) readGeneration(ctx context.Context, g generation) error {
	names, err := s.archive.fs.List(g.dir)
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		path := s.archive.fs.PathJoin(g.dir, name)
		number, _, isLog := wal.ParseLogFilename(name)
		var err error
		switch {
		case isLog:
			err = s.readFile(path, func(file vfs.File) error { return s.readLog(file, number) })
		case strings.HasSuffix(name, tableSuffix):
			err = s.readFile(path, s.readTable)
		}
		var write *writeError
		switch {
		case errors.As(err, &write):
			return err
		case errors.Is(err, syscall.EIO) && time.Since(s.opener.replaced) < damagePatience, isPassing(err):
			return err
		case err != nil:
			s.unread = append(s.unread, path)
			s.logger.Warn("damaged file could not be read to its end", zap.String("file", path), zap.Error(err))
		}
	}
	return nil
}

// isPassing reports whether a file may be read at a later attempt.
func isPassing(err error) bool {
	return isMachineError(err) && !errors.Is(err, syscall.EIO)
}

// writeError is an error of storing a salvaged record, as opposed to reading one.
type writeError struct{ err error }

// Error implements error.
func (e *writeError) Error() string { return "store salvaged records: " + e.err.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.err }

func (s *salvage) readFile(path string, read func(vfs.File) error) (err error) {
	file, err := s.archive.fs.Open(path)
	if err != nil {
		return err
	}
	defer func() {
		// The decoders panic on some malformed input.
		if reason := recover(); reason != nil {
			err = &DamageError{reason: fmt.Sprint(reason)}
		}
		_ = file.Close()
	}()
	return read(file)
}

// readTable stores the records of a table. If a block is damaged, those before it are read
// forward from the first, and those after it backward from the last.
func (s *salvage) readTable(file vfs.File) error {
	source, err := sstable.NewSimpleReadable(unclosed{file})
	if err != nil {
		return err
	}
	options := databaseOptions(s.archive.fs, s.logger)
	options.EnsureDefaults()
	reader, err := sstable.NewReader(context.Background(), source, options.MakeReaderOptions())
	if err != nil {
		return errors.Join(err, source.Close())
	}
	defer func() { _ = reader.Close() }()
	forwardErr := s.readPoints(reader, true)
	if forwardErr == nil {
		return nil
	}
	return errors.Join(forwardErr, s.readPoints(reader, false))
}

func (s *salvage) readPoints(reader *sstable.Reader, forward bool) (err error) {
	iterator, err := reader.NewIter(sstable.NoTransforms, nil, nil, sstable.AssertNoBlobHandles)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, iterator.Close()) }()
	first, next := iterator.First, iterator.Next
	if !forward {
		first, next = iterator.Last, iterator.Prev
	}
	for point := first(); point != nil; point = next() {
		if point.Kind() != pebble.InternalKeyKindSet {
			continue
		}
		value, _, err := point.Value(nil)
		if err != nil {
			return err
		}
		if err := s.put(point.K.UserKey, value); err != nil {
			return err
		}
	}
	return iterator.Error()
}

// readLog stores the records of a log. After a damaged block it continues with the next one.
func (s *salvage) readLog(file vfs.File, number wal.NumWAL) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	var damage error
	for offset := int64(0); offset < info.Size(); {
		counted := &countingReader{reader: io.NewSectionReader(file, offset, info.Size()-offset)}
		reader := newLogReader(record.NewReader, counted, number)
		for {
			count := counted.count
			err = s.readLogRecord(reader)
			var write *writeError
			if errors.Is(err, io.EOF) {
				return damage
			}
			if errors.As(err, &write) || errors.Is(err, syscall.EIO) || isPassing(err) {
				return err
			}
			if err != nil {
				if !errors.Is(err, record.ErrUnexpectedEOF) {
					damage = err // Otherwise the log may end here.
				}
				// The reader reads ahead after an error, so the block is that before it.
				offset += max(count, logBlockBytes)
				break
			}
		}
	}
	return damage
}

// newLogReader returns a reader of the log with this number, whose type can't be named here.
func newLogReader[N ~uint64](newReader func(io.Reader, N) *record.Reader, reader io.Reader, number wal.NumWAL) *record.Reader {
	return newReader(reader, N(number))
}

func (s *salvage) readLogRecord(reader *record.Reader) error {
	next, err := reader.Next()
	if err != nil {
		return err
	}
	content, err := io.ReadAll(next)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	entries := batchrepr.Read(content)
	for len(entries) > 0 {
		kind, key, value, ok, err := entries.Next()
		if err != nil || !ok {
			return err
		}
		if kind != pebble.InternalKeyKindSet {
			continue
		}
		if err := s.put(key, value); err != nil {
			return err
		}
	}
	return nil
}

// put stores a record unless it has expired or the value stored is to be kept.
func (s *salvage) put(key, value []byte) error {
	if len(key) < bucketPrefixBytes || bytes.Compare(key, s.firstKept) < 0 || bytes.Compare(key, lastBucket) >= 0 {
		return nil
	}
	stored, closer, err := s.batch.Get(key)
	if err == nil {
		stored = slices.Clone(stored)
		err = closer.Close()
	}
	if err != nil && !errors.Is(err, pebble.ErrNotFound) {
		return &writeError{err}
	}
	if s.opener.options.Choose != nil {
		value = s.opener.options.Choose(string(key[bucketPrefixBytes:]), stored, value)
	}
	if value == nil || (stored != nil && bytes.Equal(stored, value)) {
		return nil
	}
	s.records++
	if err := s.batch.Set(key, value, nil); err != nil {
		return &writeError{err}
	}
	if s.batch.Len() < salvageBatchBytes {
		return nil
	}
	return s.commit(pebble.NoSync)
}

func (s *salvage) commit(options *pebble.WriteOptions) error {
	if err := errors.Join(s.batch.Commit(options), s.batch.Close()); err != nil {
		return &writeError{err}
	}
	s.batch = s.archive.db.NewIndexedBatch()
	return nil
}

// finish syncs the salvaged records together with the note that the salvage is done.
func (s *salvage) finish(number int) error {
	if err := s.batch.Set(salvagedKey, binary.AppendUvarint(nil, uint64(number)), nil); err != nil {
		return err
	}
	if err := s.commit(pebble.Sync); err != nil {
		return err
	}
	s.opener.instruments.salvaged(s.records)
	s.logger.Warn("read the records of damaged archives", zap.Int("records", s.records), zap.Strings("unread", s.unread))
	return s.batch.Close()
}

// unclosed is a file that is closed by its opener.
type unclosed struct{ vfs.File }

// Close implements io.Closer.
func (unclosed) Close() error { return nil }

// countingReader counts the bytes read.
type countingReader struct {
	reader io.Reader
	count  int64
}

// Read implements io.Reader.
func (r *countingReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	r.count += int64(count)
	return count, err
}
