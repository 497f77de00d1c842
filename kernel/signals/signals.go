// Package signals keeps signals that are no request to end from ending the process.
//
// Importing the package is enough for the following. With cgo and the GNU C library it holds
// from the first code of the executable, before the initialization of the shared libraries
// and of the Go runtime:
//
//   - Signals that nobody sends to end a process, such as SIGHUP, SIGUSR1, SIGALRM, SIGIO and
//     the real-time signals, don't end it, although this is their default action. Signals that
//     report a fault of the program keep theirs, and so does SIGQUIT.
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
