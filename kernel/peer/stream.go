package peer

import (
	"context"
	"io"
	"time"

	"limpethall.dev/kernel/wire"
)

// Stream is the response of a request made with Open, read frame by frame.
type Stream struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	idleTimer *time.Timer
	body      io.ReadCloser
	reader    *wire.FrameReader
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, idleTimer *time.Timer, body io.ReadCloser) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, idleTimer: idleTimer, body: body, reader: wire.NewFrameReader(body)}
}

// Read returns the next frame that is not a heartbeat. The error is an
// *IdleTimeoutError if no frame arrives for StreamIdleTimeout, and io.EOF after the
// regular end of the stream.
func (s *Stream) Read() (*wire.Frame, error) {
	for {
		frame, err := s.reader.Read()
		if err != nil {
			return nil, cancellationCause(s.ctx, err)
		}
		s.idleTimer.Reset(StreamIdleTimeout)
		if frame.GetHeartbeat() == nil {
			return frame, nil
		}
	}
}

// Finish closes a stream after its last frame. It reads up to the end of the
// response body first, so that the connection can be reused.
func (s *Stream) Finish() {
	_, _ = s.reader.Read()
	s.Close()
}

// Close cancels the request and closes the stream.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(context.Canceled)
	_ = s.body.Close()
}

// cancellationCause returns the cause of the context's cancellation, or err if the
// context is not canceled. The transport's own error doesn't include the cause.
func cancellationCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// cancelingBody is a response body that cancels the context of its request when it
// is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
