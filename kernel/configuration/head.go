// Package configuration keeps the accepted configuration in the key-value
// service and brings it to every process.
//
// One head document, changed by compare-and-swap only, holds the newest
// revision, its digest and the last changes; a snapshot of an earlier
// revision stands beside it. A reader that is a few changes behind needs the
// head alone. An Editor writes; a Follower holds the newest table that its
// process has seen and never installs a lower revision.
//
// # Usage
//
//	editor := configuration.NewEditor(store, clock)
//	current, err := editor.Load(ctx)
//	next, err := editor.Apply(ctx, current.Revision(), "anna", edits)
//
//	follower := configuration.NewFollower(store, logger)
//	group.Go("configuration", follower.Follow)
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

	// maxChanges is how many changes a head holds before the oldest of them
	// move into a snapshot.
	maxChanges = 64
	// keptChanges is how many changes stay in the head then, for readers that
	// are a few revisions behind.
	keptChanges = 16
	// maxHeadBytes leaves room below the store's limit of one megabyte.
	maxHeadBytes = 700_000
)

// DamagedError reports a stored document that contradicts itself.
type DamagedError struct {
	key    string
	detail string
}

// Error names the key and says what is wrong.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("stored configuration at %s is damaged: %s", e.key, e.detail)
}

// Key returns the key of the damaged document.
func (e *DamagedError) Key() string { return e.key }

// head is the stored form of the newest revision.
type head struct {
	Revision         uint64         `json:"revision"`
	Digest           string         `json:"digest"`
	SnapshotRevision uint64         `json:"snapshotRevision"`
	Changes          []table.Change `json:"changes"`
}

func readHead(entry platform.Entry) (head, error) {
	var read head
	if err := json.Unmarshal(entry.Value, &read); err != nil {
		return head{}, &DamagedError{key: entry.Key, detail: err.Error()}
	}
	return read, nil
}

// find returns the change of that identifier, if the head still holds it.
func (h head) find(id string) (table.Change, bool) {
	for _, change := range h.Changes {
		if change.ID() == id {
			return change, true
		}
	}
	return table.Change{}, false
}

// covers reports whether the head's changes lead on from the revision.
func (h head) covers(revision uint64) bool {
	if revision >= h.Revision {
		return true
	}
	return len(h.Changes) > 0 && h.Changes[0].Revision() <= revision+1
}

// advance applies the head's changes to a table that it covers.
func (h head) advance(current *table.Table) (*table.Table, error) {
	for _, change := range h.Changes {
		if change.Revision() <= current.Revision() {
			continue
		}
		next, err := current.Apply(change)
		if err != nil {
			return nil, &DamagedError{key: headKey, detail: err.Error()}
		}
		current = next
	}
	if h.Revision > 0 && current.Revision() == h.Revision && current.Digest() != h.Digest {
		return nil, &DamagedError{key: headKey, detail: "digest differs from the changes"}
	}
	return current, nil
}

func snapshotKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// load returns the table that the head describes, starting from current if
// the head covers it and from the snapshot otherwise.
func load(ctx context.Context, store platform.Store, newest head, current *table.Table) (*table.Table, error) {
	if newest.covers(current.Revision()) {
		return newest.advance(current)
	}
	base, err := snapshot(ctx, store, newest)
	if err != nil {
		return nil, err
	}
	if !newest.covers(base.Revision()) {
		return nil, &DamagedError{key: headKey, detail: "changes do not lead on from the snapshot"}
	}
	return newest.advance(base)
}

// snapshot returns the table from which the head's changes lead on.
func snapshot(ctx context.Context, store platform.Store, newest head) (*table.Table, error) {
	if newest.SnapshotRevision == 0 {
		return table.New(), nil
	}
	entry, err := store.Get(ctx, snapshotKey(newest.SnapshotRevision))
	if err != nil {
		return nil, err
	}
	base, err := table.Restore(entry.Value)
	if err != nil {
		return nil, &DamagedError{key: entry.Key, detail: err.Error()}
	}
	return base, nil
}
