package buffer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Handler returns a handler that reads the body, of at most maxBytes, before it calls next
// with an account in the context. The body must arrive within the timeout.
func (b *Budget) Handler(next http.Handler, maxBytes int64, timeout time.Duration, logger *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(timeout)) // Fails only if the connection is closed.
		account := b.Open(PriorityRunning)
		defer account.Release()
		body, err := account.Read(r.Body, r.ContentLength, maxBytes)
		if err != nil {
			logger.Info("cannot read a call", zap.String("path", r.URL.Path), zap.Int64("length", r.ContentLength), zap.Error(err))
			w.Header().Set("Connection", "close")
			w.WriteHeader(Status(err))
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		r = r.WithContext(NewContext(r.Context(), account))
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Status returns the HTTP status for an error of Read.
func Status(err error) int {
	var full *FullError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &full):
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}
