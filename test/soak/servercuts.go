package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// serverCutSeeds is the first of the seeds, below and above fleetSeeds, in which hosts are cut off
	// from all servers. These seeds have no other faults that last as long.
	serverCutSeeds = 10000
	// minCutTime and maxCutTime limit how long a cut lasts, and cutGap is the time between two.
	minCutTime = 6 * time.Second
	maxCutTime = 9 * time.Second
	cutGap     = time.Second
	// cutsPerSeed is the number of cuts of a seed, one after the other.
	cutsPerSeed = 2
	// maxFailedFirstTries and failedFirstTriesShare bound how many first tries may fail at hosts that
	// are cut off, from recoveryTime after a cut began, if they are served less than minServedRatio as
	// often as those at the others.
	maxFailedFirstTries   = 10
	failedFirstTriesShare = 50
	minServedRatio        = 2.0 / 3
)

// cutOffName is the name of the disturbance of a host that is cut off from all servers.
const cutOffName = "cut off from the servers"

func hasServerCuts(seed uint64) bool {
	return seed%fleetSeeds >= serverCutSeeds && !hasOverload(seed) && !hasRejections(seed) && !hasSilences(seed) && !hasPromises(seed) && !hasEarlyAnswers(seed)
}

// cutMode is what a cut does to the open connections between a host and the servers. New ones are reset
// in each mode: a proxy cannot leave a connection attempt without an answer, and one that opens a
// connection shows that packets pass in both directions.
type cutMode string

const (
	cutHangs      cutMode = "hangs"
	cutResets     cutMode = "resets"
	cutRefusesNew cutMode = "lets open connections live"
)

// withServerCuts adds cuts of hosts from all servers.
func withServerCuts(series []fault, rng *rand.Rand, s size) []fault {
	sets := map[string]func(i int) bool{
		"host 0":             func(i int) bool { return i == 0 },
		"a zone":             func(i int) bool { return i%2 == 1 },
		"the large hosts":    func(i int) bool { return i < s.large },
		"all hosts but one":  func(i int) bool { return i != 1 },
		"more than half":     func(i int) bool { return i <= s.hosts/2 },
		"the last two hosts": func(i int) bool { return i >= s.hosts-2 },
	}
	names := []string{"host 0", "a zone", "the large hosts", "all hosts but one", "more than half", "the last two hosts"}
	modes := []cutMode{cutHangs, cutResets, cutRefusesNew}
	var steps []func(fx *fixture)
	text := ""
	for range cutsPerSeed {
		name, mode := names[rng.IntN(len(names))], modes[rng.IntN(len(modes))]
		duration := minCutTime + time.Duration(rng.Int64N(int64(maxCutTime-minCutTime)))
		text += fmt.Sprintf("; %s cut off from all servers for %v, %s", name, duration, mode)
		steps = append(steps, func(fx *fixture) { fx.cutFromServers(sets[name], mode, duration) })
	}
	cuts := fault{at: 0, name: strings.TrimPrefix(text, "; "), planned: true, do: func(fx *fixture) {
		for _, step := range steps {
			time.Sleep(cutGap)
			step(fx)
		}
	}}
	return append([]fault{cuts}, series...)
}

// serverCut is the time during which hosts were cut off.
type serverCut struct {
	hosts    map[*host]bool
	mode     cutMode
	from, to time.Time
}

// serverCuts holds the cuts of a seed. It is safe for concurrent use.
type serverCuts struct {
	mu    sync.Mutex
	modes map[*host]cutMode
	spans []serverCut
	// figures says how many first tries were served in each cut, once they are counted.
	figures string
}

// cutHosts returns the hosts that are cut off now.
func (c *serverCuts) cutHosts() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.modes))
}

// mode returns how a host is cut off now, or "".
func (c *serverCuts) mode(h *host) cutMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.modes[h]
}

func (c *serverCuts) set(hosts map[*host]bool, mode cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.modes = map[*host]cutMode{}
	for h := range hosts {
		if mode != "" {
			c.modes[h] = mode
		}
	}
}

