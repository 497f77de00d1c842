// Package metrics builds the OpenTelemetry meter of a process and the handler
// that Prometheus scrapes.
//
// # Usage
//
//	meters, err := metrics.New("hall")
//	refusals, err := meters.Meter().Int64Counter("limpethall.refusals")
//	http.Handle("/metrics", meters.Handler())
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Meters holds the meter of one process, apart from any other in the same
// address space.
type Meters struct {
	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns meters named after a program.
func New(program string) (*Meters, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, oops.In("metrics").Wrapf(err, "build the Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Meters{meter: provider.Meter("limpethall.dev/" + program), registry: registry}, nil
}

// Meter returns the OpenTelemetry meter.
func (m *Meters) Meter() metric.Meter { return m.meter }

// Handler returns the scrape handler.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
