package archive

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

// SlowError reports that the disk is too slow for Close to wait until the archive is closed.
// Closing goes on.
type SlowError struct{ waited time.Duration }

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("the archive is not closed after %v, as the disk is slow", e.waited)
}

// closing is the end of an archive. It goes on if Close doesn't wait for it.
type closing struct {
	done     chan struct{}
	err      error       // Set before done is closed.
	reported atomic.Bool // Whether a call of Close has returned err.
}

// report returns the error of the end, once.
func (c *closing) report() error {
	if !c.reported.CompareAndSwap(false, true) {
		return &ClosedError{}
	}
	return c.err
}

// Close waits for the operations in progress and closes the database. Later operations
// return a *ClosedError. While the disk can't be written it returns an error at once, and
// soon a *SlowError if the disk is slow: synced records need no close. After these errors it
// may be called again.
func (a *Archive) Close() error {
	if a.closing.Load() == nil {
		if err := a.Writable(); err != nil {
			return err
		}
		if begun := (&closing{done: make(chan struct{})}); a.closing.CompareAndSwap(nil, begun) {
			task.Go(a.fs.logger, "close the archive", func() { a.close(begun) })
		}
	}
	ending, deadline := a.closing.Load(), time.After(closeTimeout)
	for {
		select {
		case <-ending.done:
			return ending.report()
		default:
		}
		if err := a.Writable(); err != nil {
			return err
		}
		select {
		case <-ending.done:
			return ending.report()
		case <-deadline:
			return &SlowError{waited: closeTimeout}
		case <-time.After(writeRetryInterval):
		}
	}
}

// CloseWhenWritable closes the archive, and waits while the disk can't be written or is slow.
func (a *Archive) CloseWhenWritable() error {
	var logged time.Time
	for {
		err := a.Close()
		if !isDelayed(err) {
			return err
		}
		if time.Since(logged) >= reminderInterval {
			logged = time.Now()
			a.fs.logger.Error("archive can't be closed, trying again", zap.Error(err))
		}
		time.Sleep(writeRetryInterval)
	}
}

// Abandon closes the archive, in the background while the disk can't be written or is slow.
func (a *Archive) Abandon() error {
	err := a.Close()
	if isDelayed(err) {
		task.Go(a.fs.logger, "close the archive", func() {
			a.fs.logger.Info("closed an archive that was abandoned", zap.Error(a.CloseWhenWritable()))
		})
	}
	return err
}

// isDelayed reports whether an error of Close means that a later call may succeed.
func isDelayed(err error) bool {
	var full *FullError
	var failed *WriteError
	var slow *SlowError
	return errors.As(err, &full) || errors.As(err, &failed) || errors.As(err, &slow)
}

// close closes the database, and then lets others open it.
func (a *Archive) close(ending *closing) {
	defer close(ending.done)
	a.mutex.Lock() // For good.
	err := task.Guard(a.fs.logger, "close the database", a.db.Close)
	var panicked *task.PanicError
	if errors.As(err, &panicked) {
		a.fs.stop(err) // Parts of the database may be in use still.
	}
	ending.err = errors.Join(err, a.lock.Close())
}
