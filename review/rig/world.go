package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// errSetup is the cause of a case that could not run.
var errSetup = errors.New("the case could not run")

const (
	programs    = "target/review-2"
	apiKey      = "key-of-museum"
	consumerFor = "museum.example"
)

// world is a small deployment: the platform's store, replicas and entry hosts as separate processes.
type world struct {
	dir     string
	network string
	record  *os.File
	began   time.Time
	// settings are further lines of the hosts' settings files.
	settings []string
	store    string
	operator *platform.Store

	mu        sync.Mutex
	processes []*process
	hosts     []*host
	said      []string
	replicas  int
}

type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type host struct {
	name, ip, front, ready, directory string
	process                           *process
	file                              string
}

// newWorld returns a world that has a store only.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, began: time.Now(), network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))}
	if w.store, err = w.freeAddress("1"); err != nil {
		return nil, err
	}
	if _, err := w.start("store", nil, programs+"/standin", "store", "--listen", w.store); err != nil {
		return nil, err
	}
	w.operator = platform.NewStore(w.store, 5*time.Second)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a free address of the world's own part of the loopback network. Its port is below those that the
// system gives to outgoing connections.
func (w *world) freeAddress(last string) (string, error) {
	const lowest, ports, tries = 12000, 18000, 100
	for range tries {
		address := fmt.Sprintf("%s.%s:%d", w.network, last, lowest+rand.IntN(ports))
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("%w: no free port", errSetup)
}

// start starts a process. Its output goes to a file, and with lines to a function.
func (w *world) start(name string, lines func(string), words ...string) (*process, error) {
	return w.startWith(name, nil, lines, words...)
}

func (w *world) startWith(name string, env []string, lines func(string), words ...string) (*process, error) {
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}, env...)
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	cmd.Stdout = log
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	var out io.ReadCloser
	if lines != nil {
		cmd.Stdout = nil
		if out, err = cmd.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		if out != nil {
			scanner := bufio.NewScanner(out)
			for scanner.Scan() {
				lines(scanner.Text())
			}
		}
		_ = cmd.Wait()
		_ = log.Close()
	}()
	return p, nil
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	_ = w.record.Close()
}

// put writes an operator's record. The store's answer is its ack.
func (w *world) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	for range 50 {
		if _, err = w.operator.Append(context.Background(), platform.OperatorTopic, platform.Record{Key: key, Value: data}, -1); err == nil {
			w.note("operator wrote op/%s", key)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// removeEntry removes a replica's entry, as the platform does after three heartbeat intervals of silence.
func (w *world) removeEntry(id string) {
	_, err := w.operator.Append(context.Background(), platform.ReplicaTopic, platform.Record{Key: id, Removed: true}, -1)
	w.note("platform removed the entry of %s (%v)", id, err)
}

// startReplica starts a replica at an address, a free one if it is "", and returns its ID and address.
func (w *world) startReplica(address string, words ...string) (p *process, id, at string, err error) {
	if address == "" {
		if address, err = w.freeAddress("2"); err != nil {
			return nil, "", "", err
		}
	}
	w.mu.Lock()
	w.replicas++
	id = fmt.Sprintf("i-%02d", w.replicas)
	w.mu.Unlock()
	words = append([]string{programs + "/rig", "replica", "--store", w.store, "--listen", address, "--id", id}, words...)
	p, err = w.start(id, w.hear, words...)
	w.note("replica %s started at %s", id, address)
	return p, id, address, err
}

// hear records a line of a replica.
func (w *world) hear(line string) {
	w.mu.Lock()
	w.said = append(w.said, line)
	w.mu.Unlock()
	_, text, _ := strings.Cut(line, " ")
	w.note("replica %s", text)
}

// startHosts starts entry hosts and waits until they are ready.
func (w *world) startHosts(n int) error {
	var seeds []string
	for i := range n {
		h := &host{name: fmt.Sprintf("edge-a-%d", i+1), ip: fmt.Sprintf("%s.%d", w.network, 11+i)}
		w.hosts = append(w.hosts, h)
	}
	ports := map[string]string{}
	for _, name := range []string{"Front", "Ready", "Control", "Directory", "Peer"} {
		address, err := w.freeAddress("11")
		if err != nil {
			return err
		}
		_, ports[name], _ = net.SplitHostPort(address)
	}
	for _, h := range w.hosts {
		seeds = append(seeds, h.ip+":"+ports["Control"])
	}
	for _, h := range w.hosts {
		h.front, h.ready, h.directory = h.ip+":"+ports["Front"], h.ip+":"+ports["Ready"], h.ip+":"+ports["Directory"]
		lines := append([]string{
			"NodeName=" + h.name, "Role=entry", "MachineClass=edge", "Serves=edge,control,directory", "Ip=" + h.ip,
			"Zone=zone-a", "Region=region", "Zones.zone-a=region",
			"Listen.Front=" + h.front, "Listen.Ready=" + h.ready, "Listen.Control=" + h.ip + ":" + ports["Control"], "Listen.Directory=" + h.directory,
			"PortRange=" + ports["Peer"] + "," + ports["Peer"], "Seeds=" + strings.Join(seeds[:min(3, len(seeds))], ","), "Bootstrap=true",
			"Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0",
			"Discovery=platform", "Entrypoint=directory", "HeartbeatMs=1200",
			"Policies=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
			"Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000",
			"Bounds.RollbackSlackMs=250", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.RetrySlack=58", "Bounds.LeaseMs=3000",
			"Bounds.VersionMs=8000", "Bounds.ttl_max_s=5",
			"Provider.Addr=" + w.store, "Provider.form=log", "Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.keep_s=300",
		}, w.settings...)
		h.file = filepath.Join(w.dir, h.name+".conf")
		if err := os.WriteFile(h.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !w.awaitReady(h, 15*time.Second) {
			return fmt.Errorf("%w: %s is not ready", errSetup, h.name)
		}
	}
	return nil
}

func (w *world) startHost(h *host) error {
	p, err := w.startWith(h.name, []string{platform.SettingsVariable + "=" + h.file}, nil, "target/briarlink", "serve")
	h.process = p
	w.note("host %s started", h.name)
	return err
}

func (w *world) awaitReady(h *host, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.note("host %s is ready", h.name)
				return true
			}
		}
	}
	return false
}

