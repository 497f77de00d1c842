package entry

import (
	"context"
	"errors"
	"sync"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/table"
)

// errKeyWithdrawn is the cancellation cause of the requests of a withdrawn key.
var errKeyWithdrawn = failure.New(failure.CodeKeyWithdrawn, failure.Unknown, "the key was withdrawn during the request")

// activeRequests tracks the active requests of each key, so that they can be
// canceled.
type activeRequests struct {
	mutex   sync.Mutex
	lastID  uint64
	cancels map[string]map[uint64]context.CancelCauseFunc
}

func newActiveRequests() *activeRequests {
	return &activeRequests{cancels: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// add registers a request and returns the function that removes it.
func (a *activeRequests) add(keyID string, cancel context.CancelCauseFunc) (remove func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.lastID++
	id := a.lastID
	if a.cancels[keyID] == nil {
		a.cancels[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	a.cancels[keyID][id] = cancel
	return func() { a.remove(keyID, id) }
}

func (a *activeRequests) remove(keyID string, id uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.cancels[keyID], id)
	if len(a.cancels[keyID]) == 0 {
		delete(a.cancels, keyID)
	}
}

// cancelWithdrawn cancels the requests of keys that are not in the table.
func (a *activeRequests) cancelWithdrawn(current *table.Table) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for keyID, requests := range a.cancels {
		if _, exists := current.Key(keyID); exists {
			continue
		}
		for _, cancel := range requests {
			cancel(errKeyWithdrawn)
		}
	}
}

// keyWithdrawnCause returns the failure of a context that was canceled because
// the key was withdrawn, or nil.
func keyWithdrawnCause(ctx context.Context) error {
	if cause := asKeyWithdrawn(context.Cause(ctx)); cause != nil {
		return cause
	}
	return nil
}

// asKeyWithdrawn returns the failure in err if its code is keyWithdrawn, or nil.
func asKeyWithdrawn(err error) *failure.Error {
	var apiErr *failure.Error
	if errors.As(err, &apiErr) && apiErr.Code() == failure.CodeKeyWithdrawn {
		return apiErr
	}
	return nil
}
