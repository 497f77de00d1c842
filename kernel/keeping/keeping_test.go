package keeping_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/keeping"
)

func keepers(zones, count int) []keeping.Keeper {
	all := make([]keeping.Keeper, 0, count)
	for index := range count {
		all = append(all, keeping.Keeper{Name: fmt.Sprintf("keeper-%d", index), Zone: fmt.Sprintf("zone-%d", index%zones)})
	}
	return all
}

// TestReplicas wants replicas that are distinct, in as many zones as there are,
// and the same for every order of the list.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tolerance := rapid.IntRange(0, 2).Draw(rt, "tolerance")
		zones := rapid.IntRange(1, 5).Draw(rt, "zones")
		count := rapid.IntRange(1, 12).Draw(rt, "keepers")
		key := rapid.String().Draw(rt, "key")
		rule := keeping.New(tolerance)
		all := keepers(zones, count)
		replicas := rule.Replicas(all, key)
		size := min(2*tolerance+1, count)
		if got := len(replicas); got != size {
			rt.Fatalf("replicas: got %d, want %d", got, size)
		}
		inZone, names := make(map[string]int), make(map[string]bool)
		for _, keeper := range replicas {
			inZone[keeper.Zone]++
			names[keeper.Name] = true
		}
		if got := len(names); got != size {
			rt.Errorf("distinct replicas: got %d, want %d", got, size)
		}
		if got, want := len(inZone), min(size, min(zones, count)); got != want {
			rt.Errorf("zones of the replicas: got %d, want %d", got, want)
		}
		other := rapid.Permutation(all).Draw(rt, "order")
		for index, keeper := range rule.Replicas(other, key) {
			if keeper != replicas[index] {
				rt.Errorf("replica %d by another order: got %s, want %s", index, keeper.Name, replicas[index].Name)
			}
		}
		if 2*rule.Quorum() <= len(replicas) {
			rt.Errorf("two quorums of %d in %d replicas need not meet", rule.Quorum(), len(replicas))
		}
	})
}

// TestListsAgeByRevision wants the list with the higher revision to be in force
// where two differ, through what is sent of them.
func TestListsAgeByRevision(t *testing.T) {
	one := keeping.NewList(5, []keeping.MemberDocument{{Name: "a", Zone: "z"}})
	two := keeping.NewList(9, []keeping.MemberDocument{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z", Leaving: true}})
	same := keeping.NewList(9, []keeping.MemberDocument{{Name: "a", Zone: "z"}})
	cases := []struct {
		name   string
		older  *keeping.List
		newer  *keeping.List
		wanted bool
	}{
		{"fewer members, lower revision", one, two, true},
		{"other members, higher revision", two, one, false},
		{"same members", one, same, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := keeping.ListFromWire(c.newer.Wire(true))
			if got := c.older.IsOlderThan(sent.Revision(), sent.Digest()); got != c.wanted {
				t.Errorf("older: got %t, want %t", got, c.wanted)
			}
		})
	}
	if got, want := len(two.Holding()), 1; got != want {
		t.Errorf("keepers that hold records: got %d, want %d", got, want)
	}
	if got, want := len(two.All()), 2; got != want {
		t.Errorf("all keepers: got %d, want %d", got, want)
	}
}
