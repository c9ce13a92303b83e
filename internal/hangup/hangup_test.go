package hangup

import (
	"syscall"
	"testing"
	"time"
)

// TestHangupIsReceivedFromTheStart guards against processes that end because they are asked to reload their settings
// before main runs.
func TestHangupIsReceivedFromTheStart(t *testing.T) {
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-Requests:
	case <-time.After(5 * time.Second):
		t.Error("no SIGHUP was received")
	}
}
