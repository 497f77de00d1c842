package gateway

import (
	"time"

	"limpethall.dev/hall/balance"
)

// Explanation is what the gateway would do with a request now.
type Explanation struct {
	route     string
	service   string
	refusal   string
	selection *balance.Explanation
}

// Route returns the name of the route, empty if none matches.
func (e *Explanation) Route() string { return e.route }

// Service returns the name of the service, empty if it is not known.
func (e *Explanation) Service() string { return e.service }

// Refusal returns why the request would be refused, empty if it would be sent.
func (e *Explanation) Refusal() string { return e.refusal }

// Selection returns the choice of the server, nil if the request would be refused before.
func (e *Explanation) Selection() *balance.Explanation { return e.selection }

// Explain returns where the request would be sent now, with the rules and the selection that
// apply to real ones. It sends and counts nothing, asks no other process, and does not check
// the rate limit, the history and the budget. The workspace, empty for none, takes the place of
// an API key.
func (g *Gateway) Explain(request *Request, workspace string) *Explanation {
	h, explanation := g.newHandler(nil, request), &Explanation{}
	if h.catalog != nil && workspace != "" {
		known, found := h.catalog.Workspace(workspace)
		if !found || len(known.Keys) == 0 {
			explanation.refusal = "the workspace is not known or has no API key"
			return explanation
		}
		request.APIKey = known.Keys[0]
	}
	refusal := h.identify()
	if h.route != nil {
		explanation.route = h.route.Name
	}
	if h.service != nil {
		explanation.service = h.service.Name
	}
	if refusal != nil {
		explanation.refusal = refusal.Error()
		return explanation
	}
	h.rank, h.affinityKey = h.priority(), request.Program
	if err := g.options.Balancer.CheckLimits(time.Now(), h.balancerQuery()); err != nil {
		explanation.refusal = err.Error()
	}
	if h.route.Resumable && !h.takesUpStream() {
		if version, err := g.options.Balancer.PreferredVersion(time.Now(), h.balancerQuery()); err == nil {
			h.version = &version
		}
	}
	explanation.selection = g.options.Balancer.Explain(time.Now(), h.balancerQuery())
	if err := explanation.selection.Err(); err != nil {
		explanation.refusal = err.Error()
	}
	return explanation
}
