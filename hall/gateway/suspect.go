package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/backend"
)

const (
	// crashDelay is the wait after a broken exchange before its server is looked
	// at: one that crashed is down for seconds.
	crashDelay = 100 * time.Millisecond
	// crashTimeout bounds that look.
	crashTimeout = 500 * time.Millisecond
	// noteTimeout bounds the writing of a suspect.
	noteTimeout = 2 * time.Second
)

// checkSuspect refuses a request that took down too many backend servers.
func (c *call) checkSuspect() *Refusal {
	suspects := c.gateway.options.Suspects
	if suspects.IsEmpty() {
		return nil
	}
	if err := suspects.Check(c.digest()); err != nil {
		return later(time.Minute, "%v", err)
	}
	return nil
}

// digest identifies a request by what a backend server sees of it.
func (c *call) digest() []byte {
	digest := sha256.New()
	for _, part := range []string{c.request.Method, c.request.Target, c.workspaceName()} {
		_, _ = io.WriteString(digest, part+"\x00") // A hash never fails.
	}
	_, _ = digest.Write(c.request.Body)
	return digest.Sum(nil)
}

// suspectCrash looks whether a server that broke off has died, and if so makes
// the request a suspect.
func (c *call) suspectCrash(server backend.Server) {
	options := c.gateway.options
	digest, id := c.digest(), c.request.ID
	go func() {
		time.Sleep(crashDelay)
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		defer cancel()
		if options.Backend.Answers(ctx, server) {
			return
		}
		noting, cancelNote := context.WithTimeout(context.Background(), noteTimeout)
		defer cancelNote()
		err := options.Suspects.Note(noting, digest)
		options.Logger.Warn("backend server died while it ran a request", zap.String("requestId", id), zap.String("server", server.ID()), zap.Error(err))
	}()
}
