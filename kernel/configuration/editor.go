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

// settleAttempts bounds how often a write whose answer was lost is read back.
const settleAttempts = 5

// settlePause is the wait between these attempts.
const settlePause = 200 * time.Millisecond

// RaceError reports that another change was accepted since the caller planned
// its own. Nothing was written.
type RaceError struct {
	planned uint64
	current uint64
}

// NewRaceError returns the error for a change planned from one revision where
// another one is found.
func NewRaceError(planned, current uint64) *RaceError {
	return &RaceError{planned: planned, current: current}
}

// Error says what to do.
func (e *RaceError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, but this change was planned from %d: plan again; nothing was changed", e.current, e.planned)
}

// Planned returns the revision that the change was planned from.
func (e *RaceError) Planned() uint64 { return e.planned }

// Current returns the revision found.
func (e *RaceError) Current() uint64 { return e.current }

// UnsettledError reports a write of which it could not be learned whether it
// took effect.
type UnsettledError struct {
	changeID string
	cause    error
}

// Error says how to find out.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the key-value service did not say whether change %s was accepted: look for it in the table history before trying again (%v)", e.changeID, e.cause)
}

// ChangeID returns the identifier to look for.
func (e *UnsettledError) ChangeID() string { return e.changeID }

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.cause }

// TooLargeError reports a table that does not fit into one stored value.
type TooLargeError struct{ bytes int }

// Error names the size and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the table takes %d bytes, the most is %d: nothing was changed", e.bytes, maxHeadBytes)
}

// RevisionGoneError reports a revision that is not kept.
type RevisionGoneError struct {
	wanted uint64
	oldest uint64
	newest uint64
}

// Error names the revisions that are kept.
func (e *RevisionGoneError) Error() string {
	return fmt.Sprintf("revision %d is not kept: use one from %d to %d", e.wanted, e.oldest, e.newest)
}

// Editor writes accepted changes.
type Editor struct {
	store platform.Store
	now   func() time.Time
}

// NewEditor returns an editor that stamps changes with now.
func NewEditor(store platform.Store, now func() time.Time) *Editor {
	return &Editor{store: store, now: now}
}

// Load returns the newest accepted table.
func (e *Editor) Load(ctx context.Context) (*table.Table, error) {
	newest, _, err := e.head(ctx)
	if err != nil {
		return nil, err
	}
	return load(ctx, e.store, newest, table.New())
}

// At returns the table at a revision that the head's changes lead to. Earlier
// ones are no longer kept and give a *RevisionGoneError.
func (e *Editor) At(ctx context.Context, revision uint64) (*table.Table, error) {
	newest, _, err := e.head(ctx)
	if err != nil {
		return nil, err
	}
	if revision > newest.Revision || revision < newest.SnapshotRevision {
		return nil, &RevisionGoneError{wanted: revision, oldest: newest.SnapshotRevision, newest: newest.Revision}
	}
	base, err := snapshot(ctx, e.store, newest)
	if err != nil {
		return nil, err
	}
	for _, change := range newest.Changes {
		if change.Revision() <= base.Revision() || change.Revision() > revision {
			continue
		}
		if base, err = base.Apply(change); err != nil {
			return nil, err
		}
	}
	return base, nil
}

// History returns the changes that the head still holds, oldest first.
func (e *Editor) History(ctx context.Context) ([]table.Change, error) {
	newest, _, err := e.head(ctx)
	return newest.Changes, err
}

// Apply writes the edits as the revision after base and returns the new
// table. It fails with a *RaceError if base is not the newest revision, and
// with an *UnsettledError if the effect of the write is not known.
func (e *Editor) Apply(ctx context.Context, base uint64, author string, edits []table.Edit) (*table.Table, error) {
	newest, version, err := e.head(ctx)
	if err != nil {
		return nil, err
	}
	if newest.Revision != base {
		return nil, &RaceError{planned: base, current: newest.Revision}
	}
	current, err := load(ctx, e.store, newest, table.New())
	if err != nil {
		return nil, err
	}
	change := table.NewChange(base+1, uuid.NewString(), author, e.now().UTC(), edits)
	next, err := current.Apply(change)
	if err != nil {
		return nil, err
	}
	updated, err := e.prepare(ctx, newest, current, change, next.Digest())
	if err != nil {
		return nil, err
	}
	if err := e.write(ctx, updated, version, change); err != nil {
		return nil, err
	}
	return next, nil
}

