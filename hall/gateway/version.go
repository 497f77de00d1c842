package gateway

import (
	"time"

	"limpethall.dev/hall/turns"
)

// selectVersion selects the software version of the servers of a resumable stream: what
// servers of two versions write does not fit together in one stream. The version of a
// stream that the caller takes up is looked up later, by the attempt that it names.
func (h *requestHandler) selectVersion() *Refusal {
	switch {
	case !h.route.Resumable || h.request.Resumes != "":
		return nil
	case h.request.LastEventID != "":
		version, found := h.gateway.options.Balancer.OnlyVersion(h.service.Name)
		if !found {
			return refuseRetryable(defaultRetryAfter, "the request does not name the attempt whose stream it takes up, and servers of several versions serve")
		}
		h.version = &version
		return nil
	}
	version, err := h.gateway.options.Balancer.PreferredVersion(time.Now(), h.balancerQuery())
	if err != nil {
		return h.noServerRefusal(err)
	}
	h.version = &version
	return nil
}

// applyResumedVersion restricts a stream that the caller takes up to servers of the
// version that began it.
func (h *requestHandler) applyResumedVersion(turn *turns.ActiveTurn) *Refusal {
	if !h.route.Resumable || h.request.Resumes == "" {
		return nil
	}
	version, known := turn.ResumedVersion()
	if !known {
		h.gateway.options.Turns.Settle(turn, 0)
		return refuseRetryable(defaultRetryAfter, "the version that began the stream of attempt %q is not known", h.request.Resumes)
	}
	h.version = &version
	return nil
}

// streamProgram returns the program under which the turn of a stream is recorded. A
// stream outside of any program is recorded under the attempt that began it.
func (h *requestHandler) streamProgram() string {
	switch {
	case h.request.Program != "":
		return h.request.Program
	case h.request.Resumes != "":
		return "stream:" + h.request.Resumes
	default:
		return "stream:" + h.request.ID
	}
}
