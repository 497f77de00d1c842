package archive

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

const (
	// lockInterval is the interval between attempts to open an archive that another process
	// has locked.
	lockInterval = 50 * time.Millisecond
	// retryInterval is the interval between attempts to open an archive that can't be used.
	retryInterval = 500 * time.Millisecond
	// reminderInterval is the interval between log lines while an archive can't be used.
	reminderInterval = 10 * time.Second
	// damagePatience is how long a read error must last before it counts as damage.
	damagePatience = 5 * time.Second
	// probeName is the name of a file that is written to check whether a disk can be written.
	probeName = "probe.tmp"
)

// machineErrors are errors of opening that never count as damage, as an operator removes
// their cause.
var machineErrors = []error{
	syscall.EACCES, syscall.EPERM, syscall.ENOTDIR, syscall.EROFS, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOSPC, syscall.EDQUOT, syscall.ENOMEM, syscall.ENODEV, syscall.ENXIO, syscall.ESTALE, syscall.EBUSY,
	syscall.ETIMEDOUT, syscall.EINTR, syscall.EAGAIN,
}

// DamageError reports that files of an archive are missing or can't be interpreted.
type DamageError struct{ reason string }

// Error implements error.
func (e *DamageError) Error() string { return "the archive is damaged: " + e.reason }

// FormatError reports that an archive was written in a format that is newer than this
// software.
type FormatError struct{ version uint64 }

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("the archive has format %d, this software reads up to %d", e.version, uint64(pebble.FormatNewest))
}

// Options configure an archive.
type Options struct {
	FS  vfs.FS
	Dir string
	// Choose selects the value of a record that is read from damaged files. The last value
	// found is selected if it is nil.
	Choose Choose
	// Load reads the records after each opening, if it isn't nil. If it fails, the archive
	// counts as unusable or damaged.
	Load func(*Archive) error
	// Meter is used for the metrics of the archive, none if it is nil.
	Meter  metric.Meter
	Logger *zap.Logger
}

// Open opens the archive in a directory and creates it if it does not exist.
func Open(ctx context.Context, dir string, logger *zap.Logger) (*Archive, error) {
	return OpenFS(ctx, vfs.Default, dir, logger)
}

// OpenFS opens the archive in a directory of the given file system.
func OpenFS(ctx context.Context, fs vfs.FS, dir string, logger *zap.Logger) (*Archive, error) {
	return OpenWith(ctx, Options{FS: fs, Dir: dir, Logger: logger})
}

// OpenWith opens the archive with these options. It waits while another process has the
// archive open, such as one that is still stopping, and while the directory can't be used. If
// files are damaged, they stay where they are, and what can be read of them is in the archive
// returned, for which Damaged is true.
func OpenWith(ctx context.Context, options Options) (*Archive, error) {
	o := &opener{options: options, logger: options.Logger.With(zap.String("directory", options.Dir))}
	if err := o.instruments.register(options.Meter, o); err != nil {
		return nil, err
	}
	archive, err := o.open(ctx)
	if err != nil {
		return nil, oops.In("archive").Wrapf(err, "open the archive in %s", options.Dir)
	}
	return archive, nil
}

// opener opens one archive.
type opener struct {
	options      Options
	logger       *zap.Logger
	instruments  instruments
	waitingSince atomic.Int64            // Unix time in nanoseconds, 0 while the archive can be used.
	current      atomic.Pointer[Archive] // Opened last.
	reminded     time.Time
	damagedSince time.Time // When read errors began to be the reason, zero if they aren't.
	replaced     time.Time // When damaged files were last replaced.
}

func (o *opener) open(ctx context.Context) (*Archive, error) {
	interval := lockInterval
	for {
		archive, err := o.openUnlessStopped(ctx)
		if err == nil {
			o.noteUsable()
			return archive, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		o.noteUnusable(err)
		var stopped *WriteError
		switch {
		case errors.As(err, &stopped):
			interval = reminderInterval // As each attempt leaves a database in memory.
		case !errors.Is(err, syscall.EAGAIN):
			interval = retryInterval
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(interval):
		}
	}
}

// openUnlessStopped opens the archive once. It returns when the context ends, even if the
// database waits for the disk.
func (o *opener) openUnlessStopped(ctx context.Context) (*Archive, error) {
	type result struct {
		archive *Archive
		err     error
	}
	results := make(chan result, 1)
	go func() {
		var archive *Archive
		err := task.Guard(o.logger, "open the archive", func() (err error) {
			archive, err = o.openLocked(ctx)
			return err
		})
		results <- result{archive: archive, err: err}
	}()
	select {
	case opened := <-results:
		return opened.archive, opened.err
	case <-ctx.Done():
		go func() {
			if opened := <-results; opened.err == nil {
				o.logger.Info("closed an archive that was opened after the stop", zap.Error(opened.archive.CloseWhenWritable()))
			}
		}()
		return nil, ctx.Err()
	}
}

// openLocked opens the archive once, if no other process has locked it.
func (o *opener) openLocked(ctx context.Context) (archive *Archive, err error) {
	fs := o.options.FS
	if err := fs.MkdirAll(o.options.Dir, 0o755); err != nil {
		return nil, err
	}
	lock, err := fs.Lock(fs.PathJoin(o.options.Dir, lockName))
	if err != nil {
		return nil, err
	}
	defer func() {
		if archive == nil {
			err = errors.Join(err, lock.Close())
		}
	}()
	for {
		generations, err := listGenerations(fs, o.options.Dir)
		if err != nil {
			return nil, err
		}
		archive, err = o.openGeneration(ctx, fs, generations)
		if err == nil {
			archive.lock = lock
			return archive, nil
		}
		if !o.isDamage(fs, err) || ctx.Err() != nil {
			return nil, err
		}
		o.replaced = time.Now()
		o.logger.Error("records are damaged; a new archive gets those that can be read, the others must be copied",
			zap.String("damaged", generations.current().dir), zap.Error(err))
		if err := generations.add(); err != nil {
			return nil, err
		}
		o.instruments.damaged(ctx)
	}
}

// isDamage reports whether an error of opening means that files are damaged. Errors of the
// machine don't, except for those that last while the disk can be written.
func (o *opener) isDamage(fs vfs.FS, err error) bool {
	var format *FormatError
	var stopped *WriteError
	mayPass := isMachineError(err) || errors.As(err, &stopped)
	isMachine := slices.ContainsFunc(machineErrors, func(machineError error) bool { return errors.Is(err, machineError) })
	switch {
	case errors.As(err, &format), isMachine:
		o.damagedSince = time.Time{}
		return false
	case time.Since(o.replaced) < damagePatience:
		return false // The new archive has failed too.
	case !mayPass:
		return true
	case o.damagedSince.IsZero():
		o.damagedSince = time.Now()
		return false
	}
	return time.Since(o.damagedSince) >= damagePatience && isWritable(fs, o.options.Dir) == nil
}

// isMachineError reports whether an error is one of the disk or the system, rather than of
// the content of files. A file that is missing isn't one.
func isMachineError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.ENOENT
}

