// Package queue orders the calls that wait at one backend server.
//
// A model engine knows no priorities and takes what it is given, so waiting
// happens here. The policies are plug-ins: "fair" shares the server between
// workspaces by weight and prefers, inside a workspace, the program that has
// had the least service; "arrival" is first come, first served, the baseline.
//
// # Usage
//
//	construct, err := queue.Policies.Find("fair")
//	waiting := construct(queue.Options{Capacity: 512, Aging: 200})
//	if refused, ok := waiting.Push(item); !ok { /* tell refused: not run */ }
//	next, ok := waiting.Pop(now)
//	waiting.Charge(next.Workspace(), next.Weight(), actual-next.Cost())
//
// A queue is not safe for concurrent use; the gate that owns it serializes.
package queue

import (
	"time"

	"limpethall.dev/kernel/registry"
)

// Item is one waiting call.
type Item struct {
	id        string
	workspace string
	program   string
	weight    int64
	cost      int64
	service   int64
	since     time.Time
}

// NewItem returns an item. Cost is the estimated tokens of the call, service
// the tokens that its program has had so far on all servers.
func NewItem(id, workspace, program string, weight, cost, service int64, since time.Time) Item {
	return Item{id: id, workspace: workspace, program: program, weight: max(1, weight), cost: max(1, cost), service: service, since: since}
}

// ID returns the call's identifier.
func (i Item) ID() string { return i.id }

// Workspace returns the workspace that is charged.
func (i Item) Workspace() string { return i.workspace }

// Program returns the program of the call.
func (i Item) Program() string { return i.program }

// Weight returns the weight of the workspace.
func (i Item) Weight() int64 { return i.weight }

// Cost returns the estimated tokens.
func (i Item) Cost() int64 { return i.cost }

// Since returns when the item began to wait.
func (i Item) Since() time.Time { return i.since }

// Queue is a bounded waiting line.
type Queue interface {
	// Push appends the item. If there is no room, it returns the item that is
	// refused, which may be another one that waited, and false.
	Push(item Item) (refused Item, ok bool)
	// Pop removes the item to run next.
	Pop(now time.Time) (Item, bool)
	// Remove takes out an item that is no longer wanted.
	Remove(id string) bool
	// Charge corrects what a workspace was charged when its item was popped.
	Charge(workspace string, weight, tokens int64)
	// Len returns how many items wait.
	Len() int
	// Cost returns the tokens of all items that wait.
	Cost() int64
}

// Options are the settings of a queue.
type Options struct {
	// Capacity is the most items that wait.
	Capacity int
	// Aging is how many tokens of service a second of waiting outweighs.
	Aging float64
}

// Constructor builds a Queue.
type Constructor func(options Options) Queue

// Policies lists the queue policies.
var Policies = registry.New[Constructor]("queue policy")

func init() {
	Policies.Register("fair", func(options Options) Queue { return NewFair(options) })
	Policies.Register("arrival", func(options Options) Queue { return NewArrival(options) })
}
