// Package engine describes what a limpet needs of a model engine. Clients for
// particular protocols are plug-ins.
//
// # Usage
//
//	construct, err := engine.Engines.Find("chat")
//	model, err := construct(engine.Options{Network: network.TCP{}, Address: "127.0.0.1:8000"})
//	end, err := model.Generate(ctx, callID, request, emit)
package engine

import (
	"context"
	"fmt"
	"time"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/registry"
	"limpethall.dev/kernel/wire"
)

// Load is what an engine reports of itself.
type Load struct {
	// Started changes with each start of the engine.
	Started string
	// Running is the number of requests in the batch.
	Running int64
	// CacheCleared counts how often the prefix cache was emptied.
	CacheCleared int64
	// Pins are the cache keys for which memory is held.
	Pins []string
	// Models are the models that the engine holds.
	Models []string
}

// Engine is a model engine. Implementations must pass the contract test of
// this package.
type Engine interface {
	// Generate streams the answer through emit and returns how it ended. It
	// returns an error unless the answer is whole. Canceling the context
	// stops the generation.
	Generate(ctx context.Context, callID string, call *wire.ModelCall, emit func(*wire.Delta)) (*wire.End, error)
	// Load reads the engine's report, which may lag.
	Load(ctx context.Context) (Load, error)
	// ColdFor asks how long the engine stays cold, zero if it is warm. The
	// answer does not lag. It returns an *UntoldError if the engine has no
	// such answer.
	ColdFor(ctx context.Context) (time.Duration, error)
	// Release frees the memory held under a cache key. Releasing an unknown
	// key is no error.
	Release(ctx context.Context, cacheKey string) error
	// Order has the engine load or release a model and returns when that is
	// done. An engine that checks fencing numbers answers one that is lower
	// than it has seen with a *StaleOrderError.
	Order(ctx context.Context, order Order) error
}

// OrderKind is what an engine is to do with a model.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderRelease OrderKind = "release"
)

// Order tells an engine what to hold.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model"`
	Fence uint64    `json:"fence"`
}

// StaleOrderError reports an order with an old fencing number.
type StaleOrderError struct{ fence uint64 }

// NewStaleOrderError returns the error for a fencing number.
func NewStaleOrderError(fence uint64) *StaleOrderError { return &StaleOrderError{fence: fence} }

// Error names the number.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("the engine has had orders from a later process than fencing number %d", e.fence)
}

// Options are what an Engine is built from.
type Options struct {
	// Network is how the engine is reached.
	Network network.Network
	// Address is host and port of the engine.
	Address string
}

// Constructor builds an Engine.
type Constructor func(options Options) (Engine, error)

// Engines lists the Engine plug-ins.
var Engines = registry.New[Constructor]("engine")

// UntoldError reports that an engine does not tell whether it is cold.
type UntoldError struct{}

// Error says so.
func (*UntoldError) Error() string { return "the engine does not tell whether it is cold" }

// DiedError reports that the engine went away during a call.
type DiedError struct{ cause error }

// NewDiedError returns the error for a cause.
func NewDiedError(cause error) *DiedError { return &DiedError{cause: cause} }

// Error says what was seen.
func (e *DiedError) Error() string { return "engine went away: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DiedError) Unwrap() error { return e.cause }

// UnreachableError reports that the engine could not be asked at all.
type UnreachableError struct{ cause error }

// NewUnreachableError returns the error for a cause.
func NewUnreachableError(cause error) *UnreachableError { return &UnreachableError{cause: cause} }

// Error says what was seen.
func (e *UnreachableError) Error() string { return "engine can't be reached: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// RefusedError reports an answer with an error status.
type RefusedError struct {
	status int
	detail string
}

// NewRefusedError returns the error for an HTTP status.
func NewRefusedError(status int, detail string) *RefusedError {
	return &RefusedError{status: status, detail: detail}
}

// Error names status and detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.status, e.detail)
}

// Status returns the HTTP status.
func (e *RefusedError) Status() int { return e.status }

// TruncatedError reports an answer that is not whole or belongs to another
// request.
type TruncatedError struct{ detail string }

// NewTruncatedError returns the error.
func NewTruncatedError(detail string) *TruncatedError { return &TruncatedError{detail: detail} }

// Error says what is missing.
func (e *TruncatedError) Error() string { return "answer is not whole: " + e.detail }
