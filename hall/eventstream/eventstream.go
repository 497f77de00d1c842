// Package eventstream reads streams of server-sent events and splits them into events,
// without changing a byte, so that they can be relayed.
//
// # Usage
//
//	reader := eventstream.New(response.Body, account)
//	defer reader.Close()
//	for {
//		event, err := reader.Next()
//		var cut *eventstream.CutError
//		switch {
//		case errors.Is(err, io.EOF): // The stream ended after an event.
//		case errors.As(err, &cut): // It ended or broke off inside an event.
//		}
//		w.Write(event.Bytes())
//	}
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"limpethall.dev/kernel/buffer"
)

const (
	bufferBytes = 4 << 10
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
)

// CutError reports a stream that ended inside an event, whatever its framing said.
type CutError struct{ unfinished int }

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("stream ended inside an event, after %d bytes of it", e.unfinished)
}

// Unfinished returns the number of bytes of the event that arrived.
func (e *CutError) Unfinished() int { return e.unfinished }

// TooLongError reports an event that exceeds the size limit.
type TooLongError struct{ limit int }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("event exceeds %d bytes", e.limit) }

// Limit returns the largest size of an event, in bytes.
func (e *TooLongError) Limit() int { return e.limit }

// Event is one event, or a blank line between two events.
type Event struct{ bytes []byte }

// Bytes returns the event as it was read, with the empty line that ends it. It is valid
// until the next call of Next.
func (e Event) Bytes() []byte { return e.bytes }

// ID returns the event's ID, and false if it has none.
func (e Event) ID() (id string, found bool) {
	for name, value := range e.fields {
		if name == "id" {
			id, found = string(value), true
		}
	}
	return id, found
}

// Data returns the lines of the event's data, joined by line feeds, and false if it has
// none.
func (e Event) Data() (data []byte, found bool) {
	for name, value := range e.fields {
		if name != "data" {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data, found = append(data, value...), true
	}
	return data, found
}

// fields iterates over the event's fields.
func (e Event) fields(yield func(name string, value []byte) bool) {
	for line := range bytes.Lines(e.bytes) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if !yield(string(name), bytes.TrimPrefix(value, []byte(" "))) {
			return
		}
	}
}

// Reader splits a stream into events. Lines end with LF or CRLF.
type Reader struct {
	buffer *bufio.Reader
	event  *buffer.Output
}

// buffers are kept for other streams.
var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}

// New returns a reader of a stream. The account, which may be nil, takes the memory of an event.
func New(stream io.Reader, account *buffer.Account) *Reader {
	reader := &Reader{buffer: buffers.Get().(*bufio.Reader), event: buffer.NewOutput(account)}
	reader.buffer.Reset(stream)
	return reader
}

// Close ends the use of the reader, which must not be used any more. It does not close the
// stream.
func (r *Reader) Close() {
	r.buffer.Reset(nil)
	buffers.Put(r.buffer)
	r.buffer = nil
}

// HasBuffered reports whether bytes after the last event have arrived already.
func (r *Reader) HasBuffered() bool { return r.buffer.Buffered() > 0 }

// Next returns the next event. It returns io.EOF if the stream ended after an event, a
// *CutError if it ended inside one, a *buffer.FullError if there is no memory for an event, and
// otherwise the error of the stream.
func (r *Reader) Next() (Event, error) {
	r.event.Reset()
	for {
		line, err := r.buffer.ReadSlice('\n')
		if fullErr := r.event.Append(line...); fullErr != nil {
			return Event{}, fullErr
		}
		event := r.event.Bytes()
		switch {
		case len(event) > maxEventBytes:
			return Event{}, &TooLongError{limit: maxEventBytes}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0:
			return Event{}, &CutError{unfinished: len(event)}
		case err != nil:
			return Event{}, err
		}
		if isBlank(line) && isComplete(event) {
			return Event{bytes: event}, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// isComplete reports whether the bytes end with an empty line. A line that exceeds the
// buffer is read in parts, of which the last one may look like an empty line.
func isComplete(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || isBlank(event)
}
