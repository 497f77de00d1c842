package keeper

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/task"
)

// instruments record the number and the duration of calls from halls.
type instruments struct {
	calls     metric.Int64Counter
	durations metric.Float64Histogram
}

// newInstruments returns the instruments and registers gauges for the contents of
// the ledger and the listener.
func newInstruments(meter metric.Meter, records *ledger.Ledger, net *network.Waiting, calls *buffer.Budget) (*instruments, error) {
	i := &instruments{}
	var err error
	if i.calls, err = meter.Int64Counter("limpethall.keeper.calls", metric.WithDescription("Calls of halls by what they asked and the verdict.")); err != nil {
		return nil, err
	}
	bounds := metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5)
	if i.durations, err = meter.Float64Histogram("limpethall.keeper.duration", metric.WithUnit("s"), bounds, metric.WithDescription("Time that calls of halls took, syncs included.")); err != nil {
		return nil, err
	}
	turns, err := meter.Int64ObservableGauge("limpethall.keeper.turns", metric.WithDescription("Turns that are stored here."))
	if err != nil {
		return nil, err
	}
	programs, err := meter.Int64ObservableGauge("limpethall.keeper.programs", metric.WithDescription("Programs whose budget is kept here."))
	if err != nil {
		return nil, err
	}
	ready, err := meter.Int64ObservableGauge("limpethall.keeper.ready", metric.WithDescription("1 if this keeper has all that belongs to it, 0 while it copies."))
	if err != nil {
		return nil, err
	}
	panics, err := meter.Int64ObservableGauge("limpethall.keeper.panics", metric.WithDescription("Panics that did not end the process."))
	if err != nil {
		return nil, err
	}
	gaps, err := meter.Int64ObservableGauge("limpethall.keeper.missing", metric.WithDescription("Turns that stored turns continue, but that this keeper lacks."))
	if err != nil {
		return nil, err
	}
	unavailable, err := meter.Int64ObservableGauge("limpethall.keeper.addresses.unavailable", metric.WithDescription("Addresses that this keeper waits for."))
	if err != nil {
		return nil, err
	}
	callBytes, err := meter.Int64ObservableGauge("limpethall.keeper.calls.bytes", metric.WithDescription("Memory that the messages of calls use."))
	if err != nil {
		return nil, err
	}
	callsRefused, err := meter.Int64ObservableGauge("limpethall.keeper.calls.refused", metric.WithDescription("Calls that were refused for lack of memory."))
	if err != nil {
		return nil, err
	}
	indexBytes, err := meter.Int64ObservableGauge("limpethall.keeper.index.bytes", metric.WithUnit("By"), metric.WithDescription("Estimated memory of the index of turns and budgets."))
	if err != nil {
		return nil, err
	}
	indexLimit, err := meter.Int64ObservableGauge("limpethall.keeper.index.limit", metric.WithUnit("By"), metric.WithDescription("Memory of the index above which turns are refused, 0 for no limit."))
	if err != nil {
		return nil, err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		turnCount, programCount := records.Counts()
		observer.ObserveInt64(turns, int64(turnCount))
		observer.ObserveInt64(programs, int64(programCount))
		observer.ObserveInt64(gaps, int64(len(records.Gaps())))
		observer.ObserveInt64(unavailable, int64(net.Unavailable()))
		observer.ObserveInt64(callBytes, calls.Used())
		observer.ObserveInt64(callsRefused, calls.Refused())
		observer.ObserveInt64(indexBytes, records.IndexBytes())
		observer.ObserveInt64(indexLimit, records.IndexLimit())
		observer.ObserveInt64(panics, task.Panics())
		readyValue := int64(0)
		if records.Ready() {
			readyValue = 1
		}
		observer.ObserveInt64(ready, readyValue)
		return nil
	}, turns, programs, gaps, panics, ready, unavailable, callBytes, callsRefused, indexBytes, indexLimit)
	return i, err
}

// record records one call. The verdict is replaced by "failed" if err is not nil.
func (i *instruments) record(ctx context.Context, call, verdict string, started time.Time, err error) {
	if err != nil {
		verdict = "failed"
	}
	method := attribute.String("call", call)
	i.calls.Add(ctx, 1, metric.WithAttributes(method, attribute.String("verdict", verdict)))
	i.durations.Record(ctx, time.Since(started).Seconds(), metric.WithAttributes(method))
}
