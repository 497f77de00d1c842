// Package engine defines the interface through which a limpet uses a model
// engine. Clients for specific protocols are plug-ins.
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

// LoadReport is the load report of an engine: its state, pinned memory and models.
type LoadReport struct {
	// Started changes with each start of the engine.
	Started string
	// Running is the number of requests in the current batch.
	Running int64
	// CacheCleared counts how often the prefix cache was cleared.
	CacheCleared int64
	// Pins are the cache keys whose entries are pinned in memory.
	Pins []string
	// Models are the loaded models.
	Models []string
}

// Engine is a client of a model engine. Implementations must pass the contract
// test, TestContract in standin/engine.
type Engine interface {
	// Generate streams the response through emit and returns its end. An
	// incomplete response is an error. Canceling the context stops the
	// generation.
	Generate(ctx context.Context, callID string, call *wire.ModelCall, emit func(*wire.Delta)) (*wire.End, error)
	// Load returns the engine's load report, which may be out of date.
	Load(ctx context.Context) (LoadReport, error)
	// ColdRemaining returns how long the engine remains cold, zero if it is warm.
	// Unlike Load, it reflects the current state. The error is a
	// *ColdUnsupportedError if the engine does not report this.
	ColdRemaining(ctx context.Context) (time.Duration, error)
	// Release frees the memory pinned under a cache key. Releasing an unknown
	// key is not an error.
	Release(ctx context.Context, cacheKey string) error
	// Execute loads or unloads a model and returns on completion. An engine that
	// checks fencing tokens rejects one that is lower than the highest it has
	// seen; the error is then a *StaleFencingTokenError.
	Execute(ctx context.Context, command Command) error
}

// CommandKind is the kind of a placement command.
type CommandKind string

// The kinds of placement commands. CommandUnload unloads a model.
const (
	CommandLoad   CommandKind = "load"
	CommandUnload CommandKind = "release"
)

// Command is a placement command: it tells an engine to load or unload a model.
// FencingToken is its fencing token.
type Command struct {
	Kind         CommandKind `json:"kind"`
	Model        string      `json:"model"`
	FencingToken uint64      `json:"fence"`
}

// StaleFencingTokenError reports a placement command with an outdated fencing token.
type StaleFencingTokenError struct{ token uint64 }

// NewStaleFencingTokenError returns the error for a rejected fencing token.
func NewStaleFencingTokenError(token uint64) *StaleFencingTokenError {
	return &StaleFencingTokenError{token: token}
}

// Error includes the rejected token.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("engine rejected fencing token %d: it has seen a higher one", e.token)
}

// Options are what an Engine is built from.
type Options struct {
	// Network dials the engine.
	Network network.Network
	// Address is the host:port of the engine.
	Address string
}

// Constructor builds an Engine.
type Constructor func(options Options) (Engine, error)

// Engines lists the Engine plug-ins.
var Engines = registry.New[Constructor]("engine")

// ColdUnsupportedError reports that an engine does not expose how long it
// remains cold.
type ColdUnsupportedError struct{}

// Error states what the engine lacks.
func (*ColdUnsupportedError) Error() string { return "engine does not report how long it remains cold" }

// ConnectionLostError reports that the connection to the engine was lost during a call.
type ConnectionLostError struct{ cause error }

// NewConnectionLostError wraps the cause.
func NewConnectionLostError(cause error) *ConnectionLostError {
	return &ConnectionLostError{cause: cause}
}

// Error includes the cause.
func (e *ConnectionLostError) Error() string { return "connection to engine lost: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.cause }

// UnreachableError reports that no connection to the engine could be
// established, so it did not receive the request.
type UnreachableError struct{ cause error }

// NewUnreachableError wraps the cause.
func NewUnreachableError(cause error) *UnreachableError { return &UnreachableError{cause: cause} }

// Error includes the cause.
func (e *UnreachableError) Error() string { return "can't connect to engine: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// StatusError reports a response with an error status or an invalid response,
// or a request that could not be encoded.
type StatusError struct {
	status int
	detail string
}

// NewStatusError returns the error for an HTTP status.
func NewStatusError(status int, detail string) *StatusError {
	return &StatusError{status: status, detail: detail}
}

// Error includes the status and the detail.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine request failed with status %d: %s", e.status, e.detail)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// TruncatedError reports a response that is incomplete or belongs to another
// request.
type TruncatedError struct{ detail string }

// NewTruncatedError returns the error with a description of the fault.
func NewTruncatedError(detail string) *TruncatedError { return &TruncatedError{detail: detail} }

// Error includes the description.
func (e *TruncatedError) Error() string { return "incomplete response: " + e.detail }
