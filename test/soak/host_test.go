package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// stub returns a host whose process takes a moment to stop.
func stub(t *testing.T) *host {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "stub")
	script := "#!/bin/sh\ntrap 'sleep 0.3; exit 0' TERM\necho started\nwhile :; do sleep 0.02; done\n"
	if err := os.WriteFile(binary, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	h := &host{id: "entry-0", binary: binary, log: filepath.Join(dir, "log"), grace: grace}
	t.Cleanup(h.shutDown)
	if err := h.start(); err != nil {
		t.Fatal(err)
	}
	for range 500 {
		if out, err := os.ReadFile(h.log); err == nil && strings.Contains(string(out), "started\n") {
			return h
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the stub has not started")
	return nil
}

// TestNoStartIsLost: if a fault started a host while its old process was still terminating,
// the start was silently dropped and the host stayed down for the rest of the run.
func TestNoStartIsLost(t *testing.T) {
	h := stub(t)
	h.signal(syscall.SIGTERM)
	if err := h.start(); err != nil || h.currentIncarnation() != 2 || !h.signal(syscall.Signal(0)) {
		t.Errorf("%d starts, %v; want a second one once the first process is gone", h.currentIncarnation(), err)
	}
}

// TestRunningHostIsNotStartedAgain: overlapping faults may start a host more than once, and
// only the first start may take effect; none may once the host is shut down.
func TestRunningHostIsNotStartedAgain(t *testing.T) {
	h := stub(t)
	if err := h.start(); err != nil || h.currentIncarnation() != 1 {
		t.Errorf("%d starts, %v", h.currentIncarnation(), err)
	}
	h.shutDown()
	if err := h.start(); err != nil || h.currentIncarnation() != 1 {
		t.Errorf("%d starts of a host that was ended for good, %v", h.currentIncarnation(), err)
	}
}
