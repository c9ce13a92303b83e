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
	// mostRestarts is how often a server starts again in one series, at most.
	mostRestarts = 4
	// mostMalformed is the largest number of malformed entries written at once.
	mostMalformed = 60
	// takeOver is when callers must be sent to other hosts once all routing ones are
	// lost: their silence is noticed after 2.5 s at most.
	takeOver = 4 * time.Second
)

// withSized adds servers that start again under their IDs, losses of all routing
// hosts, and malformed entries; only the latter where nothing but planned work is done.
func withSized(series []fault, rng *rand.Rand, s size, length time.Duration, plannedOnly bool) []fault {
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(4 * meanGap))) {
		f := drawSized(rng, s)
		for plannedOnly && !f.planned {
			f = drawSized(rng, s)
		}
		f.at = at
		series = append(series, f)
	}
	slices.SortStableFunc(series, func(a, b fault) int { return int(a.at - b.at) })
	return series
}

func drawSized(rng *rand.Rand, s size) fault {
	j, for_, seed := rng.IntN(s.writers+s.jobs), time.Duration(rng.Int64N(int64(meanGap))), rng.Uint64()
	times, entries := 1+rng.IntN(mostRestarts), 1+rng.IntN(mostMalformed)
	switch rng.IntN(5) {
	case 0, 1:
		return fault{name: fmt.Sprintf("server %d starts again under its ID %d times, down for %v", j, times, for_), do: func(w *world) { w.restartServer(j, times, for_) }}
	case 2:
		return fault{name: fmt.Sprintf("kill the routing hosts, start after %v", for_), do: func(w *world) { w.killRouting(for_) }}
	default:
		return fault{name: fmt.Sprintf("%d malformed entries", entries), planned: true, do: func(w *world) { w.writeMalformed(rand.New(rand.NewPCG(seed, 0)), entries) }}
	}
}

// restartServer crashes a server and starts it again under its ID, some times in a row.
func (w *world) restartServer(j, times int, down time.Duration) {
	s := w.servers[j]
	end := w.faults.begin("restart of a server", nil, false)
	defer end()
	s.replacing.Lock()
	defer s.replacing.Unlock()
	for range times {
		s.front.set(refuse)
		time.Sleep(down)
		s.mu.Lock()
		w.startAs(s, s.engine.ID)
		s.mu.Unlock()
		s.front.set(pass)
		time.Sleep(down)
	}
}

// routing returns the hosts that callers are sent to, as the first of the directories
// that answers names them.
func (w *world) routing(of []*host) []*host {
	c := w.newCaller(of)
	c.Zone = ""
	named, err := c.Resolve(context.Background())
	if err != nil {
		return nil
	}
	var out []*host
	for _, h := range w.hosts {
		if slices.Contains(named, h.caller()) {
			out = append(out, h)
		}
	}
	return out
}

func (w *world) killRouting(after time.Duration) {
	end := w.faults.begin("kill of the routing hosts", nil, false)
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, h := range w.routing(w.hosts) {
		wg.Go(func() { w.killHost(slices.Index(w.hosts, h), after) })
	}
}

// replaced kills the routing hosts while all else is calm. Those that stood by must
// be named in their place, serve, and have weights loaded that are named meanwhile.
func (w *world) replaced() {
	lost := w.routing(w.hosts)
	left := slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return slices.Contains(lost, h) })
	if len(lost) == 0 || len(left) == 0 {
		w.seen.fail("%d of %d hosts are named to callers", len(lost), len(w.hosts))
		return
	}
	var wg sync.WaitGroup
	for _, h := range lost {
		defer w.faults.begin("loss with all routing hosts", h, false)()
		wg.Go(h.kill)
	}
	wg.Wait()
	w.config.bump()
	time.Sleep(takeOver)
	for _, h := range left {
		named := w.routing([]*host{h})
		if len(named) == 0 || slices.ContainsFunc(named, func(n *host) bool { return slices.Contains(lost, n) }) {
			w.seen.fail("%s sends callers to %d hosts, lost ones or none, %v after the loss of the routing hosts", h.id, len(named), takeOver)
		}
	}
	w.recovered(left)
	for _, h := range lost {
		wg.Go(func() { w.restart(h) })
	}
	wg.Wait()
	w.calm()
}

// trap listens where malformed entries point: nothing may be sent there.
type trap struct {
	address string
	http    *http.Server
}

func newTrap(address string, seen *record) (*trap, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	t := &trap{listener.Addr().String(), &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen.fail("%s %s went to the address of a malformed entry", r.Method, r.URL.Path)
	})}}
	go t.http.Serve(listener)
	return t, nil
}

// malformed are entries that name no server; %q stands for an address.
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

// writeMalformed writes entries under IDs of their own, and now and then under that
// of a sound server, whose next heartbeat replaces them; other topics get some too.
func (w *world) writeMalformed(rng *rand.Rand, n int) {
	for i := range n {
		key := fmt.Sprintf("stranger-%d", i)
		if rng.IntN(8) == 0 {
			key = w.servers[rng.IntN(len(w.servers))].current().ID
		}
		value := fmt.Appendf(nil, malformed[rng.IntN(len(malformed))], w.trap.address)
		w.store.Put(platform.ReplicaTopic, key, value)
		switch rng.IntN(16) {
		case 0:
			w.store.Put(platform.OperatorTopic, fmt.Sprintf("version/stranger-%d", i), value)
		case 1:
			w.store.Put(platform.HostTopic, key, value)
		}
	}
}
