package task

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"go.uber.org/zap"
)

// panics is the number of panics of this process that did not end it.
var panics atomic.Int64

// Panics returns the number of panics of this process that Guard turned into errors.
func Panics() int64 { return panics.Load() }

// PanicError reports a panic.
type PanicError struct {
	value any
	stack []byte
}

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Stack returns the stack of the goroutine that panicked.
func (e *PanicError) Stack() string { return string(e.stack) }

// Guard calls a function and returns its error, or a *PanicError if it panics.
func Guard(function func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			panics.Add(1)
			err = &PanicError{value: value, stack: debug.Stack()}
		}
	}()
	return function()
}

// Go calls a function once in a goroutine of its own. A panic is logged and does not end the
// process. The name identifies the function in logs.
func Go(logger *zap.Logger, name string, function func()) {
	go func() {
		err := Guard(func() error {
			function()
			return nil
		})
		var fault *PanicError
		if errors.As(err, &fault) {
			logPanic(logger, name, fault)
		}
	}()
}

func logPanic(logger *zap.Logger, name string, fault *PanicError) {
	logger.Error("background task panicked", zap.String("duty", name), zap.Error(fault), zap.String("stack", fault.Stack()))
}
