package limpet

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/kernel/metrics"
	"limpethall.dev/limpet/scheduler"
)

// observe registers gauges for the scheduler's load.
func observe(meters *metrics.Meters, callScheduler *scheduler.Scheduler) error {
	meter := meters.Meter()
	running, err := meter.Int64ObservableGauge("limpethall.limpet.calls.running", metric.WithDescription("Calls that the backend server runs now."))
	if err != nil {
		return err
	}
	queued, err := meter.Int64ObservableGauge("limpethall.limpet.calls.queued", metric.WithDescription("Calls that wait for the backend server."))
	if err != nil {
		return err
	}
	window, err := meter.Int64ObservableGauge("limpethall.limpet.window", metric.WithDescription("Most calls that the backend server is given at once."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		load := callScheduler.Load()
		observer.ObserveInt64(running, load.Running)
		observer.ObserveInt64(queued, load.Queued)
		observer.ObserveInt64(window, load.Window)
		return nil
	}, running, queued, window)
	return err
}
