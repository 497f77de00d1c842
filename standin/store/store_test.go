package store_test

import (
	"testing"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/contract"
	"limpethall.dev/kernel/platform/httpjson"
	"limpethall.dev/standin/network"
	"limpethall.dev/standin/store"
)

// TestContract checks the httpjson plug-in against the stand-in.
func TestContract(t *testing.T) {
	contract.Check(t, func(t *testing.T) (platform.Store, contract.Control) {
		wires := network.New(time.Millisecond)
		server, err := store.New(wires.Host("store"), "")
		if err != nil {
			t.Fatal(err)
		}
		server.Start()
		client, err := httpjson.New(platform.StoreOptions{Network: wires.Host("client"), Addresses: []string{server.Address()}, Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			client.Close()
			server.Close()
			time.Sleep(5 * time.Minute) // The server's idle connections run out.
		})
		return client, server.Memory()
	})
}
