package keeper

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/keeper/ledger"
)

// meters counts and times the calls of halls.
type meters struct {
	calls     metric.Int64Counter
	durations metric.Float64Histogram
}

// newMeters returns meters, and gauges of what the ledger holds.
func newMeters(meter metric.Meter, kept *ledger.Ledger) (*meters, error) {
	m := &meters{}
	var err error
	if m.calls, err = meter.Int64Counter("limpethall.keeper.calls", metric.WithDescription("Calls of halls by what they asked and the verdict.")); err != nil {
		return nil, err
	}
	bounds := metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5)
	if m.durations, err = meter.Float64Histogram("limpethall.keeper.duration", metric.WithUnit("s"), bounds, metric.WithDescription("Time that calls of halls took, syncs included.")); err != nil {
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
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		heldTurns, heldPrograms := kept.Sizes()
		observer.ObserveInt64(turns, int64(heldTurns))
		observer.ObserveInt64(programs, int64(heldPrograms))
		state := int64(0)
		if kept.Ready() {
			state = 1
		}
		observer.ObserveInt64(ready, state)
		return nil
	}, turns, programs, ready)
	return m, err
}

// record takes in one call. verdict is what it was answered, "failed" for an error.
func (m *meters) record(ctx context.Context, call, verdict string, started time.Time, err error) {
	if err != nil {
		verdict = "failed"
	}
	kind := attribute.String("call", call)
	m.calls.Add(ctx, 1, metric.WithAttributes(kind, attribute.String("verdict", verdict)))
	m.durations.Record(ctx, time.Since(started).Seconds(), metric.WithAttributes(kind))
}
