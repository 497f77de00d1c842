package platform

import (
	"context"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/registry"
)

// HostState is the state of a host as the platform reports it.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// HostList reads the platform's list of hosts, which is eventually consistent.
type HostList interface {
	// Hosts returns all hosts on the platform's current list.
	Hosts(ctx context.Context) ([]Host, error)
}

// HostListConstructor creates a HostList that reads from an address.
type HostListConstructor func(dialer network.Network, address string) (HostList, error)

// HostLists is the registry of HostList plug-ins.
var HostLists = registry.New[HostListConstructor]("host list")
