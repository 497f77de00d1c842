package signals

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGSTKFLT) }
