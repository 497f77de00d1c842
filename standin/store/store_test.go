package store_test

import (
	"testing"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/contract"
	"limpethall.dev/kernel/platform/httpjson"
	"limpethall.dev/standin/simnet"
	"limpethall.dev/standin/store"
)

// TestContract runs the test suite for store plug-ins against the httpjson plug-in and
// this server.
func TestContract(t *testing.T) {
	contract.Check(t, func(t *testing.T) (platform.Store, contract.FaultInjector) {
		simNetwork := simnet.New(time.Millisecond)
		server, err := store.New(simNetwork.Host("store"), "")
		if err != nil {
			t.Fatal(err)
		}
		server.Start()
		client, err := httpjson.New(platform.StoreOptions{Network: simNetwork.Host("client"), Addresses: []string{server.Address()}, Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			client.Close()
			server.Close()
			time.Sleep(5 * time.Minute) // Wait until the server's idle connections have timed out.
		})
		return client, server.Memory()
	})
}
