// Package settingsfile reads the settings file of a process that starts. The file may
// appear, or be completed, only after the process has started, so it is read until it can
// be used.
//
// # Usage
//
//	content, err := settingsfile.Await(ctx, path, parse, logger) // err only if ctx ends.
//	start(content.Value())
//	if settingsfile.AwaitRest(ctx, path, content, parse, ready, logger) { restart() }
package settingsfile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

const (
	// retryInterval is the interval between reads of a file that cannot be used.
	retryInterval = 50 * time.Millisecond
	// settleInterval is the interval between the two reads that must be equal.
	settleInterval = 20 * time.Millisecond
	// logInterval is the interval at which a file that cannot be used is logged.
	logInterval = 10 * time.Second
	// readTimeout is how long reading and parsing may take before it counts as failed.
	readTimeout = time.Second
	// restPeriod is how long the rest of a file is waited for.
	restPeriod = time.Minute
	// restInterval is the interval between reads meanwhile.
	restInterval = 200 * time.Millisecond
	// maxSize limits the size of the file.
	maxSize = 64 << 10
)

// TooLargeError reports a file that is too large for a settings file.
type TooLargeError struct{ path string }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: larger than %d bytes", e.path, maxSize)
}

// TimeoutError reports a read that has not returned yet.
type TimeoutError struct{ path string }

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("read and parse %s: not finished after %s", e.path, readTimeout)
}

// Content is what was read from a settings file.
type Content[T any] struct {
	text  []byte
	value T
}

// Value returns the settings.
func (c *Content[T]) Value() T { return c.value }

// Await reads the file until parse accepts it and two reads in a row are equal, so that a
// file that is being written is not used before its end. It logs why it waits. It returns
// an error only if ctx ends.
func Await[T any](ctx context.Context, path string, parse func(text []byte) (T, error), logger *zap.Logger) (*Content[T], error) {
	logger = logger.With(zap.String("path", path))
	reader := NewReader(path, parse, logger)
	started := time.Now()
	var logged time.Time
	var previous *Content[T]
	for {
		current, err := reader.read(ctx)
		interval := settleInterval
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			interval = retryInterval
			if logged.IsZero() || time.Since(logged) >= logInterval {
				logged = time.Now()
				logger.Warn("settings file cannot be used, waiting for it", zap.Error(err), zap.Time("since", started), zap.Duration("waited", time.Since(started)))
			}
		case previous != nil && bytes.Equal(previous.text, current.text):
			if !logged.IsZero() {
				logger.Info("settings file read", zap.Duration("waited", time.Since(started)))
			}
			return current, nil
		}
		previous = current
		task.Sleep(ctx, interval)
	}
}

// AwaitRest waits for the rest of a file that Await returned before its end was written. It
// reports whether the file now goes on after what was read, with other settings, and the
// process has not been ready before. It gives up after restPeriod, as the file is only written
// at the start.
func AwaitRest[T any](ctx context.Context, path string, content *Content[T], parse func(text []byte) (T, error), ready func() bool, logger *zap.Logger) bool {
	logger = logger.With(zap.String("path", path))
	reader := NewReader(path, parse, logger)
	wasReady := false
	for ended := time.Now().Add(restPeriod); time.Now().Before(ended); task.Sleep(ctx, restInterval) {
		wasReady = wasReady || ready()
		current, err := reader.read(ctx)
		if ctx.Err() != nil {
			return false
		}
		if err != nil || len(current.text) <= len(content.text) || !bytes.HasPrefix(current.text, content.text) || reflect.DeepEqual(current.value, content.value) {
			continue
		}
		if wasReady {
			logger.Warn("settings file goes on after what was read, which takes effect at the next start")
			return false
		}
		logger.Warn("settings file was read before its end was written")
		return true
	}
	return false
}

// Reader reads and parses a file without blocking its caller for long: a read blocks in the
// operating system while the file system does not answer. It has one caller at a time.
type Reader[T any] struct {
	path    string
	parse   func(text []byte) (T, error)
	logger  *zap.Logger
	pending chan result[T] // Nil if no read is in progress.
}

type result[T any] struct {
	content *Content[T]
	err     error
}

// NewReader returns a reader of the file at path.
func NewReader[T any](path string, parse func(text []byte) (T, error), logger *zap.Logger) *Reader[T] {
	return &Reader[T]{path: path, parse: parse, logger: logger}
}

// Read returns what the file contains now, or an error if it cannot be used.
func (r *Reader[T]) Read(ctx context.Context) (value T, err error) {
	content, err := r.read(ctx)
	if err == nil {
		value = content.value
	}
	return value, err
}

// read returns nil and an error if the file cannot be used.
func (r *Reader[T]) read(ctx context.Context) (*Content[T], error) {
	if r.pending == nil {
		pending := make(chan result[T], 1)
		r.pending = pending
		go func() {
			var content *Content[T]
			err := task.Guard(r.logger, "read the settings file", func() error {
				text, err := readFile(r.path)
				if err != nil {
					return err
				}
				value, err := r.parse(text)
				if err == nil {
					content = &Content[T]{text: text, value: value}
				}
				return err
			})
			pending <- result[T]{content: content, err: err}
		}()
	}
	timer := time.NewTimer(readTimeout)
	defer timer.Stop()
	select {
	case result := <-r.pending:
		r.pending = nil
		return result.content, result.err
	case <-timer.C:
		return nil, &TimeoutError{path: r.path}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // It was only read.
	text, err := io.ReadAll(io.LimitReader(file, maxSize+1))
	if err == nil && len(text) > maxSize {
		return nil, &TooLargeError{path: path}
	}
	return text, err
}
