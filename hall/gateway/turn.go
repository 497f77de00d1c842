package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/catalog"
)

// beginTurn reserves the turn's tokens and prepends its history to the body. For a stream
// that may be resumed it also records, or looks up, the version of its servers.
func (h *requestHandler) beginTurn(ctx context.Context) *Refusal {
	h.body = net.Buffers{h.request.Body}
	if h.route.Kind != catalog.KindStream {
		return nil
	}
	if refusal := h.selectVersion(); refusal != nil {
		return refusal
	}
	hasTurn := h.request.Program != "" && (h.request.Budget > 0 || h.route.KeepsHistory)
	if !hasTurn && !h.route.Resumable {
		return nil
	}
	turn := turns.Turn{
		ID: h.request.ID, Program: h.streamProgram(), Workspace: h.workspaceName(), MaxTokens: h.request.MaxTokens, Retention: h.route.Retention,
	}
	if hasTurn {
		turn.Budget = h.request.Budget
	}
	if hasTurn && h.route.KeepsHistory {
		turn.Previous = h.request.PreviousTurn
	}
	if h.route.Resumable {
		turn.ServerVersion, turn.Resumes, turn.TakesUp = h.version, h.request.Resumes, h.takesUpStream()
		turn.Retention = max(turn.Retention, minVersionRetention)
	}
	if hasTurn && h.route.KeepsHistory && h.route.Resumable {
		turn.Stream, turn.LastEvent, turn.EventRetention = h.streamDigest(), h.request.LastEventID, time.Until(h.deadline)+minVersionRetention
	}
	if h.route.KeepsHistory && hasTurn {
		if refusal := h.reserveTurn(); refusal != nil {
			return refusal
		}
	}
	start := time.Now()
	active, err := h.gateway.options.Turns.Begin(ctx, turn)
	h.beginDuration = time.Since(start)
	switch {
	case err != nil && !hasTurn && !turn.TakesUp:
		// The stream can run, but it can't be taken up later.
		h.gateway.options.Logger.Warn("version of a stream not recorded", zap.String("requestId", h.request.ID), zap.Error(err))
		return nil
	case err != nil:
		return turnRefusal(err)
	}
	h.turn = active
	if hasTurn {
		h.affinityKey = active.Placement()
	}
	h.body = append(slices.Clone(active.History()), h.request.Body)
	if err := h.output.Append(active.Relayed()...); err != nil {
		h.gateway.options.Turns.Settle(active, 0)
		return refuseRetryable(defaultRetryAfter, "%v", err)
	}
	if turn.Stream != 0 {
		h.events = newEventBatch(h.account, h.output, turn.LastEvent, active.Relayed())
	}
	return h.applyResumedVersion(active)
}

// streamDigest returns what identifies the stream of a turn among those of its program. A caller
// that takes up the stream sends the same request, with another ID.
func (h *requestHandler) streamDigest() uint64 {
	digest := xxhash.New()
	for _, part := range []string{h.request.Method, h.request.Host, h.request.Target, h.request.Session, h.request.PreviousTurn} {
		_, _ = digest.WriteString(part + "\x00") // It never fails.
	}
	_, _ = digest.Write(h.request.Body)
	return max(1, digest.Sum64())
}

// startsAnew reports whether the stream starts with its first event, whatever event the caller
// names. The output of a turn would lack the events before if its stream started later, and they
// are stored only on routes that allow callers to take up streams.
func (h *requestHandler) startsAnew() bool {
	return h.turn != nil && h.route.KeepsHistory && !h.route.Resumable
}

func turnRefusal(err error) *Refusal {
	var exhausted *turns.BudgetExhaustedError
	var wrongWorkspace *turns.WrongWorkspaceError
	var notFound *turns.TurnNotFoundError
	switch {
	case errors.As(err, &exhausted):
		return refuse(http.StatusPaymentRequired, "%v", err)
	case errors.As(err, &wrongWorkspace), errors.As(err, &notFound):
		return refuse(http.StatusNotFound, "%v", err)
	default:
		return refuseRetryable(defaultRetryAfter, "%v", err)
	}
}
