package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

// verify checks the state of a run whenever nothing has confirmed it for the check
// interval, until the run ends. It first asks the reader, if there is one; a process that is
// the reader of others reads the revision more often.
func (s *Store) verify(ctx context.Context, generation int) {
	unanswered := false // Whether the last read of the revision was not answered.
	for ctx.Err() == nil && s.isRunning(generation) {
		interval := s.fraction(minCheckInterval + rand.Float64()*(checkInterval-minCheckInterval))
		reader, found := s.currentReader()
		if found {
			interval -= s.askDuration()
		}
		wait := interval - s.Age()
		untilRead, asked := s.untilReadForOthers()
		if asked {
			wait = min(wait, untilRead)
		}
		if wait > 0 {
			task.Sleep(ctx, wait)
			continue
		}
		if found && !asked && s.checkByReader(ctx, generation, reader, unanswered) {
			continue
		}
		revision, sent, err := s.readRevision(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			s.failIfUnconfirmed(generation, err)
			task.Sleep(ctx, checkRetryDelay-time.Since(sent))
		case s.confirm(revision, sent):
		default:
			// A connection that did not answer suggests that the one of the watch is silent too.
			s.catchUp(ctx, generation, revision, unanswered)
		}
		unanswered = errors.Is(err, context.DeadlineExceeded)
	}
}

func (s *Store) isRunning(generation int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isCurrent(generation)
}

// readRevision reads the revision of the service. If the read is not answered, there is
// time for a second one before the run fails for lack of a confirmation.
func (s *Store) readRevision(ctx context.Context) (revision uint64, sent time.Time, err error) {
	timeout := max(s.options.ApplyPeriod-s.Age(), s.fraction(answerTimeout))
	ctx, cancel := context.WithTimeout(ctx, min(timeout, s.fraction(readTimeout)))
	defer cancel()
	sent = time.Now()
	s.recordCheck(CheckRead, nil)
	err = task.Guard(s.logger, "read of the revision", func() error {
		listing, err := s.List(ctx, revisionPrefix)
		revision = listing.Revision
		return err
	})
	return revision, sent, err
}

// confirm reports whether this process has all changes up to a revision of the service
// that was read by a call sent at the given time.
func (s *Store) confirm(revision uint64, sent time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.raise(revision, sent) {
		return false
	}
	s.prove(sent)
	return true
}

// raise reports whether this process has all changes up to a revision beyond which the
// service had nothing at the given time. If so, its state is confirmed as of then. The caller
// must hold the mutex.
func (s *Store) raise(revision uint64, at time.Time) bool {
	if revision > s.lastRevision {
		return false
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	return true
}

// failIfUnconfirmed ends the run once nothing has confirmed its state for the apply
// period.
func (s *Store) failIfUnconfirmed(generation int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	age := time.Since(s.confirmedAt)
	if !s.isCurrent(generation) || age < s.options.ApplyPeriod {
		return
	}
	s.record(Unavailable, err, age)
	s.cancelCall()
	s.fail(err)
}

// catchUp waits until the watch has returned the changes up to a revision, unless it is
// suspected to be silent. If it doesn't, the watch call is made again, and if that call
// isn't answered, the run ends.
func (s *Store) catchUp(ctx context.Context, generation int, revision uint64, suspected bool) {
	if !suspected && s.awaitRevision(ctx, generation, revision) {
		return
	}
	s.replaceCall(generation, revision)
	if s.awaitRevision(ctx, generation, revision) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isCurrent(generation) {
		return
	}
	err := platform.NewGapError(s.lastRevision)
	s.record(Behind, err, time.Since(s.confirmedAt))
	s.cancelCall()
	s.fail(err)
}

// replaceCall makes the watch call of a run again.
func (s *Store) replaceCall(generation int, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isCurrent(generation) {
		return
	}
	s.outcomes[Behind]++
	s.logger.Info("watch call did not return a change and is made again", zap.Uint64("revision", revision),
		zap.Uint64("after", s.lastRevision), zap.Duration("confirmed", time.Since(s.confirmedAt)))
	s.cancelCall()
}

// awaitRevision reports whether the watch returns the changes up to a revision within
// answerTimeout. It returns true if the run ends meanwhile.
func (s *Store) awaitRevision(ctx context.Context, generation int, revision uint64) bool {
	timer := time.NewTimer(s.fraction(answerTimeout))
	defer timer.Stop()
	for {
		s.mutex.Lock()
		done := s.lastRevision >= revision || !s.isCurrent(generation)
		changed := s.changed
		s.mutex.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return true
		}
	}
}
