package gateway

import (
	"net/http"
	"time"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/callerid"
)

const (
	// exchangeBytes is the memory of a request beside its body, history and output: the buffers
	// of connections to keepers and a backend server, and the stacks of its calls.
	exchangeBytes = 48 << 10
	// tokenBytes is the memory that is reserved for each token of a turn's output.
	tokenBytes = 8
	// maxReservedOutput bounds the memory that is reserved for the output of a turn.
	maxReservedOutput = 64 << 10
	// writeGracePeriod is how long after the deadline of a request its response may still be
	// written to a slow caller.
	writeGracePeriod = time.Second
)

// MemoryPriority returns the priority for memory of a request that is not sent to a backend
// server yet: a request of a program that has begun before comes first.
func (g *Gateway) MemoryPriority(request *Request) buffer.Priority {
	if request.PreviousTurn != "" || request.Resumes != "" || request.LastEventID != "" || g.knownPrograms.Contains(request.Program) {
		return buffer.PriorityRunning
	}
	return buffer.PriorityNew
}

// takeMemory takes the memory that each request needs, before it takes a token of its
// workspace's rate limit.
func (h *requestHandler) takeMemory() *Refusal {
	h.account.SetPriority(h.gateway.MemoryPriority(h.request))
	if err := h.account.Take(exchangeBytes); err != nil {
		return refuseRetryable(defaultRetryAfter, "%v", err)
	}
	return nil
}

// lastTurn is the turn of a program that this hall finished last.
type lastTurn struct {
	workspace string
	turn      string
	bytes     int64 // Of the history that ends with the turn.
}

// reserveTurn takes memory for the output of a turn, so that the turn is refused rather than
// broken off. The output grows beyond that if need be. A turn whose history is known not to fit
// is refused before keepers read it.
func (h *requestHandler) reserveTurn() *Refusal {
	expected := min(max(1, h.request.MaxTokens), maxReservedOutput/tokenBytes) * tokenBytes
	err := h.output.Reserve(expected)
	if last, _ := h.gateway.knownPrograms.Get(h.request.Program); err == nil && last.turn != "" && last.turn == h.request.PreviousTurn && last.workspace == h.workspaceName() {
		err = h.account.Check(last.bytes)
	}
	if err != nil {
		return refuseRetryable(defaultRetryAfter, "%v", err)
	}
	return nil
}

// recordTurn records the size of the history that the next turn of the program continues.
func (h *requestHandler) recordTurn() {
	if h.request.Program == "" {
		return
	}
	bytes := int64(h.output.Len())
	for _, part := range h.body {
		bytes += int64(len(part))
	}
	h.gateway.knownPrograms.Add(h.request.Program, lastTurn{workspace: h.workspaceName(), turn: callerid.Bound(h.request.ID), bytes: bytes})
}

// limitWriting bounds how long a caller that reads slowly, or nothing, makes the hall keep the
// request.
func (h *requestHandler) limitWriting() {
	// Fails only if the connection is closed, or has no deadlines.
	_ = http.NewResponseController(h.writer).SetWriteDeadline(h.deadline.Add(writeGracePeriod))
}

// extendWriting leaves time to write the end of a response whose turn is stored first.
func (h *requestHandler) extendWriting() {
	// Fails only if the connection is closed, or has no deadlines.
	_ = http.NewResponseController(h.writer).SetWriteDeadline(time.Now().Add(finishTimeout + writeGracePeriod))
}
