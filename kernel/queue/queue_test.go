package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/queue"
)

var baseTime = time.Unix(1000, 0)

func newItem(id, workspace, program string, weight, cost, attainedService int64, enqueuedAfterSeconds int) queue.Item {
	return queue.NewItem(id, workspace, program, weight, cost, attainedService, baseTime.Add(time.Duration(enqueuedAfterSeconds)*time.Second))
}

// TestPolicyInvariants checks for every policy that the queue respects its
// capacity, returns only queued items and reports their number and cost.
func TestPolicyInvariants(t *testing.T) {
	for _, name := range queue.Policies.Names() {
		newQueue, err := queue.Policies.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(rt *rapid.T) {
			capacity := rapid.IntRange(1, 20).Draw(rt, "capacity")
			underTest := newQueue(queue.Options{Capacity: capacity, AgingTokensPerSecond: 10})
			queuedCosts := make(map[string]int64)
			lastID := 0
			rt.Repeat(map[string]func(*rapid.T){
				"push": func(rt *rapid.T) {
					lastID++
					id := fmt.Sprint(lastID)
					cost := rapid.Int64Range(1, 100).Draw(rt, "cost")
					workspace := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "workspace"))
					refused, pushed := underTest.Push(newItem(id, workspace, "p", rapid.Int64Range(0, 5).Draw(rt, "weight"), cost, 0, lastID))
					if want := len(queuedCosts) < capacity; pushed != want {
						rt.Fatalf("%s: push with %d of %d items queued: got %v, want %v", name, len(queuedCosts), capacity, pushed, want)
					}
					queuedCosts[id] = cost
					if _, queued := queuedCosts[refused.ID()]; !pushed && !queued {
						rt.Fatalf("%s: refused %s, which is not queued", name, refused.ID())
					}
					delete(queuedCosts, refused.ID())
				},
				"pop": func(rt *rapid.T) {
					popped, found := underTest.Pop(baseTime)
					if found != (len(queuedCosts) > 0) {
						rt.Fatalf("%s: pop with %d items queued: got %v", name, len(queuedCosts), found)
					}
					if _, queued := queuedCosts[popped.ID()]; found && !queued {
						rt.Fatalf("%s: popped %s, which is not queued", name, popped.ID())
					}
					delete(queuedCosts, popped.ID())
				},
				"remove": func(rt *rapid.T) {
					id := fmt.Sprint(rapid.IntRange(0, lastID).Draw(rt, "id"))
					_, queued := queuedCosts[id]
					if got := underTest.Remove(id); got != queued {
						rt.Fatalf("%s: remove %s: got %v, want %v", name, id, got, queued)
					}
					delete(queuedCosts, id)
				},
				"charge": func(rt *rapid.T) {
					underTest.Charge(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "workspace")), 1, rapid.Int64Range(-100, 100).Draw(rt, "tokens"))
				},
				"": func(rt *rapid.T) {
					cost := int64(0)
					for _, itemCost := range queuedCosts {
						cost += itemCost
					}
					if underTest.Len() != len(queuedCosts) || underTest.Cost() != cost {
						rt.Fatalf("%s: got length %d and cost %d, want %d and %d", name, underTest.Len(), underTest.Cost(), len(queuedCosts), cost)
					}
				},
			})
		})
	}
}

