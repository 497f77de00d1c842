package connection

import (
	"context"
	"fmt"
)

// UnsentError reports a request of which no byte was sent.
type UnsentError struct{ cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "request not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// LimitError reports that the connection limit of a server is reached.
type LimitError struct {
	address string
	limit   int
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.limit, e.address)
}

// IncompleteResponseError reports an exchange without a complete response. The server
// may have processed the request.
type IncompleteResponseError struct{ cause error }

// NewIncompleteResponseError returns an error for a response that was interrupted by
// cause.
func NewIncompleteResponseError(cause error) *IncompleteResponseError {
	return &IncompleteResponseError{cause: cause}
}

// Error implements error.
func (e *IncompleteResponseError) Error() string { return "exchange broken: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.cause }

// cancellationCause returns the cause of the context's cancellation, or err if the
// context is not canceled.
func cancellationCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
