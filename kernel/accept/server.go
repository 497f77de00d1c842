package accept

import (
	"net/http"
	"time"
)

// The bounds of a server for other hosts, whose clients are programs of this project.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	// readTimeout includes the body, unless a handler sets another deadline.
	readTimeout = 15 * time.Second
	// writeTimeout is longer than any call that a host answers.
	writeTimeout = time.Minute
	// IdleTimeout is how long a connection may wait for its next call. Clients should close
	// theirs sooner, so that no call crosses its end.
	IdleTimeout = 2 * time.Minute
)

// NewServer returns a server for calls of other hosts. It must serve a listener of Listener.
func (l *Limiter) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: l.ConnState, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: IdleTimeout,
	}
}
