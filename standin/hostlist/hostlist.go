// Package hostlist is the stand-in for the platform's list of hosts, which
// lags behind the truth.
//
// # Usage
//
//	list, err := hostlist.New(network.TCP{}, "127.0.0.1:0", time.Second)
//	list.Start()
//	list.Set(platform.Host{Name: "server-1", Zone: "a", State: platform.HostLeaving})
package hostlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
)

// List serves GET /v1/hosts.
type List struct {
	listener *listener.Listener
	lag      time.Duration

	mutex sync.Mutex
	hosts map[string]change
}

type change struct {
	host platform.Host
	at   time.Time
}

// New opens the port; changes show after the lag.
func New(own network.Network, address string, lag time.Duration) (*List, error) {
	open, err := listener.New(listener.Options{Network: own, Address: address})
	if err != nil {
		return nil, err
	}
	l := &List{listener: open, lag: lag, hosts: make(map[string]change)}
	open.Router().GET("/v1/hosts", l.serve)
	return l, nil
}

// Address returns host and port.
func (l *List) Address() string { return l.listener.Address() }

// Start serves in the background.
func (l *List) Start() { l.listener.Start() }

// Close stops serving.
func (l *List) Close() { _ = l.listener.Close() }

// Set changes one host.
func (l *List) Set(host platform.Host) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hosts[host.Name] = change{host: host, at: time.Now()}
}

func (l *List) serve(_ context.Context, c *app.RequestContext) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	hosts := []platform.Host{}
	for _, known := range l.hosts {
		if time.Since(known.at) >= l.lag {
			hosts = append(hosts, known.host)
		}
	}
	c.JSON(http.StatusOK, hosts)
}
