// Package store serves an in-memory key-value store over the httpjson
// protocol: the stand-in for the platform's service.
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

const expireInterval = 100 * time.Millisecond

// Server is the service on one port.
type Server struct {
	memory   *memory.Store
	listener *listener.Listener
	stop     chan struct{}
}

// New opens the port.
func New(own network.Network, address string) (*Server, error) {
	open, err := listener.New(listener.Options{Network: own, Address: address})
	if err != nil {
		return nil, err
	}
	s := &Server{memory: memory.New(time.Now), listener: open, stop: make(chan struct{})}
	router := open.Router()
	router.GET("/v1/keys", s.list)
	router.GET("/v1/keys/:key", s.get)
	router.PUT("/v1/keys/:key", s.put)
	router.DELETE("/v1/keys/:key", s.remove)
	router.POST("/v1/leases", s.grant)
	router.POST("/v1/leases/:id/keepalive", s.keepAlive)
	router.DELETE("/v1/leases/:id", s.revoke)
	router.GET("/v1/watch", s.watch)
	router.PUT("/faults", s.setFaults)
	return s, nil
}

// Address returns host and port.
func (s *Server) Address() string { return s.listener.Address() }

// Memory returns the store that is served.
func (s *Server) Memory() *memory.Store { return s.memory }

// Start serves in the background.
func (s *Server) Start() {
	s.listener.Start()
	go s.expire()
}

// Close stops serving.
func (s *Server) Close() {
	close(s.stop)
	_ = s.listener.Close()
}

func (s *Server) expire() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.memory.ExpireLeases()
		}
	}
}

func (s *Server) list(ctx context.Context, c *app.RequestContext) {
	listing, err := s.memory.List(ctx, c.Query("prefix"))
	if fail(c, err) {
		return
	}
	answer := httpjson.ListDocument{Revision: listing.Revision, Entries: []httpjson.EntryDocument{}}
	for _, entry := range listing.Entries {
		answer.Entries = append(answer.Entries, documentOf(entry))
	}
	c.JSON(http.StatusOK, answer)
}

func (s *Server) get(ctx context.Context, c *app.RequestContext) {
	entry, err := s.memory.Get(ctx, keyOf(c))
	if fail(c, err) {
		return
	}
	c.JSON(http.StatusOK, documentOf(entry))
}

func (s *Server) put(ctx context.Context, c *app.RequestContext) {
	var body httpjson.PutDocument
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	entry, err := s.memory.CompareAndSwap(ctx, keyOf(c), body.Value, body.Version, platform.LeaseID(body.Lease))
	if fail(c, err) {
		return
	}
	c.JSON(http.StatusOK, documentOf(entry))
}

func (s *Server) remove(ctx context.Context, c *app.RequestContext) {
	version, err := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !fail(c, s.memory.Delete(ctx, keyOf(c), version)) {
		c.Status(http.StatusOK)
	}
}

func (s *Server) grant(ctx context.Context, c *app.RequestContext) {
	var body httpjson.LeaseDocument
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	id, err := s.memory.Grant(ctx, time.Duration(body.Milliseconds)*time.Millisecond)
	if fail(c, err) {
		return
	}
	c.JSON(http.StatusOK, httpjson.LeaseDocument{ID: uint64(id), Milliseconds: body.Milliseconds})
}

func (s *Server) keepAlive(ctx context.Context, c *app.RequestContext) {
	if !fail(c, s.memory.KeepAlive(ctx, leaseOf(c))) {
		c.Status(http.StatusOK)
	}
}

func (s *Server) revoke(ctx context.Context, c *app.RequestContext) {
	if !fail(c, s.memory.Revoke(ctx, leaseOf(c))) {
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
	if fail(c, err) {
		return
	}
	answer := httpjson.ListDocument{Revision: changes.Revision, Entries: []httpjson.EntryDocument{}}
	for _, event := range changes.Events {
		document := documentOf(event.Entry)
		document.Deleted = event.Deleted
		answer.Entries = append(answer.Entries, document)
	}
	c.JSON(http.StatusOK, answer)
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

// fail writes the status of an error and reports whether there was one.
func fail(c *app.RequestContext, err error) bool {
	var missing *platform.NotFoundError
	var conflict *platform.ConflictError
	var lost *platform.LeaseLostError
	var gap *platform.GapError
	switch {
	case err == nil:
		return false
	case errors.As(err, &missing):
		c.Status(http.StatusNotFound)
	case errors.As(err, &conflict):
		c.Status(http.StatusConflict)
	case errors.As(err, &lost):
		c.Status(http.StatusGone)
	case errors.As(err, &gap):
		c.Status(http.StatusRequestedRangeNotSatisfiable)
	default:
		c.Status(http.StatusServiceUnavailable)
	}
	return true
}

func documentOf(entry platform.Entry) httpjson.EntryDocument {
	return httpjson.EntryDocument{Key: entry.Key, Value: entry.Value, Version: entry.Version}
}

// keyOf returns the key, whose slashes come escaped.
func keyOf(c *app.RequestContext) string {
	text := c.Param("key")
	if plain, err := url.PathUnescape(text); err == nil {
		return plain
	}
	return strings.TrimSpace(text)
}

func leaseOf(c *app.RequestContext) platform.LeaseID {
	id, err := strconv.ParseUint(c.Param("id"), 10, 64)
	if err != nil {
		return 0
	}
	return platform.LeaseID(id)
}
