package table_test

import (
	"fmt"
	"testing"
	"time"

	"limpethall.dev/kernel/table"
)

// workspaceCounts are the table sizes to measure, up to that of the target
// scale.
var workspaceCounts = []int{8, 100, 1700}

func newTable(b *testing.B, workspaces int) *table.Table {
	b.Helper()
	var edits []table.Edit
	for number := range workspaces {
		edits = append(edits, table.NewPutRow(table.NewRow(fmt.Sprintf("workspace-%04d", number), 1, 10, 20, 330_000, []string{"model-a", "model-b"})))
	}
	built, err := table.New().Apply(table.NewChange(1, "first", "anna", time.Unix(0, 0), edits))
	if err != nil {
		b.Fatal(err)
	}
	return built
}

// BenchmarkSlopeApplyChange measures the cost of one change in each hall.
func BenchmarkSlopeApplyChange(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			current := newTable(b, size)
			change := table.NewChange(2, "next", "anna", time.Unix(0, 0), []table.Edit{table.NewSetZone("zone-a", true)})
			b.ReportAllocs()
			for b.Loop() {
				next, err := current.Apply(change)
				if err != nil || next.Digest() == "" {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSlopeRestoreSnapshot measures the cost of restoring a whole table in a
// process that loads it from a snapshot.
func BenchmarkSlopeRestoreSnapshot(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			snapshot, err := newTable(b, size).Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := table.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snapshot)), "bytes")
		})
	}
}
