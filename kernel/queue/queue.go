// Package queue schedules the calls that wait for one backend server.
//
// A model engine has no priorities and accepts every call it is sent, so calls
// are queued in front of it. The scheduling policies are plug-ins: "fair" divides
// the server among workspaces by weight and, within a workspace, prefers the
// program with the least attained service; "arrival" is first come, first served
// and serves as the baseline.
//
// # Usage
//
//	newQueue, err := queue.Policies.Find("fair")
//	q := newQueue(queue.Options{Capacity: 512, AgingTokensPerSecond: 200})
//	if refused, ok := q.Push(item); !ok { /* reject the refused call */ }
//	next, ok := q.Pop(now)
//	q.Charge(next.Workspace(), next.Weight(), actualTokens-next.Cost())
//
// A queue is not safe for concurrent use; its owner serializes the calls.
package queue

import (
	"time"

	"limpethall.dev/kernel/registry"
)

// Item is a queued call.
type Item struct {
	id              string
	workspace       string
	program         string
	weight          int64
	cost            int64
	attainedService int64
	enqueuedAt      time.Time
}

// NewItem returns an item. The cost is the estimated number of tokens of the
// call. The attained service is the number of tokens that all servers have
// processed for its program so far. A weight or cost below 1 counts as 1.
func NewItem(id, workspace, program string, weight, cost, attainedService int64, enqueuedAt time.Time) Item {
	return Item{id: id, workspace: workspace, program: program, weight: max(1, weight), cost: max(1, cost), attainedService: attainedService, enqueuedAt: enqueuedAt}
}

// ID returns the call's identifier.
func (i Item) ID() string { return i.id }

// Workspace returns the workspace that the call is charged to.
func (i Item) Workspace() string { return i.workspace }

// Program returns the program of the call.
func (i Item) Program() string { return i.program }

// Weight returns the weight of the workspace.
func (i Item) Weight() int64 { return i.weight }

// Cost returns the estimated number of tokens of the call.
func (i Item) Cost() int64 { return i.cost }

// EnqueuedAt returns the time from which the item has been waiting.
func (i Item) EnqueuedAt() time.Time { return i.enqueuedAt }

// Queue is a bounded queue of calls.
type Queue interface {
	// Push adds an item. If the queue is full, it returns false and the refused
	// item, which may be a queued item that was evicted instead.
	Push(item Item) (refused Item, ok bool)
	// Pop removes and returns the item to run next.
	Pop(now time.Time) (Item, bool)
	// Remove removes an item, for example after its call was canceled.
	Remove(id string) bool
	// Charge adjusts the tokens that a workspace was charged when its item was
	// popped. The tokens may be negative.
	Charge(workspace string, weight, tokens int64)
	// Len returns the number of queued items.
	Len() int
	// Cost returns the total cost of the queued items.
	Cost() int64
}

// Options configures a Queue.
type Options struct {
	// Capacity is the maximum number of queued items.
	Capacity int
	// AgingTokensPerSecond is the number of tokens of attained service that one
	// second of waiting offsets.
	AgingTokensPerSecond float64
}

// Constructor creates a Queue.
type Constructor func(options Options) Queue

// Policies is the registry of the scheduling policies.
var Policies = registry.New[Constructor]("queue policy")

func init() {
	Policies.Register("fair", func(options Options) Queue { return NewFair(options) })
	Policies.Register("arrival", func(options Options) Queue { return NewFIFO(options) })
}
