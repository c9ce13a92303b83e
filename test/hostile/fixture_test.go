//go:build hostile

package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/admin"
	"github.com/briarlink/briarlink/internal/peer"
	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
	"github.com/briarlink/briarlink/test/standin/wire"

	"connectrpc.com/connect"
)

const (
	// memoryMB is the memory of the host under test. Resident memory and the bytes in its sockets must stay below it.
	memoryMB = 96
	// descriptorLimit is what the process may open. reservedDescriptors are for files, so the sockets must stay below
	// the difference.
	descriptorLimit     = 712
	reservedDescriptors = 200
	// spareDescriptors is by how many more descriptors than at the start a host may have open after a crowd has left: it
	// keeps connections to servers.
	spareDescriptors = 32
	// hangLimit is the time after which a host that does not answer counts as hanging.
	hangLimit = 60 * time.Second
	// slowWork is how long the servers of the route /held/ work on a request.
	slowWork = 2 * time.Second
	key      = "key-of-museum-a"
)

const configuration = `{"Version": 1,
 "Routes": [
  {"Name": "updates", "Host": "museum.example", "PathPrefix": "/updates/", "RouteType": "unsafe", "TimeoutMs": 60000, "SloMs": 20000, "Priority": 2, "Service": "jobs", "Attempts": 1},
  {"Name": "held", "Host": "museum.example", "PathPrefix": "/held/", "RouteType": "unsafe", "TimeoutMs": 60000, "SloMs": 20000, "Priority": 2, "Service": "slow", "Attempts": 1},
  {"Name": "views", "Host": "museum.example", "PathPrefix": "/views/", "RouteType": "safe", "TimeoutMs": 60000, "SloMs": 20000, "Priority": 2, "Service": "jobs", "Attempts": 2}],
 "Services": [{"Name": "jobs", "HealthPath": "/healthz", "MaxConns": 4000}, {"Name": "slow", "HealthPath": "/healthz", "MaxConns": 4000}],
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
 "Tenants": [{"Name": "museum-a", "ApiKeys": ["key-of-museum-a"], "Priority": 1}]}`

const settingsFormat = `{"host": {"id": "small", "availability_zone": "z1", "memory_mb": %d},
"listen": {"caller": %q, "directory": %q, "ready": %q, "operator": %q, "metrics": %q, "peer": %q}, "platform": {"address": %q},
"request": {"idle_timeout": %q}}`

// listener names one of a host's listeners.
type listener int

const (
	callers listener = iota
	directory
	ready
	operators
	metrics
	peers
	listenerCount
)

// process is the program under test with its stand-ins.
type process struct {
	t       *testing.T
	pid     int
	address [listenerCount]string
	// exited is closed when the process has ended.
	exited  chan struct{}
	servers []*engine.Engine
	// socketPeak is the largest number of bytes seen in the process's sockets.
	socketPeak atomic.Int64
	// stopSampling ends the sampling of socketPeak.
	stopSampling func()
}

var program = sync.OnceValues(func() (string, error) {
	if path := os.Getenv("BRIARLINK"); path != "" {
		return filepath.Abs(path)
	}
	path := filepath.Join(os.TempDir(), fmt.Sprintf("briarlink-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/briarlink").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil && os.Getenv("BRIARLINK") == "" {
		os.Remove(path)
	}
	os.Exit(code)
}

func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// options are the limits of a host under test.
type options struct {
	memoryMB, descriptors int
	idleTimeout           time.Duration
}

func start(t *testing.T) *process {
	return startWith(t, options{memoryMB, descriptorLimit, time.Minute})
}

// startWith starts the program with a store and servers that take any number of requests.
func startWith(t *testing.T, o options) *process {
	t.Helper()
	st := store.New()
	storeAddress := serve(t, st.Handler())
	p := &process{t: t, exited: make(chan struct{})}
	for _, service := range []string{"jobs", "slow"} {
		var e *engine.Engine
		set := engine.Options{ID: "i-" + service, Service: service, Zone: "z1", Slots: 4000}
		if service == "slow" {
			set.Work = slowWork
		}
		set.Address = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.Handler().ServeHTTP(w, r) }))
		e = engine.New(set)
		p.servers = append(p.servers, e)
		if err := e.Register(func(key string, entry any) error { return st.PutJSON(platform.ReplicaTopic, key, entry) }, false); err != nil {
			t.Fatal(err)
		}
	}
	st.Put(platform.OperatorTopic, "config", []byte(configuration))
	for i := range p.address {
		p.address[i] = freeAddress(t)
	}
	p.run(fmt.Sprintf(settingsFormat, o.memoryMB, p.address[callers], p.address[directory], p.address[ready], p.address[operators],
		p.address[metrics], p.address[peers], storeAddress, o.idleTimeout), o.descriptors)
	return p
}

// lastHost is the last of the loopback addresses that processes were given. Each has one of its own, as a port that
// is free on a shared one may be taken before the process opens it.
var lastHost atomic.Int32

