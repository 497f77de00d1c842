package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"limpethall.dev/kernel/buffer"
)

// TestRead guards against bodies that are read incompletely, or beyond their limit.
func TestRead(t *testing.T) {
	errReset := errors.New("reset")
	text := strings.Repeat("0123456789", 3000)
	for _, test := range []struct {
		name                string
		reader              io.Reader
		announced, maxBytes int64
		want                string
		wantErr             any
	}{
		{name: "empty", reader: strings.NewReader(""), announced: 0, maxBytes: 10},
		{name: "announced", reader: strings.NewReader(text), announced: int64(len(text)), maxBytes: int64(len(text)), want: text},
		{name: "more than announced", reader: strings.NewReader(text), announced: 10, maxBytes: 10, want: text[:10]},
		{name: "chunks", reader: iotest.HalfReader(strings.NewReader(text)), announced: -1, maxBytes: int64(len(text)), want: text},
		{name: "data with its end", reader: iotest.DataErrReader(strings.NewReader(text)), announced: -1, maxBytes: int64(len(text)), want: text},
		{name: "empty chunks", reader: strings.NewReader(""), announced: -1, maxBytes: 10},
		{name: "announced too large", reader: strings.NewReader(text), announced: 11, maxBytes: 10, wantErr: new(*buffer.TooLargeError)},
		{name: "chunks too large", reader: strings.NewReader(text), announced: -1, maxBytes: int64(len(text)) - 1, wantErr: new(*buffer.TooLargeError)},
		{name: "chunks too large with their end", reader: iotest.DataErrReader(strings.NewReader("0123")), announced: -1, maxBytes: 3, wantErr: new(*buffer.TooLargeError)},
		{name: "no memory", reader: strings.NewReader(strings.Repeat(text, 40)), announced: -1, maxBytes: 2 << 20, wantErr: new(*buffer.FullError)},
		{name: "no memory for what is announced", reader: iotest.ErrReader(errReset), announced: 800 << 10, maxBytes: 2 << 20, wantErr: new(*buffer.FullError)},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := buffer.NewBudget(1 << 20)
			body, err := budget.Read(test.reader, test.announced, test.maxBytes)
			if test.wantErr != nil {
				if !errors.As(err, test.wantErr) {
					t.Errorf("got error %v, want %T", err, test.wantErr)
				}
			} else if err != nil {
				t.Errorf("got error %v, want %d bytes", err, len(test.want))
			} else {
				if got := string(body.Bytes()); got != test.want {
					t.Errorf("got %d bytes, want %d", len(got), len(test.want))
				}
				body.Release()
				body.Release()
			}
			if got := budget.Used(); got != 0 {
				t.Errorf("got %d bytes in use, want 0", got)
			}
		})
	}
	for _, cause := range []error{errReset, io.EOF} {
		budget := buffer.NewBudget(1 << 20)
		cut := io.MultiReader(strings.NewReader(text), iotest.ErrReader(cause))
		if _, err := budget.Read(cut, int64(len(text))+1, 1<<20); err == nil || budget.Used() != 0 {
			t.Errorf("body that ends with %v: got error %v and %d bytes in use, want an error and 0", cause, err, budget.Used())
		}
	}
}

// TestMemoryOfConcurrentBodies guards against memory that is not returned, and against a
// sum above the budget.
func TestMemoryOfConcurrentBodies(t *testing.T) {
	const limit = 1 << 20
	budget := buffer.NewBudget(limit)
	data := make([]byte, limit/2)
	var callers sync.WaitGroup
	for seed := range uint64(16) {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, 0))
			for range 200 {
				size, announced := random.Int64N(limit/2), int64(-1)
				if random.IntN(2) == 0 {
					announced = size + random.Int64N(2)
				}
				body, err := budget.Read(bytes.NewReader(data[:size]), announced, limit)
				if got := budget.Used(); got < 0 || got > limit {
					t.Errorf("got %d bytes in use, want at most %d", got, limit)
				}
				if err == nil {
					body.Release()
				}
			}
		})
	}
	callers.Wait()
	if got := budget.Used(); got != 0 {
		t.Errorf("got %d bytes in use at the end, want 0", got)
	}
}
