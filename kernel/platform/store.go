// Package platform describes what the platform offers to the project: the
// key-value service that holds what must be agreed or kept, and the list of
// live and leaving hosts. Clients for particular protocols are plug-ins.
//
// # Usage
//
//	construct, err := platform.Stores.Find("httpjson")
//	store, err := construct(platform.StoreOptions{Network: network.TCP{}, Addresses: []string{"127.0.0.1:7000"}})
//	entry, err := store.Get(ctx, "configuration/head")
//
// Every method takes a context with a deadline. An UnavailableError with
// EffectUnknown means that a write may have taken effect although its answer
// was lost; the writer settles that by reading.
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

// Entry is one key of the store. Version is the store revision of its last
// change and is never zero for an existing key.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
}

// Listing is the state of a prefix at one store revision.
type Listing struct {
	Entries  []Entry
	Revision uint64
	// Age is how long ago the service confirmed the state; zero if it has just
	// answered by itself.
	Age time.Duration
}

// Holds reports whether a key is there.
func (l Listing) Holds(key string) bool {
	return slices.ContainsFunc(l.Entries, func(entry Entry) bool { return entry.Key == key })
}

// Event is one change of a key. Deleted events carry no value.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Changes is the answer to one watch call: all events of the prefix after the
// asked revision and up to Revision.
type Changes struct {
	Events   []Event
	Revision uint64
	// Age is how long ago the service confirmed that there is nothing more; zero if
	// it has just answered by itself.
	Age time.Duration
}

// LeaseID identifies a lease; zero stands for no lease.
type LeaseID uint64

// Store is the platform's key-value service. Implementations must pass the
// contract test in package platform_test of this module.
type Store interface {
	// Get returns the entry or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes the value if the key's version is still the
	// expected one; zero expects that the key does not exist. A key with a
	// lease is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (Entry, error)
	// Delete removes the key if its version is still the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Grant creates a lease that ends unless it is kept alive.
	Grant(ctx context.Context, length time.Duration) (LeaseID, error)
	// KeepAlive extends the lease to its full length or returns a
	// *LeaseLostError.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits for changes after the revision. It returns an empty answer
	// when nothing changed for a while and a *GapError when the events since
	// that revision are no longer kept.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
}

// StoreOptions are the settings a Store plug-in is built from.
type StoreOptions struct {
	Network   network.Network
	Addresses []string
	Timeout   time.Duration
}

// StoreConstructor builds a Store.
type StoreConstructor func(options StoreOptions) (Store, error)

// Stores lists the Store plug-ins.
var Stores = registry.New[StoreConstructor]("store")

// NotFoundError reports a key that does not exist.
type NotFoundError struct{ key string }

// NewNotFoundError returns the error for a key.
func NewNotFoundError(key string) *NotFoundError { return &NotFoundError{key: key} }

// Error names the key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.key) }

// Key returns the missing key.
func (e *NotFoundError) Key() string { return e.key }

// ConflictError reports a write that lost a race.
type ConflictError struct {
	key      string
	expected uint64
}

// NewConflictError returns the error for a key and the version expected.
func NewConflictError(key string, expected uint64) *ConflictError {
	return &ConflictError{key: key, expected: expected}
}

// Error names the key and the expected version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is no longer at version %d", e.key, e.expected)
}

// Key returns the key in conflict.
func (e *ConflictError) Key() string { return e.key }

// LeaseLostError reports a lease that has ended.
type LeaseLostError struct{ lease LeaseID }

// NewLeaseLostError returns the error for a lease.
func NewLeaseLostError(lease LeaseID) *LeaseLostError { return &LeaseLostError{lease: lease} }

// Error names the lease.
func (e *LeaseLostError) Error() string { return fmt.Sprintf("lease %d has ended", e.lease) }

// Lease returns the ended lease.
func (e *LeaseLostError) Lease() LeaseID { return e.lease }

// GapError reports a watch position that the store no longer keeps; the
// reader must list again.
type GapError struct{ revision uint64 }

// NewGapError returns the error for a watch position.
func NewGapError(revision uint64) *GapError { return &GapError{revision: revision} }

// Error names the position.
func (e *GapError) Error() string {
	return fmt.Sprintf("events after revision %d are no longer kept", e.revision)
}

// Revision returns the position asked for.
func (e *GapError) Revision() uint64 { return e.revision }

// UnavailableError reports that the store did not answer.
type UnavailableError struct {
	operation     string
	effectUnknown bool
	cause         error
}

// NewUnavailableError returns the error for an operation; effectUnknown says
// that a write may have taken effect.
func NewUnavailableError(operation string, effectUnknown bool, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, effectUnknown: effectUnknown, cause: cause}
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("key-value service did not answer %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// EffectUnknown reports whether a write may have taken effect.
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
