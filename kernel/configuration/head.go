// Package configuration stores the accepted configuration in the key-value
// service and distributes it to every process.
//
// A single head document, written only by compare-and-swap, holds the latest
// revision number, its digest and the most recent changes. A snapshot of an
// earlier revision is stored under a separate key. A reader that is only a few
// revisions behind needs no more than the head. An Editor commits changes; a
// Follower watches the head and caches the latest table. Its revision never
// decreases.
//
// # Usage
//
//	editor := configuration.NewEditor(store, clock)
//	current, err := editor.Load(ctx)
//	next, err := editor.Apply(ctx, current.Revision(), "anna", edits)
//
//	follower := configuration.NewFollower(store, logger)
//	group.Go("configuration", follower.Run)
//	table := follower.Table()
package configuration

import (
	"context"
	"encoding/json"
	"fmt"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/table"
)

const (
	headKey        = "configuration/head"
	prefix         = "configuration/"
	snapshotPrefix = "configuration/snapshot/"

	// maxChanges is the maximum number of changes in the head. A further change
	// compacts the older ones into a snapshot.
	maxChanges = 64
	// retainedChanges is the maximum number of changes that the head retains on
	// compaction, so that readers a few revisions behind need no snapshot.
	retainedChanges = 16
	// maxHeadBytes limits the size of the head and of a snapshot. It stays below
	// the store's limit of one megabyte per value.
	maxHeadBytes = 700_000
)

// CorruptedError reports a stored document that cannot be decoded or is
// inconsistent.
type CorruptedError struct {
	key    string
	detail string
}

// Error returns a message with the key and the inconsistency found.
func (e *CorruptedError) Error() string {
	return fmt.Sprintf("stored configuration at %s is corrupted: %s", e.key, e.detail)
}

// Key returns the key of the corrupted document.
func (e *CorruptedError) Key() string { return e.key }

// head is the stored document that describes the latest revision.
type head struct {
	Revision         uint64         `json:"revision"`
	Digest           string         `json:"digest"`
	SnapshotRevision uint64         `json:"snapshotRevision"`
	Changes          []table.Change `json:"changes"`
}

func decodeHead(entry platform.Entry) (head, error) {
	var decoded head
	if err := json.Unmarshal(entry.Value, &decoded); err != nil {
		return head{}, &CorruptedError{key: entry.Key, detail: err.Error()}
	}
	return decoded, nil
}

// findChange returns the change with the given ID if the head still holds it.
func (h head) findChange(id string) (table.Change, bool) {
	for _, change := range h.Changes {
		if change.ID() == id {
			return change, true
		}
	}
	return table.Change{}, false
}

// covers reports whether the head's changes are enough to bring a table at
// the given revision up to date.
func (h head) covers(revision uint64) bool {
	if revision >= h.Revision {
		return true
	}
	return len(h.Changes) > 0 && h.Changes[0].Revision() <= revision+1
}

// replay applies the head's changes to a table whose revision the head covers,
// and verifies the digest.
func (h head) replay(current *table.Table) (*table.Table, error) {
	for _, change := range h.Changes {
		if change.Revision() <= current.Revision() {
			continue
		}
		next, err := current.Apply(change)
		if err != nil {
			return nil, &CorruptedError{key: headKey, detail: err.Error()}
		}
		current = next
	}
	if h.Revision > 0 && current.Revision() == h.Revision && current.Digest() != h.Digest {
		return nil, &CorruptedError{key: headKey, detail: "digest does not match the table after its changes"}
	}
	return current, nil
}

func snapshotKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// loadTable returns the table at the head's revision. It replays changes onto
// current if the head covers it, and onto the snapshot otherwise.
func loadTable(ctx context.Context, store platform.Store, latest head, current *table.Table) (*table.Table, error) {
	if latest.covers(current.Revision()) {
		return latest.replay(current)
	}
	base, err := loadSnapshot(ctx, store, latest)
	if err != nil {
		return nil, err
	}
	if !latest.covers(base.Revision()) {
		return nil, &CorruptedError{key: headKey, detail: "changes do not continue from the snapshot"}
	}
	return latest.replay(base)
}

// loadSnapshot returns the table of the head's snapshot, or the empty table if
// no snapshot has been written.
func loadSnapshot(ctx context.Context, store platform.Store, latest head) (*table.Table, error) {
	if latest.SnapshotRevision == 0 {
		return table.New(), nil
	}
	entry, err := store.Get(ctx, snapshotKey(latest.SnapshotRevision))
	if err != nil {
		return nil, err
	}
	base, err := table.Restore(entry.Value)
	if err != nil {
		return nil, &CorruptedError{key: entry.Key, detail: err.Error()}
	}
	return base, nil
}
