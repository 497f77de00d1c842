// Package resident observes the resident memory of the process, which the kernel compares
// with the limit of the machine.
//
// A process that is killed for its memory writes no last line. So a line at intervals, and
// gauges, tell what uses the memory while it is near the limit.
//
// # Usage
//
//	watcher := resident.New(limitBytes, func() []zap.Field { return fields }, logger)
//	err := watcher.Register(meter)
//	tasks.Every("memory", resident.Interval, watcher.Check)
package resident

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

const (
	// Interval is the interval at which Check should be called.
	Interval = 250 * time.Millisecond
	// logInterval is the interval at which Check logs while the process is near its limit.
	logInterval = 5 * time.Second
	// nearPercent is the part of the limit above which the process is near it.
	nearPercent = 80
)

// Classes of memory of the Go runtime.
const (
	liveHeap = "/gc/heap/live:bytes"
	usedHeap = "/memory/classes/heap/objects:bytes"
	stacks   = "/memory/classes/heap/stacks:bytes"
	mapped   = "/memory/classes/total:bytes"
	released = "/memory/classes/heap/released:bytes"
)

// Usage is the memory of the process at one moment, in bytes.
type Usage struct {
	resident int64 // Zero if the system does not tell it.
	runtime  int64 // Part that the Go runtime has not given back to the system.
	used     int64 // Part of the heap in objects, of which some are garbage.
	live     int64 // Part of the heap that the last collection found reachable.
	stacks   int64
}

// Read returns the memory of this process.
func Read() Usage {
	samples := []metrics.Sample{{Name: liveHeap}, {Name: usedHeap}, {Name: stacks}, {Name: mapped}, {Name: released}}
	metrics.Read(samples)
	bytes := func(index int) int64 {
		if samples[index].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(samples[index].Value.Uint64())
	}
	return Usage{resident: residentBytes(), live: bytes(0), used: bytes(1), stacks: bytes(2), runtime: bytes(3) - bytes(4)}
}

// Resident returns the resident memory, zero if the system does not tell it.
func (u Usage) Resident() int64 { return u.resident }

// Live returns the part of the heap that the last collection found reachable.
func (u Usage) Live() int64 { return u.live }

// residentBytes reads the resident memory from the page counts of the process.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// Watcher watches the memory of the process. It is safe for concurrent use.
type Watcher struct {
	limit   int64
	details func() []zap.Field
	logger  *zap.Logger
	highest atomic.Int64
	logged  atomic.Int64 // Unix time in nanoseconds.
}

// New returns a watcher for a process whose memory is limited, zero for no limit. details
// returns what else the process can tell of its memory.
func New(limit int64, details func() []zap.Field, logger *zap.Logger) *Watcher {
	return &Watcher{limit: limit, details: details, logger: logger}
}

// Check notes the resident memory, and logs at intervals while it is near the limit.
func (w *Watcher) Check(context.Context) {
	bytes := residentBytes()
	for highest := w.highest.Load(); bytes > highest && !w.highest.CompareAndSwap(highest, bytes); highest = w.highest.Load() {
	}
	now := time.Now().UnixNano()
	logged := w.logged.Load()
	if w.limit <= 0 || bytes < w.limit/100*nearPercent || now-logged < int64(logInterval) || !w.logged.CompareAndSwap(logged, now) {
		return
	}
	usage := Read()
	w.logger.Warn("memory near its limit", append([]zap.Field{
		zap.Int64("resident", bytes), zap.Int64("limit", w.limit), zap.Int64("highest", w.highest.Load()), zap.Int64("runtime", usage.runtime),
		zap.Int64("heapUsed", usage.used), zap.Int64("heapLive", usage.live), zap.Int64("stacks", usage.stacks), zap.Int("goroutines", runtime.NumGoroutine()),
	}, w.details()...)...)
}

// Register registers gauges of the memory.
func (w *Watcher) Register(meter metric.Meter) error {
	for _, gauge := range []struct {
		name, description string
		value             func(usage Usage) int64
	}{
		{"limpethall.memory.limit", "Memory that the process may use, 0 for no limit.", func(Usage) int64 { return w.limit }},
		{"limpethall.memory.resident", "Resident memory of the process.", func(u Usage) int64 { return u.resident }},
		{"limpethall.memory.highest", "Highest resident memory that was observed.", func(u Usage) int64 { return max(u.resident, w.highest.Load()) }},
		{"limpethall.memory.runtime", "Memory of the Go runtime, its heap included.", func(u Usage) int64 { return u.runtime }},
		{"limpethall.memory.heap.used", "Objects in the heap, with garbage.", func(u Usage) int64 { return u.used }},
		{"limpethall.memory.heap.live", "Objects in the heap that the last collection found reachable.", func(u Usage) int64 { return u.live }},
		{"limpethall.memory.stacks", "Stacks of goroutines.", func(u Usage) int64 { return u.stacks }},
	} {
		_, err := meter.Int64ObservableGauge(gauge.name, metric.WithUnit("By"), metric.WithDescription(gauge.description),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(gauge.value(Read()))
				return nil
			}))
		if err != nil {
			return err
		}
	}
	return nil
}
