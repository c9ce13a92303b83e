package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/wire"
)

// The seeds from overloadSeeds to lastOverloadSeed put the load of docs/design/overload.md on hosts whose
// settings of that section are on. The kinds of load take turns.
const (
	overloadSeeds    = 12000
	lastOverloadSeed = 12999
)

// overloadKind is the kind of load of an overload seed.
type overloadKind string

const (
	// storm is one organisation that sends six times its usual rate.
	storm overloadKind = "storm"
	// uneven is a service of unequal servers, and callers of which most are at one host.
	uneven overloadKind = "uneven"
	// slowReaders are callers that read large answers slowly.
	slowReaders overloadKind = "slow readers"
	// heldUploads are callers that withhold the last byte of large bodies.
	heldUploads overloadKind = "held uploads"
)

var overloadKinds = []overloadKind{storm, uneven, slowReaders, heldUploads}

const (
	// plainWork is how long a plain server works on a request: with 4 slots it takes 40 a second.
	plainWork     = 100 * time.Millisecond
	plainTarget   = 300 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
	organisations = 8
	// overloadWarmUp is the time before the load of a kind begins.
	overloadWarmUp = 4 * time.Second
	hostMemoryMB   = 184
	// filesService gives large answers and takes large bodies. It has more slots than slow callers
	// use, so that only hosts are short of anything.
	filesService = "files"
	fileSlots    = 4000
	largeAnswer  = 2 << 20
	largeBody    = 4 << 20
	// largeTarget and largeDeadline are so long that no host refuses or ends a slow request for its time.
	largeTarget   = 20 * time.Second
	largeDeadline = time.Minute
	// overloadConfig is a version of the configuration above those that the operator writes.
	overloadConfig = 1000
	// socketBuffer is the size of the socket buffers of servers and slow callers. Larger ones would
	// take a good part of a slow answer or body, and much of this machine's memory.
	socketBuffer = 32 << 10
)

// overloadRoutes are the kinds of request; the checks are about the callers of the first.
var overloadRoutes = []*kind{
	{"plain", http.MethodGet, "safe", "jobs", false, 2},
	{"files", http.MethodGet, "safe", filesService, false, 1},
	{"uploads", http.MethodPost, "unsafe", filesService, false, 1},
}

// overloadPlan is what a seed does.
type overloadPlan struct {
	kind  overloadKind
	hosts int
	// slots are those of the plain servers, and rate the requests a second of each organisation.
	slots []int
	rate  float64
	// faultAt is when, after the load of the kind began, the fault of host victim begins; 0 means none.
	faultAt, faultTime time.Duration
	victim             int
	// cut is how the host is cut off from the servers; "" means that it is killed. With thousands of
	// connections it takes too long to find out whose they are, so that hosts are then only killed.
	cut cutMode
}

func hasOverload(seed uint64) bool {
	return seed >= overloadSeeds && seed <= lastOverloadSeed || seed >= hostileSeeds && seed <= lastHostileSeed
}

// planOverload returns the plan of a seed. Every third seed of a kind has a fault, and every second one a
// larger fleet, unless the load is so much for each host that this machine has no room for it.
func planOverload(seed uint64) overloadPlan {
	if seed >= hostileSeeds {
		return planHostile(seed)
	}
	rng := rand.New(rand.NewPCG(seed, overloadSeeds))
	n := (seed - overloadSeeds) / uint64(len(overloadKinds))
	p := overloadPlan{kind: overloadKinds[seed%uint64(len(overloadKinds))], hosts: 3, slots: []int{4, 4, 4, 4}, rate: 15}
	switch {
	case p.kind == uneven:
		p.slots, p.rate = []int{2, 4, 4, 8}, 143.0/organisations
	case p.holdsMemory():
		p.rate = 8
	}
	if n%2 == 1 && !p.holdsMemory() {
		p.hosts = 9
	}
	if n%3 == 2 {
		p.faultAt = 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
		p.faultTime = time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
		p.victim = rng.IntN(p.hosts)
		if !p.holdsMemory() && rng.IntN(2) == 0 {
			p.cut = []cutMode{cutHangs, cutResets, cutRefusesNew}[rng.IntN(3)]
		}
	}
	return p
}

// fault describes the fault.
func (p overloadPlan) fault() string {
	if p.faultAt == 0 {
		return "no fault"
	}
	what := "cut off from the servers, " + string(p.cut)
	if p.cut == "" {
		what = "killed"
	}
	return fmt.Sprintf("host %d %s after %v for %v", p.victim, what, p.faultAt.Round(pollInterval), p.faultTime.Round(pollInterval))
}

