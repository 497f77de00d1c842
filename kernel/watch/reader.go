package watch

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

// Fractions of the apply period. The reader is asked before the check interval has passed, so
// that a read after a call without an answer begins no later than without a reader.
const (
	// askTimeout bounds a call to the reader, as does maxAskTimeout.
	askTimeout = 0.05
	// readerInterval is the age of the confirmation at which a reader that is asked reads the
	// revision. Others ask when theirs is at least minCheckInterval-askTimeout old, so that
	// they find a newer one.
	readerInterval = 0.4
	// maxReaderAge is the age up to which a confirmation of the reader is taken over. It is
	// below minCheckInterval-askTimeout, so that each one saves a part of the interval.
	maxReaderAge = 0.45
	// latestAsk is the age of the state from which the reader is not asked, because the time
	// that remains is for a read of this process.
	latestAsk = 0.75
	// askedPeriod is how long a reader that was asked reads the revision more often. Processes
	// with twice the apply period ask within that time too.
	askedPeriod = 4
)

// maxAskTimeout bounds a call to the reader, which answers from memory.
const maxAskTimeout = 150 * time.Millisecond

// Check is what came of a check of the state.
type Check string

// The results of checks.
const (
	CheckRead      Check = "read"      // This process read the revision of the service.
	CheckConfirmed Check = "confirmed" // The reader confirmed the state.
	CheckBehind    Check = "behind"    // The reader has changes that this process lacks.
	CheckOld       Check = "old"       // The reader's own state was confirmed too long ago.
	CheckFailed    Check = "failed"    // The reader did not answer in time.
)

// Confirmation is a revision of the service beyond which there was nothing some time ago.
type Confirmation struct {
	revision uint64
	age      time.Duration
}

// NewConfirmation returns a confirmation whose age is that time.
func NewConfirmation(revision uint64, age time.Duration) Confirmation {
	return Confirmation{revision: revision, age: max(0, age)}
}

// Revision returns the revision of the service.
func (c Confirmation) Revision() uint64 { return c.revision }

// Age returns an upper bound of the time since there was nothing beyond the revision.
func (c Confirmation) Age() time.Duration { return c.age }

// Reader is another process, which reads the revision of the service for this one.
type Reader interface {
	// Confirmation returns what the service last confirmed to the reader.
	Confirmation(ctx context.Context) (Confirmation, error)
}

// SetReader sets the function that returns the process to ask before this one reads the
// revision by itself, and false if there is none. It must be called before the first
// subscriber, and the function must not block.
func (s *Store) SetReader(reader func() (Reader, bool)) { s.reader = reader }

// Confirmation returns what the service last confirmed to this process by an answer of its
// own, and false if it has confirmed nothing since the watch began. It is for other processes,
// whose reader this process then is.
func (s *Store) Confirmation() (Confirmation, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.askedAt = time.Now()
	if !s.running || s.provenAt.IsZero() {
		return Confirmation{}, false
	}
	return NewConfirmation(s.lastRevision, time.Since(s.provenAt)), true
}

// Checks returns the number of checks of the state by what came of them.
func (s *Store) Checks() map[Check]int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.checks)
}

// HeardReaderWithin reports whether the reader has answered within a time with a
// confirmation that was not too old. This process then knows of changes although the
// service may not answer it.
func (s *Store) HeardReaderWithin(period time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.heardAt.IsZero() && time.Since(s.heardAt) < period
}

// currentReader returns the process to ask, and false if there is none.
func (s *Store) currentReader() (Reader, bool) {
	if s.reader == nil {
		return nil, false
	}
	return s.reader()
}

// untilReadForOthers returns the time until this process must read the revision for others, and false
// if none has asked it. What counts is when the calls were sent, since others are told that
// age: an answer may have waited in a process that was suspended.
func (s *Store) untilReadForOthers() (wait time.Duration, asked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.askedAt.IsZero() || time.Since(s.askedAt) > s.fraction(askedPeriod) {
		return 0, false
	}
	proven := s.provenAt
	if proven.IsZero() {
		proven = s.confirmedAt // When the run began.
	}
	return s.fraction(readerInterval) - time.Since(proven), true
}

// askDuration returns the bound of a call to the reader.
func (s *Store) askDuration() time.Duration { return min(s.fraction(askTimeout), maxAskTimeout) }

// checkByReader checks the state of a run by a call to the reader. It returns false if this
// process must read the revision by itself. It waits as catchUp does if the reader has changes
// that this process lacks.
func (s *Store) checkByReader(ctx context.Context, generation int, reader Reader, suspected bool) bool {
	if s.Age() > s.fraction(latestAsk) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, s.askDuration())
	defer cancel()
	sent := time.Now()
	var confirmation Confirmation
	err := task.Guard(s.logger, "call to the reader of the revision", func() (err error) {
		confirmation, err = reader.Confirmation(bounded)
		return err
	})
	if ctx.Err() != nil {
		return true
	}
	// The reader computed the age after the call was sent.
	confirmedAt := sent.Add(-confirmation.age)
	switch {
	case err != nil:
		s.recordCheck(CheckFailed, err)
	case time.Since(confirmedAt) > s.fraction(maxReaderAge):
		s.recordCheck(CheckOld, nil)
	case s.takeOver(confirmation.revision, confirmedAt):
		s.recordCheck(CheckConfirmed, nil)
		return true
	default:
		s.recordCheck(CheckBehind, nil)
		s.catchUp(ctx, generation, confirmation.revision, suspected)
		return true
	}
	return false
}

// takeOver does what confirm does with a confirmation of the reader. Others are not told of
// it.
func (s *Store) takeOver(revision uint64, at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = time.Now()
	return s.raise(revision, at)
}

// prove records that the service confirmed the state of this process by an answer to a call
// that was sent at the given time. The caller must hold the mutex.
func (s *Store) prove(sent time.Time) {
	if sent.After(s.provenAt) {
		s.provenAt = sent
	}
}

// recordCheck counts a check. It logs the first failure of a call to the reader after an
// answer.
func (s *Store) recordCheck(check Check, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checks[check]++
	if check == CheckRead {
		return
	}
	if err != nil && !s.readerFailed {
		s.logger.Info("reader of the revision did not confirm the state; this process reads it by itself", zap.Duration("confirmed", time.Since(s.confirmedAt)), zap.Error(err))
	}
	s.readerFailed = err != nil
}
