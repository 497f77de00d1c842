package buffer_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"limpethall.dev/kernel/buffer"
)

// TestOutputIsCounted guards against output that grows without memory of the budget, that loses
// bytes, or that finds none of the memory which was reserved for it.
func TestOutputIsCounted(t *testing.T) {
	const limit = 100_000
	budget := buffer.NewBudget(limit)
	account := budget.Open(buffer.PriorityStarted)
	output := buffer.NewOutput(account)
	if err := output.Reserve(10_000); err != nil {
		t.Fatal(err)
	}
	other := budget.Open(buffer.PriorityStarted)
	if err := other.Take(limit - 10_000); err != nil {
		t.Fatal(err)
	}
	written := strings.Repeat("0123456789", 1000)
	if err := output.Append([]byte(written)...); err != nil {
		t.Errorf("within the reserved memory: got error %v, want none", err)
	}
	other.Release()
	for range 20 {
		if err := output.Append([]byte(written)...); err != nil {
			var full *buffer.FullError
			if !errors.As(err, &full) {
				t.Errorf("got error %v, want %T", err, full)
			}
			break
		}
		if got, size := budget.Used(), int64(output.Len()); got < size || got > limit {
			t.Errorf("got %d bytes in use for %d, want no less and at most %d", got, size, limit)
		}
	}
	if got := output.Bytes(); output.Len() < 30_000 || !bytes.Equal(got, []byte(strings.Repeat(written, len(got)/len(written)))) {
		t.Errorf("got %d other bytes than were written, want 30000 or more of them", len(got))
	}
	account.Release()
	if got := budget.Used(); got != 0 {
		t.Errorf("got %d bytes in use at the end, want 0", got)
	}
}

// TestOutputReadsUpToItsBound guards against a response that is read beyond its bound, or not to
// its end.
func TestOutputReadsUpToItsBound(t *testing.T) {
	text := strings.Repeat("0123456789", 1000)
	for _, test := range []struct {
		maxBytes int
		want     int
	}{{maxBytes: 20_000, want: 10_000}, {maxBytes: 10_000, want: 10_000}, {maxBytes: 4099, want: 4099}} {
		output := buffer.NewOutput(nil)
		if err := output.Fill(iotest.HalfReader(strings.NewReader(text)), test.maxBytes); err != nil || string(output.Bytes()) != text[:test.want] {
			t.Errorf("bound %d: got %d bytes and error %v, want %d", test.maxBytes, output.Len(), err, test.want)
		}
	}
	errReset := errors.New("connection reset")
	if err := buffer.NewOutput(nil).Fill(iotest.ErrReader(errReset), 10); !errors.Is(err, errReset) {
		t.Errorf("got error %v, want %v", err, errReset)
	}
}
