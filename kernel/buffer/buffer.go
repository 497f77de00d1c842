// Package buffer reads the bodies of requests into memory, whose sum is bounded by
// the budget of the process.
//
// A body takes memory as its bytes arrive, whatever length was announced. One that
// finds no memory is refused at once. Large bodies leave a part of the budget to
// small ones, so that a few slow uploads do not keep other requests from being
// served.
//
// # Usage
//
//	budget := buffer.NewBudget(32 << 20)
//	body, err := budget.Read(r.Body, r.ContentLength, 4<<20)
//	if err != nil { … } // *FullError, *TooLargeError or an error of the reader
//	defer body.Release()
//	serve(body.Bytes())
package buffer

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// SmallBytes is the size up to which a body may use the reserve.
	SmallBytes = 16 << 10
	// initialBytes is the memory for the first bytes of a body.
	initialBytes = 4 << 10
	// reserveParts is the part of a budget that is left to small bodies: one of this many.
	reserveParts = 4
)

// FullError reports that a budget has no memory for a body.
type FullError struct{ wanted, used, limit int64 }

// Error states the memory that was wanted, and that which is used.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for the body of the request: %d bytes wanted, %d of %d in use", e.wanted, e.used, e.limit)
}

// TooLargeError reports a body that is longer than allowed.
type TooLargeError struct{ limit int64 }

// Error states the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.limit) }

// Budget bounds the memory of all bodies that were read and not released. It is safe for
// concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the memory in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns the number of bodies that were refused for lack of memory.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Read reads a body of the announced length, which is negative if unknown, and of at most
// maxBytes. It never waits for memory. The caller must release the body that it returns.
func (b *Budget) Read(reader io.Reader, announced, maxBytes int64) (*Body, error) {
	if announced > maxBytes {
		return nil, &TooLargeError{limit: maxBytes}
	}
	body := &Body{budget: b}
	if announced == 0 {
		return body, nil
	}
	if err := body.read(reader, announced, maxBytes); err != nil {
		body.Release()
		var full *FullError
		if errors.As(err, &full) {
			b.refused.Add(1)
		}
		return nil, err
	}
	return body, nil
}

// available returns a *FullError if the budget has no memory for size more bytes.
func (b *Budget) available(used, size int64, large bool) error {
	limit := b.limit
	if large {
		limit -= b.limit / reserveParts
	}
	if used+size > limit {
		return &FullError{wanted: size, used: used, limit: limit}
	}
	return nil
}

func (b *Budget) take(size int64, large bool) error {
	for {
		used := b.used.Load()
		if err := b.available(used, size, large); err != nil {
			return err
		}
		if b.used.CompareAndSwap(used, used+size) {
			return nil
		}
	}
}

// Body is a body in memory. It must not be used concurrently with its release.
type Body struct {
	budget *Budget
	data   []byte
	taken  int64 // Memory of the budget that the body holds.
}

// Bytes returns the bytes of the body. They are valid until its release.
func (b *Body) Bytes() []byte { return b.data }

// Release returns the memory to the budget. Further calls have no effect.
func (b *Body) Release() {
	b.budget.used.Add(-b.taken)
	b.data, b.taken = nil, 0
}

func (b *Body) read(reader io.Reader, announced, maxBytes int64) error {
	bound := announced
	if announced < 0 {
		bound = maxBytes + 1
	}
	large := announced > SmallBytes
	if large {
		// Refused now rather than after a part of it was sent in vain.
		if err := b.budget.available(b.budget.Used(), announced, large); err != nil {
			return err
		}
	}
	for int64(len(b.data)) < bound {
		if len(b.data) == cap(b.data) {
			if err := b.grow(min(max(initialBytes, 2*b.taken), bound), large); err != nil {
				return err
			}
		}
		n, err := reader.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) == announced:
			return nil
		case errors.Is(err, io.EOF) && announced < 0 && int64(len(b.data)) <= maxBytes:
			return nil
		case errors.Is(err, io.EOF) && announced >= 0:
			return io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
	}
	return &TooLargeError{limit: maxBytes}
}

// grow moves the body to a buffer of the given size. Both buffers count until then.
func (b *Body) grow(size int64, large bool) error {
	if err := b.budget.take(size, large || size > SmallBytes); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.budget.used.Add(-b.taken)
	b.data, b.taken = data, size
	return nil
}
