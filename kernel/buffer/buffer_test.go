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
			account := budget.Open(buffer.PriorityStarted)
			body, err := account.Read(test.reader, test.announced, test.maxBytes)
			if test.wantErr != nil {
				if !errors.As(err, test.wantErr) {
					t.Errorf("got error %v, want %T", err, test.wantErr)
				}
			} else if err != nil {
				t.Errorf("got error %v, want %d bytes", err, len(test.want))
			} else {
				if got := string(body); got != test.want {
					t.Errorf("got %d bytes, want %d", len(got), len(test.want))
				}
			}
			if got := budget.Used(); err != nil && got != 0 {
				t.Errorf("after error %v: got %d bytes in use, want 0", err, got)
			}
			account.Release()
			if got := budget.Used(); got != 0 {
				t.Errorf("got %d bytes in use, want 0", got)
			}
		})
	}
	for _, cause := range []error{errReset, io.EOF} {
		budget := buffer.NewBudget(1 << 20)
		cut := io.MultiReader(strings.NewReader(text), iotest.ErrReader(cause))
		if _, err := budget.Open(buffer.PriorityStarted).Read(cut, int64(len(text))+1, 1<<20); err == nil || budget.Used() != 0 {
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
				account := budget.Open(buffer.PriorityStarted)
				_, _ = account.Read(bytes.NewReader(data[:size]), announced, limit) // Bodies that do not fit are refused.
				if got := budget.Used(); got < 0 || got > limit {
					t.Errorf("got %d bytes in use, want at most %d", got, limit)
				}
				account.Release()
			}
		})
	}
	callers.Wait()
	if got := budget.Used(); got != 0 {
		t.Errorf("got %d bytes in use at the end, want 0", got)
	}
}

// TestReserves guards against new work, or large bodies, that leave no memory to a step of work
// under way.
func TestReserves(t *testing.T) {
	const limit = 800
	budget := buffer.NewBudget(limit)
	var full *buffer.FullError
	for _, test := range []struct {
		priority buffer.Priority
		want     int64
	}{{buffer.PriorityNew, 600}, {buffer.PriorityRunning, 700}, {buffer.PriorityStarted, 800}} {
		account := budget.Open(test.priority)
		defer account.Release()
		for account.Take(10) == nil {
		}
		if got := budget.Used(); got != test.want {
			t.Errorf("priority %d: got %d bytes in use, want %d", test.priority, got, test.want)
		}
		if err := account.Take(10); !errors.As(err, &full) {
			t.Errorf("priority %d: got error %v, want %T", test.priority, err, full)
		}
	}
	if got := budget.Refused(); got != 6 {
		t.Errorf("got %d refusals, want 6", got)
	}
}

// TestMemoryIsKeptForLastHolder guards against memory that is counted as free while a call
// that outlasts its request still uses it.
func TestMemoryIsKeptForLastHolder(t *testing.T) {
	budget := buffer.NewBudget(100)
	account := budget.Open(buffer.PriorityNew)
	if err := account.Take(60); err != nil {
		t.Fatal(err)
	}
	account.Hold()
	account.Release()
	account.Return(10)
	if got := budget.Used(); got != 50 {
		t.Errorf("with one holder left: got %d bytes in use, want 50", got)
	}
	account.Release()
	if got := budget.Used(); got != 0 {
		t.Errorf("after the last holder: got %d bytes in use, want 0", got)
	}
	var none *buffer.Account
	if err := none.Take(1 << 40); err != nil {
		t.Errorf("nil account: got error %v, want none", err)
	}
}
