package replication_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/replication"
)

func newList(zones, count int, without string) *replication.MemberList {
	var documents []replication.MemberDocument
	for _, keeper := range newKeepers(zones, count) {
		if keeper.Name != without {
			documents = append(documents, replication.MemberDocument{Name: keeper.Name, Zone: keeper.Zone, Address: keeper.Name + ":7000"})
		}
	}
	return replication.NewMemberList(1, documents)
}

// TestChangeOfListAtScale removes one member of 5, 40 and 510, and adds it again. Only
// groups of that member may be assigned anew, so that the calls of all members to copy
// them, divided by the members, stay below a bound that does not grow with the members.
func TestChangeOfListAtScale(t *testing.T) {
	const (
		replicas = 5
		// A change assigns replicas*GroupCount/n groups to at most as many members, and each
		// of these calls n others. That is at most n-1 calls a member for few members and
		// replicas*GroupCount/n for many; both are below the root of replicas*GroupCount,
		// but for the uneven size of parts, which is at most twice the mean.
		maxCallsPerMember = 2 * 72
	)
	rule := replication.NewRule(replicas / 2)
	for _, count := range []int{5, 40, 510} {
		t.Run(fmt.Sprintf("%d members", count), func(t *testing.T) {
			const changed = "keeper-3"
			full, reduced := newList(6, count, ""), newList(6, count, changed)
			held := len(full.Assigned(rule, changed, nil))
			for _, test := range []struct {
				name          string
				before, after *replication.MemberList
			}{{"removed", full, reduced}, {"added", reduced, full}} {
				calls, assigned := 0, 0
				for _, member := range test.after.All() {
					groups := len(test.after.Assigned(rule, member.Name, test.before))
					assigned += groups
					if groups > 0 {
						calls += count - 1
					}
				}
				if assigned > held {
					t.Errorf("%s: groups assigned anew: got %d, want at most the %d of %s", test.name, assigned, held, changed)
				}
				if got := calls / count; got > maxCallsPerMember {
					t.Errorf("%s: calls a member: got %d, want at most %d", test.name, got, maxCallsPerMember)
				}
			}
		})
	}
}

// TestUpdateKeepsMemberRemoved guards against a keeper that counts as complete although it
// was off the list for a moment: it comes back with another address just as it is removed.
func TestUpdateKeepsMemberRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		store := memory.New(time.Now)
		membership := replication.NewMembership(store, zap.NewNop())
		go func() { _ = membership.Follow(ctx) }()
		member := replication.MemberDocument{Name: "keeper-1", Zone: "a", Address: "10.0.0.1:7780"}
		if err := membership.Put(ctx, member); err != nil {
			t.Fatalf("put: %v", err)
		}
		time.Sleep(time.Second)
		member.Address = "10.0.0.1:7781"
		if err := membership.Update(ctx, member); err != nil {
			t.Errorf("update of a listed member: got %v, want no error", err)
		}
		time.Sleep(time.Second)
		if got := membership.List().All(); len(got) != 1 || got[0].Address != member.Address {
			t.Errorf("list after the update: got %v, want %s", got, member.Address)
		}
		other := replication.NewMembership(store, zap.NewNop())
		otherCtx, stopFollowing := context.WithCancel(ctx)
		go func() { _ = other.Follow(otherCtx) }()
		time.Sleep(time.Second)
		stopFollowing() // From here on, its list is old.
		if err := membership.Remove(ctx, member.Name); err != nil {
			t.Fatalf("remove: %v", err)
		}
		member.Address = "10.0.0.1:7782"
		if err := other.Update(ctx, member); err == nil {
			t.Error("update of a member that was removed: got no error, want one")
		}
		time.Sleep(time.Second)
		if got := membership.List().All(); len(got) != 0 {
			t.Errorf("list after the update of a removed member: got %v, want none", got)
		}
	})
}
