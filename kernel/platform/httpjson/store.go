// Package httpjson holds the Store and HostList plug-ins for services with a
// JSON-over-HTTP API.
//
// The endpoints of the key-value service are: GET /v1/keys/KEY; GET /v1/keys?prefix=P; PUT /v1/keys/KEY with
// value, version and lease; DELETE /v1/keys/KEY?version=N; POST /v1/leases,
// POST /v1/leases/ID/keepalive, DELETE /v1/leases/ID; GET
// /v1/watch?prefix=P&after=N&milliseconds=M. Errors are reported as 404 for a missing
// key, 409 for a version conflict, 410 for a lost lease, and 416 if the events after
// the start revision of a watch are no longer available.
//
// # Usage
//
//	import _ "limpethall.dev/kernel/platform/httpjson"
//	construct, err := platform.Stores.Find("httpjson")
package httpjson

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"limpethall.dev/kernel/platform"
)

// maxWatchWait is how long the service waits for changes before it responds to a
// watch.
const maxWatchWait = 2 * time.Second

const maxIdleConnections = 8

// watchTimeoutMargin is added to maxWatchWait to get the timeout of a watch call.
const watchTimeoutMargin = 2 * time.Second

// The JSON documents of the protocol, shared with the server in standin/store.
type (
	// EntryDocument is a key with its value, or the event of its change.
	EntryDocument struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version uint64 `json:"version"`
		Deleted bool   `json:"deleted,omitempty"`
	}
	// ListDocument is the response to a list or watch request.
	ListDocument struct {
		Entries  []EntryDocument `json:"entries"`
		Revision uint64          `json:"revision"`
	}
	// PutDocument is the body of a write request.
	PutDocument struct {
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
		Lease   uint64 `json:"lease,omitempty"`
	}
	// LeaseDocument is the body of a request for a lease and of its response, which
	// holds the lease's ID.
	LeaseDocument struct {
		ID           uint64 `json:"id,omitempty"`
		Milliseconds int64  `json:"milliseconds"`
	}
)

func init() {
	platform.Stores.Register("httpjson", func(options platform.StoreOptions) (platform.Store, error) {
		return New(options)
	})
}

// Store is a client of the key-value service.
type Store struct{ caller *platform.JSONCaller }

// New returns a client for the first of the addresses. Timeout limits every call
// except Watch.
func New(options platform.StoreOptions) (*Store, error) {
	if len(options.Addresses) == 0 {
		return nil, errors.New("the key-value service needs an address")
	}
	timeout := options.Timeout
	if timeout <= 0 {
		timeout = time.Second
	}
	return &Store{caller: platform.NewJSONCaller(options.Network, options.Addresses[0], maxIdleConnections, timeout, statusError)}, nil
}

// Close closes idle connections.
func (s *Store) Close() { s.caller.Close() }

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry EntryDocument
	if err := s.call(ctx, platform.JSONCall{Method: http.MethodGet, Path: keyPath(key), Key: key}, &entry); err != nil {
		return platform.Entry{}, err
	}
	return entry.toEntry(), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	var list ListDocument
	path := "/v1/keys?prefix=" + url.QueryEscape(prefix)
	if err := s.call(ctx, platform.JSONCall{Method: http.MethodGet, Path: path}, &list); err != nil {
		return platform.Listing{}, err
	}
	listing := platform.Listing{Revision: list.Revision}
	for _, entry := range list.Entries {
		listing.Entries = append(listing.Entries, entry.toEntry())
	}
	return listing, nil
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease platform.LeaseID) (platform.Entry, error) {
	var entry EntryDocument
	body := PutDocument{Value: value, Version: expected, Lease: uint64(lease)}
	err := s.call(ctx, platform.JSONCall{Method: http.MethodPut, Path: keyPath(key), Key: key, Expected: expected, Lease: lease, Body: body, Write: true}, &entry)
	return entry.toEntry(), err
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	path := keyPath(key) + "?version=" + strconv.FormatUint(expected, 10)
	return s.call(ctx, platform.JSONCall{Method: http.MethodDelete, Path: path, Key: key, Expected: expected, Write: true}, nil)
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var lease LeaseDocument
	body := LeaseDocument{Milliseconds: ttl.Milliseconds()}
	err := s.call(ctx, platform.JSONCall{Method: http.MethodPost, Path: "/v1/leases", Body: body, Write: true}, &lease)
	return platform.LeaseID(lease.ID), err
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	path := fmt.Sprintf("/v1/leases/%d/keepalive", lease)
	return s.call(ctx, platform.JSONCall{Method: http.MethodPost, Path: path, Lease: lease, Write: true}, nil)
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, lease platform.LeaseID) error {
	path := fmt.Sprintf("/v1/leases/%d", lease)
	return s.call(ctx, platform.JSONCall{Method: http.MethodDelete, Path: path, Lease: lease, Write: true}, nil)
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	var list ListDocument
	path := fmt.Sprintf("/v1/watch?prefix=%s&after=%d&milliseconds=%d", url.QueryEscape(prefix), after, maxWatchWait.Milliseconds())
	err := s.call(ctx, platform.JSONCall{Method: http.MethodGet, Path: path, Expected: after, Timeout: maxWatchWait + watchTimeoutMargin}, &list)
	if err != nil {
		return platform.Changes{}, err
	}
	changes := platform.Changes{Revision: list.Revision}
	for _, entry := range list.Entries {
		changes.Events = append(changes.Events, platform.Event{Entry: entry.toEntry(), Deleted: entry.Deleted})
	}
	return changes, nil
}

func (s *Store) call(ctx context.Context, call platform.JSONCall, result any) error {
	call.Name = call.Method + " " + call.Path
	return s.caller.Do(ctx, call, result)
}

func statusError(call platform.JSONCall, status int) error {
	switch status {
	case http.StatusNotFound:
		return platform.NewNotFoundError(call.Key)
	case http.StatusConflict:
		return platform.NewConflictError(call.Key, call.Expected)
	case http.StatusGone:
		return platform.NewLeaseLostError(call.Lease)
	case http.StatusRequestedRangeNotSatisfiable:
		return platform.NewGapError(call.Expected)
	default:
		return call.UnexpectedStatus(status, call.Write)
	}
}

func (d EntryDocument) toEntry() platform.Entry {
	return platform.Entry{Key: d.Key, Value: d.Value, Version: d.Version}
}

func keyPath(key string) string {
	return "/v1/keys/" + url.PathEscape(key)
}
