package gateway

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Meters count what a gateway did.
type Meters struct {
	requests  metric.Int64Counter
	sends     metric.Int64Counter
	durations metric.Float64Histogram
	keepers   metric.Float64Histogram
}

// NewMeters returns the instruments of a gateway.
func NewMeters(meter metric.Meter) (*Meters, error) {
	m := &Meters{}
	var err error
	if m.requests, err = meter.Int64Counter("limpethall.gateway.requests", metric.WithDescription("Requests by kind of route and status.")); err != nil {
		return nil, err
	}
	if m.sends, err = meter.Int64Counter("limpethall.gateway.sends", metric.WithDescription("Requests sent to backend servers.")); err != nil {
		return nil, err
	}
	bounds := metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
	if m.durations, err = meter.Float64Histogram("limpethall.gateway.duration", metric.WithUnit("s"), bounds, metric.WithDescription("Time to the end of the answer.")); err != nil {
		return nil, err
	}
	if m.keepers, err = meter.Float64Histogram("limpethall.gateway.begin.duration", metric.WithUnit("s"), bounds, metric.WithDescription("Time that the keepers took to begin a turn.")); err != nil {
		return nil, err
	}
	return m, nil
}

// log writes the line that explains the request, and counts it.
func (c *call) log() {
	took := time.Since(c.request.Received)
	fields := []zap.Field{
		zap.String("requestId", c.request.ID), zap.Duration("took", took), zap.Duration("first", c.first), zap.Duration("keepers", c.begins),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs),
	}
	kind, status := "none", c.status
	if c.catalog != nil {
		fields = append(fields, zap.Uint64("catalog", c.catalog.Version()))
	}
	if c.route != nil {
		kind = kindName(c.route)
		fields = append(fields, zap.String("route", c.route.Name), zap.String("workspace", c.workspaceName()))
	}
	if c.request.Program != "" {
		fields = append(fields, zap.String("program", c.request.Program))
	}
	if c.request.Previous != "" {
		fields = append(fields, zap.String("previous", c.request.Previous))
	}
	if c.last != nil {
		fields = append(fields, zap.String("server", c.last.Server().ID()), zap.Duration("cost", c.last.Cost()),
			zap.Bool("home", c.last.IsHome()), zap.Duration("listAge", c.last.ListAge()))
	}
	if c.refused != nil {
		status = c.refused.status
		fields = append(fields, zap.String("reason", c.refused.reason), zap.Duration("retryAfter", c.refused.retryAfter))
	}
	if c.aborted != nil {
		fields = append(fields, zap.NamedError("aborted", c.aborted))
	}
	c.gateway.options.Logger.Info("request", append(fields, zap.Int("status", status))...)
	c.count(kind, status, took)
}

func (c *call) count(kind string, status int, took time.Duration) {
	meters := c.gateway.options.Meters
	if meters == nil {
		return
	}
	ctx := context.Background()
	outcome := strconv.Itoa(status)
	if c.aborted != nil {
		outcome = "aborted"
	}
	set := metric.WithAttributes(attribute.String("kind", kind), attribute.String("status", outcome))
	meters.requests.Add(ctx, 1, set)
	meters.sends.Add(ctx, int64(c.sends))
	meters.durations.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	if c.begins > 0 {
		meters.keepers.Record(ctx, c.begins.Seconds())
	}
}
