package queue

import (
	"slices"
	"time"
)

// idleLines is how many workspaces without waiting items are remembered.
const idleLines = 4096

// Fair is weighted fair queueing over workspaces, and least service first
// with aging inside a workspace.
//
// Each workspace has a virtual time that advances by cost over weight when
// one of its items is taken. The workspace with the lowest virtual time is
// next. One that was idle starts at the virtual time of the last item taken:
// it neither saves up service nor owes any.
type Fair struct {
	options Options
	lines   map[string]*line
	virtual float64
	length  int
	cost    int64
}

type line struct {
	virtual float64
	items   []Item
}

// NewFair returns an empty queue.
func NewFair(options Options) *Fair {
	return &Fair{options: options, lines: make(map[string]*line)}
}

// Push implements Queue. In a full queue the newest item of the workspace that
// waits with the most for its weight makes room, so that one workspace can't
// keep the others out.
func (f *Fair) Push(item Item) (Item, bool) {
	if f.length < f.options.Capacity {
		f.append(item)
		return Item{}, true
	}
	longest, found := f.longest()
	own := f.line(item.workspace)
	if !found || crowd(len(own.items)+1, item.weight) >= crowd(len(longest.items), longest.weight()) {
		return item, false
	}
	last := len(longest.items) - 1
	refused := longest.items[last]
	f.take(longest, last)
	f.append(item)
	return refused, false
}

// crowd is how many items wait for each unit of weight.
func crowd(items int, weight int64) float64 {
	return float64(items) / float64(weight)
}

// longest returns the workspace that waits with the most for its weight.
func (f *Fair) longest() (*line, bool) {
	var longest *line
	for _, waiting := range f.lines {
		if len(waiting.items) == 0 {
			continue
		}
		if longest == nil || crowd(len(waiting.items), waiting.weight()) > crowd(len(longest.items), longest.weight()) {
			longest = waiting
		}
	}
	return longest, longest != nil
}

func (l *line) weight() int64 { return l.items[0].weight }

func (f *Fair) append(item Item) {
	waiting := f.line(item.workspace)
	if len(waiting.items) == 0 {
		waiting.virtual = max(waiting.virtual, f.virtual)
	}
	waiting.items = append(waiting.items, item)
	f.length++
	f.cost += item.cost
}

// Pop implements Queue.
func (f *Fair) Pop(now time.Time) (Item, bool) {
	waiting := f.next()
	if waiting == nil {
		return Item{}, false
	}
	index := f.pick(waiting.items, now)
	item := waiting.items[index]
	f.take(waiting, index)
	f.virtual = max(f.virtual, waiting.virtual)
	waiting.virtual += float64(item.cost) / float64(item.weight)
	return item, true
}

// Remove implements Queue.
func (f *Fair) Remove(id string) bool {
	for _, waiting := range f.lines {
		index := slices.IndexFunc(waiting.items, func(item Item) bool { return item.id == id })
		if index >= 0 {
			f.take(waiting, index)
			return true
		}
	}
	return false
}

// Charge implements Queue.
func (f *Fair) Charge(workspace string, weight, tokens int64) {
	if waiting, found := f.lines[workspace]; found {
		waiting.virtual += float64(tokens) / float64(max(1, weight))
	}
}

// Len implements Queue.
func (f *Fair) Len() int { return f.length }

// Cost implements Queue.
func (f *Fair) Cost() int64 { return f.cost }

func (f *Fair) line(workspace string) *line {
	if waiting, found := f.lines[workspace]; found {
		return waiting
	}
	if len(f.lines) >= idleLines {
		f.forget()
	}
	waiting := &line{virtual: f.virtual}
	f.lines[workspace] = waiting
	return waiting
}

// forget drops lines that are empty and behind: a new one would start at the
// same virtual time.
func (f *Fair) forget() {
	for workspace, waiting := range f.lines {
		if len(waiting.items) == 0 && waiting.virtual <= f.virtual {
			delete(f.lines, workspace)
		}
	}
}

func (f *Fair) next() *line {
	var best *line
	for _, waiting := range f.lines {
		if len(waiting.items) == 0 {
			continue
		}
		if best == nil || waiting.virtual < best.virtual || (waiting.virtual == best.virtual && waiting.items[0].since.Before(best.items[0].since)) {
			best = waiting
		}
	}
	return best
}

// pick returns the index of the item whose program has had the least service,
// less what its waiting time outweighs.
func (f *Fair) pick(items []Item, now time.Time) int {
	best := 0
	lowest := f.score(items[0], now)
	for index := 1; index < len(items); index++ {
		if score := f.score(items[index], now); score < lowest {
			best, lowest = index, score
		}
	}
	return best
}

func (f *Fair) score(item Item, now time.Time) float64 {
	return float64(item.service) - now.Sub(item.since).Seconds()*f.options.Aging
}

func (f *Fair) take(waiting *line, index int) {
	f.length--
	f.cost -= waiting.items[index].cost
	waiting.items = slices.Delete(waiting.items, index, index+1)
}
