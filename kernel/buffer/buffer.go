// Package buffer bounds the memory that the requests and calls of a process keep.
//
// All that one request keeps, from the first byte of its body to the last byte of its
// response, is taken from the budget of the process through an account. What finds no
// memory is refused at once. Work that nobody has begun leaves a part of the budget to work
// under way, and large bodies leave a part to small ones, so that a few slow uploads do not
// keep other requests from being served.
//
// A body takes memory as its bytes arrive, whatever length was announced.
//
// # Usage
//
//	budget := buffer.NewBudget(32 << 20)
//	account := budget.Open(buffer.PriorityNew)
//	defer account.Release()
//	body, err := account.Read(r.Body, r.ContentLength, 4<<20)
//	if err != nil { … } // *FullError, *TooLargeError or an error of the reader
//	err = account.Take(int64(len(history)))
//	serve(buffer.NewContext(ctx, account), body)
package buffer

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// SmallBytes is the size up to which a body may use the reserve.
	SmallBytes = 16 << 10
	// initialBytes is the memory for the first bytes of a body.
	initialBytes = 4 << 10
	// largeReserveParts is the part of a budget that large bodies leave to small ones: one of
	// this many.
	largeReserveParts = 4
	// newReserveParts and runningReserveParts are the parts that accounts of PriorityNew and
	// PriorityRunning leave to those of higher priorities: one of this many.
	newReserveParts     = 4
	runningReserveParts = 8
)

// FullError reports that a budget has no memory left.
type FullError struct{ wanted, used, limit int64 }

// Error states the memory that was wanted, and that which is used.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for the request: %d bytes wanted, %d of %d in use", e.wanted, e.used, e.limit)
}

// TooLargeError reports a body that is longer than allowed.
type TooLargeError struct{ limit int64 }

// Error states the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.limit) }

// Budget bounds the memory of all accounts. It is safe for concurrent use.
type Budget struct {
	limit    int64
	used     atomic.Int64
	refused  atomic.Int64
	mutex    sync.Mutex
	reclaims []func(size int64) bool
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the memory in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often memory was refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// OnFull has reclaim called before memory is refused. It returns at least the given number
// of bytes that are of less use than any request, such as those of idle connections, or
// returns nothing and reports false. It must not use the account for which it is called.
func (b *Budget) OnFull(reclaim func(size int64) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reclaims = append(b.reclaims, reclaim)
}

// reclaim reports whether size bytes were returned by those that OnFull has added.
func (b *Budget) reclaim(size int64) bool {
	b.mutex.Lock()
	reclaims := b.reclaims
	b.mutex.Unlock()
	for _, reclaim := range reclaims {
		if reclaim(size) {
			return true
		}
	}
	return false
}

// available returns a *FullError if the budget has no memory for size more bytes beside the
// reserve.
func (b *Budget) available(used, size, reserve int64) error {
	if limit := b.limit - reserve; used+size > limit {
		return &FullError{wanted: size, used: used, limit: limit}
	}
	return nil
}

func (b *Budget) take(size, reserve int64) error {
	for {
		used := b.used.Load()
		if err := b.available(used, size, reserve); err != nil {
			if b.reclaim(used + size - (b.limit - reserve)) {
				continue
			}
			return err
		}
		if b.used.CompareAndSwap(used, used+size) {
			return nil
		}
	}
}

// body is a body that is being read.
type body struct {
	account *Account
	data    []byte
	taken   int64 // Memory of the account that the body uses.
}

func (b *body) read(reader io.Reader, announced, maxBytes int64) error {
	bound := announced
	if announced < 0 {
		bound = maxBytes + 1
	}
	large := announced > SmallBytes
	if large {
		// Refused now rather than after a part of it was sent in vain.
		if err := b.account.available(announced); err != nil {
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
func (b *body) grow(size int64, large bool) error {
	if err := b.account.take(size, large || size > SmallBytes); err != nil {
		return err
	}
	data := append(newStep(size), b.data...)
	releaseStep(b.data)
	b.account.Return(b.taken)
	b.data, b.taken = data, size
	return nil
}

// steps keeps the buffers through which small bodies grow, of initialBytes and twice and four
// times that. Each is left for the next one at once, and would be garbage of every body.
var steps [3]sync.Pool

// stepPool returns the pool of the buffers of a size, nil if there is none.
func stepPool(size int64) *sync.Pool {
	for index := range steps {
		if size == initialBytes<<index {
			return &steps[index]
		}
	}
	return nil
}

// newStep returns an empty buffer.
func newStep(size int64) []byte {
	if pool := stepPool(size); pool != nil {
		if kept, found := pool.Get().(*[]byte); found {
			return *kept
		}
	}
	return make([]byte, 0, size)
}

// releaseStep keeps a buffer for other bodies.
func releaseStep(data []byte) {
	if pool := stepPool(int64(cap(data))); pool != nil {
		data = data[:0]
		pool.Put(&data)
	}
}
