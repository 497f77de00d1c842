package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/table"
)

// confirmAttempts is how many times the head is read to determine the outcome
// of an ambiguous write.
const confirmAttempts = 5

// confirmInterval is the delay between the reads of the head.
const confirmInterval = 200 * time.Millisecond

// RevisionConflictError reports a revision conflict: another change was accepted after
// the revision on which the caller based its own. Nothing was written.
type RevisionConflictError struct {
	base    uint64
	current uint64
}

// NewRevisionConflictError returns the error for a change based on revision base while
// the configuration is at revision current.
func NewRevisionConflictError(base, current uint64) *RevisionConflictError {
	return &RevisionConflictError{base: base, current: current}
}

// Error returns a message with both revisions and the required action.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, but this change was planned from %d: plan again; nothing was changed", e.current, e.base)
}

// Base returns the revision on which the change was based.
func (e *RevisionConflictError) Base() uint64 { return e.base }

// Current returns the latest accepted revision.
func (e *RevisionConflictError) Current() uint64 { return e.current }

// OutcomeUnknownError reports a write whose outcome could not be determined: it may
// have taken effect or may still do so.
type OutcomeUnknownError struct {
	changeID string
	cause    error
}

// Error returns a message that tells the caller how to determine the outcome.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("could not determine whether the key-value service accepted change %s: look for it in the table history before trying again (%v)", e.changeID, e.cause)
}

// ChangeID returns the change's ID, by which it is found in the history.
func (e *OutcomeUnknownError) ChangeID() string { return e.changeID }

// Unwrap returns the error of the write.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// TooLargeError reports a head or snapshot that exceeds the size limit of one
// stored value.
type TooLargeError struct{ bytes int }

// Error returns a message with the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("stored configuration document of %d bytes exceeds the limit of %d bytes: nothing was changed", e.bytes, maxHeadBytes)
}

// RevisionCompactedError reports a revision that does not exist or has been
// compacted into a later snapshot.
type RevisionCompactedError struct {
	requested uint64
	oldest    uint64
	latest    uint64
}

// Error returns a message with the range of available revisions.
func (e *RevisionCompactedError) Error() string {
	return fmt.Sprintf("revision %d is not available: use one from %d to %d", e.requested, e.oldest, e.latest)
}

// Editor reads the stored configuration and commits changes to it.
type Editor struct {
	store platform.Store
	now   func() time.Time
}

// NewEditor returns an editor that takes the timestamps of changes from now.
func NewEditor(store platform.Store, now func() time.Time) *Editor {
	return &Editor{store: store, now: now}
}

// Load returns the latest accepted table.
func (e *Editor) Load(ctx context.Context) (*table.Table, error) {
	latest, _, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return loadTable(ctx, e.store, latest, table.New())
}

