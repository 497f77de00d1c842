package connection

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// writeResult is the result of writing a request while its response is read.
type writeResult struct {
	done chan struct{} // Closed when err is set.
	err  error
}

func newWriteResult() *writeResult { return &writeResult{done: make(chan struct{})} }

// run writes the request in the background.
func (r *writeResult) run(write func() error) {
	go func() {
		r.err = write()
		close(r.done)
	}()
}

// isWritten reports whether the request was written completely.
func (r *writeResult) isWritten() bool {
	select {
	case <-r.done:
		return r.err == nil
	default:
		return false
	}
}

// unframedBody is the body of a response that ends with its connection, while the request is
// written. The system reports a reset of the connection once. If the writer receives the
// error, the reader sees the end of the connection alone, so the response is whole only if
// the request was written.
type unframedBody struct {
	io.ReadCloser
	request *writeResult
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-b.request.done // A reset, or the end of the exchange, also ends writing.
	if b.request.err != nil {
		return n, fmt.Errorf("%w: the connection ended while the request was written: %w", io.ErrUnexpectedEOF, b.request.err)
	}
	return n, err
}

// isUnframed reports whether the end of the response is that of its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// The statuses of HTTP. Others are not those of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// InvalidStatusError reports a response whose status is not one of HTTP.
type InvalidStatusError struct{ status string }

// Error implements error.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %q", e.status) }

// checkStatus returns an *InvalidStatusError for a status that is not one of HTTP.
func checkStatus(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &InvalidStatusError{status: response.Status}
	}
	return nil
}
