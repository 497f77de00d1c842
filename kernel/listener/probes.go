package listener

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
)

// Probes are the health, readiness and metrics endpoints of a process.
type Probes struct {
	ready   func() error
	metrics http.Handler
}

// NewProbes returns probes. ready returns nil if the process accepts requests, and
// otherwise an error with the reason.
func NewProbes(ready func() error, metrics http.Handler) Probes {
	return Probes{ready: ready, metrics: metrics}
}

// Mount adds the routes /healthz, /readyz and /metrics.
func (p Probes) Mount(l *Listener) {
	l.Router().GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, "ok\n")
	})
	l.Router().GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if err := p.ready(); err != nil {
			c.String(http.StatusServiceUnavailable, "%s\n", err.Error())
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	l.Router().GET("/metrics", adaptor.HertzHandler(p.metrics))
}
