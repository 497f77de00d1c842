package archive

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// instruments record how usable the disk is. Their methods do nothing without a meter.
type instruments struct {
	damages  metric.Int64Counter
	salvages metric.Int64Counter
}

func (i *instruments) register(meter metric.Meter, o *opener) error {
	if meter == nil {
		return nil
	}
	var err error
	if i.damages, err = meter.Int64Counter("limpethall.keeper.disk.damages", metric.WithDescription("How often damaged records were replaced by a new archive.")); err != nil {
		return err
	}
	if i.salvages, err = meter.Int64Counter("limpethall.keeper.disk.salvaged", metric.WithDescription("Records that were read from damaged files.")); err != nil {
		return err
	}
	if _, err = meter.Int64ObservableCounter("limpethall.keeper.disk.failures", metric.WithDescription("Writes and syncs that failed."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			if archive := o.current.Load(); archive != nil {
				observer.Observe(archive.fs.failures.Load())
			}
			return nil
		})); err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("limpethall.keeper.disk.unusable", metric.WithUnit("s"), metric.WithDescription("For how long the disk can't be used, 0 if it can."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(o.unusable().Seconds())
			return nil
		}))
	return err
}

func (i *instruments) damaged(ctx context.Context) {
	if i.damages != nil {
		i.damages.Add(ctx, 1)
	}
}

func (i *instruments) salvaged(records int) {
	if i.salvages != nil {
		i.salvages.Add(context.Background(), int64(records))
	}
}
