package platform

import (
	"context"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/registry"
)

// HostState tells whether the platform keeps a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's host list.
type Host struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// HostList reads the platform's list of hosts, which lags behind the truth.
type HostList interface {
	// Hosts returns all hosts that the platform knows now.
	Hosts(ctx context.Context) ([]Host, error)
}

// HostListConstructor builds a HostList for an address.
type HostListConstructor func(own network.Network, address string) (HostList, error)

// HostLists lists the HostList plug-ins.
var HostLists = registry.New[HostListConstructor]("host list")
