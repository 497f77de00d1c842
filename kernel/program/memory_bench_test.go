package program_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

// BenchmarkSlopeRecordBytes measures the memory that a hall uses for a program in
// addition to the text of its history.
func BenchmarkSlopeRecordBytes(b *testing.B) {
	for _, turns := range []int{1, 10} {
		b.Run(fmt.Sprint(turns, " turns"), func(b *testing.B) {
			replicas := program.NewReplicaStore()
			textBytes := 0
			heapBefore := heapBytes()
			count := 0
			for b.Loop() {
				count++
				record := program.New(fmt.Sprintf("00000000-0000-0000-0000-%012d", count), "workspace", "", 100_000)
				for range turns {
					question := fmt.Appendf(nil, `{"role":"user","content":"question %d"}`, count)
					answer := fmt.Appendf(nil, `{"role":"assistant","content":"answer %d"}`, count)
					textBytes += len(question) + len(answer)
					record.Append(&wire.TurnRecord{
						Messages: [][]byte{question}, Answer: answer, RequestDigest: program.RequestDigest(question),
						End: &wire.TurnEnd{FinishReason: "stop", Server: "server-1", Usage: &wire.Usage{PromptTokens: 10}},
					}, "server-1")
				}
				replicas.Store(record.ToWire(1), nil, time.Unix(0, 0))
			}
			b.ReportMetric(float64(int64(heapBytes()-heapBefore)-int64(textBytes))/float64(count), "bytes/program")
			runtime.KeepAlive(replicas)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
