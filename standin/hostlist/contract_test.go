package hostlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/kernel/platform"
	_ "limpethall.dev/kernel/platform/httpjson"
	"limpethall.dev/standin/hostlist"
	"limpethall.dev/standin/simnet"
)

// TestContract checks that every host list plug-in returns the hosts that the server
// lists, does not show a change before the delay and reports an error if the server is
// unreachable.
func TestContract(t *testing.T) {
	for _, name := range platform.HostLists.Names() {
		newClient, err := platform.HostLists.Find(name)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simNetwork := simnet.New(time.Millisecond)
				server, err := hostlist.New(simNetwork.Host("hostlist"), "", time.Second)
				if err != nil {
					t.Fatal(err)
				}
				server.Start()
				client, err := newClient(simNetwork.Host("hall"), server.Address())
				if err != nil {
					t.Fatal(err)
				}
				want := platform.Host{Name: "server-1", Zone: "a", State: platform.HostLeaving}
				server.Set(want)
				if hosts, err := client.Hosts(t.Context()); err != nil || len(hosts) != 0 {
					t.Errorf("before the delay: got %v, %v, want none", hosts, err)
				}
				time.Sleep(time.Second)
				if hosts, err := client.Hosts(t.Context()); err != nil || len(hosts) != 1 || hosts[0] != want {
					t.Errorf("after the delay: got %v, %v, want %v", hosts, err, want)
				}
				simNetwork.Cut("hall", "hostlist")
				if _, err := client.Hosts(t.Context()); err == nil {
					t.Errorf("unreachable list: got no error, want one")
				}
				server.Close()
				time.Sleep(5 * time.Minute)
			})
		})
	}
}
