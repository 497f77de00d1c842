package queue

import (
	"slices"
	"time"
)

// idleCleanupThreshold is the number of tracked workspaces from which on idle
// ones are dropped before another one is added.
const idleCleanupThreshold = 4096

// Fair implements weighted fair queueing among workspaces and, within a
// workspace, least attained service first with aging.
//
// Each workspace has a virtual time, which advances by cost/weight when one of
// its items is popped. The workspace with the lowest virtual time is served
// next. When an idle workspace becomes busy again, its virtual time is raised to
// that of the last popped item if it is lower: idle time earns no credit, while
// service beyond that point still counts.
type Fair struct {
	options     Options
	workspaces  map[string]*workspaceQueue
	virtualTime float64
	length      int
	cost        int64
}

// workspaceQueue holds the queued items of a workspace in order of arrival.
type workspaceQueue struct {
	virtualTime float64
	items       []Item
}

// NewFair returns an empty queue.
func NewFair(options Options) *Fair {
	return &Fair{options: options, workspaces: make(map[string]*workspaceQueue)}
}

// Push implements Queue. If the queue is full, it evicts the newest item of the
// workspace with the largest backlog per weight, so that one workspace can't
// lock out the others.
func (f *Fair) Push(item Item) (Item, bool) {
	if f.length < f.options.Capacity {
		f.append(item)
		return Item{}, true
	}
	largest, found := f.largestBacklog()
	ownQueue := f.queueFor(item.workspace)
	if !found || itemsPerWeight(len(ownQueue.items)+1, item.weight) >= itemsPerWeight(len(largest.items), largest.weight()) {
		return item, false
	}
	last := len(largest.items) - 1
	refused := largest.items[last]
	f.removeAt(largest, last)
	f.append(item)
	return refused, false
}

// itemsPerWeight is the size of a backlog relative to the workspace's weight.
func itemsPerWeight(items int, weight int64) float64 {
	return float64(items) / float64(weight)
}

// largestBacklog returns the workspace with the largest backlog per weight.
func (f *Fair) largestBacklog() (*workspaceQueue, bool) {
	var largest *workspaceQueue
	for _, candidate := range f.workspaces {
		if len(candidate.items) == 0 {
			continue
		}
		if largest == nil || itemsPerWeight(len(candidate.items), candidate.weight()) > itemsPerWeight(len(largest.items), largest.weight()) {
			largest = candidate
		}
	}
	return largest, largest != nil
}

func (w *workspaceQueue) weight() int64 { return w.items[0].weight }

func (f *Fair) append(item Item) {
	queue := f.queueFor(item.workspace)
	if len(queue.items) == 0 {
		queue.virtualTime = max(queue.virtualTime, f.virtualTime)
	}
	queue.items = append(queue.items, item)
	f.length++
	f.cost += item.cost
}

// Pop implements Queue.
func (f *Fair) Pop(now time.Time) (Item, bool) {
	queue := f.nextWorkspace()
	if queue == nil {
		return Item{}, false
	}
	index := f.selectItem(queue.items, now)
	item := queue.items[index]
	f.removeAt(queue, index)
	f.virtualTime = max(f.virtualTime, queue.virtualTime)
	queue.virtualTime += float64(item.cost) / float64(item.weight)
	return item, true
}

// Remove implements Queue.
func (f *Fair) Remove(id string) bool {
	for _, queue := range f.workspaces {
		index := slices.IndexFunc(queue.items, func(item Item) bool { return item.id == id })
		if index >= 0 {
			f.removeAt(queue, index)
			return true
		}
	}
	return false
}

// Charge implements Queue.
func (f *Fair) Charge(workspace string, weight, tokens int64) {
	if queue, found := f.workspaces[workspace]; found {
		queue.virtualTime += float64(tokens) / float64(max(1, weight))
	}
}

// Len implements Queue.
func (f *Fair) Len() int { return f.length }

// Cost implements Queue.
func (f *Fair) Cost() int64 { return f.cost }

func (f *Fair) queueFor(workspace string) *workspaceQueue {
	if queue, found := f.workspaces[workspace]; found {
		return queue
	}
	if len(f.workspaces) >= idleCleanupThreshold {
		f.dropIdle()
	}
	queue := &workspaceQueue{virtualTime: f.virtualTime}
	f.workspaces[workspace] = queue
	return queue
}

// dropIdle removes the workspaces that have no queued items and whose virtual
// time is not ahead of the queue's: they would start at the queue's virtual time
// in any case.
func (f *Fair) dropIdle() {
	for workspace, idle := range f.workspaces {
		if len(idle.items) == 0 && idle.virtualTime <= f.virtualTime {
			delete(f.workspaces, workspace)
		}
	}
}

func (f *Fair) nextWorkspace() *workspaceQueue {
	var best *workspaceQueue
	for _, candidate := range f.workspaces {
		if len(candidate.items) == 0 {
			continue
		}
		if best == nil || candidate.virtualTime < best.virtualTime || (candidate.virtualTime == best.virtualTime && candidate.items[0].enqueuedAt.Before(best.items[0].enqueuedAt)) {
			best = candidate
		}
	}
	return best
}

// selectItem returns the index of the item with the lowest score: the attained
// service of its program, reduced by Options.AgingTokensPerSecond for each second
// of waiting.
func (f *Fair) selectItem(items []Item, now time.Time) int {
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
	return float64(item.attainedService) - now.Sub(item.enqueuedAt).Seconds()*f.options.AgingTokensPerSecond
}

func (f *Fair) removeAt(queue *workspaceQueue, index int) {
	f.length--
	f.cost -= queue.items[index].cost
	queue.items = slices.Delete(queue.items, index, index+1)
}
