// Package signals keeps signals from ending the process other than as it was asked to.
//
// Importing the package is enough for the following. With cgo and the GNU C library it holds
// from the first code of the executable, before the initialization of the shared libraries
// and of the Go runtime:
//
//   - Signals that nobody sends to end a process, such as SIGHUP, SIGUSR1, SIGALRM, SIGIO and
//     the real-time signals, don't end it, although this is their default action. Signals that
//     report a fault of the program keep theirs, and so does SIGQUIT.
//   - SIGTERM and SIGINT end a program whose first argument is "run" with exit code 0 until
//     it has called [signal.Notify] for them. Other commands, such as check, have nothing to
//     stop; the signals have their default action there.
//   - A signal that has a handler, or that the parent process ignores, is left as it is.
//
// Without cgo, and for SIGSTKFLT, the signals are ignored once the package is initialized. The
// Go runtime installs a handler for SIGSTKFLT that ends the process.
//
// # Usage
//
//	for range signals.Hangups() {
//		// Read the settings again.
//	}
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }

// Hangups returns a channel that receives SIGHUP until the process ends. It can't be
// stopped, because a signal that arrives meanwhile would have its default action.
func Hangups() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}
