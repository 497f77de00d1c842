package platform

import (
	"bytes"
	"context"
	"time"

	"limpethall.dev/kernel/duty"
)

// putPause is the wait before a write that failed is tried again.
const putPause = 200 * time.Millisecond

// Put writes a key whatever it holds, and tries again until the value is there
// or the context ends. It is for keys with one writer.
func Put(ctx context.Context, store Store, key string, value []byte) error {
	for {
		err := putOnce(ctx, store, key, value)
		if err == nil || ctx.Err() != nil {
			return err
		}
		duty.Pause(ctx, putPause)
	}
}

func putOnce(ctx context.Context, store Store, key string, value []byte) error {
	version := uint64(0)
	entry, err := store.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(entry.Value, value):
		return nil
	case err == nil:
		version = entry.Version
	case !IsNotFound(err):
		return err
	}
	_, err = store.CompareAndSwap(ctx, key, value, version, 0)
	return err
}
