package archive

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/wal"
	"go.uber.org/zap"
)

const (
	// lockName is the name of the file that is locked while the archive is open.
	lockName = "LOCK"
	// generationPrefix begins the names of the directories of all generations but the first.
	generationPrefix = "generation-"
	// incompleteName is the name of a file in a generation that lacks records of older ones.
	incompleteName = "incomplete"
	// maxGenerations is the number of generations that are kept: the first and the newest ones.
	maxGenerations = 4
	// The database marks its current format and manifest by files with these prefixes.
	formatMarker   = "marker.format-version."
	manifestMarker = "marker.manifest."
	// manifestPrefix begins the names of manifests.
	manifestPrefix = "MANIFEST-"
)

// salvagedKey is the disk key of the number of the generation up to which the records of
// older generations have been read. It sorts after all records.
var salvagedKey = slices.Concat(lastBucket, []byte("salvaged"))

// generation is one database of an archive. The first is in the directory of the archive, and
// each later one in a directory inside it. A new generation is added if the files of the
// current one are damaged. As these stay where they are, a crash at any time loses none.
type generation struct {
	number int
	dir    string
}

// generations are the generations of an archive, by ascending number.
type generations struct {
	fs   vfs.FS
	dir  string
	list []generation
}

func listGenerations(fs vfs.FS, dir string) (*generations, error) {
	g := &generations{fs: fs, dir: dir, list: []generation{{dir: dir}}}
	names, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		suffix, isGeneration := strings.CutPrefix(name, generationPrefix)
		if number, err := strconv.Atoi(suffix); isGeneration && err == nil && number > 0 {
			g.list = append(g.list, generation{number: number, dir: fs.PathJoin(dir, name)})
		}
	}
	slices.SortFunc(g.list, func(a, b generation) int { return a.number - b.number })
	return g, nil
}

func (g *generations) current() generation { return g.list[len(g.list)-1] }

// add adds an empty generation. It replaces the current one if that never got the records of
// the older ones, as it holds no others then.
func (g *generations) add() error {
	number := g.current().number + 1
	switch _, err := g.fs.Stat(g.fs.PathJoin(g.current().dir, incompleteName)); {
	case err == nil:
		number--
		if err := g.fs.RemoveAll(g.current().dir); err != nil {
			return err
		}
	case !errors.Is(err, os.ErrNotExist):
		return err
	}
	dir := g.fs.PathJoin(g.dir, fmt.Sprint(generationPrefix, number))
	if err := g.fs.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := g.fs.Create(g.fs.PathJoin(dir, incompleteName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	return errors.Join(file.Close(), syncDir(g.fs, dir), syncDir(g.fs, g.dir))
}

// noteComplete records that the current generation has the records of all older ones.
func (g *generations) noteComplete() error {
	err := g.fs.Remove(g.fs.PathJoin(g.current().dir, incompleteName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Join(err, syncDir(g.fs, g.current().dir))
}

// salvageInto stores the records of all older generations in the archive of the current
// one, unless that is done already.
func (g *generations) salvageInto(ctx context.Context, archive *Archive, o *opener) error {
	current := g.current()
	if current.number == 0 {
		return nil
	}
	done, closer, err := archive.db.Get(salvagedKey)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
	case err != nil:
		return err
	default:
		number, _ := binary.Uvarint(done)
		if err := closer.Close(); err != nil || number == uint64(current.number) {
			return err
		}
	}
	salvage := newSalvage(archive, o)
	for _, older := range g.list[:len(g.list)-1] {
		if err := salvage.readGeneration(ctx, older); err != nil {
			return err
		}
	}
	return salvage.finish(current.number)
}

// prune removes the directories of the generations beyond the number that is kept. Errors
// leave them for the next time.
func (g *generations) prune(logger *zap.Logger) {
	for len(g.list) > maxGenerations {
		pruned := g.list[1]
		err := g.fs.RemoveAll(pruned.dir)
		logger.Warn("removed damaged records beyond the number of archives that are kept", zap.String("damaged", pruned.dir), zap.Error(err))
		g.list = slices.Delete(g.list, 1, 2)
	}
}

// check returns a *FormatError if a generation was written by newer software, and a
// *DamageError if files are missing which the database would not miss: it would create new
// ones and remove those that are left.
func (g generation) check(fs vfs.FS) error {
	names, err := fs.List(g.dir)
	if err != nil {
		return err
	}
	var hasFormat, hasManifest, hasLog, hasRecords bool
	for _, name := range names {
		_, _, isLog := wal.ParseLogFilename(name)
		switch {
		case strings.HasPrefix(name, formatMarker):
			hasFormat = true
			version, err := strconv.ParseUint(name[strings.LastIndexByte(name, '.')+1:], 10, 64)
			if err == nil && version > uint64(pebble.FormatNewest) {
				return &FormatError{version: version}
			}
		case strings.HasPrefix(name, manifestMarker):
			hasManifest = true
		case isLog:
			hasLog = true
			info, err := fs.Stat(fs.PathJoin(g.dir, name))
			if err != nil {
				return err
			}
			hasRecords = hasRecords || info.Size() > 0
		case strings.HasSuffix(name, tableSuffix):
			hasRecords = true
		}
	}
	switch {
	case hasRecords && !hasManifest:
		return &DamageError{reason: "the marker of the manifest is missing"}
	case hasFormat && hasManifest && !hasLog:
		return &DamageError{reason: "the log is missing"}
	}
	return nil
}

func syncDir(fs vfs.FS, dir string) error {
	file, err := fs.OpenDir(dir)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// noLock is the lock of a database inside an archive that is locked.
type noLock struct{}

// Close implements io.Closer.
func (noLock) Close() error { return nil }

// Lock implements vfs.FS. The archive has locked its directory for all its databases.
func (fs *waitingFS) Lock(string) (io.Closer, error) { return noLock{}, nil }
