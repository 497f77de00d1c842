package queue

import (
	"slices"
	"time"
)

// FIFO is a first come, first served queue, the baseline policy.
type FIFO struct {
	options Options
	items   []Item
	cost    int64
}

// NewFIFO returns an empty queue.
func NewFIFO(options Options) *FIFO {
	return &FIFO{options: options}
}

// Push implements Queue.
func (f *FIFO) Push(item Item) (Item, bool) {
	if len(f.items) >= f.options.Capacity {
		return item, false
	}
	f.items = append(f.items, item)
	f.cost += item.cost
	return Item{}, true
}

// Pop implements Queue.
func (f *FIFO) Pop(time.Time) (Item, bool) {
	if len(f.items) == 0 {
		return Item{}, false
	}
	item := f.items[0]
	f.items = f.items[1:]
	f.cost -= item.cost
	return item, true
}

// Remove implements Queue.
func (f *FIFO) Remove(id string) bool {
	index := slices.IndexFunc(f.items, func(item Item) bool { return item.id == id })
	if index < 0 {
		return false
	}
	f.cost -= f.items[index].cost
	f.items = slices.Delete(f.items, index, index+1)
	return true
}

// Charge implements Queue. It does nothing, because the order of a FIFO does not
// depend on the tokens used.
func (f *FIFO) Charge(string, int64, int64) {}

// Len implements Queue.
func (f *FIFO) Len() int { return len(f.items) }

// Cost implements Queue.
func (f *FIFO) Cost() int64 { return f.cost }
