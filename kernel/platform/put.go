package platform

import (
	"bytes"
	"context"
	"time"

	"limpethall.dev/kernel/task"
)

// putRetryDelay is the delay before a failed write is retried.
const putRetryDelay = 200 * time.Millisecond

// PutWithRetry sets a key regardless of its current value, and retries until the value
// is stored or the context ends. It is meant for keys with a single writer.
func PutWithRetry(ctx context.Context, store Store, key string, value []byte) error {
	for {
		err := tryPut(ctx, store, key, value)
		if err == nil || ctx.Err() != nil {
			return err
		}
		task.Sleep(ctx, putRetryDelay)
	}
}

func tryPut(ctx context.Context, store Store, key string, value []byte) error {
	expected := uint64(0)
	entry, err := store.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(entry.Value, value):
		return nil
	case err == nil:
		expected = entry.Version
	case !IsNotFound(err):
		return err
	}
	_, err = store.CompareAndSwap(ctx, key, value, expected, 0)
	return err
}
