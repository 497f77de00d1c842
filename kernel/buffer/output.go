package buffer

import (
	"errors"
	"io"
)

// Output is a growing sequence of bytes whose memory an account takes before it grows.
type Output struct {
	account  *Account
	data     []byte
	reserved int64 // Memory that is kept however short the data is.
	taken    int64
}

// NewOutput returns an empty output. The account may be nil.
func NewOutput(account *Account) *Output { return &Output{account: account} }

// Reserve takes memory for so many bytes in all, or returns a *FullError.
func (o *Output) Reserve(size int64) error {
	if size > o.reserved {
		if err := o.account.Take(size - o.reserved); err != nil {
			return err
		}
		o.taken += size - o.reserved
		o.reserved = size
	}
	return nil
}

// Bytes returns the data, which is valid until the next call of another method.
func (o *Output) Bytes() []byte { return o.data }

// Len returns the number of bytes.
func (o *Output) Len() int { return len(o.data) }

// Reset empties the output and keeps its memory.
func (o *Output) Reset() { o.data = o.data[:0] }

// Append appends bytes, or none if it returns a *FullError.
func (o *Output) Append(data ...byte) error {
	if size := len(o.data) + len(data); size > cap(o.data) {
		if err := o.grow(max(initialBytes, int(o.reserved), 2*cap(o.data), size)); err != nil {
			return err
		}
	}
	o.data = append(o.data, data...)
	return nil
}

// Fill appends what the reader returns, until it ends, the output has maxBytes, or there is
// an error: a *FullError or that of the reader.
func (o *Output) Fill(reader io.Reader, maxBytes int) error {
	for len(o.data) < maxBytes {
		if len(o.data) == cap(o.data) {
			if err := o.grow(min(max(initialBytes, 2*cap(o.data)), maxBytes)); err != nil {
				return err
			}
		}
		n, err := reader.Read(o.data[len(o.data):min(cap(o.data), maxBytes)])
		o.data = o.data[:len(o.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// grow moves the data to a buffer of the given size. Both count until then.
func (o *Output) grow(size int) error {
	if missing := int64(size+cap(o.data)) - o.taken; missing > 0 {
		if err := o.account.Take(missing); err != nil {
			return err
		}
		o.taken += missing
	}
	data := make([]byte, len(o.data), size)
	copy(data, o.data)
	o.data = data
	if surplus := o.taken - max(int64(size), o.reserved); surplus > 0 {
		o.account.Return(surplus)
		o.taken -= surplus
	}
	return nil
}