// answer is what a consumer got in one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// err is set if the channel ended without a complete answer.
	err     error
	elapsed time.Duration
}

func (a *answer) own() bool { return a.status != 0 && a.header.Get(wire.Seal) == "" }

// denied reports whether the answer counts for the rule DENIED: a 3xx or 4xx of the system's own that isn't a promise.
func (a *answer) denied() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.own() && a.status >= 300 && a.status < 500
}

// tooManyDenied reports whether more than five requests and one in 500 were denied.
func (w *world) tooManyDenied(total, denied int) bool {
	allowed := 5 + total/500
	w.note("%d requests, %d of them denied; allowed %d", total, denied, allowed)
	fmt.Printf("%d requests, %d of them ended with a 4xx of the system's own; allowed %d\n", total, denied, allowed)
	return denied > allowed
}

// ask sends a request like a consumer with one retry, each attempt at another host, and returns all answers. It retries
// after a failure at once, after a promise when Retry-After says, up to a third of the time left, and never after an answer
// that forbids it.
func (w *world) ask(n int, r request) []*answer {
	const attempts = 2
	deadline := time.Now().Add(r.deadline)
	var out []*answer
	for try := range attempts {
		r.deadline = time.Until(deadline)
		a := w.send(context.Background(), w.hosts[(n+try)%len(w.hosts)], r)
		out = append(out, a)
		if a.final() || try == attempts-1 {
			break
		}
		seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3))
	}
	return out
}

// final reports whether a consumer does not retry after the answer.
func (a *answer) final() bool {
	switch a.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return a.err == nil && a.status >= 200 && a.status < 300
}

// request is one request of a consumer.
type request struct {
	method, path, body string
	header             http.Header
	deadline           time.Duration
}

var consumer = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// send makes one attempt at a host, on a new channel.
func (w *world) send(ctx context.Context, h *host, r request) *answer {
	a := &answer{id: fmt.Sprintf("%016x", rand.Uint64()), header: http.Header{}}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.deadline)
	defer cancel()
	defer func() {
		a.elapsed = time.Since(start)
		w.note("consumer %s %s %s at %s: status %d, %d bytes, seal %q, %v, error %v, %s", a.id, r.method, r.path, h.name, a.status, len(a.body), a.header.Get(wire.Seal), a.elapsed.Round(time.Millisecond), a.err, strings.TrimSpace(ownText(a)))
	}()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.front+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = consumerFor
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set(wire.Attempt, a.id)
	req.Header.Set(wire.Deadline, fmt.Sprint(r.deadline.Milliseconds()))
	req.Header.Set(wire.Key, apiKey)
	resp, err := consumer.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	return a
}

// ownText returns the text of an answer without a seal.
func ownText(a *answer) string {
	if !a.own() {
		return ""
	}
	return string(a.body)
}

// runsByReplica returns how many requests for a path each replica began to run.
func (w *world) runsByReplica(path string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, line := range w.said {
		// A line has the time, the replica, "runs", the request's ID, the method and the path.
		if f := strings.Fields(line); len(f) >= 6 && f[2] == "runs" && f[5] == path {
			out[f[1]]++
		}
	}
	return out
}