// TestFairServesInProportionToWeight checks that workspaces that always have
// queued items are served in proportion to their weights.
func TestFairServesInProportionToWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fair := queue.NewFair(queue.Options{Capacity: 1000, AgingTokensPerSecond: 10})
		workspaces := rapid.IntRange(2, 5).Draw(rt, "workspaces")
		weights := make([]int64, workspaces)
		served := make([]float64, workspaces)
		lastID := 0
		push := func(workspace int) {
			lastID++
			cost := rapid.Int64Range(1, 50).Draw(rt, "cost")
			fair.Push(newItem(fmt.Sprint(lastID), fmt.Sprint(workspace), "p", weights[workspace], cost, 0, 0))
		}
		for workspace := range weights {
			weights[workspace] = rapid.Int64Range(1, 4).Draw(rt, "weight")
			push(workspace)
			push(workspace)
		}
		for range 400 {
			popped, _ := fair.Pop(baseTime)
			var workspace int
			_, _ = fmt.Sscan(popped.Workspace(), &workspace)
			served[workspace] += float64(popped.Cost()) / float64(weights[workspace])
			push(workspace)
		}
		for first := range served {
			for second := range served {
				if difference := served[first] - served[second]; difference > 100+epsilon {
					rt.Fatalf("service per weight differs by %.1f, want at most 100, the cost of two items: %v", difference, served)
				}
			}
		}
	})
}

const epsilon = 1e-9

func TestFullFairQueueEvictsLargestBacklog(t *testing.T) {
	fair := queue.NewFair(queue.Options{Capacity: 10})
	for index := range 10 {
		fair.Push(newItem(fmt.Sprint("noisy-", index), "noisy", "p", 1, 1, 0, 0))
	}
	if refused, ok := fair.Push(newItem("noisy-more", "noisy", "p", 1, 1, 0, 0)); ok || refused.ID() != "noisy-more" {
		t.Errorf("item of the workspace that fills the queue: got %q refused, want noisy-more", refused.ID())
	}
	for index := range 5 {
		want := fmt.Sprint("noisy-", 9-index)
		if refused, ok := fair.Push(newItem(fmt.Sprint("quiet-", index), "quiet", "p", 1, 1, 0, 0)); ok || refused.ID() != want {
			t.Errorf("quiet item %d: got %q refused, want %s", index, refused.ID(), want)
		}
	}
	if refused, _ := fair.Push(newItem("quiet-5", "quiet", "p", 1, 1, 0, 0)); refused.ID() != "quiet-5" {
		t.Errorf("item beyond an equal share of the queue: got %q refused, want quiet-5", refused.ID())
	}
}

func TestFairOrderWithinWorkspace(t *testing.T) {
	cases := []struct {
		name           string
		items          []queue.Item
		secondsElapsed int
		want           string
	}{
		{"least attained service first", []queue.Item{newItem("long", "w", "a", 1, 1, 5000, 0), newItem("short", "w", "b", 1, 1, 10, 1)}, 1, "short"},
		{"aging offsets attained service", []queue.Item{newItem("long", "w", "a", 1, 1, 5000, 0), newItem("short", "w", "b", 1, 1, 10, 60)}, 60, "long"},
		{"equal attained service in order of arrival", []queue.Item{newItem("first", "w", "a", 1, 1, 10, 0), newItem("second", "w", "b", 1, 1, 10, 1)}, 2, "first"},
	}
	for _, c := range cases {
		fair := queue.NewFair(queue.Options{Capacity: 10, AgingTokensPerSecond: 200})
		for _, queued := range c.items {
			fair.Push(queued)
		}
		popped, _ := fair.Pop(baseTime.Add(time.Duration(c.secondsElapsed) * time.Second))
		if got := popped.ID(); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestIdleWorkspaceAccruesNoCredit(t *testing.T) {
	fair := queue.NewFair(queue.Options{Capacity: 1000})
	for index := range 100 {
		fair.Push(newItem(fmt.Sprint("busy", index), "busy", "p", 1, 10, 0, 0))
	}
	for range 50 {
		fair.Pop(baseTime)
	}
	for index := range 50 {
		fair.Push(newItem(fmt.Sprint("late", index), "late", "p", 1, 10, 0, 0))
	}
	lateServed := 0
	for range 20 {
		if popped, _ := fair.Pop(baseTime); popped.Workspace() == "late" {
			lateServed++
		}
	}
	if got, limit := lateServed, 11; got > limit {
		t.Errorf("items of the late workspace among 20 served: got %d, want at most %d", got, limit)
	}
}