func (e *Editor) head(ctx context.Context) (head, uint64, error) {
	entry, err := e.store.Get(ctx, headKey)
	if platform.IsNotFound(err) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	read, err := readHead(entry)
	return read, entry.Version, err
}

// prepare returns the next head. Where the head has grown long, it first
// writes a snapshot of the current revision; a snapshot that no head names
// does no harm.
func (e *Editor) prepare(ctx context.Context, newest head, current *table.Table, change table.Change, digest string) (head, error) {
	updated := newest
	updated.Revision = change.Revision()
	updated.Digest = digest
	updated.Changes = append(append([]table.Change{}, newest.Changes...), change)
	text, err := json.Marshal(updated)
	if err != nil {
		return head{}, err
	}
	if len(updated.Changes) <= maxChanges && len(text) <= maxHeadBytes {
		return updated, nil
	}
	if err := e.writeSnapshot(ctx, current); err != nil {
		return head{}, err
	}
	updated.SnapshotRevision = current.Revision()
	updated.Changes = recent(updated.Changes)
	return updated, nil
}

// recent returns the newest changes, as many as are kept after a snapshot and
// fit the head; the last one always stays.
func recent(changes []table.Change) []table.Change {
	total := 0
	first := len(changes) - 1
	for first > 0 && len(changes)-first < keptChanges {
		text, err := json.Marshal(changes[first-1])
		if err != nil || total+len(text) > maxHeadBytes/2 {
			break
		}
		total += len(text)
		first--
	}
	return changes[first:]
}

func (e *Editor) writeSnapshot(ctx context.Context, current *table.Table) error {
	text, err := current.Snapshot()
	if err != nil {
		return err
	}
	if len(text) > maxHeadBytes {
		return &TooLargeError{bytes: len(text)}
	}
	_, err = e.store.CompareAndSwap(ctx, snapshotKey(current.Revision()), text, 0, 0)
	if platform.IsConflict(err) {
		return nil // The same revision always has the same snapshot.
	}
	return err
}

func (e *Editor) write(ctx context.Context, updated head, version uint64, change table.Change) error {
	text, err := json.Marshal(updated)
	if err != nil {
		return err
	}
	if len(text) > maxHeadBytes {
		return &TooLargeError{bytes: len(text)}
	}
	_, err = e.store.CompareAndSwap(ctx, headKey, text, version, 0)
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return nil
	case platform.IsConflict(err):
		return e.settle(ctx, change, version, err)
	case errors.As(err, &unavailable) && unavailable.EffectUnknown():
		return e.settle(ctx, change, version, err)
	default:
		return err
	}
}

// settle reads back whether the change was accepted. A conflict is read back
// too: the client library below may have sent a lost write twice.
//
// As long as the head's version is still the one that the write expected, the
// write may yet arrive; only a version that has moved on without the change
// proves that it never will.
func (e *Editor) settle(ctx context.Context, change table.Change, version uint64, cause error) error {
	for range settleAttempts {
		newest, found, err := e.head(ctx)
		if err == nil {
			if _, accepted := newest.find(change.ID()); accepted {
				return nil
			}
			if found != version {
				return &RaceError{planned: change.Revision() - 1, current: newest.Revision}
			}
		}
		select {
		case <-ctx.Done():
			return &UnsettledError{changeID: change.ID(), cause: cause}
		case <-time.After(settlePause):
		}
	}
	return &UnsettledError{changeID: change.ID(), cause: cause}
}