// At returns the table at a revision from that of the head's snapshot to the
// latest one. Any other revision gives a *RevisionCompactedError.
func (e *Editor) At(ctx context.Context, revision uint64) (*table.Table, error) {
	latest, _, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if revision > latest.Revision || revision < latest.SnapshotRevision {
		return nil, &RevisionCompactedError{requested: revision, oldest: latest.SnapshotRevision, latest: latest.Revision}
	}
	result, err := loadSnapshot(ctx, e.store, latest)
	if err != nil {
		return nil, err
	}
	for _, change := range latest.Changes {
		if change.Revision() <= result.Revision() || change.Revision() > revision {
			continue
		}
		if result, err = result.Apply(change); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// History returns the changes in the head, oldest first.
func (e *Editor) History(ctx context.Context) ([]table.Change, error) {
	latest, _, err := e.readHead(ctx)
	return latest.Changes, err
}

// Apply commits the edits as revision base+1 and returns the new table. It
// fails with a *RevisionConflictError if base is not the latest revision, and with an
// *OutcomeUnknownError if the outcome of the write could not be determined.
func (e *Editor) Apply(ctx context.Context, base uint64, author string, edits []table.Edit) (*table.Table, error) {
	latest, version, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if latest.Revision != base {
		return nil, &RevisionConflictError{base: base, current: latest.Revision}
	}
	current, err := loadTable(ctx, e.store, latest, table.New())
	if err != nil {
		return nil, err
	}
	change := table.NewChange(base+1, uuid.NewString(), author, e.now().UTC(), edits)
	next, err := current.Apply(change)
	if err != nil {
		return nil, err
	}
	updated, err := e.nextHead(ctx, latest, current, change, next.Digest())
	if err != nil {
		return nil, err
	}
	if err := e.writeHead(ctx, updated, version, change); err != nil {
		return nil, err
	}
	return next, nil
}

func (e *Editor) readHead(ctx context.Context) (head, uint64, error) {
	entry, err := e.store.Get(ctx, headKey)
	if platform.IsNotFound(err) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	decoded, err := decodeHead(entry)
	return decoded, entry.Version, err
}

// nextHead returns the head with the change appended. If that exceeds the
// limits of a head, it writes a snapshot of the current revision and drops the
// older changes. If the head is then not written, the unreferenced snapshot
// does no harm.
func (e *Editor) nextHead(ctx context.Context, latest head, current *table.Table, change table.Change, digest string) (head, error) {
	updated := latest
	updated.Revision = change.Revision()
	updated.Digest = digest
	updated.Changes = append(append([]table.Change{}, latest.Changes...), change)
	data, err := json.Marshal(updated)
	if err != nil {
		return head{}, err
	}
	if len(updated.Changes) <= maxChanges && len(data) <= maxHeadBytes {
		return updated, nil
	}
	if err := e.writeSnapshot(ctx, current); err != nil {
		return head{}, err
	}
	updated.SnapshotRevision = current.Revision()
	updated.Changes = recentChanges(updated.Changes)
	return updated, nil
}

// recentChanges returns the latest changes that the head retains on compaction,
// bounded in number and size. The last change is always included.
func recentChanges(changes []table.Change) []table.Change {
	size := 0
	first := len(changes) - 1
	for first > 0 && len(changes)-first < retainedChanges {
		data, err := json.Marshal(changes[first-1])
		if err != nil || size+len(data) > maxHeadBytes/2 {
			break
		}
		size += len(data)
		first--
	}
	return changes[first:]
}

func (e *Editor) writeSnapshot(ctx context.Context, current *table.Table) error {
	data, err := current.Snapshot()
	if err != nil {
		return err
	}
	if len(data) > maxHeadBytes {
		return &TooLargeError{bytes: len(data)}
	}
	_, err = e.store.CompareAndSwap(ctx, snapshotKey(current.Revision()), data, 0, 0)
	if platform.IsConflict(err) {
		return nil // It already exists; snapshots of one revision are identical.
	}
	return err
}

func (e *Editor) writeHead(ctx context.Context, updated head, version uint64, change table.Change) error {
	data, err := json.Marshal(updated)
	if err != nil {
		return err
	}
	if len(data) > maxHeadBytes {
		return &TooLargeError{bytes: len(data)}
	}
	_, err = e.store.CompareAndSwap(ctx, headKey, data, version, 0)
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return nil
	case platform.IsConflict(err):
		return e.confirm(ctx, change, version, err)
	case errors.As(err, &unavailable) && unavailable.EffectUnknown():
		return e.confirm(ctx, change, version, err)
	default:
		return err
	}
}

// confirm reads the head to determine whether the change was accepted. It is called
// after an ambiguous error and also after a conflict, because the underlying client
// library may have retried a write whose response was lost, and the retry then
// conflicts with the write's own first attempt.
//
// As long as the head still has the version that the write expected, a delayed
// write may take effect. Only a different version without the change proves
// that it was not and will not be accepted, provided that the change has not been
// compacted away in the meantime.
func (e *Editor) confirm(ctx context.Context, change table.Change, version uint64, cause error) error {
	for range confirmAttempts {
		latest, currentVersion, err := e.readHead(ctx)
		if err == nil {
			if _, accepted := latest.findChange(change.ID()); accepted {
				return nil
			}
			if currentVersion != version {
				return &RevisionConflictError{base: change.Revision() - 1, current: latest.Revision}
			}
		}
		select {
		case <-ctx.Done():
			return &OutcomeUnknownError{changeID: change.ID(), cause: cause}
		case <-time.After(confirmInterval):
		}
	}
	return &OutcomeUnknownError{changeID: change.ID(), cause: cause}
}
