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

func record(index int, now time.Time) archive.Record {
	return archive.Record{Key: fmt.Sprintf("t/%03d", index), Value: bytes.Repeat([]byte{byte(index)}, 3000), Expires: now.Add(time.Minute)}
}

func load(t *testing.T, kept *archive.Archive) map[string][]byte {
	t.Helper()
	found := make(map[string][]byte)
	if _, err := kept.Scan(nil, func(r archive.Record) bool {
		found[r.Key] = bytes.Clone(r.Value)
		return true
	}); err != nil {
		t.Fatalf("scan: %v", err)
	}
	return found
}

// TestStoredRecordsSurviveLossOfPower cuts the power at random points. Of what
// was written without a sync any part may be missing; what Store returned for
// must be there, whole.
func TestStoredRecordsSurviveLossOfPower(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			files := vfs.NewCrashableMem()
			kept, err := archive.OpenOn(files, "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			now := time.Now()
			synced := random.IntN(60)
			for index := range synced {
				if err := kept.Store(record(index, now)); err != nil {
					t.Fatalf("store: %v", err)
				}
			}
			for index := range 20 {
				if err := kept.StoreLater(record(synced+index, now)); err != nil {
					t.Fatalf("store later: %v", err)
				}
			}
			left := files.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: random.IntN(101), RNG: random})
			if err := kept.Close(); err != nil {
				t.Fatalf("close: %v", err)
			}
			again, err := archive.OpenOn(left, "data", zap.NewNop())
			if err != nil {
				t.Fatalf("open after the loss of power: %v", err)
			}
			defer func() { _ = again.Close() }()
			found := load(t, again)
			for index := range synced {
				want := record(index, now)
				if got := found[want.Key]; !bytes.Equal(got, want.Value) {
					t.Errorf("record %s: got %d bytes, want the %d that were synced", want.Key, len(got), len(want.Value))
				}
			}
		})
	}
}

// TestExpire wants expired buckets gone and the others kept.
func TestExpire(t *testing.T) {
	kept, err := archive.Open(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	defer func() { _ = kept.Close() }()
	now := time.Now()
	old := archive.Record{Key: "old", Value: []byte{1}, Expires: now.Add(-time.Minute)}
	fresh := archive.Record{Key: "fresh", Value: []byte{2}, Expires: now.Add(time.Minute)}
	if err := kept.Store(old, fresh); err != nil {
		t.Fatalf("store: %v", err)
	}
	if err := kept.Expire(now); err != nil {
		t.Fatalf("expire: %v", err)
	}
	found := load(t, kept)
	if _, got := found["old"]; got {
		t.Error("expired record: got it, want none")
	}
	if got, err := kept.Read("fresh", fresh.Expires); err != nil || !bytes.Equal(got, fresh.Value) {
		t.Errorf("record: got %v and %v, want %v", got, err, fresh.Value)
	}
}

// TestScanGoesOn wants pages that join without a gap or a repetition.
func TestScanGoesOn(t *testing.T) {
	kept, err := archive.Open(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	defer func() { _ = kept.Close() }()
	now := time.Now()
	const count = 10
	for index := range count {
		if err := kept.StoreLater(record(index, now)); err != nil {
			t.Fatalf("store: %v", err)
		}
	}
	seen := make(map[string]int)
	var after []byte
	for range 2 * count {
		taken := 0
		next, err := kept.Scan(after, func(r archive.Record) bool {
			seen[r.Key]++
			taken++
			return taken < 3
		})
		if err != nil {
			t.Fatalf("scan: %v", err)
		}
		if after = next; after == nil {
			break
		}
	}
	if got := len(seen); got != count {
		t.Errorf("records: got %d, want %d", got, count)
	}
	for key, times := range seen {
		if times != 1 {
			t.Errorf("record %s: got %d times, want once", key, times)
		}
	}
}