// isWritable returns an error if no file can be written to the directory.
func isWritable(fs vfs.FS, dir string) error {
	name := fs.PathJoin(dir, probeName)
	file, err := fs.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = file.Write([]byte(probeName))
	return errors.Join(err, file.Sync(), file.Close(), fs.Remove(name))
}

// openGeneration opens the newest generation and reads the older ones if it doesn't have
// their records yet.
func (o *opener) openGeneration(ctx context.Context, fs vfs.FS, generations *generations) (*Archive, error) {
	current := generations.current()
	if err := current.check(fs); err != nil {
		return nil, err
	}
	archive := &Archive{fs: newWaitingFS(fs, o.logger), damaged: current.number > 0}
	o.current.Store(archive)
	opened := make(chan error, 1)
	go func() { opened <- o.fill(ctx, archive, generations) }()
	select {
	case err := <-opened:
		if err != nil {
			return nil, err
		}
	case <-archive.fs.stopped:
		return nil, archive.fs.reason // The database is abandoned.
	}
	if err := generations.noteComplete(); err != nil {
		return nil, errors.Join(err, archive.db.Close())
	}
	archive.fs.opened.Store(true)
	generations.prune(o.logger)
	return archive, nil
}

// fill opens the database of an archive and reads its records. A panic counts as damage.
func (o *opener) fill(ctx context.Context, archive *Archive, generations *generations) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = &DamageError{reason: fmt.Sprint(reason)}
			archive.fs.stop(err) // The database may be open still.
		}
	}()
	archive.db, err = openDatabase(generations.current().dir, o.logger, archive)
	if err != nil {
		return err
	}
	err = generations.salvageInto(ctx, archive, o)
	if err == nil && o.options.Load != nil {
		err = o.options.Load(archive)
	}
	if damage := archive.damage.Load(); damage != nil {
		err = errors.Join(err, damage)
	}
	if err != nil {
		return errors.Join(err, archive.db.Close())
	}
	return nil
}

// openDatabase opens the database in a directory. It panics for some damaged files.
func openDatabase(dir string, logger *zap.Logger, archive *Archive) (*pebble.DB, error) {
	cache := pebble.NewCache(blockCacheBytes)
	defer cache.Unref()
	options := databaseOptions(archive.fs, logger)
	options.Cache = cache
	options.EventListener = &pebble.EventListener{BackgroundError: archive.noteBackgroundError, DataCorruption: func(info pebble.DataCorruptionInfo) {
		if archive.damage.CompareAndSwap(nil, &DamageError{reason: info.String()}) {
			logger.Error("records are damaged", zap.Stringer("damage", info))
		}
	}}
	return pebble.Open(dir, options)
}

func databaseOptions(fs *waitingFS, logger *zap.Logger) *pebble.Options {
	return &pebble.Options{
		FS:                          fs,
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: 4,
		MaxOpenFiles:                64,
		Logger:                      pebbleLogger{SugaredLogger: logger.Sugar(), fs: fs},
		FormatMajorVersion:          pebble.FormatNewest,
	}
}

// noteUnusable logs that the archive can't be used, at once and at intervals.
func (o *opener) noteUnusable(err error) {
	now := time.Now()
	o.waitingSince.CompareAndSwap(0, now.UnixNano())
	if now.Sub(o.reminded) < reminderInterval {
		return
	}
	o.reminded = now
	message := "archive can't be used, trying again"
	if errors.Is(err, syscall.EAGAIN) {
		message = "archive is in use by another process, waiting until it is free"
	}
	o.logger.Warn(message, zap.Duration("waited", o.waited()), zap.Error(err))
}

func (o *opener) noteUsable() {
	if waited := o.waited(); waited > 0 {
		o.logger.Info("archive is free", zap.Duration("waited", waited))
	}
	o.waitingSince.Store(0)
}

// waited returns for how long opening has waited, 0 if the archive is open.
func (o *opener) waited() time.Duration {
	since := o.waitingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// unusable returns for how long the archive can't be opened or written, 0 if it can.
func (o *opener) unusable() time.Duration {
	if archive := o.current.Load(); archive != nil {
		if failure := archive.failure(); failure != nil {
			return time.Since(failure.since)
		}
	}
	return o.waited()
}
