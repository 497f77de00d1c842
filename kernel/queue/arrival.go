package queue

import (
	"slices"
	"time"
)

// Arrival is first come, first served: the baseline.
type Arrival struct {
	options Options
	items   []Item
	cost    int64
}

// NewArrival returns an empty queue.
func NewArrival(options Options) *Arrival {
	return &Arrival{options: options}
}

// Push implements Queue.
func (a *Arrival) Push(item Item) (Item, bool) {
	if len(a.items) >= a.options.Capacity {
		return item, false
	}
	a.items = append(a.items, item)
	a.cost += item.cost
	return Item{}, true
}

// Pop implements Queue.
func (a *Arrival) Pop(time.Time) (Item, bool) {
	if len(a.items) == 0 {
		return Item{}, false
	}
	item := a.items[0]
	a.items = a.items[1:]
	a.cost -= item.cost
	return item, true
}

// Remove implements Queue.
func (a *Arrival) Remove(id string) bool {
	index := slices.IndexFunc(a.items, func(item Item) bool { return item.id == id })
	if index < 0 {
		return false
	}
	a.cost -= a.items[index].cost
	a.items = slices.Delete(a.items, index, index+1)
	return true
}

// Charge implements Queue; arrival order charges nobody.
func (a *Arrival) Charge(string, int64, int64) {}

// Len implements Queue.
func (a *Arrival) Len() int { return len(a.items) }

// Cost implements Queue.
func (a *Arrival) Cost() int64 { return a.cost }
