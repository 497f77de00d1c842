package table_test

import (
	"fmt"
	"testing"
	"time"

	"limpethall.dev/kernel/table"
)

// sizes are numbers of workspaces, up to the target's.
var sizes = []int{8, 100, 1700}

func tableOf(b *testing.B, workspaces int) *table.Table {
	b.Helper()
	var edits []table.Edit
	for number := range workspaces {
		edits = append(edits, table.NewPutRow(table.NewRow(fmt.Sprintf("workspace-%04d", number), 1, 10, 20, 330_000, []string{"model-a", "model-b"})))
	}
	made, err := table.New().Apply(table.NewChange(1, "first", "anna", time.Unix(0, 0), edits))
	if err != nil {
		b.Fatal(err)
	}
	return made
}

// BenchmarkSlopeApplyChange is what one change costs each hall.
func BenchmarkSlopeApplyChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			current := tableOf(b, size)
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

// BenchmarkSlopeRestoreSnapshot is what a process pays that takes a whole table.
func BenchmarkSlopeRestoreSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			text, err := tableOf(b, size).Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := table.Restore(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}
