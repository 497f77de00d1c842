// Package wire is the protocol between the project's own processes.
//
// Unary calls are Twirp services, generated from wire.proto. A token stream is
// an HTTP answer whose body is a sequence of length-delimited Frame messages;
// FrameWriter and FrameReader speak it.
//
// # Usage
//
//	writer := wire.NewFrameWriter(body, flush)
//	err := writer.Write(&wire.Frame{...})
//
//	reader := wire.NewFrameReader(response.Body)
//	frame, err := reader.Read()
package wire

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
)

// MaxFrameBytes bounds one frame.
const MaxFrameBytes = 8 << 20

// StreamContentType marks an answer made of frames.
const StreamContentType = "application/x-limpethall-frames"

// FrameWriter writes frames to a stream, each at once.
type FrameWriter struct {
	output io.Writer
	flush  func() error
}

// NewFrameWriter returns a writer that calls flush after each frame.
func NewFrameWriter(output io.Writer, flush func() error) *FrameWriter {
	return &FrameWriter{output: output, flush: flush}
}

// Write sends one frame.
func (w *FrameWriter) Write(frame *Frame) error {
	if _, err := protodelim.MarshalTo(w.output, frame); err != nil {
		return err
	}
	return w.flush()
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	input   *bufio.Reader
	options protodelim.UnmarshalOptions
}

// NewFrameReader returns a reader.
func NewFrameReader(input io.Reader) *FrameReader {
	return &FrameReader{input: bufio.NewReader(input), options: protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}}
}

// Read returns the next frame, or io.EOF at the end of the stream.
func (r *FrameReader) Read() (*Frame, error) {
	frame := &Frame{}
	if err := r.options.UnmarshalFrom(r.input, frame); err != nil {
		return nil, err
	}
	return frame, nil
}
