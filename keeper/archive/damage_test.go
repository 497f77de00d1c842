package archive_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// openTimeout bounds the opening of a damaged archive.
const openTimeout = 30 * time.Second

// randomValues are the values of the records, which can't be compressed.
var randomValues = sync.OnceValue(func() [][]byte {
	random := rand.NewChaCha8([32]byte{})
	values := make([][]byte, recordCount+1)
	for index := range values {
		values[index] = make([]byte, 3000)
		_, _ = random.Read(values[index])
	}
	return values
})

func randomRecord(index int, expires time.Time) archive.Record {
	return archive.Record{Key: fmt.Sprintf("t/%04d", index), Value: randomValues()[index], Expires: expires}
}

// recordCount is the number of records in a filled archive: some in tables, some in a log.
const recordCount = 1000

// fill stores all records in an archive and returns its synced files.
func fill(t *testing.T, expires time.Time) *vfs.MemFS {
	t.Helper()
	fs := vfs.NewCrashableMem()
	store, err := archive.OpenFS(t.Context(), fs, "data", zap.NewNop())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	for index := range recordCount {
		if err := store.StoreNoSync(randomRecord(index, expires)); err != nil {
			t.Fatalf("store: %v", err)
		}
	}
	if err := store.Store(randomRecord(0, expires)); err != nil {
		t.Fatalf("store: %v", err)
	}
	files := fs.CrashClone(vfs.CrashCloneCfg{})
	for len(filesOf(t, files, ".sst")) == 0 {
		time.Sleep(50 * time.Millisecond)
		files = fs.CrashClone(vfs.CrashCloneCfg{})
	}
	if err := closeFully(store); err != nil {
		t.Fatalf("close: %v", err)
	}
	return files
}

// damages change the content of a file; nil removes it.
var damages = []struct {
	name  string
	apply func(content []byte) []byte
}{
	{"gone", func([]byte) []byte { return nil }},
	{"empty", func([]byte) []byte { return []byte{} }},
	{"half", func(content []byte) []byte { return content[:len(content)/2] }},
	{"without the last 7 bytes", func(content []byte) []byte { return content[:max(0, len(content)-7)] }},
	{"garbage in the middle", func(content []byte) []byte {
		middle := content[len(content)/3 : len(content)/2]
		copy(middle, bytes.Repeat([]byte{0xa5}, len(middle)))
		return content
	}},
}

// damage applies a damage to a file.
func damage(t *testing.T, fs vfs.FS, name string, apply func([]byte) []byte) {
	t.Helper()
	file, err := fs.Open(name)
	if err != nil {
		t.Fatalf("open %s: %v", name, err)
	}
	content, err := io.ReadAll(file)
	if err != nil {
		t.Fatalf("read %s: %v", name, err)
	}
	_ = file.Close()
	if err := fs.Remove(name); err != nil {
		t.Fatalf("remove %s: %v", name, err)
	}
	changed := apply(content)
	if changed == nil {
		return
	}
	file, err = fs.Create(name, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatalf("create %s: %v", name, err)
	}
	if len(changed) > 0 {
		if _, err := file.Write(changed); err != nil {
			t.Fatalf("write %s: %v", name, err)
		}
	}
	if err := file.Close(); err != nil {
		t.Fatalf("close %s: %v", name, err)
	}
}

// filesOf returns the files of a kind: their names contain the given text.
func filesOf(t *testing.T, fs vfs.FS, kind string) []string {
	t.Helper()
	names, err := fs.List("data")
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	var files []string
	for _, name := range names {
		if strings.Contains(name, kind) {
			files = append(files, fs.PathJoin("data", name))
		}
	}
	return files
}

