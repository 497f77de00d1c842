package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/metrics"
)

// Counters counts what callers were refused.
type Counters struct {
	refusals metric.Int64Counter
}

// NewCounters returns counters of a meter.
func NewCounters(meters *metrics.Meters) (*Counters, error) {
	refusals, err := meters.Meter().Int64Counter("limpethall.hall.failures", metric.WithDescription("Requests that failed, by code and outcome."))
	if err != nil {
		return nil, err
	}
	return &Counters{refusals: refusals}, nil
}

// Refused counts one failed request.
func (c *Counters) Refused(known *failure.Error) {
	c.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("code", string(known.Code())), attribute.String("outcome", known.Outcome().String())))
}
