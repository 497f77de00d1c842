// Package store simulates the platform's key-value service. It serves an in-memory
// store over the httpjson protocol.
//
// # Usage
//
//	server, err := store.New(network.TCP{}, "127.0.0.1:0")
//	server.Start()
//	server.Memory().SetFaults(memory.Faults{Down: true})
package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/platform/httpjson"
	"limpethall.dev/kernel/platform/memory"
)

const leaseExpiryInterval = 100 * time.Millisecond

// Server serves a store on one port. PUT /faults sets the simulated faults, see
// memory.Faults.
type Server struct {
	memory   *memory.Store
	listener *listener.Listener
	closed   chan struct{}
}

// New opens the port. Requests are served once Start has been called; port zero selects
// a free port.
func New(transport network.Network, address string) (*Server, error) {
	httpListener, err := listener.New(listener.Options{Network: transport, Address: address})
	if err != nil {
		return nil, err
	}
	s := &Server{memory: memory.New(time.Now), listener: httpListener, closed: make(chan struct{})}
	router := httpListener.Router()
	router.GET("/v1/keys", s.listKeys)
	router.GET("/v1/keys/:key", s.getKey)
	router.PUT("/v1/keys/:key", s.putKey)
	router.DELETE("/v1/keys/:key", s.deleteKey)
	router.POST("/v1/leases", s.grantLease)
	router.POST("/v1/leases/:id/keepalive", s.keepLeaseAlive)
	router.DELETE("/v1/leases/:id", s.revokeLease)
	router.GET("/v1/watch", s.watch)
	router.PUT("/faults", s.setFaults)
	return s, nil
}

// Address returns the listen address as host and port.
func (s *Server) Address() string { return s.listener.Address() }

// Memory returns the underlying store, for setting faults and counting calls.
func (s *Server) Memory() *memory.Store { return s.memory }

// Start accepts requests and expires leases in the background.
func (s *Server) Start() {
	s.listener.Start()
	go s.expireLeases()
}

// Close stops the server. It must be called only once.
func (s *Server) Close() {
	close(s.closed)
	_ = s.listener.Close()
}

// expireLeases expires leases at a fixed interval until the server is closed.
func (s *Server) expireLeases() {
	ticker := time.NewTicker(leaseExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
			s.memory.ExpireLeases()
		}
	}
}

func (s *Server) listKeys(ctx context.Context, c *app.RequestContext) {
	listing, err := s.memory.List(ctx, c.Query("prefix"))
	if writeError(c, err) {
		return
	}
	response := httpjson.ListDocument{Revision: listing.Revision, Entries: []httpjson.EntryDocument{}}
	for _, entry := range listing.Entries {
		response.Entries = append(response.Entries, entryDocument(entry))
	}
	c.JSON(http.StatusOK, response)
}

func (s *Server) getKey(ctx context.Context, c *app.RequestContext) {
	entry, err := s.memory.Get(ctx, requestKey(c))
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, entryDocument(entry))
}

func (s *Server) putKey(ctx context.Context, c *app.RequestContext) {
	var body httpjson.PutDocument
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	entry, err := s.memory.CompareAndSwap(ctx, requestKey(c), body.Value, body.Version, platform.LeaseID(body.Lease))
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, entryDocument(entry))
}

func (s *Server) deleteKey(ctx context.Context, c *app.RequestContext) {
	version, err := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !writeError(c, s.memory.Delete(ctx, requestKey(c), version)) {
		c.Status(http.StatusOK)
	}
}

func (s *Server) grantLease(ctx context.Context, c *app.RequestContext) {
	var body httpjson.LeaseDocument
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	id, err := s.memory.Grant(ctx, time.Duration(body.Milliseconds)*time.Millisecond)
	if writeError(c, err) {
		return
	}
	c.JSON(http.StatusOK, httpjson.LeaseDocument{ID: uint64(id), Milliseconds: body.Milliseconds})
}

func (s *Server) keepLeaseAlive(ctx context.Context, c *app.RequestContext) {
	if !writeError(c, s.memory.KeepAlive(ctx, requestLease(c))) {
		c.Status(http.StatusOK)
	}
}

func (s *Server) revokeLease(ctx context.Context, c *app.RequestContext) {
	if !writeError(c, s.memory.Revoke(ctx, requestLease(c))) {
		c.Status(http.StatusOK)
	}
}

func (s *Server) watch(ctx context.Context, c *app.RequestContext) {
	after, err := strconv.ParseUint(c.Query("after"), 10, 64)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	changes, err := s.memory.Watch(ctx, c.Query("prefix"), after)
	if writeError(c, err) {
		return
	}
	response := httpjson.ListDocument{Revision: changes.Revision, Entries: []httpjson.EntryDocument{}}
	for _, event := range changes.Events {
		document := entryDocument(event.Entry)
		document.Deleted = event.Deleted
		response.Entries = append(response.Entries, document)
	}
	c.JSON(http.StatusOK, response)
}

func (s *Server) setFaults(_ context.Context, c *app.RequestContext) {
	var faults memory.Faults
	if err := json.Unmarshal(c.Request.Body(), &faults); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	s.memory.SetFaults(faults)
	c.Status(http.StatusOK)
}

// writeError sets the status code for an error of the store. It returns false if err is
// nil.
func writeError(c *app.RequestContext, err error) bool {
	var notFound *platform.NotFoundError
	var conflict *platform.ConflictError
	var leaseLost *platform.LeaseLostError
	var gap *platform.GapError
	switch {
	case err == nil:
		return false
	case errors.As(err, &notFound):
		c.Status(http.StatusNotFound)
	case errors.As(err, &conflict):
		c.Status(http.StatusConflict)
	case errors.As(err, &leaseLost):
		c.Status(http.StatusGone)
	case errors.As(err, &gap):
		c.Status(http.StatusRequestedRangeNotSatisfiable)
	default:
		c.Status(http.StatusServiceUnavailable)
	}
	return true
}

func entryDocument(entry platform.Entry) httpjson.EntryDocument {
	return httpjson.EntryDocument{Key: entry.Key, Value: entry.Value, Version: entry.Version}
}

// requestKey returns the key in the path of a request, in which slashes are
// percent-encoded.
func requestKey(c *app.RequestContext) string {
	escaped := c.Param("key")
	if key, err := url.PathUnescape(escaped); err == nil {
		return key
	}
	return strings.TrimSpace(escaped)
}

// requestLease returns the lease ID in the path of a request, or 0 if it is not a valid
// number.
func requestLease(c *app.RequestContext) platform.LeaseID {
	id, err := strconv.ParseUint(c.Param("id"), 10, 64)
	if err != nil {
		return 0
	}
	return platform.LeaseID(id)
}
