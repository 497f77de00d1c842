// Package wire defines the protocol between the processes of this project.
//
// Unary calls are Twirp services, generated from wire.proto. A token stream is an
// HTTP response whose body is a sequence of Frame messages, each prefixed with its
// length; FrameWriter and FrameReader encode and decode it.
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

// MaxFrameBytes is the maximum size of an encoded frame that FrameReader accepts.
const MaxFrameBytes = 8 << 20

// StreamContentType is the content type of a response that consists of frames.
const StreamContentType = "application/x-limpethall-frames"

// FrameWriter writes frames to a stream and flushes after each.
type FrameWriter struct {
	output io.Writer
	flush  func() error
}

// NewFrameWriter returns a writer that calls flush after each frame.
func NewFrameWriter(output io.Writer, flush func() error) *FrameWriter {
	return &FrameWriter{output: output, flush: flush}
}

// Write writes a frame and flushes the stream.
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

// NewFrameReader returns a reader that decodes frames from input.
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
