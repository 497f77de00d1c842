package peer

import (
	"context"
	"io"
	"time"

	"limpethall.dev/kernel/wire"
)

// Stream is the answer to Open: frames with heartbeats between them.
type Stream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	body     io.ReadCloser
	reader   *wire.FrameReader
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, body io.ReadCloser) *Stream {
	return &Stream{ctx: ctx, cancel: cancel, watchdog: watchdog, body: body, reader: wire.NewFrameReader(body)}
}

// Read returns the next frame that is not a heartbeat. The error is a
// *SilentError after too long a silence, and io.EOF when the other end closed
// the stream properly.
func (s *Stream) Read() (*wire.Frame, error) {
	for {
		frame, err := s.reader.Read()
		if err != nil {
			return nil, causeOf(s.ctx, err)
		}
		s.watchdog.Reset(SilenceBound)
		if frame.GetHeartbeat() == nil {
			return frame, nil
		}
	}
}

// Finish ends a stream whose last frame was read. It waits for the end mark
// that follows, so that the connection can be used again.
func (s *Stream) Finish() {
	_, _ = s.reader.Read()
	s.Close()
}

// Close ends the stream at once.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel(context.Canceled)
	_ = s.body.Close()
}

// causeOf returns why the context ended, if it did, in place of the error
// that the transport made of it.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

type closingBody struct {
	io.ReadCloser
	release context.CancelFunc
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
