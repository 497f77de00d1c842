// Package processor observes the processor time that the process uses, and how long runnable
// work waits for the processor.
//
// A process that uses all of its share answers late although none of its calls is slow. Two
// figures tell it: the part of the share in use, and the delay of goroutines between the time
// at which they can run and the time at which they do.
//
// # Usage
//
//	watcher := processor.New(0.144, time.Now)
//	err := watcher.Register(meter)
//	tasks.Every("processor", processor.Interval, watcher.Check)
//	logger.Info("state", watcher.Fields()...)
package processor

import (
	"context"
	"errors"
	"math"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

const (
	// Interval is the interval at which Check should be called.
	Interval = time.Second
	// delayQuantile is the part of runnable work that waited no longer than the delay.
	delayQuantile = 0.99
	// schedulingDelays is the histogram of the Go runtime of the time that goroutines waited.
	schedulingDelays = "/sched/latencies:seconds"
)

// Usage is what the process used between two checks.
type Usage struct {
	cores float64
	delay time.Duration
}

// Cores returns the processor time for each unit of time, 1 for one core.
func (u Usage) Cores() float64 { return u.cores }

// Delay returns how long 99% of the runnable work waited at most.
func (u Usage) Delay() time.Duration { return u.delay }

// Watcher watches the processor time of the process. It is safe for concurrent use.
type Watcher struct {
	share float64
	now   func() time.Time

	mutex     sync.Mutex
	checkedAt time.Time
	total     time.Duration // Processor time since the process started.
	waits     []uint64      // Counts of the histogram of delays.
	samples   []metrics.Sample
	current   Usage
}

// New returns a watcher of a process that may use the given share of a core, zero if it is not
// stated.
func New(share float64, now func() time.Time) *Watcher {
	w := &Watcher{share: share, now: now, samples: []metrics.Sample{{Name: schedulingDelays}}}
	w.Check(context.Background())
	return w
}

// Check notes what was used since the last check.
func (w *Watcher) Check(context.Context) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now, total := w.now(), processorTime()
	if passed := now.Sub(w.checkedAt); !w.checkedAt.IsZero() && passed > 0 {
		w.current.cores = (total - w.total).Seconds() / passed.Seconds()
	}
	w.checkedAt, w.total = now, total
	metrics.Read(w.samples)
	if w.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return
	}
	histogram := w.samples[0].Value.Float64Histogram()
	if len(w.waits) == len(histogram.Counts) {
		w.current.delay = Quantile(histogram.Buckets, w.waits, histogram.Counts, delayQuantile)
	}
	w.waits = append(w.waits[:0], histogram.Counts...)
}

// Quantile returns the quantile, from 0 to 1, of what a histogram counted since before. Bucket i
// counts what lies between bounds i and i+1, which are in seconds. The result is an upper bound,
// or the lower one of a bucket without upper bound, and zero if nothing was counted.
func Quantile(bounds []float64, before, after []uint64, quantile float64) time.Duration {
	total := uint64(0)
	for index, count := range after {
		total += count - before[index]
	}
	rank := max(1, uint64(math.Ceil(quantile*float64(total))))
	seen := uint64(0)
	for index, count := range after {
		seen += count - before[index]
		if total > 0 && seen >= rank {
			bound := bounds[index+1]
			if math.IsInf(bound, 1) {
				bound = bounds[index]
			}
			return time.Duration(bound * float64(time.Second))
		}
	}
	return 0
}

// processorTime returns the processor time of the process, zero if the system does not tell it.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// Current returns what was used between the last two checks.
func (w *Watcher) Current() Usage {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.current
}

// Fields returns the current usage for a log line.
func (w *Watcher) Fields() []zap.Field {
	current := w.Current()
	return []zap.Field{zap.Float64("processorUsed", current.cores), zap.Float64("processorShare", w.share), zap.Duration("runnableDelay", current.delay)}
}

// Register registers gauges of the usage.
func (w *Watcher) Register(meter metric.Meter) error {
	gauge := func(name, unit, description string, value func(usage Usage) float64) error {
		_, err := meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
			metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
				observer.Observe(value(w.Current()))
				return nil
			}))
		return err
	}
	return errors.Join(
		gauge("limpethall.processor.share", "1", "Processor cores that the process may use, 0 if not stated.", func(Usage) float64 { return w.share }),
		gauge("limpethall.processor.used", "1", "Processor cores that the process used in the last interval.", Usage.Cores),
		gauge("limpethall.processor.delay", "s", "Time that 99% of the runnable work waited at most in the last interval.", func(u Usage) float64 { return u.delay.Seconds() }),
	)
}