// freeAddress returns an address that nothing else uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := lastHost.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.81.%d.%d:0", n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (p *process) run(settings string, descriptors int) {
	t := p.t
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.hujson")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q serve --settings %q", descriptors, path, file))
	if path := os.Getenv("HOSTILE_LOG"); path != "" {
		log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		defer log.Close()
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		// The exit status does not matter: a process that ended before its test did is a failure in any case.
		_ = cmd.Wait()
		close(p.exited)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	p.stopSampling = cancel
	t.Cleanup(func() {
		cancel()
		_ = cmd.Process.Kill()
		<-p.exited
	})
	p.await("readiness", func() error { return p.get(ready, "/-/readyz") })
	go p.sampleSockets(ctx)
}

// await waits until a condition holds, and fails the test if the process has ended or hangs.
func (p *process) await(what string, condition func() error) {
	p.t.Helper()
	var err error
	for deadline := time.Now().Add(hangLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			p.t.Fatalf("the process ended while this was awaited: %s", what)
		default:
		}
		if err = condition(); err == nil {
			return
		}
	}
	p.t.Fatalf("the host hangs: %s: %v", what, err)
}

// get sends a request over a connection of its own, and returns an error unless it is answered with 200.
func (p *process) get(at listener, target string) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.address[at] + target)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

var lastID atomic.Int64

func newID() string { return fmt.Sprint("r-", lastID.Add(1)) }

// requestHead returns the head of a request without its last empty line.
func requestHead(method, target, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: museum.example\r\n%s: %s\r\n%s: %s\r\n%s: 50000\r\n", method, target, wire.Attempt, id, wire.Key, key, wire.Deadline)
}

// view sends an ordinary request, and returns an error unless it is served.
func (p *process) view() error {
	conn, err := net.DialTimeout("tcp4", p.address[callers], 5*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	id := newID()
	if _, err := io.WriteString(conn, requestHead("GET", "/views/1", id)+"\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		p.checkPromise(id, resp.StatusCode)
		return fmt.Errorf("status %d, %v: %s", resp.StatusCode, err, body)
	}
	return nil
}

// checkPromise fails the test if a request ran whose status says that it did not.
func (p *process) checkPromise(id string, status int) {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		return
	}
	for _, e := range p.servers {
		if e.Ran(id) > 0 {
			p.t.Errorf("request %s was answered %d and ran", id, status)
		}
	}
}

// checkServes fails the test unless every listener answers.
func (p *process) checkServes() {
	p.t.Helper()
	p.await("an ordinary request", p.view)
	p.await("a directory query", func() error { return p.get(directory, "/-/resolve?Name=museum.example&Region=r&Zone=z1") })
	p.await("a readiness check", func() error { return p.get(ready, "/-/readyz") })
	p.await("metrics", func() error { return p.get(metrics, "/metrics") })
	p.await("an operator's call", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := admin.NewClient(p.address[operators]).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		http.DefaultClient.CloseIdleConnections()
		return err
	})
	p.await("another host's call", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		client := peer.NewClient()
		defer client.Close()
		_, err := client.FetchRecords(ctx, p.address[peers], &pb.FetchRecordsRequest{Topic: platform.OperatorTopic, AvailabilityZone: "z1"})
		return err
	})
}

var memoryLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	m := memoryLine.FindSubmatch(status)
	if err != nil || m == nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	kb, err := strconv.ParseInt(string(m[1]), 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kb << 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	return len(entries)
}

// sampleSockets keeps socketPeak up to date until the context ends.
func (p *process) sampleSockets(ctx context.Context) {
	ports := map[string]bool{}
	for _, address := range p.address {
		_, port, _ := strings.Cut(address, ":")
		n, err := strconv.Atoi(port)
		if err != nil {
			panic(err)
		}
		ports[fmt.Sprintf("%04X", n)] = true
	}
	for ctx.Err() == nil {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return
		}
		p.socketPeak.Store(max(p.socketPeak.Load(), queuedBytes(string(table), ports)))
		time.Sleep(50 * time.Millisecond)
	}
}

// queuedBytes returns the bytes in the sockets at local ports, as a kernel table lists them.
func queuedBytes(table string, ports map[string]bool) int64 {
	sum := int64(0)
	for line := range strings.Lines(table) {
		f := strings.Fields(line)
		if len(f) < 5 || len(f[1]) < 4 || !ports[f[1][len(f[1])-4:]] {
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, text := range []string{sent, received} {
			if n, err := strconv.ParseInt(text, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}

var heldLine = regexp.MustCompile(`(?m)^briarlink_memory_held_bytes\{.*\} (\S+)$`)

// heldBytes returns the bytes that the host has reserved for callers.
func (p *process) heldBytes() (float64, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.address[metrics] + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for _, m := range heldLine.FindAllSubmatch(text, -1) {
		n, err := strconv.ParseFloat(string(m[1]), 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}
