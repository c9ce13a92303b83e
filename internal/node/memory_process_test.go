package node

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/briarlink/briarlink/test/standin/engine"
)

// settingsOfSmallHost are the settings of a process on a host of 184 MB.
const settingsOfSmallHost = `{"host": {"id": "small", "availability_zone": "z1", "memory_mb": 184}, "overload": {"memory_share": %s},
"listen": {"caller": %q, "directory": %q, "ready": %q, "operator": %q, "peer": %q}, "platform": {"address": %q}}`

// startProcess starts the program itself, and returns its process ID and the address for callers.
func startProcess(t *testing.T, storeAddress, share string) (pid int, address string) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "briarlink")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/briarlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	listeners, at := openAnywhere(t)
	listeners.close()
	file := filepath.Join(dir, "settings.hujson")
	text := fmt.Sprintf(settingsOfSmallHost, share, at.Caller, at.Directory, at.Ready, at.Operator, at.Peer, storeAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(program, "serve", "--settings", file)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	eventually(t, "readiness of the process", func() bool {
		resp, err := http.Get("http://" + at.Ready + "/-/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return process.Process.Pid, at.Caller
}

var memoryLine = regexp.MustCompile(`(VmHWM|VmRSS):\s+(\d+) kB`)

// processMemory returns the resident memory in MB: the most that a process ever had, and what it has now.
func processMemory(t *testing.T, pid int) map[string]int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]int{}
	for _, m := range memoryLine.FindAllStringSubmatch(string(status), -1) {
		kb, err := strconv.Atoi(m[2])
		if err != nil {
			t.Fatal(err)
		}
		out[m[1]] = kb >> 10
	}
	return out
}

// TestProcessStaysWithinItsMemory guards against memory that the budget does not count: the real process of a
// host of 184 MB has the callers of TestSlowCallersStayWithinTheBudget.
func TestProcessStaysWithinItsMemory(t *testing.T) {
	s := newSite(t)
	s.backend(engine.Options{ID: "i-jobs", Service: "jobs", Slots: 4000})
	s.backend(engine.Options{ID: "i-pages", Service: "pages", Slots: 4000})
	s.configureForSlowCallers()
	pid, address := startProcess(t, s.address, shareOfSmallHost())
	idle := processMemory(t, pid)
	slow := slowCallers{stop: make(chan struct{})}
	defer close(slow.stop)
	slow.start(t, address, 0, 100)
	time.Sleep(time.Second)
	slow.start(t, address, 1000, 0)
	var sound [4]soundCaller
	var wg sync.WaitGroup
	for i := range sound {
		wg.Go(func() { sound[i].run(address, time.Now().Add(6*time.Second)) })
	}
	wg.Wait()
	memory := processMemory(t, pid)
	t.Logf("idle %v, at the end %v MB; sound callers %+v", idle, memory, sound)
	for _, c := range sound {
		// Socket buffers that are too small, or shrink while in use, stall each answer for 200 ms.
		if 4*c.quick < c.sent || float64(c.served) < 0.97*float64(c.sent) || float64(c.largeServed) < 0.9*float64(c.largeSent) {
			t.Errorf("a sound caller was not served as before: %+v", c)
		}
	}
	if memory["VmHWM"] == 0 || memory["VmHWM"] > 184 {
		t.Errorf("the process of a host of 184 MB used %d MB", memory["VmHWM"])
	}
}

// shareOfSmallHost is the memory share of the process, which a trial may change.
func shareOfSmallHost() string {
	if share := os.Getenv("MEMORY_SHARE"); share != "" {
		return share
	}
	return "0.5"
}
