package hostlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/kernel/platform"
	_ "limpethall.dev/kernel/platform/httpjson"
	"limpethall.dev/standin/hostlist"
	"limpethall.dev/standin/network"
)

// TestContract holds every host list plug-in to what halls need.
func TestContract(t *testing.T) {
	for _, name := range platform.HostLists.Names() {
		construct, err := platform.HostLists.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wires := network.New(time.Millisecond)
				list, err := hostlist.New(wires.Host("hostlist"), "", time.Second)
				if err != nil {
					t.Fatal(err)
				}
				list.Start()
				client, err := construct(wires.Host("hall"), list.Address())
				if err != nil {
					t.Fatal(err)
				}
				leaving := platform.Host{Name: "server-1", Zone: "a", State: platform.HostLeaving}
				list.Set(leaving)
				if hosts, err := client.Hosts(t.Context()); err != nil || len(hosts) != 0 {
					t.Errorf("before the lag: got %v, %v, want none", hosts, err)
				}
				time.Sleep(time.Second)
				if hosts, err := client.Hosts(t.Context()); err != nil || len(hosts) != 1 || hosts[0] != leaving {
					t.Errorf("after the lag: got %v, %v, want %v", hosts, err, leaving)
				}
				wires.Cut("hall", "hostlist")
				if _, err := client.Hosts(t.Context()); err == nil {
					t.Errorf("list that can't be reached: got no error, want one")
				}
				list.Close()
				time.Sleep(5 * time.Minute)
			})
		})
	}
}
