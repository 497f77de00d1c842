package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/metrics"
)

// Counters counts failed requests of callers.
type Counters struct {
	failures metric.Int64Counter
}

// NewCounters registers the counters with the meter.
func NewCounters(meters *metrics.Meters) (*Counters, error) {
	failures, err := meters.Meter().Int64Counter("limpethall.hall.failures", metric.WithDescription("Requests that failed, by code and outcome."))
	if err != nil {
		return nil, err
	}
	return &Counters{failures: failures}, nil
}

// RecordFailure counts one failed request.
func (c *Counters) RecordFailure(apiErr *failure.Error) {
	c.failures.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("code", string(apiErr.Code())), attribute.String("outcome", apiErr.Outcome().String())))
}
