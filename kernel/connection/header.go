package connection

import (
	"fmt"
	"io"
)

// HeaderTooLongError reports a response whose header exceeds the limit.
type HeaderTooLongError struct{ limit int64 }

// Error implements error.
func (e *HeaderTooLongError) Error() string {
	return fmt.Sprintf("header of a response exceeds %d bytes", e.limit)
}

// headerReader limits what is read while a header is expected. The HTTP library keeps all of a
// header, however long it is.
type headerReader struct {
	reader    io.Reader
	limited   bool
	maxBytes  int64
	remaining int64
}

// limit limits the bytes that are read until unlimit is called.
func (r *headerReader) limit(maxBytes int64) {
	r.limited, r.maxBytes, r.remaining = true, maxBytes, maxBytes
}

func (r *headerReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *headerReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(buffer)
	}
	if r.remaining <= 0 {
		return 0, &HeaderTooLongError{limit: r.maxBytes}
	}
	n, err := r.reader.Read(buffer[:min(int64(len(buffer)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
