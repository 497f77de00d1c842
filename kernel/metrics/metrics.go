// Package metrics creates the OpenTelemetry meter of a process and the HTTP handler
// that Prometheus scrapes.
//
// # Usage
//
//	meters, err := metrics.New("hall")
//	requests, err := meters.Meter().Int64Counter("limpethall.gateway.requests")
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

// Meters holds the meter of a process with a Prometheus registry of its own, so that
// several processes can run in one address space, as in tests.
type Meters struct {
	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns the meters of a process. Its name becomes part of the meter's name.
func New(processName string) (*Meters, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, oops.In("metrics").Wrapf(err, "create the Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Meters{meter: provider.Meter("limpethall.dev/" + processName), registry: registry}, nil
}

// Meter returns the OpenTelemetry meter.
func (m *Meters) Meter() metric.Meter { return m.meter }

// Handler returns the HTTP handler that Prometheus scrapes.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
