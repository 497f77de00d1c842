package gateway

import (
	"time"

	"limpethall.dev/hall/turns"
)

// selectVersion selects the software version of the servers of a resumable stream: what
// servers of two versions write does not fit together in one stream. The version of a
// stream that the caller takes up is looked up later.
func (h *requestHandler) selectVersion() *Refusal {
	if !h.route.Resumable || h.takesUpStream() {
		return nil
	}
	version, err := h.preferredVersion(time.Now(), h.balancerQuery())
	if err != nil {
		return h.noServerRefusal(err)
	}
	h.version = &version
	return nil
}

// takesUpStream reports whether the caller takes up a stream that broke off.
func (h *requestHandler) takesUpStream() bool {
	return h.request.Resumes != "" || h.request.LastEventID != ""
}

// applyResumedVersion restricts a stream that the caller takes up to servers of the
// version that began it. A caller that does not name the attempt which began it gets the
// only version that has served since before any stream that may still be taken up.
func (h *requestHandler) applyResumedVersion(turn *turns.ActiveTurn) *Refusal {
	if !h.route.Resumable || !h.takesUpStream() {
		return nil
	}
	version, known := turn.ResumedVersion()
	if !known && h.request.Resumes == "" {
		version, known = h.gateway.options.Balancer.SteadyVersion(h.service.Name, max(h.route.Retention, minVersionRetention))
	}
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
