package wire_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/wire"
)

func testFrames() []*wire.Frame {
	return []*wire.Frame{
		{CallId: "a", Body: &wire.Frame_Delta{Delta: &wire.Delta{Json: []byte(`{"content":"x"}`), Tokens: 1}}},
		{CallId: "a", Offset: 1, Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}},
		{CallId: "a", Offset: 2, Body: &wire.Frame_End{End: &wire.End{FinishReason: "stop"}}},
	}
}

func encodeTestFrames(t testing.TB) []byte {
	t.Helper()
	var stream bytes.Buffer
	writer := wire.NewFrameWriter(&stream, func() error { return nil })
	for _, frame := range testFrames() {
		if err := writer.Write(frame); err != nil {
			t.Fatal(err)
		}
	}
	return stream.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	reader := wire.NewFrameReader(bytes.NewReader(encodeTestFrames(t)))
	for index, want := range testFrames() {
		got, err := reader.Read()
		if err != nil || !proto.Equal(got, want) {
			t.Errorf("frame %d: got %v, %v, want %v", index, got, err, want)
		}
	}
	if _, err := reader.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last frame: got %v, want io.EOF", err)
	}
}

// TestTruncatedStream checks that a stream that ends within its first frame is an
// error and not taken for a regular end. It truncates the stream after each number
// of bytes in its first third, which ends within the first frame.
func TestTruncatedStream(t *testing.T) {
	stream := encodeTestFrames(t)
	firstThirdBytes := len(stream) / 3
	for length := range firstThirdBytes {
		reader := wire.NewFrameReader(bytes.NewReader(stream[:length]))
		_, err := reader.Read()
		if length > 0 && (err == nil || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)) {
			t.Errorf("truncated after %d bytes: got %v, want an error other than io.EOF", length, err)
		}
	}
}

func FuzzFrameReader(f *testing.F) {
	f.Add(encodeTestFrames(f))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := wire.NewFrameReader(bytes.NewReader(stream))
		for range len(stream) + 1 {
			frame, err := reader.Read()
			if err != nil {
				return
			}
			if proto.Size(frame) > wire.MaxFrameBytes {
				t.Errorf("frame of %d bytes was accepted, the limit is %d", proto.Size(frame), wire.MaxFrameBytes)
			}
		}
		t.Errorf("reader returned more frames than the stream has bytes")
	})
}
