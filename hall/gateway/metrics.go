package gateway

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
)

// maxLogFields is the number of fields of the longest access log line.
const maxLogFields = 40

// Meters holds the metric instruments of a gateway.
type Meters struct {
	requests        metric.Int64Counter
	sends           metric.Int64Counter
	requestDuration metric.Float64Histogram
	beginDuration   metric.Float64Histogram
	tokenDuration   metric.Float64Histogram
	readTokens      metric.Int64Counter
	malformedHints  metric.Int64Counter
	broken          metric.Int64Counter
	silences        metric.Int64Counter
}

// NewMeters creates the instruments of a gateway.
func NewMeters(meter metric.Meter) (*Meters, error) {
	m := &Meters{}
	var err error
	if m.requests, err = meter.Int64Counter("limpethall.gateway.requests", metric.WithDescription("Requests by kind of route and status.")); err != nil {
		return nil, err
	}
	if m.sends, err = meter.Int64Counter("limpethall.gateway.sends", metric.WithDescription("Requests sent to backend servers.")); err != nil {
		return nil, err
	}
	if m.readTokens, err = meter.Int64Counter("limpethall.gateway.read.tokens", metric.WithDescription("Prompt tokens that the chosen servers were expected to read.")); err != nil {
		return nil, err
	}
	if m.malformedHints, err = meter.Int64Counter("limpethall.gateway.malformed.hints", metric.WithDescription("Hints of callers to routing that could not be read.")); err != nil {
		return nil, err
	}
	if m.broken, err = meter.Int64Counter("limpethall.gateway.broken", metric.WithDescription("Responses of backend servers that were broken off, by reason.")); err != nil {
		return nil, err
	}
	if m.silences, err = meter.Int64Counter("limpethall.gateway.silences", metric.WithDescription("Requests whose backend servers sent nothing for longer than usual, by what became of the request.")); err != nil {
		return nil, err
	}
	buckets := metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
	if m.requestDuration, err = meter.Float64Histogram("limpethall.gateway.duration", metric.WithUnit("s"), buckets, metric.WithDescription("Time to the end of the answer.")); err != nil {
		return nil, err
	}
	if m.beginDuration, err = meter.Float64Histogram("limpethall.gateway.begin.duration", metric.WithUnit("s"), buckets, metric.WithDescription("Time that the keepers took to begin a turn.")); err != nil {
		return nil, err
	}
	if m.tokenDuration, err = meter.Float64Histogram("limpethall.gateway.token.duration", metric.WithUnit("s"), buckets, metric.WithDescription("Time to get a token of the workspace's rate limit, or to be refused one.")); err != nil {
		return nil, err
	}
	return m, nil
}

// log writes the access log line of the request and records its metrics.
func (h *requestHandler) log() {
	elapsed := time.Since(h.request.Received)
	fields := append(make([]zap.Field, 0, maxLogFields),
		zap.String("requestId", h.request.ID), zap.Duration("took", elapsed), zap.Duration("first", h.firstByteDelay), zap.Duration("keepers", h.beginDuration),
		zap.Duration("token", h.admission.Took()), zap.Int("loanCalls", h.admission.Calls()), zap.Duration("backend", h.sendDuration),
		zap.Duration("limitWait", h.limitWait), zap.Int("limitRefusals", h.limitRefusals), zap.Int("sends", h.sends), zap.Int("runs", h.possibleRuns),
	)
	kind, status := "none", h.status
	if h.catalog != nil {
		fields = append(fields, zap.Uint64("catalog", h.catalog.Version()))
	}
	if h.route != nil {
		kind = kindName(h.route)
		fields = append(fields, zap.String("route", h.route.Name), zap.String("workspace", h.workspaceName()))
	}
	if h.request.Program != "" {
		fields = append(fields, zap.String("program", h.request.Program))
	}
	if h.request.PreviousTurn != "" {
		fields = append(fields, zap.String("previous", h.request.PreviousTurn))
	}
	if h.request.Resumes != "" || h.request.LastEventID != "" {
		fields = append(fields, zap.String("resumes", h.request.Resumes), zap.String("lastEvent", h.request.LastEventID))
	}
	if h.eventsDuration > 0 {
		fields = append(fields, zap.Duration("events", h.eventsDuration))
	}
	if h.request.HasProgramTime {
		fields = append(fields, zap.Duration("programTime", h.request.ProgramTime), zap.Int64("lengthHint", h.request.LengthHint), zap.Bool("late", h.late))
	}
	if h.request.Object != "" {
		fields = append(fields, zap.String("object", h.request.Object))
	}
	if h.lastChoice != nil {
		tokens, delay := h.lastChoice.ExpectedRead()
		fields = append(fields, zap.Int64("promptTokens", promptTokens(h.request.Prompt)), zap.Int("promptParts", len(h.request.Prompt)), zap.Int64("readTokens", tokens), zap.Duration("readCost", delay), zap.String("choice", string(h.lastChoice.Reason())))
		fields = append(fields, zap.String("server", h.lastChoice.Server().ID()), zap.String("version", h.lastChoice.Server().Version()), zap.Duration("cost", h.lastChoice.ExpectedDelay()),
			zap.Float64("serverLimit", h.gateway.options.Limits.Tracker().Current(h.lastChoice.Server().ID()).Statement().Rate()), zap.Bool("home", h.lastChoice.IsPreferred()), zap.Duration("listAge", h.lastChoice.ListAge()))
		if reason := h.lastChoice.ZoneReason(); reason != "" {
			fields = append(fields, zap.String("zone", h.lastChoice.Server().Zone()), zap.String("zoneReason", string(reason)))
		}
	}
	if h.refusal != nil {
		status = h.refusal.status
		fields = append(fields, zap.String("reason", h.refusal.reason), zap.Duration("retryAfter", h.refusal.retryAfter))
	}
	if h.abortErr != nil {
		fields = append(fields, zap.NamedError("aborted", h.abortErr))
	}
	h.gateway.options.Logger.Info("request", append(fields, zap.Int("status", status))...)
	h.recordMetrics(kind, status, elapsed)
}

func promptTokens(prompt []balance.PromptPart) int64 {
	sum := int64(0)
	for _, part := range prompt {
		sum += part.Tokens()
	}
	return sum
}

func (h *requestHandler) recordMetrics(kind string, status int, elapsed time.Duration) {
	meters := h.gateway.options.Meters
	if meters == nil {
		return
	}
	ctx := context.Background()
	outcome := strconv.Itoa(status)
	if h.abortErr != nil {
		outcome = "aborted"
	}
	attributes := metric.WithAttributes(attribute.String("kind", kind), attribute.String("status", outcome))
	meters.requests.Add(ctx, 1, attributes)
	meters.sends.Add(ctx, int64(h.sends))
	meters.requestDuration.Record(ctx, elapsed.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
	if h.workspace != nil {
		meters.tokenDuration.Record(ctx, h.admission.Took().Seconds())
	}
	if h.request.MalformedHints > 0 {
		meters.malformedHints.Add(ctx, int64(h.request.MalformedHints))
	}
	if h.lastChoice != nil && h.sends > 0 {
		tokens, _ := h.lastChoice.ExpectedRead()
		meters.readTokens.Add(ctx, tokens)
	}
	if h.beginDuration > 0 {
		meters.beginDuration.Record(ctx, h.beginDuration.Seconds())
	}
}
