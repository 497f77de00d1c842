// Package platform defines the interfaces to the services of the underlying
// platform: the key-value store for shared and durable state, and the list of live
// and leaving hosts. Clients for specific protocols are plug-ins.
//
// # Usage
//
//	construct, err := platform.Stores.Find("httpjson")
//	store, err := construct(platform.StoreOptions{Network: network.TCP{}, Addresses: []string{"127.0.0.1:7000"}})
//	entry, err := store.Get(ctx, "configuration/head")
//
// Every call needs a context with a deadline. An UnavailableError with
// EffectUnknown means that the response to a write was lost although the write may
// have been applied; the writer must read the key to find out.
package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/registry"
)

// Entry is a key with its value. Version is the store revision of the key's last
// change; it is never zero for an existing key.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Listing holds all entries below a prefix as of one store revision.
type Listing struct {
	Entries  []Entry
	Revision uint64
	// Age is the time since the service last confirmed this state. It is zero for
	// a response that comes directly from the service.
	Age time.Duration
}

// Contains reports whether the listing contains a key.
func (l Listing) Contains(key string) bool {
	_, found := l.Find(key)
	return found
}

// Find returns the entry with the key.
func (l Listing) Find(key string) (Entry, bool) {
	index := slices.IndexFunc(l.Entries, func(entry Entry) bool { return entry.Key == key })
	if index < 0 {
		return Entry{}, false
	}
	return l.Entries[index], true
}

// Event is a change of a key. Events of deletions have no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Changes is the result of a watch call: all events below the prefix after the
// requested revision, up to and including Revision.
type Changes struct {
	Events   []Event
	Revision uint64
	// Age is the time since the service last confirmed that there are no further
	// events. It is zero for a response that comes directly from the service.
	Age time.Duration
}

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Store is a client of the platform's key-value service. Implementations must pass
// the tests of package kernel/platform/contract.
type Store interface {
	// Get returns the entry of a key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix, sorted by key.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes the value if the key is still at the expected version;
	// version zero means that the key must not exist. A key that is attached to a
	// lease is deleted when the lease expires or is revoked.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (Entry, error)
	// Delete removes the key if it is still at the expected version.
	Delete(ctx context.Context, key string, expected uint64) error
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive resets the remaining time of a lease to its full TTL. It returns a
	// *LeaseLostError if the lease no longer exists.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits for changes after the given revision. It returns no events if
	// nothing changed within the implementation's wait time, and a *GapError if
	// the store no longer has the events since that revision.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
}

// StoreOptions are the options of a StoreConstructor.
type StoreOptions struct {
	Network   network.Network
	Addresses []string
	Timeout   time.Duration
}

// StoreConstructor creates a Store.
type StoreConstructor func(options StoreOptions) (Store, error)

// Stores is the registry of Store plug-ins.
var Stores = registry.New[StoreConstructor]("store")

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ key string }

// NewNotFoundError returns an error for a missing key.
func NewNotFoundError(key string) *NotFoundError { return &NotFoundError{key: key} }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.key) }

// Key returns the missing key.
func (e *NotFoundError) Key() string { return e.key }

// ConflictError reports a write whose expected version is not the current one.
type ConflictError struct {
	key      string
	expected uint64
}

// NewConflictError returns an error for a key and the expected version.
func NewConflictError(key string, expected uint64) *ConflictError {
	return &ConflictError{key: key, expected: expected}
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is no longer at version %d", e.key, e.expected)
}

// Key returns the key of the rejected write.
func (e *ConflictError) Key() string { return e.key }

// LeaseLostError reports a lease that has expired or was revoked.
type LeaseLostError struct{ lease LeaseID }

// NewLeaseLostError returns an error for a lost lease.
func NewLeaseLostError(lease LeaseID) *LeaseLostError { return &LeaseLostError{lease: lease} }

// Error implements error.
func (e *LeaseLostError) Error() string {
	return fmt.Sprintf("lease %d has expired or was revoked", e.lease)
}

// Lease returns the ID of the lost lease.
func (e *LeaseLostError) Lease() LeaseID { return e.lease }

// GapError reports that the store no longer has the events after a watch's start
// revision; the caller must list the prefix again.
type GapError struct{ revision uint64 }

// NewGapError returns an error for the start revision of a watch.
func NewGapError(revision uint64) *GapError { return &GapError{revision: revision} }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("events after revision %d are no longer available", e.revision)
}

// Revision returns the start revision of the watch.
func (e *GapError) Revision() uint64 { return e.revision }

// UnavailableError reports that the store did not respond.
type UnavailableError struct {
	operation     string
	effectUnknown bool
	cause         error
}

// NewUnavailableError returns an error for a failed operation. effectUnknown means
// that a write may have been applied.
func NewUnavailableError(operation string, effectUnknown bool, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, effectUnknown: effectUnknown, cause: cause}
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key-value service did not answer %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// EffectUnknown reports whether a write may have been applied.
func (e *UnavailableError) EffectUnknown() bool { return e.effectUnknown }

// IsNotFound reports whether err is a *NotFoundError.
func IsNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
