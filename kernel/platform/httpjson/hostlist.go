package httpjson

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
)

func init() {
	platform.HostLists.Register("httpjson", func(dialer network.Network, address string) (platform.HostList, error) {
		return NewHostList(dialer, address), nil
	})
}

// HostList is a client that reads the hosts as a JSON array from GET /v1/hosts.
type HostList struct {
	url    string
	client *http.Client
}

// NewHostList returns a client for an address (host and port).
func NewHostList(dialer network.Network, address string) *HostList {
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &HostList{url: "http://" + address + "/v1/hosts", client: &http.Client{Transport: transport}}
}

// Hosts implements platform.HostList.
func (h *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host list responded with status %d", response.StatusCode)
	}
	var hosts []platform.Host
	return hosts, json.NewDecoder(response.Body).Decode(&hosts)
}
