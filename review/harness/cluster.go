package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	// storeTimeout limits a call to the store, and readyTimeout the wait for a host to be ready.
	storeTimeout = 2 * time.Second
	readyTimeout = 20 * time.Second
	// killDelay is the time between SIGTERM and SIGKILL when a run ends.
	killDelay = 200 * time.Millisecond
)

// Bounds of the settings, as on the sheet of a small deployment.
const (
	graceS        = 8
	configApplyMs = 2000
	contactMs     = 3000
)

// cluster is a store and entry hosts, which run as processes.
type cluster struct {
	dir       string
	record    *record
	network   string
	storeAddr string
	store     *platform.Store
	hosts     []*host
	processes []*exec.Cmd
}

// host is an entry host.
type host struct {
	name, ip                         string
	front, ready, directory, control string
	firstPort, lastPort              int
	settings                         string
	process                          *exec.Cmd
	exited                           chan struct{}
	// startedAt is when its process was started, or zero once it was told to stop.
	startedAt time.Time
}

// inTouch reports whether the host's process has run for ContactMs.
func (h *host) inTouch(now time.Time) bool {
	return !h.startedAt.IsZero() && now.Sub(h.startedAt) >= contactMs*time.Millisecond
}

// newCluster picks loopback addresses that nobody uses and starts the store.
func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: rec, network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+(os.Getpid()/200)%250)}
	c.storeAddr, err = freeAddress(c.network + ".1")
	if err != nil {
		return nil, err
	}
	if _, err := c.start("store", nil, "target/review/standin", "store", "--listen", c.storeAddr); err != nil {
		return nil, err
	}
	c.store = platform.NewStore(c.storeAddr, storeTimeout)
	for range 100 {
		if conn, err := net.DialTimeout("tcp4", c.storeAddr, time.Second); err == nil {
			conn.Close()
			return c, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, fmt.Errorf("the store does not listen")
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// start starts a process whose output goes to a log file.
func (c *cluster) start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.processes = append(c.processes, cmd)
	return cmd, nil
}

// stop ends all processes that were started.
func (c *cluster) stop() {
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(killDelay)
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGKILL)
	}
	for _, h := range c.hosts {
		if h.exited != nil {
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// startHosts starts entry hosts, and waits until all of them are ready.
func (c *cluster) startHosts(n int, zones []string) error {
	ports := make([]int, 5)
	for i := range ports {
		port, err := freePort(c.network + ".10")
		if err != nil {
			return err
		}
		ports[i] = port
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", c.network, 10+i, ports[3]))
	}
	for i := range n {
		ip := fmt.Sprintf("%s.%d", c.network, 10+i)
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		h := &host{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: at(ports[0]), ready: at(ports[1]), directory: at(ports[2]), control: at(ports[3]),
			firstPort: ports[4], lastPort: ports[4], settings: filepath.Join(c.dir, fmt.Sprintf("edge-%d.conf", i+1)),
		}
		if err := os.WriteFile(h.settings, []byte(c.settingsOf(h, zones[i%len(zones)], zones, seeds)), 0o600); err != nil {
			return err
		}
		c.hosts = append(c.hosts, h)
		if err := c.startHost(h); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

func (c *cluster) startHost(h *host) error {
	cmd, err := c.start(h.name, []string{platform.SettingsVariable + "=" + h.settings}, "target/briarlink", "serve")
	if err != nil {
		return err
	}
	h.process, h.exited, h.startedAt = cmd, make(chan struct{}), time.Now()
	exited := h.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.record.note("host %s started as process %d at %s", h.name, cmd.Process.Pid, h.front)
	return nil
}

func (c *cluster) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, h := range c.hosts {
		for !isReady(h) {
			if time.Now().After(until) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(h *host) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// settingsOf returns the settings of a process in the platform's format.
func (c *cluster) settingsOf(h *host, zone string, zones, seeds []string) string {
	lines := []string{
		"NodeName=" + h.name, "Role=entry", "MachineClass=edge", "Serves=edge,control,directory", "Ip=" + h.ip,
		"Zone=" + zone, "Region=valle-central",
		"Listen.Front=" + h.front, "Listen.Ready=" + h.ready, "Listen.Control=" + h.control, "Listen.Directory=" + h.directory,
		fmt.Sprintf("PortRange=%d,%d", h.firstPort, h.lastPort), "Seeds=" + strings.Join(seeds, ","), "Bootstrap=true", "FaultCounted=false",
		"Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entrypoint=directory", "HeartbeatMs=1200", "Policies=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.AddrReuseS=2", fmt.Sprintf("Bounds.ContactMs=%d", contactMs), "Bounds.AckMs=4000", "Bounds.SyncS=4", "Bounds.DrainMs=2000",
		fmt.Sprintf("Bounds.GraceS=%d", graceS), "Bounds.LossSlackMs=200", fmt.Sprintf("Bounds.ConfigApplyMs=%d", configApplyMs), "Bounds.RollbackSlackMs=250", "Bounds.MaxSkewMs=5000",
		"Bounds.StrictRevoke=false", "Bounds.RevokeMs=5000", "Bounds.BudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.RetrySlack=58", "Bounds.RecoverS=12",
		"Bounds.TransitMs=120", "Bounds.AgainS=10", "Bounds.RequireFence=false", "Bounds.LeaseMs=3000", "Bounds.ThawSlackMs=300", "Bounds.VersionMs=8000",
		"Bounds.VersionAllMs=11000", "Bounds.ttl_max_s=5",
		"Provider.Addr=" + c.storeAddr, "Provider.form=log", "Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.parts=8", "Provider.AppendMs=4.0",
		"Provider.PartMbS=20.0", "Provider.ReadMbS=80.0", "Provider.RecordBytes=262144", "Provider.CallBytes=2097152", "Provider.keep_s=20", "Provider.PartMb=200", "Provider.TtlMinMs=1000",
	}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"=valle-central")
	}
	return strings.Join(lines, "\n") + "\n"
}

// put writes a record of operators or servers and returns once the store has acknowledged it.
func (c *cluster) put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.store.Append(context.Background(), topic, platform.Record{Key: key, Value: data}, -1)
	return err
}

// remove removes a key.
func (c *cluster) remove(topic, key string) error {
	_, err := c.store.Append(context.Background(), topic, platform.Record{Key: key}, -1)
	return err
}
