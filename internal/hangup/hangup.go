// Package hangup receives SIGHUP from the initialisation of the process on. A reload that is requested while most
// packages are still being initialised would end the process. It imports little, as a package is initialised after
// those that it imports.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Requests receives a value for each SIGHUP, of which one is kept until it is received.
var Requests = receive()

func receive() <-chan os.Signal {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGHUP)
	return requests
}

// Restore makes SIGHUP end the process again, for commands that do not reload anything.
func Restore() { signal.Reset(syscall.SIGHUP) }
