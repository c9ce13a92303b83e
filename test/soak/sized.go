package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
)

const (
	// maxRestarts is the maximum number of restarts of a server in a row.
	maxRestarts = 4
	// maxMalformed is the maximum number of malformed entries written at once.
	maxMalformed = 60
	// failoverTime is how soon the directory must name other hosts after the loss of all
	// routing hosts, which is detected after 2.5 s at most.
	failoverTime = 4 * time.Second
)

// withMixed adds servers that restart under the same ID, losses of all routing hosts, and
// malformed entries. Series of planned work get only malformed entries.
func withMixed(series []fault, rng *rand.Rand, s size, length time.Duration, plannedOnly bool) []fault {
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(4 * meanGap))) {
		f := drawMixed(rng, s)
		for plannedOnly && !f.planned {
			f = drawMixed(rng, s)
		}
		f.at = at
		series = append(series, f)
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

func drawMixed(rng *rand.Rand, s size) fault {
	j, duration, seed := rng.IntN(s.writers+s.jobs), time.Duration(rng.Int64N(int64(meanGap))), rng.Uint64()
	times, entries := 1+rng.IntN(maxRestarts), 1+rng.IntN(maxMalformed)
	switch rng.IntN(5) {
	case 0, 1:
		return fault{name: fmt.Sprintf("server %d starts again under its ID %d times, down for %v", j, times, duration), do: func(fx *fixture) { fx.restartServer(j, times, duration) }}
	case 2:
		return fault{name: fmt.Sprintf("kill the routing hosts, start after %v", duration), do: func(fx *fixture) { fx.killRouting(duration) }}
	default:
		return fault{name: fmt.Sprintf("%d malformed entries", entries), planned: true, do: func(fx *fixture) { fx.writeMalformed(rand.New(rand.NewPCG(seed, 0)), entries) }}
	}
}

// restartServer crashes a server and starts it again under its ID, repeatedly.
func (fx *fixture) restartServer(j, times int, down time.Duration) {
	s := fx.servers[j]
	end := fx.faults.begin("restart of a server", nil, false)
	defer end()
	s.replacing.Lock()
	defer s.replacing.Unlock()
	for range times {
		s.front.set(reset)
		time.Sleep(down)
		s.mu.Lock()
		fx.startWithID(s, s.engine.ID)
		s.mu.Unlock()
		s.front.set(pass)
		time.Sleep(down)
	}
}

// routing returns the hosts that the directory names, according to the first of the given
// hosts that answers.
func (fx *fixture) routing(directories []*host) []*host {
	c := fx.newCaller(directories)
	c.Zone = ""
	named, err := c.Resolve(context.Background())
	if err != nil {
		return nil
	}
	var out []*host
	for _, h := range fx.hosts {
		if slices.Contains(named, h.caller()) {
			out = append(out, h)
		}
	}
	return out
}

func (fx *fixture) killRouting(after time.Duration) {
	end := fx.faults.begin("kill of the routing hosts", nil, false)
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, h := range fx.routing(fx.hosts) {
		wg.Go(func() { fx.killHost(slices.Index(fx.hosts, h), after) })
	}
}

// checkFailover kills the routing hosts while nothing else is disturbed. The standby hosts
// must replace them in the directory, serve, and load weights that are requested meanwhile.
func (fx *fixture) checkFailover() {
	lost := fx.routing(fx.hosts)
	remaining := slices.DeleteFunc(slices.Clone(fx.hosts), func(h *host) bool { return slices.Contains(lost, h) })
	if len(lost) == 0 || len(remaining) == 0 {
		fx.observed.fail("%d of %d hosts are named to callers", len(lost), len(fx.hosts))
		return
	}
	var wg sync.WaitGroup
	for _, h := range lost {
		defer fx.faults.begin("loss with all routing hosts", h, false)()
		wg.Go(h.kill)
	}
	wg.Wait()
	fx.operator.bumpWeights()
	time.Sleep(failoverTime)
	for _, h := range remaining {
		named := fx.routing([]*host{h})
		if len(named) == 0 || slices.ContainsFunc(named, func(n *host) bool { return slices.Contains(lost, n) }) {
			fx.observed.fail("%s sends callers to %d hosts, lost ones or none, %v after the loss of the routing hosts", h.id, len(named), failoverTime)
		}
	}
	fx.checkRecovery(remaining)
	for _, h := range lost {
		wg.Go(func() { fx.restart(h) })
	}
	wg.Wait()
	fx.waitReady()
}

// trap listens at the address in malformed entries, where no request may arrive.
type trap struct {
	address string
	http    *http.Server
}

func newTrap(address string, observed *observations) (*trap, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	t := &trap{listener.Addr().String(), &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		observed.fail("%s %s went to the address of a malformed entry", r.Method, r.URL.Path)
	})}}
	go t.http.Serve(listener)
	return t, nil
}

// malformed are invalid entries of servers; %q is replaced by an address.
var malformed = []string{
	`{"Service":"writer","Addr":%q`,
	`{"Service":"writer","Addr":%q}`,
	`[%q]`,
	`{"Service":"jobs","Addr":%q,"Zone":"zone-0","Version":"v1","Slots":0,"State":"ready","ColdLeftMs":0,"Seq":0}`,
	`{"Service":"jobs","Addr":%q,"Zone":"zone-0","Version":"v1","Slots":"8","State":"ready","ColdLeftMs":0,"Seq":0}`,
	`{"Service":"jobs","Addr":%q,"Zone":"zone-0","Version":"v1","Slots":8,"State":"waiting","ColdLeftMs":0,"Seq":0}`,
	`{"Service":"writer","Addr":%q,"Zone":null,"Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":0,"Models":[{"Name":"m","Version":1}]}`,
	`{"Service":"writer","Addr":%q,"Zone":"zone-0","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"Seq":0,"Models":{"m":1}}`,
}

// writeMalformed writes malformed entries under unused IDs and sometimes under that of a
// real server, whose next heartbeat replaces the entry. Some also go to other topics.
func (fx *fixture) writeMalformed(rng *rand.Rand, n int) {
	for i := range n {
		key := fmt.Sprintf("stranger-%d", i)
		if rng.IntN(8) == 0 {
			key = fx.servers[rng.IntN(len(fx.servers))].current().ID
		}
		value := fmt.Appendf(nil, malformed[rng.IntN(len(malformed))], fx.trap.address)
		fx.store.Put(platform.ReplicaTopic, key, value)
		switch rng.IntN(16) {
		case 0:
			fx.store.Put(platform.OperatorTopic, fmt.Sprintf("version/stranger-%d", i), value)
		case 1:
			fx.store.Put(platform.HostTopic, key, value)
		}
	}
}
