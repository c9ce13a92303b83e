package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/test/standin/fault"
)

const operatorToken = "operator"

// process is one program that this driver started.
type process struct {
	name string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
	// troubled holds the times at which the driver killed, froze or restarted it.
	troubled []time.Time
}

// start runs the program.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	done := make(chan error, 1)
	go func() {
		done <- cmd.Wait()
		log.Close()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
	return nil
}

// signal sends sig and notes the time.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled = append(p.troubled, time.Now())
	_ = p.cmd.Process.Signal(sig)
}

// wait returns how the program ended.
func (p *process) wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	return <-done
}

// kill ends the program at once and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.wait()
}

// troubledSince reports whether the driver hit the program after t, or shortly before.
func (p *process) troubledSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.troubled {
		if at.After(t.Add(-freezeLength - time.Second)) {
			return true
		}
	}
	return false
}

// fleet is every process of the run.
type fleet struct {
	dir      string
	platform *process
	engines  []*process
	service  *process
	entries  []*process
}

func (f *fleet) all() []*process {
	out := append([]*process{f.platform, f.service}, f.engines...)
	return append(out, f.entries...)
}

func (f *fleet) stop() {
	for _, p := range f.all() {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
	}
}

func (f *fleet) add(name string, args ...string) *process {
	return &process{name: name, args: args, log: filepath.Join(f.dir, name+".log")}
}

const (
	platformAddress = "127.0.0.1:18001"
	serviceAddress  = "127.0.0.1:18201"
	engineCount     = 3
	entryCount      = 4
)

func engineAddress(i int) string   { return fmt.Sprintf("127.0.0.1:1810%d", i) }
func callerAddress(i int) string   { return fmt.Sprintf("127.0.0.1:1840%d", i) }
func operatorAddress(i int) string { return fmt.Sprintf("127.0.0.1:1850%d", i) }
func peerAddress(i int) string     { return fmt.Sprintf("127.0.0.1:1860%d", i) }

func newFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir}
	f.platform = f.add("platform", "bin/standin", "platform", "--listen", platformAddress)
	f.service = f.add("service", "bin/standin", "service", "--listen", serviceAddress)
	for i := range engineCount {
		f.engines = append(f.engines, f.add(fmt.Sprintf("engine-%d", i), "bin/standin", "engine",
			"--listen", engineAddress(i), "--prefill", "5ms", "--decode", "10ms"))
	}
	for i := range entryCount {
		file := filepath.Join(dir, fmt.Sprintf("entry-%d.hujson", i))
		if err := os.WriteFile(file, entrySettings(i), 0o600); err != nil {
			return nil, err
		}
		f.entries = append(f.entries, f.add(fmt.Sprintf("entry-%d", i), "bin/briarlink", "serve", "--settings", file))
	}
	return f, nil
}

func entrySettings(i int) []byte {
	token := sha256.Sum256([]byte(operatorToken))
	return fmt.Appendf(nil, `{
  "host": {"id": "entry-%d", "availability_zone": "zone-%d"},
  "listen": {"caller": %q, "operator": %q, "peer": %q},
  "platform": {"address": %q},
  "operators": {"tokens": [{"name": "driver", "sha256": %q}]},
  "request": {"idle_timeout": "2s"},
  "member": {"answer_ttl": "2s", "heartbeat_interval": "200ms", "dead_after": "1500ms", "out_of_touch_after": "3s"},
}`, i, i%2, callerAddress(i), operatorAddress(i), peerAddress(i), platformAddress, hex.EncodeToString(token[:]))
}

// put sends v as JSON to a stand-in's control call.
func put(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

func plan(address string, p fault.Plan) error { return put("http://"+address+"/control", p) }

// until calls f until it succeeds, for at most limit.
func until(limit time.Duration, f func() error) error {
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func ready(i int) error {
	resp, err := http.Get("http://" + operatorAddress(i) + "/ready")
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("entry-%d is not ready", i)
	}
	return nil
}

// boot starts everything and waits until it serves.
func (f *fleet) boot() error {
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	type listed struct {
		ID          string `json:"id"`
		PeerAddress string `json:"peer_address"`
	}
	var hosts []listed
	for i := range entryCount {
		hosts = append(hosts, listed{fmt.Sprintf("entry-%d", i), peerAddress(i)})
	}
	err := until(10*time.Second, func() error { return put("http://"+platformAddress+"/control/hosts", hosts) })
	for i := range entryCount {
		if err == nil {
			err = until(10*time.Second, func() error { return ready(i) })
		}
	}
	return err
}

func (f *fleet) tail(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