// holdsMemory reports whether the load makes hosts hold memory.
func (p overloadPlan) holdsMemory() bool {
	return p.kind == slowReaders || p.kind == heldUploads || p.kind == hostile
}

// size has one server more than plain ones; it is of filesService.
func (p overloadPlan) size() size {
	return size{hosts: p.hosts, large: p.hosts, jobs: len(p.slots) + 1}
}

// server returns the service and the slots of the i-th server.
func (p overloadPlan) server(i int) (service string, slots int) {
	if i < len(p.slots) {
		return "jobs", p.slots[i]
	}
	return filesService, fileSlots
}

// settings returns host.memory_mb and what the section overload of each host's settings holds.
func (p overloadPlan) settings() (memoryMB int, overload string) {
	const on = `"fair_share": true, "directory_by_load": true, "await_prefill": true`
	switch {
	case p.kind == "":
		return 0, ""
	case p.kind == hostile:
		return hostMemoryMB, on
	case p.holdsMemory():
		return hostMemoryMB, on + `, "memory_share": 0.4`
	}
	return 0, on
}

func organisationKey(i int) string { return fmt.Sprintf("key-of-organisation-%d", i) }

// writeOverloadConfig writes the configuration of the overload seeds.
func (fx *fixture) writeOverloadConfig() {
	var routes, owners []object
	for _, k := range overloadRoutes {
		r := k.route()
		r["SloMs"], r["TimeoutMs"] = plainTarget.Milliseconds(), plainDeadline.Milliseconds()
		if k.service == filesService {
			r["SloMs"], r["TimeoutMs"] = largeTarget.Milliseconds(), largeDeadline.Milliseconds()
		}
		routes = append(routes, r)
	}
	for i := range organisations {
		owners = append(owners, object{"Name": fmt.Sprintf("organisation-%d", i), "ApiKeys": []string{organisationKey(i)}})
	}
	data, err := json.Marshal(object{
		"Version": overloadConfig, "Routes": routes, "Tenants": owners,
		"Services": []object{{"Name": "jobs", "MaxConns": 200}, {"Name": filesService, "MaxConns": fileSlots}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": largeBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	fx.store.Put(platform.OperatorTopic, "config", data)
}

// limited runs as many requests at once as the server has slots, lets as many wait, and rejects the others
// with 503, not run. Control calls are not limited.
func limited(s *server, next http.Handler) http.Handler {
	places, running := make(chan bool, 2*s.slots), make(chan bool, s.slots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/-/") {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case places <- true:
			defer func() { <-places }()
		default:
			w.Header().Set(wire.Attempt, r.Header.Get(wire.Attempt))
			w.Header().Set(wire.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case running <- true:
			defer func() { <-running }()
		case <-r.Context().Done():
			return
		}
		if s.service != filesService || r.Method != http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set(wire.Attempt, r.Header.Get(wire.Attempt))
		w.Header().Set(wire.Seal, "seal-of-"+s.current().ID)
		w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
		// An error means that the host has ended the connection.
		_, _ = w.Write(largeContent)
	})
}

var largeContent = make([]byte, largeAnswer)

func limitBuffers(ctx context.Context, c net.Conn) context.Context {
	// The load is the same if a size cannot be set.
	_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	return ctx
}

// runOverload runs an overload seed: a warm-up, then the load of its kind for the length, with its fault.
func (fx *fixture) runOverload(seed uint64, length time.Duration) result {
	fx.writeOverloadConfig()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go fx.heartbeats(ctx)
	fx.waitReady()
	l := newOverloadLoad(fx, length)
	var group sync.WaitGroup
	group.Go(func() { l.plainCallers(seed) })
	group.Go(l.slowCallers)
	group.Go(l.watchMemory)
	group.Go(l.runFault)
	group.Wait()
	figures := fx.checkOverload(l)
	r := fx.result(seed)
	r.figures = fmt.Sprintf("; %s, %d hosts, %s: %s", fx.overload.kind, len(fx.hosts), fx.overload.fault(), figures)
	return r
}

// runFault kills a host and starts it again, or cuts it off from the servers.
func (l *overloadLoad) runFault() {
	p := l.fx.overload
	time.Sleep(time.Until(l.pressedAt.Add(p.faultAt)))
	switch {
	case p.faultAt == 0:
	case p.cut == "":
		l.fx.killHost(p.victim, p.faultTime)
	default:
		l.fx.cutFromServers(func(i int) bool { return i == p.victim }, p.cut, p.faultTime)
	}
}
