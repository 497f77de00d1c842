package task

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"go.uber.org/zap"
)

// panics is the number of panics of this process that Guard handled.
var panics atomic.Int64

// Panics returns the number of panics of this process that did not end it.
func Panics() int64 { return panics.Load() }

// PanicError reports a panic.
type PanicError struct{ value any }

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Guard calls a function and returns its error. If the function panics, Guard logs the stack
// and returns a *PanicError. The name identifies the function in logs.
//
// Functions that run in goroutines of their own and process data from outside are guarded,
// because an unhandled panic of any goroutine ends the process.
func Guard(logger *zap.Logger, name string, function func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Add(1)
			err = &PanicError{value: value}
			logger.Error("function panicked", zap.String("duty", name), zap.Error(err), zap.ByteString("stack", debug.Stack()))
		}
	}()
	return function()
}

// Go calls a function once in a guarded goroutine.
func Go(logger *zap.Logger, name string, function func()) {
	go func() {
		// Guard logs the only possible error.
		_ = Guard(logger, name, func() error {
			function()
			return nil
		})
	}()
}
