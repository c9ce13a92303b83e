package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is from SIGTERM to SIGKILL, in the hosts' settings too.
	grace = 4 * time.Second
	// exitSlack is how long after it a process may take to be gone.
	exitSlack = 500 * time.Millisecond
	// quotaWindow, quotaOver and quotaSlack say how exactly limits are kept.
	quotaWindow = 4 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 8
)

// host is one entry host: a process of the product's binary.
type host struct {
	id, ip, zone string
	cores        int
	binary       string
	settings     string
	log          string
	store        *proxy

	mu      sync.Mutex
	process *process
	boot    int
	ended   bool
}

// process is one start of a host.
type process struct {
	cmd *exec.Cmd
	// exited is closed once it is gone, and ending set once it was asked to end; the host's mu
	// guards ending.
	exited chan struct{}
	ending bool
}

// settingsFor returns a host's settings; all hosts use the same ports.
func settingsFor(h *host, seeds string) string {
	return fmt.Sprintf(`{
  "host": {"id": %q, "availability_zone": %q, "cores": %[7]d},
  "listen": {"caller": "%[3]s:18000", "ready": "%[3]s:18001", "directory": "%[3]s:18002", "operator": "%[3]s:18003", "peer": "%[3]s:18004", "metrics": "%[3]s:18005"},
  "platform": {"address": %[4]q},
  "member": {"seeds": [%[5]s]},
  "stop": {"grace": "%[6]s"},
  "move": {"share": %[11]g, "slack": %[12]d, "roll_back": "%[13]s"},
  "quota": {"window": "%[8]s", "over": %[9]g, "slack": %[10]d},
}`, h.id, h.zone, h.ip, h.store.address(), seeds, grace, h.cores, quotaWindow, quotaOver, quotaSlack, exposeShare, exposeSlack, exposeAfter)
}

func (h *host) caller() string    { return h.ip + ":18000" }
func (h *host) directory() string { return h.ip + ":18002" }

// start starts the process unless it runs, or has been ended for good. One that was asked to
// end is waited for: a start in that moment must not be lost, as nobody may ask again.
func (h *host) start() error {
	for {
		old, err := h.startFirst()
		if old == nil || err != nil {
			return err
		}
		select {
		case <-old.exited:
		case <-time.After(grace + exitSlack):
			return fmt.Errorf("process %d was asked to end and is still there: %s", old.cmd.Process.Pid, old.state())
		}
	}
}

// startFirst starts the process where there is none, and returns the one that has to be gone
// before.
func (h *host) startFirst() (*process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ended:
		return nil, nil
	case h.process != nil && h.process.ending:
		return h.process, nil
	case h.process != nil:
		return nil, nil
	}
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(h.binary, "serve", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	h.boot++
	h.note("start %d, process %d", h.boot, cmd.Process.Pid)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	h.process = p
	go h.reap(p)
	return nil, nil
}

// reap waits for the process's end.
func (h *host) reap(p *process) {
	// An error is how the process ended; callers and the log show why.
	_ = p.cmd.Wait()
	h.note("process %d is gone: %v", p.cmd.Process.Pid, p.cmd.ProcessState)
	h.mu.Lock()
	h.process = nil
	h.mu.Unlock()
	close(p.exited)
}

// state returns what the kernel says of the process: that it sleeps, is stopped, waits for a
// disk, or is gone but not reaped.
func (p *process) state() string {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(stat))
}

// note writes a line about the process to the host's log, among its own lines: what became
// of a host that does not come back shows nowhere else. The lines are for reading alone.
func (h *host) note(format string, args ...any) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrNotExist) {
		// The logs of a seed that passed are deleted before its hosts are ended.
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer out.Close()
	fmt.Fprintf(out, "soak %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// signal signals the process if it runs; it reports whether it does.
func (h *host) signal(s syscall.Signal) bool {
	_, sent := h.send(s)
	return sent
}

// send is signal that also returns the process.
func (h *host) send(s syscall.Signal) (*process, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	if p == nil {
		return nil, false
	}
	err := p.cmd.Process.Signal(s)
	h.note("%v to process %d: %v", s, p.cmd.Process.Pid, err)
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	return p, err == nil
}

// terminate asks the process to stop and waits for that very process to be gone; it
// reports whether it is.
func (h *host) terminate(limit time.Duration) bool {
	p, asked := h.send(syscall.SIGTERM)
	return !asked || h.wait(p, limit)
}

// wait waits for a process to be gone, and reports whether it is.
func (h *host) wait(p *process, limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		h.note("process %d is not gone after %v: %s", p.cmd.Process.Pid, limit, p.state())
		return false
	}
}

// kill ends the process at once, paused or not, and waits for that very process to be gone.
func (h *host) kill() {
	if p, _ := h.send(syscall.SIGKILL); p != nil {
		h.wait(p, grace)
	}
}

// end kills the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.kill()
}

// currentBoot counts the starts so far.
func (h *host) currentBoot() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

// ready asks the host's readiness.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ip + ":18001/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
