package archive_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

func newRecord(index int, now time.Time) archive.Record {
	return archive.Record{Key: fmt.Sprintf("t/%03d", index), Value: bytes.Repeat([]byte{byte(index)}, 3000), Expires: now.Add(time.Minute)}
}

func scanAll(t *testing.T, store *archive.Archive) map[string][]byte {
	t.Helper()
	values := make(map[string][]byte)
	if _, err := store.Scan(nil, func(r archive.Record) bool {
		values[r.Key] = bytes.Clone(r.Value)
		return true
	}); err != nil {
		t.Fatalf("scan: %v", err)
	}
	return values
}

// TestSyncedRecordsSurvivePowerLoss simulates power losses that drop a random
// part of the unsynced data. Records for which Store had returned must be read
// back unchanged; records written by StoreNoSync may be lost.
func TestSyncedRecordsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			fs := vfs.NewCrashableMem()
			store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			now := time.Now()
			synced := random.IntN(60)
			for index := range synced {
				if err := store.Store(newRecord(index, now)); err != nil {
					t.Fatalf("store: %v", err)
				}
			}
			for index := range 20 {
				if err := store.StoreNoSync(newRecord(synced+index, now)); err != nil {
					t.Fatalf("store without sync: %v", err)
				}
			}
			crashed := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: random.IntN(101), RNG: random})
			if err := closeFully(store); err != nil {
				t.Fatalf("close: %v", err)
			}
			reopened, err := archive.OpenFS(t.Context(), crashed, "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open after the power loss: %v", err)
			}
			defer func() { _ = reopened.Close() }()
			if reopened.Damaged() {
				t.Error("archive after the loss of power: counts as damaged")
			}
			values := scanAll(t, reopened)
			for index := range synced {
				want := newRecord(index, now)
				if got := values[want.Key]; !bytes.Equal(got, want.Value) {
					t.Errorf("record %s: got %d bytes, want the %d bytes that were synced", want.Key, len(got), len(want.Value))
				}
			}
		})
	}
}

// TestExpire checks that Expire removes expired records and no others.
func TestExpire(t *testing.T) {
	store, err := archive.Open(t.Context(), t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	defer func() { _ = store.Close() }()
	now := time.Now()
	expired := archive.Record{Key: "old", Value: []byte{1}, Expires: now.Add(-time.Minute)}
	fresh := archive.Record{Key: "fresh", Value: []byte{2}, Expires: now.Add(time.Minute)}
	if err := store.Store(expired, fresh); err != nil {
		t.Fatalf("store: %v", err)
	}
	if err := store.Expire(now); err != nil {
		t.Fatalf("expire: %v", err)
	}
	values := scanAll(t, store)
	if _, found := values["old"]; found {
		t.Error("expired record: still stored, want it removed")
	}
	if got, err := store.Read("fresh", fresh.Expires); err != nil || !bytes.Equal(got, fresh.Value) {
		t.Errorf("record: got %v and %v, want %v", got, err, fresh.Value)
	}
}

// TestScanResumes checks that scanning in pages visits each record exactly once.
func TestScanResumes(t *testing.T) {
	store, err := archive.Open(t.Context(), t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	defer func() { _ = store.Close() }()
	now := time.Now()
	const count = 10
	for index := range count {
		if err := store.StoreNoSync(newRecord(index, now)); err != nil {
			t.Fatalf("store: %v", err)
		}
	}
	visits := make(map[string]int)
	var after []byte
	for range 2 * count {
		pageSize := 0
		next, err := store.Scan(after, func(r archive.Record) bool {
			visits[r.Key]++
			pageSize++
			return pageSize < 3
		})
		if err != nil {
			t.Fatalf("scan: %v", err)
		}
		if after = next; after == nil {
			break
		}
	}
	if got := len(visits); got != count {
		t.Errorf("records visited: got %d, want %d", got, count)
	}
	for key, times := range visits {
		if times != 1 {
			t.Errorf("visits of record %s: got %d, want 1", key, times)
		}
	}
}
