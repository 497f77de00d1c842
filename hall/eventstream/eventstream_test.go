package eventstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"limpethall.dev/hall/eventstream"
)

// read returns the events of a stream and the error that ended it.
func read(stream io.Reader) (events []string, err error) {
	reader := eventstream.New(stream, nil)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event.Bytes()))
	}
}

// TestStreamThatEndsInsideAnEvent guards against the beginning of an event that is taken
// for an event, or a cut stream that is taken for a complete one.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	tests := []struct {
		name   string
		stream string
		events int
		cut    bool
	}{
		{"after an event", first, 1, false},
		{"empty", "", 0, false},
		{"inside a field name", first + "da", 1, true},
		{"inside data", first + "id: 2\ndata: wo", 1, true},
		{"after a line", first + "id: 2\ndata: word\n", 1, true},
		{"between the line ends of CRLF", "id: 1\r\ndata: a\r\n\r", 0, true},
		{"before the empty line of CRLF", "id: 1\r\ndata: a\r\n", 0, true},
		{"after an event with CRLF", "id: 1\r\ndata: a\r\n\r\n", 1, false},
		{"after a comment line", first + ":\n", 1, true},
		{"after blank lines", first + "\n\n", 3, false},
		{"line longer than the buffer", "data: " + strings.Repeat("x", 9000) + "\n\n", 1, false},
		{"buffer ends before the line feed", "data: " + strings.Repeat("x", 4<<10-6) + "\nid: 1\n\n", 1, false},
	}
	for _, tt := range tests {
		events, err := read(strings.NewReader(tt.stream))
		var cut *eventstream.CutError
		if got := errors.As(err, &cut); got != tt.cut || (!tt.cut && !errors.Is(err, io.EOF)) {
			t.Errorf("%s: got error %v, want one for a cut stream: %t", tt.name, err, tt.cut)
		}
		if got, want := len(events), tt.events; got != want {
			t.Errorf("%s: got %d events %q, want %d", tt.name, got, events, want)
		}
	}
}

// TestBrokenStream checks that an error of the stream is returned although an event is
// complete.
func TestBrokenStream(t *testing.T) {
	failure := errors.New("connection reset")
	events, err := read(io.MultiReader(strings.NewReader("data: a\n\ndata"), iotest.ErrReader(failure)))
	if !errors.Is(err, failure) || len(events) != 1 {
		t.Errorf("got %d events and %v, want 1 and the error of the stream", len(events), err)
	}
}

// TestFields checks the ID and the data of events.
func TestFields(t *testing.T) {
	reader := eventstream.New(strings.NewReader("id: 1\ndata:a\ndata:  b\n\n: comment\n\nid:7\r\nretry: 3\r\n\r\ndata\n\n"), nil)
	tests := []struct {
		id, data       string
		hasID, hasData bool
	}{{"1", "a\n b", true, true}, {"", "", false, false}, {"7", "", true, false}, {"", "", false, true}}
	for index, tt := range tests {
		event, err := reader.Next()
		if err != nil {
			t.Fatalf("event %d: %v", index, err)
		}
		id, hasID := event.ID()
		data, hasData := event.Data()
		if id != tt.id || hasID != tt.hasID || string(data) != tt.data || hasData != tt.hasData {
			t.Errorf("event %d: got ID %q %t, data %q %t, want %+v", index, id, hasID, data, hasData, tt)
		}
	}
}

// FuzzSplit checks that a stream that arrives in any pieces, down to single bytes, is
// split into the same events, and that no byte of a complete event is lost or changed.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: cut"), uint(7))
	f.Add([]byte("\n\n\r\n\r\r\ndata:\n\n"), uint(1))
	f.Add([]byte("data: "+strings.Repeat("x", 5000)+"\n\n"), uint(4095))
	f.Fuzz(func(t *testing.T, stream []byte, at uint) {
		whole, wholeErr := read(bytes.NewReader(stream))
		split := int(at % uint(len(stream)+1))
		for name, pieces := range map[string]io.Reader{
			"two pieces":   io.MultiReader(bytes.NewReader(stream[:split]), bytes.NewReader(stream[split:])),
			"single bytes": iotest.OneByteReader(bytes.NewReader(stream)),
		} {
			got, err := read(pieces)
			if want := strings.Join(whole, "|"); strings.Join(got, "|") != want {
				t.Errorf("%s: got %q, want %q", name, strings.Join(got, "|"), want)
			}
			if errors.Is(err, io.EOF) != errors.Is(wholeErr, io.EOF) {
				t.Errorf("%s: got error %v, want %v", name, err, wholeErr)
			}
		}
		if !bytes.HasPrefix(stream, []byte(strings.Join(whole, ""))) {
			t.Errorf("events: got %q, want the beginning of the stream", whole)
		}
		// A stream cut anywhere yields no event that the whole stream doesn't have.
		cut, _ := read(bytes.NewReader(stream[:split]))
		if !strings.HasPrefix(strings.Join(whole, "|")+"|", strings.Join(cut, "|")) {
			t.Errorf("cut at %d: got %q, want the first of %q", split, cut, whole)
		}
	})
}
