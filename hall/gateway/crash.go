package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/task"
)

const (
	// crashProbeDelay is the wait between a broken exchange and the probe of its
	// server: a server that crashed stays down for seconds.
	crashProbeDelay = 100 * time.Millisecond
	// crashProbeTimeout bounds the probe.
	crashProbeTimeout = 500 * time.Millisecond
	// recordTimeout bounds recording a crash.
	recordTimeout = 2 * time.Second
)

// checkSuspect refuses a request that crashed too many backend servers.
func (h *requestHandler) checkSuspect() *Refusal {
	crashes := h.gateway.options.Crashes
	if crashes.IsEmpty() {
		return nil
	}
	if err := crashes.Check(h.digest()); err != nil {
		return refuseRetryable(time.Minute, "%v", err)
	}
	return nil
}

// digest identifies a request by its method, target, workspace and body. The
// history that is prepended to the body is left out.
func (h *requestHandler) digest() []byte {
	hash := sha256.New()
	for _, part := range []string{h.request.Method, h.request.Target, h.workspaceName()} {
		_, _ = io.WriteString(hash, part+"\x00") // hash.Hash never returns an error.
	}
	_, _ = hash.Write(h.request.Body)
	return hash.Sum(nil)
}

// probeForCrash checks in the background whether the server of a broken exchange
// still accepts connections. If not, the request is recorded as having crashed it.
func (h *requestHandler) probeForCrash(server backend.Server) {
	options := h.gateway.options
	digest, requestID := h.digest(), h.request.ID
	task.Go(options.Logger, "crash probe", func() {
		time.Sleep(crashProbeDelay)
		probeCtx, cancelProbe := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancelProbe()
		if options.Backend.AcceptsConnections(probeCtx, server) {
			return
		}
		recordCtx, cancelRecord := context.WithTimeout(context.Background(), recordTimeout)
		defer cancelRecord()
		err := options.Crashes.RecordCrash(recordCtx, digest)
		options.Logger.Warn("backend server crashed while running a request", zap.String("requestId", requestID), zap.String("server", server.ID()), zap.Error(err))
	})
}
