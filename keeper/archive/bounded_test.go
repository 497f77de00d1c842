package archive_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
)

// TestFailedGenerationsAreReplaced guards against a disk that fills with new archives, none of
// which can be used.
func TestFailedGenerationsAreReplaced(t *testing.T) {
	expires := time.Now().Add(time.Hour)
	files := fill(t, expires)
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		load := func(*archive.Archive) error {
			if time.Since(started) < 30*time.Second {
				return errors.New("the records can't be interpreted")
			}
			return nil
		}
		store, err := archive.OpenWith(t.Context(), archive.Options{FS: files, Dir: "data", Load: load, Logger: zap.NewNop()})
		if err != nil {
			t.Fatalf("open: %v", err)
		}
		if got := len(scanAll(t, store)); got != recordCount || !store.Damaged() {
			t.Errorf("records: got %d, damaged %t; want all %d of a damaged archive", got, store.Damaged(), recordCount)
		}
		if err := closeFully(store); err != nil {
			t.Errorf("close: %v", err)
		}
		names, _ := files.List("data")
		var generations []string
		for _, name := range names {
			if strings.HasPrefix(name, "generation-") {
				generations = append(generations, name)
			}
		}
		if len(generations) != 1 {
			t.Errorf("archives added: got %v, want one", generations)
		}
	})
}