func (fx *fixture) cutFromServers(chosen func(i int) bool, mode cutMode, d time.Duration) {
	cut := serverCut{hosts: map[*host]bool{}, mode: mode, from: time.Now()}
	for i, h := range fx.hosts {
		if chosen(i) {
			cut.hosts[h] = true
		}
	}
	for h := range cut.hosts {
		defer fx.faults.begin(cutOffName, h, false)()
	}
	fx.cuts.set(cut.hosts, mode)
	if mode == cutResets {
		for _, s := range fx.servers {
			s.front.resetOf(cut.hosts)
		}
	}
	time.Sleep(d)
	fx.cuts.set(nil, "")
	cut.to = time.Now()
	fx.cuts.mu.Lock()
	defer fx.cuts.mu.Unlock()
	fx.cuts.spans = append(fx.cuts.spans, cut)
}

// ownerOf returns which of the given hosts' processes opened a connection to a proxy, or nil.
func ownerOf(c *net.TCPConn, hosts []*host) *host {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == 0 {
		return nil
	}
	link := fmt.Sprintf("socket:[%d]", inode)
	for _, h := range hosts {
		if pid := h.pid(); pid != 0 && hasOpen(pid, link) {
			return h
		}
	}
	return nil
}

// hasOpen reports whether a process has a file open. The newest descriptors are mostly the highest.
func hasOpen(pid int, link string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	numbers := make([]int, 0, len(fds))
	for _, fd := range fds {
		if n, err := strconv.Atoi(fd.Name()); err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range slices.Backward(numbers) {
		if target, err := os.Readlink(filepath.Join(dir, strconv.Itoa(n))); err == nil && target == link {
			return true
		}
	}
	return false
}

// otherwiseDisturbed reports whether a host was disturbed by anything but a cut from the servers.
func (fx *fixture) otherwiseDisturbed(h *host, from, to time.Time) bool {
	return fx.faults.any(from, to, func(d *disturbance) bool {
		return d.host == h && d.name != "reload" && d.name != cutOffName || d.name == "kill all" || d.name == "store"
	})
}

// checkServerCuts checks that callers of hosts that are cut off from all servers are served about as
// often as those of the others. Only first tries at hosts without other disturbances count.
func (fx *fixture) checkServerCuts(requests []*request) {
	byAddress := map[string]*host{}
	for _, h := range fx.hosts {
		byAddress[h.caller()] = h
	}
	for _, cut := range fx.cuts.spans {
		var sent, served [2]int
		for _, s := range requests {
			h := s.host
			if h == nil {
				h = byAddress[s.answer.Address]
			}
			alwaysAllowed := mainKeys[s.key] != "" && s.key != limitedKey
			if h == nil || !alwaysAllowed || s.from.Before(cut.from.Add(recoveryTime)) || s.from.After(cut.to) || fx.otherwiseDisturbed(h, s.from, s.to) {
				continue
			}
			i := 1
			s.cutCount = "counted at others"
			if cut.hosts[h] {
				i, s.cutCount = 0, "counted at cut hosts"
			}
			sent[i]++
			if s.err == nil && s.answer.Status == http.StatusOK && s.answer.Whole {
				served[i]++
			}
		}
		fx.cuts.figures += fmt.Sprintf("; first tries served at cut hosts %d of %d, others %d of %d", served[0], sent[0], served[1], sent[1])
		if sent[0] == 0 || sent[1] == 0 {
			continue
		}
		failed := sent[0] - served[0]
		share := func(i int) float64 { return float64(served[i]) / float64(sent[i]) }
		if share(0) < minServedRatio*share(1) && failed > maxFailedFirstTries+(sent[0]+sent[1])/failedFirstTriesShare {
			fx.observed.fail("%d hosts cut off from all servers from %s to %s served %d of %d first tries, the others %d of %d",
				len(cut.hosts), cut.from.Format("15:04:05.000"), cut.to.Format("15:04:05.000"), served[0], sent[0], served[1], sent[1])
		}
	}
}
