package entry

import (
	"context"
	"errors"
	"sync"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/table"
)

// errWithdrawn ends the requests of a key that was withdrawn.
var errWithdrawn = failure.New(failure.CodeWithdrawn, failure.Unknown, "the key was withdrawn while the request ran")

// openRequests knows the requests that run under each key.
type openRequests struct {
	mutex sync.Mutex
	next  uint64
	byKey map[string]map[uint64]context.CancelCauseFunc
}

func newOpenRequests() *openRequests {
	return &openRequests{byKey: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// add notes a request and returns the function that forgets it.
func (o *openRequests) add(keyID string, cancel context.CancelCauseFunc) (forget func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.next++
	number := o.next
	if o.byKey[keyID] == nil {
		o.byKey[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	o.byKey[keyID][number] = cancel
	return func() { o.forget(keyID, number) }
}

func (o *openRequests) forget(keyID string, number uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.byKey[keyID], number)
	if len(o.byKey[keyID]) == 0 {
		delete(o.byKey, keyID)
	}
}

// endWithdrawn ends the requests of keys that the table no longer has.
func (o *openRequests) endWithdrawn(accepted *table.Table) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for keyID, running := range o.byKey {
		if _, kept := accepted.Key(keyID); kept {
			continue
		}
		for _, cancel := range running {
			cancel(errWithdrawn)
		}
	}
}

// withdrawal returns the failure of a request whose key was withdrawn.
func withdrawal(ctx context.Context) error {
	if cause := withdrawalOf(context.Cause(ctx)); cause != nil {
		return cause
	}
	return nil
}

func withdrawalOf(err error) *failure.Error {
	var known *failure.Error
	if errors.As(err, &known) && known.Code() == failure.CodeWithdrawn {
		return known
	}
	return nil
}
