package buffer

import (
	"context"
	"errors"
	"io"
	"sync"
)

// Priority is the part of a budget that an account may use.
type Priority int

const (
	// PriorityNew is for work that nobody has begun. It leaves a part of the budget to work
	// under way.
	PriorityNew Priority = iota
	// PriorityRunning is for a step of work that has begun earlier, which would be lost if the
	// step was refused.
	PriorityRunning
	// PriorityStarted is for a step that runs already.
	PriorityStarted
	// PriorityFinished is for the result of a step that has run. Also a large one leaves nothing.
	PriorityFinished
)

// reserve returns what accounts of the priority leave of a budget.
func (p Priority) reserve(limit int64) int64 {
	switch p {
	case PriorityNew:
		return limit / newReserveParts
	case PriorityRunning:
		return limit / runningReserveParts
	default:
		return 0
	}
}

// Account is the memory of a budget that one request or call keeps, until all its holders
// have released it. A nil account takes memory of no budget. It is safe for concurrent use.
type Account struct {
	budget   *Budget
	mutex    sync.Mutex
	priority Priority
	taken    int64
	holders  int
}

// Open returns an account with one holder.
func (b *Budget) Open(priority Priority) *Account {
	return &Account{budget: b, priority: priority, holders: 1}
}

// SetPriority changes the priority for what is taken from now on.
func (a *Account) SetPriority(priority Priority) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.priority = priority
}

// Taken returns the memory that the account keeps.
func (a *Account) Taken() int64 {
	if a == nil {
		return 0
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.taken
}

// Take takes memory, or returns a *FullError at once if the budget has none left for the
// account's priority.
func (a *Account) Take(size int64) error {
	if a == nil {
		return nil
	}
	err := a.take(size, false)
	a.countRefusal(err)
	return err
}

// Check returns a *FullError if Take would refuse memory now. It takes none.
func (a *Account) Check(size int64) error {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	err := a.budget.available(a.budget.Used(), size, a.reserve(false))
	if err != nil {
		a.budget.refused.Add(1)
	}
	return err
}

// Return returns a part of the memory before the last holder releases the account.
func (a *Account) Return(size int64) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	size = min(size, a.taken)
	a.taken -= size
	a.budget.used.Add(-size)
}

// Hold adds a holder, such as a call that may outlast the request. It must be called by one
// that has not released the account.
func (a *Account) Hold() {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.holders++
}

// Release ends one holder's use of the account. The last one returns all memory.
func (a *Account) Release() {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.holders--
	if a.holders == 0 {
		a.budget.used.Add(-a.taken)
		a.taken = 0
	}
}

// Read reads a body of the announced length, which is negative if unknown, and of at most
// maxBytes. It never waits for memory. The memory of a body that can't be read is returned.
func (a *Account) Read(reader io.Reader, announced, maxBytes int64) ([]byte, error) {
	if announced > maxBytes {
		return nil, &TooLargeError{limit: maxBytes}
	}
	if announced == 0 {
		return nil, nil
	}
	b := &body{account: a}
	if err := b.read(reader, announced, maxBytes); err != nil {
		a.Return(b.taken)
		a.countRefusal(err)
		return nil, err
	}
	return b.data, nil
}

func (a *Account) take(size int64, large bool) error {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err := a.budget.take(size, a.reserve(large)); err != nil {
		return err
	}
	a.taken += size
	return nil
}

// available returns a *FullError if the budget has no memory for a large body.
func (a *Account) available(size int64) error {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	used, reserve := a.budget.Used(), a.reserve(true)
	err := a.budget.available(used, size, reserve)
	if err != nil && a.budget.reclaim(used+size-(a.budget.limit-reserve)) {
		err = a.budget.available(a.budget.Used(), size, reserve)
	}
	return err
}

// reserve returns what the account leaves of its budget. The caller holds the mutex.
func (a *Account) reserve(large bool) int64 {
	reserve := a.priority.reserve(a.budget.limit)
	if large && a.priority != PriorityFinished {
		reserve += a.budget.limit / largeReserveParts
	}
	return reserve
}

func (a *Account) countRefusal(err error) {
	var full *FullError
	if errors.As(err, &full) {
		a.budget.refused.Add(1)
	}
}

type contextKey struct{}

// NewContext returns a context whose calls keep their memory in the account.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, account)
}

// FromContext returns the account of a context, nil if it has none.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(contextKey{}).(*Account)
	return account
}