// openDamaged opens an archive, stores a record and returns the values of all records read.
// Each must be one that was stored.
func openDamaged(t *testing.T, fs vfs.FS, expires time.Time) (values map[string][]byte, damaged bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), openTimeout)
	defer cancel()
	var store *archive.Archive
	store, err := archive.OpenWith(ctx, archive.Options{FS: fs, Dir: "data", Logger: zap.NewNop(), Load: func(store *archive.Archive) error {
		values = make(map[string][]byte)
		_, err := store.Scan(nil, func(record archive.Record) bool {
			values[record.Key] = bytes.Clone(record.Value)
			return true
		})
		return err
	}})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	for key, value := range values {
		var index int
		if _, err := fmt.Sscanf(key, "t/%d", &index); err != nil || index > recordCount || !bytes.Equal(value, randomRecord(index, expires).Value) {
			t.Errorf("record %s: got a value that was not stored", key)
		}
	}
	added := randomRecord(recordCount, expires)
	if err := store.Store(added); err != nil {
		t.Errorf("store: %v", err)
	}
	if got, err := store.Read(added.Key, expires); err != nil || !bytes.Equal(got, added.Value) {
		t.Errorf("read of a record stored after the damage: got %d bytes and %v", len(got), err)
	}
	if err := closeFully(store); err != nil {
		t.Errorf("close: %v", err)
	}
	return values, store.Damaged()
}

// TestOpenDamaged guards against a keeper that ends at each start because files of its disk
// are damaged. All records outside the damaged file must be read, and records may be missing
// only if Damaged reports so.
func TestOpenDamaged(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	kinds := []struct {
		name      string
		file      string
		want      int // The number of records in other files.
		unnoticed bool
	}{
		{"manifest", "MANIFEST", recordCount, false},
		{"marker of the manifest", "marker.manifest", recordCount, false},
		{"marker of the format", "marker.format", recordCount, false},
		{"options", "OPTIONS", recordCount, false},
		{"table", ".sst", recordCount / 20, false},
		// A log that ends early is what a loss of power leaves.
		{"log", ".log", recordCount / 4, true},
		{"everything", "", 0, false},
	}
	for _, kind := range kinds {
		for _, cause := range damages {
			t.Run(kind.name+" "+cause.name, func(t *testing.T) {
				t.Parallel()
				fs := filled.CrashClone(vfs.CrashCloneCfg{})
				for _, file := range filesOf(t, fs, kind.file) {
					if !strings.HasSuffix(file, "LOCK") {
						damage(t, fs, file, cause.apply)
					}
				}
				values, damaged := openDamaged(t, fs, expires)
				if got := len(values); got < kind.want {
					t.Errorf("records: got %d, want at least %d", got, kind.want)
				}
				isEmptyDisk := kind.file == "" && cause.name == "gone"
				if len(values) < recordCount && !damaged && !kind.unnoticed && !isEmptyDisk {
					t.Errorf("records: got %d of %d from an archive that is not said to be damaged", len(values), recordCount)
				}
				if again, _ := openDamaged(t, fs, expires); len(again) != len(values)+1 {
					t.Errorf("records after another opening: got %d, want %d", len(again), len(values)+1)
				}
			})
		}
	}
}

// TestOpenRandomlyDamaged guards against damage that no other test thought of.
func TestOpenRandomlyDamaged(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 2))
			fs := filled.CrashClone(vfs.CrashCloneCfg{})
			files := filesOf(t, fs, "")
			for range 1 + random.IntN(3) {
				index := random.IntN(len(files))
				damage(t, fs, files[index], func(content []byte) []byte {
					if len(content) == 0 || random.IntN(4) == 0 {
						return content[:len(content)/2]
					}
					for range 1 + random.IntN(20) {
						content[random.IntN(len(content))] ^= byte(1 + random.IntN(255))
					}
					return content
				})
			}
			openDamaged(t, fs, expires)
		})
	}
}

// crashingFS takes a copy of its files, as after a loss of power, before the given operation.
type crashingFS struct {
	vfs.FS
	files   *vfs.MemFS
	random  *rand.Rand
	percent int
	mutex   sync.Mutex // Guards left and crashed.
	left    int
	crashed *vfs.MemFS
}

func (f *crashingFS) step() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.left--; f.left == 0 {
		f.crashed = f.files.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: f.percent, RNG: f.random})
	}
}

func (f *crashingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f.step()
	return f.FS.Create(name, category)
}

func (f *crashingFS) OpenDir(name string) (vfs.File, error) {
	f.step()
	return f.FS.OpenDir(name)
}

func (f *crashingFS) Rename(oldName, newName string) error {
	f.step()
	return f.FS.Rename(oldName, newName)
}

