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
	// grace is the time from SIGTERM to SIGKILL, unless a seed has another one; the hosts' settings have
	// the same value.
	grace = 4 * time.Second
	// exitSlack is how long after the grace period a process may take to exit.
	exitSlack = 500 * time.Millisecond
	// quotaWindow, quotaOver and quotaSlack bound by how much the hosts together may
	// exceed a rate limit.
	quotaWindow = 4 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 8
)

// host is an entry host, which runs as a process of the product's binary.
type host struct {
	id, ip, zone string
	cores        int
	// memoryMB is the setting host.memory_mb, and overload what the section of that name holds, "" without it.
	memoryMB int
	overload string
	// grace is the time from SIGTERM to SIGKILL.
	grace    time.Duration
	binary   string
	settings string
	log      string
	store    *proxy

	mu          sync.Mutex
	process     *process
	incarnation int
	isShutDown  bool
	// stops are the times of each first SIGTERM to a process.
	stops []time.Time
}

// process is one incarnation of a host.
type process struct {
	cmd *exec.Cmd
	// exited is closed once the process has exited. ending is set once SIGTERM or SIGKILL
	// was sent; the host's mu guards it.
	exited chan struct{}
	ending bool
	began  time.Time
}

// settingsFor returns a host's settings; all hosts use the same ports.
func settingsFor(h *host, seeds string) string {
	return fmt.Sprintf(`{
  "host": {"id": %q, "availability_zone": %q, "cores": %[7]d, "memory_mb": %[14]d},
  "listen": {"caller": "%[3]s:18000", "ready": "%[3]s:18001", "directory": "%[3]s:18002", "operator": "%[3]s:18003", "peer": "%[3]s:18004", "metrics": "%[3]s:18005"},
  "platform": {"address": %[4]q},
  "member": {"seeds": [%[5]s]},
  "stop": {"grace": "%[6]s"},
  "move": {"share": %[11]g, "slack": %[12]d, "roll_back": "%[13]s"},
  "quota": {"window": "%[8]s", "over": %[9]g, "slack": %[10]d},
%[15]s}`, h.id, h.zone, h.ip, h.store.address(), seeds, h.grace, h.cores, quotaWindow, quotaOver, quotaSlack, exposeShare, exposeSlack, rollBackTime, h.memoryMB, h.overloadSection())
}

// overloadSection returns the section of the settings, which earlier builds do not know.
func (h *host) overloadSection() string {
	if h.overload == "" {
		return ""
	}
	return "  \"overload\": {" + h.overload + "},\n"
}

// pid returns the ID of the running process, or 0.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.cmd.Process.Pid
}

func (h *host) caller() string    { return h.ip + ":18000" }
func (h *host) directory() string { return h.ip + ":18002" }

// start starts the process unless it runs or the host has been shut down. If a process is
// still terminating, start waits for its exit: the request to start must not be lost, as
// it may not be repeated.
func (h *host) start() error {
	for {
		old, err := h.tryStart()
		if old == nil || err != nil {
			return err
		}
		select {
		case <-old.exited:
		case <-time.After(h.grace + exitSlack):
			return fmt.Errorf("process %d was signalled to end and has not exited: %s", old.cmd.Process.Pid, old.state())
		}
	}
}

// tryStart starts the process if none exists. It returns a process that is terminating and
// has to exit first.
func (h *host) tryStart() (*process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.isShutDown:
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
	h.incarnation++
	h.note("start %d, process %d", h.incarnation, cmd.Process.Pid)
	p := &process{cmd: cmd, exited: make(chan struct{}), began: time.Now()}
	h.process = p
	go h.reap(p)
	return nil, nil
}

// reap waits until the process has exited.
func (h *host) reap(p *process) {
	// The error is the exit status, which the next line logs.
	_ = p.cmd.Wait()
	h.note("process %d is gone: %v", p.cmd.Process.Pid, p.cmd.ProcessState)
	h.mu.Lock()
	h.process = nil
	h.mu.Unlock()
	close(p.exited)
}

// state returns the kernel's status line of the process, which shows whether it sleeps, is
// stopped, waits for a disk, or is a zombie.
func (p *process) state() string {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(stat))
}

// note writes a line about the process into the host's own log. It is the only record of
// what happened to a host that does not come back. Nothing parses these lines.
func (h *host) note(format string, args ...any) {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if errors.Is(err, os.ErrNotExist) {
		// The logs of a seed that passed are deleted before its hosts are shut down.
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer out.Close()
	fmt.Fprintf(out, "soak %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// signal sends a signal to the process, and reports whether it was sent.
func (h *host) signal(s syscall.Signal) bool {
	_, sent := h.send(s)
	return sent
}

// runsSince returns when the process began, or now if none runs.
func (h *host) runsSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return time.Now()
	}
	return h.process.began
}

// send sends a signal to the process, if it runs. It returns the process and whether the
// signal was sent.
func (h *host) send(s syscall.Signal) (*process, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.process
	if p == nil {
		return nil, false
	}
	err := p.cmd.Process.Signal(s)
	h.note("%v to process %d: %v", s, p.cmd.Process.Pid, err)
	if s == syscall.SIGTERM && !p.ending {
		h.stops = append(h.stops, time.Now())
	}
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	return p, err == nil
}

// terminate sends SIGTERM, waits for that very process to exit, and reports whether it did;
// true also if no process runs.
func (h *host) terminate(limit time.Duration) bool {
	p, asked := h.send(syscall.SIGTERM)
	return !asked || h.wait(p, limit)
}

// wait waits for a process to exit, and reports whether it did within the limit.
func (h *host) wait(p *process, limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		h.note("process %d is not gone after %v: %s", p.cmd.Process.Pid, limit, p.state())
		return false
	}
}

// kill sends SIGKILL, which also ends a paused process, and waits for that very process to
// exit.
func (h *host) kill() {
	if p, _ := h.send(syscall.SIGKILL); p != nil {
		h.wait(p, h.grace)
	}
}

// shutDown kills the process and prevents further starts.
func (h *host) shutDown() {
	h.mu.Lock()
	h.isShutDown = true
	h.mu.Unlock()
	h.kill()
}

// currentIncarnation returns the number of starts so far.
func (h *host) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// ready reports whether the host's readiness endpoint answers 200.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ip + ":18001/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
