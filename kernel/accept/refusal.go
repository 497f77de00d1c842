package accept

import (
	"fmt"
	"net"
	"time"
)

const (
	// requestTimeout is how long a refused connection may take to send the first byte of its
	// request. Clients take an answer before that for a broken connection.
	requestTimeout = time.Second
	// lingerPeriod is how long what follows is discarded, because closing with bytes unread
	// may take the answer from the client.
	lingerPeriod = 500 * time.Millisecond
	// retryAfter is the time after which clients may try again.
	retryAfter   = 500 * time.Millisecond
	refusalText  = "no memory for the connection\n"
	discardBytes = 512
)

// refusals answers connections that are refused, some at a time. Further ones are closed
// unread, which tells clients as well that nothing has run.
type refusals struct {
	answering chan struct{} // One element for each connection.
	response  []byte
}

func newRefusals(atOnce int64) refusals {
	return refusals{answering: make(chan struct{}, atOnce), response: fmt.Appendf(nil,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		retryAfter.Seconds(), len(refusalText), refusalText)}
}

// answer answers a connection in the background, and closes it. It waits for the first byte
// of a request if none has arrived yet.
func (r refusals) answer(raw net.Conn, arrived bool) {
	select {
	case r.answering <- struct{}{}:
	default:
		_ = raw.Close() // Nobody is left to tell of an error.
		return
	}
	go func() {
		defer func() { <-r.answering }()
		defer func() { _ = raw.Close() }()
		received := make([]byte, discardBytes)
		// A connection that fails is closed like the others.
		_ = raw.SetDeadline(time.Now().Add(requestTimeout))
		if !arrived {
			if _, err := raw.Read(received); err != nil {
				return
			}
		}
		if _, err := raw.Write(r.response); err != nil {
			return
		}
		_ = closeWrite(raw)
		_ = raw.SetReadDeadline(time.Now().Add(lingerPeriod))
		for {
			if _, err := raw.Read(received); err != nil {
				return
			}
		}
	}()
}

// closeWrite ends what is sent on a connection, if it supports that.
func closeWrite(connection net.Conn) error {
	if closer, found := connection.(interface{ CloseWrite() error }); found {
		return closer.CloseWrite()
	}
	return nil
}