func (f *crashingFS) MkdirAll(name string, mode os.FileMode) error {
	f.step()
	return f.FS.MkdirAll(name, mode)
}

// TestPowerLossWhileDamagedIsRead guards against records that are lost because the power
// fails while a damaged archive is being read.
func TestPowerLossWhileDamagedIsRead(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	for _, file := range filesOf(t, filled, "MANIFEST") {
		damage(t, filled, file, func([]byte) []byte { return []byte("garbage") })
	}
	syncData(t, filled)
	for step := 1; ; step += 1 + step/8 {
		files := filled.CrashClone(vfs.CrashCloneCfg{})
		fs := &crashingFS{FS: files, files: files, random: rand.New(rand.NewPCG(uint64(step), 3)), percent: step * 37 % 101, left: step}
		if values, _ := openDamaged(t, fs, expires); len(values) != recordCount {
			t.Fatalf("records: got %d, want %d", len(values), recordCount)
		}
		if fs.crashed == nil {
			if step < 10 {
				t.Errorf("steps: got %d, want at least 10", step)
			}
			return
		}
		values, damaged := openDamaged(t, fs.crashed, expires)
		delete(values, randomRecord(recordCount, expires).Key)
		if got := len(values); got != recordCount || !damaged {
			t.Errorf("records after a loss of power at step %d: got %d, damaged %t; want %d of a damaged archive", step, got, damaged, recordCount)
		}
	}
}

// TestPowerLossIsNoDamage guards against a keeper that counts as incomplete, and copies all
// records, after a loss of power. The power fails at each step of an opening, also of the
// first one, after which Bootstrap must still hold.
func TestPowerLossIsNoDamage(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	for want, disk := range map[int]*vfs.MemFS{recordCount: fill(t, expires), 0: vfs.NewCrashableMem()} {
		for step, ended := 1, false; !ended; step++ {
			files := disk.CrashClone(vfs.CrashCloneCfg{})
			fs := &crashingFS{FS: files, files: files, random: rand.New(rand.NewPCG(uint64(step), 4)), percent: step * 37 % 101, left: step}
			openDamaged(t, fs, expires)
			if ended = fs.crashed == nil; ended {
				continue
			}
			values, damaged := openDamaged(t, fs.crashed, expires)
			delete(values, randomRecord(recordCount, expires).Key)
			if got := len(values); got != want || damaged {
				t.Errorf("records after a loss of power at step %d: got %d, damaged %t; want %d of an undamaged archive", step, got, damaged, want)
			}
		}
	}
}

// TestRecordsAroundDamagedBlock guards against records of a table that are lost because one
// block of it is damaged.
func TestRecordsAroundDamagedBlock(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	filled := fill(t, expires)
	for _, log := range filesOf(t, filled, ".log") {
		damage(t, filled, log, func([]byte) []byte { return nil })
	}
	intact, _ := openDamaged(t, filled.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 5))}), expires)
	files := filled.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 5))})
	for _, table := range filesOf(t, files, ".sst") {
		damage(t, files, table, func(content []byte) []byte {
			content[len(content)/2] ^= 0x55
			return content
		})
	}
	values, damaged := openDamaged(t, files, expires)
	if got, want := len(values), len(intact)-4*len(filesOf(t, files, ".sst")); got < want || got == len(intact) || !damaged {
		t.Errorf("records: got %d, damaged %t; want at least %d and fewer than %d", got, damaged, want, len(intact))
	}
}

// syncData syncs the directory of the archive and its files.
func syncData(t *testing.T, fs vfs.FS) {
	t.Helper()
	for _, file := range filesOf(t, fs, "") {
		opened, err := fs.Open(file)
		if err != nil {
			t.Fatalf("open %s: %v", file, err)
		}
		if err := opened.Sync(); err != nil {
			t.Fatalf("sync %s: %v", file, err)
		}
		_ = opened.Close()
	}
	dir, err := fs.OpenDir("data")
	if err != nil {
		t.Fatalf("open the directory: %v", err)
	}
	if err := dir.Sync(); err != nil {
		t.Fatalf("sync the directory: %v", err)
	}
	_ = dir.Close()
}
