package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
)

const (
	model    = "m"
	hostName = "museum.example"
	// heartbeat is the interval at which a server renews its entry in the store.
	heartbeat = 400 * time.Millisecond
)

// size holds the numbers of hosts and servers in a seed. The first hosts are the large
// ones. The writer service runs a model; the jobs service is a plain one.
type size struct {
	hosts, large  int
	writers, jobs int
	// spares is the number of servers with the canary version of the plain service.
	spares int
}

const (
	// mixedSeeds is the first seed with hosts of two sizes, servers that restart under
	// the same ID, malformed entries, and the loss of all routing hosts at once.
	mixedSeeds = 3000
	// fleetSeeds is the first seed with a large fleet, in which most hosts are standby
	// hosts. Its processes take about 1.5 GB of memory, so that two such seeds can run
	// at once.
	fleetSeeds = 100000
	// largeCores and smallCores are the CPU cores of the two sizes of hosts.
	largeCores, smallCores = 4, 1
)

// hasSharedFaults reports whether a seed has the faults that seeds from a number on have in common, unlike those of a kind
// of its own.
func hasSharedFaults(seed uint64) bool {
	return !hasServerCuts(seed) && !hasRejections(seed) && !hasSilences(seed) && !hasPromises(seed)
}

func sizeOf(seed uint64) size {
	if hasOverload(seed) {
		return planOverload(seed).size()
	}
	if hasSilences(seed) {
		return silenceSize(seed)
	}
	s := plainSize(seed)
	if hasCanary(seed) {
		s.spares = s.jobs
	}
	return s
}

func plainSize(seed uint64) size {
	switch {
	case seed >= fleetSeeds:
		return size{hosts: 64, large: 10, writers: 8, jobs: 4}
	case seed >= mixedSeeds:
		return size{hosts: 8, large: 4, writers: 4, jobs: 2}
	default:
		return size{hosts: 4, large: 4, writers: 3, jobs: 2}
	}
}

// server is the address of a backend server and its current incarnation. Hosts connect
// to front, which forwards to the HTTP server that listens at listenAddress.
type server struct {
	service       string
	front         *proxy
	http          *http.Server
	listenAddress string
	// talker serves in place of http; nil if http does.
	talker *talker
	// slots is the number of requests that the server runs at once, 0 if it does not limit them.
	slots int
	// replacing is held while one incarnation replaces another.
	replacing sync.Mutex
	// crashed is set from a crash while running a request until the next incarnation.
	crashed atomic.Bool
	// idle is set while no server runs at the address.
	idle atomic.Bool
	// silence holds until when the server is silent.
	silence silence

	mu     sync.Mutex
	engine *engine.Engine
	// ended receives the time at which engine is replaced.
	ended        chan time.Time
	incarnations int
	draining     bool
}

func (s *server) current() *engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine
}

// fixture is the environment of the hosts of one seed, with all that is observed in it.
type fixture struct {
	size    size
	dir     string
	ip      func(i int) string
	store   *store.Store
	backend string
	http    *http.Server
	trap    *trap
	hosts   []*host
	servers []*server
	// spares are the servers of the canary version; they are idle until its release.
	spares   []*server
	canary   *canary
	operator *operator
	observed *observations
	notices  *notices
	// requestLimits holds the request limits that servers stated.
	requestLimits requestLimits
	// cutsServers is set if hosts are cut off from all servers at times.
	cutsServers bool
	// poisonOptions are the options by which engines crash under a prefix block.
	poisonOptions engine.Options
	// cuts holds which hosts are cut off from all servers.
	cuts serverCuts
	// retryFigures says how close the retries of each service came to the limit, once they are counted.
	retryFigures string
	// copies holds recent copies of the store, the newest last.
	copies storeCopies
	// silences is set if servers fall silent at times, and silenceFigures says how answers ended then.
	silences       bool
	silenceFigures string
	// promises is set if plain servers do what promiseFaults says, and promiseFigures says what callers were answered.
	promises bool
	promiseFaults
	promiseFigures string
	seed           uint64
	// delayLeaving makes the store show that a server leaves only some time after hosts
	// can see it in the server's answers.
	delayLeaving bool
	faults       *disturbances
	// overload is the load of an overload seed; its kind is "" for other seeds.
	overload overloadPlan
}

// Each seed uses one of the address blocks 127.0.N.0/24, with N from firstBlock to
// lastBlock. Listening on storePort in a block reserves it.
const (
	firstBlock, lastBlock = 60, 250
	storePort             = 18100
)

// reserveBlock reserves a block that no other run on this machine uses, and returns the
// listener for its store.
func reserveBlock() (block int, store net.Listener, err error) {
	for block = firstBlock; block <= lastBlock; block++ {
		if store, err = net.Listen("tcp4", fmt.Sprintf("127.0.%d.1:%d", block, storePort)); err == nil {
			break
		}
	}
	return block, store, err
}

func newFixture(binary, dir string, seed uint64) (*fixture, error) {
	block, listener, err := reserveBlock()
	if err != nil {
		return nil, err
	}
	fx := &fixture{
		size: sizeOf(seed), dir: dir, seed: seed, promises: hasPromises(seed), promiseFaults: drawPromiseFaults(seed), cutsServers: hasServerCuts(seed), silences: hasSilences(seed), poisonOptions: poisonOptions(seed), store: store.New(), observed: newObservations(), notices: newNotices(), faults: &disturbances{},
		ip: func(i int) string { return fmt.Sprintf("127.0.%d.%d", block, i) },
	}
	if hasOverload(seed) {
		fx.overload = planOverload(seed)
		fx.cutsServers = fx.overload.cut != ""
	}
	fx.observed.streamEvents = fx.streamEvents()
	fx.operator = newOperator(fx.store)
	if fx.silences {
		fx.operator.edit = editDuringSilences
		fx.operator.grant()
	}
	if fx.promises {
		fx.operator.edit = editPromises
	}
	fx.backend = listener.Addr().String()
	fx.http = &http.Server{Handler: fx.store.Handler()}
	go fx.http.Serve(listener)
	if fx.trap, err = newTrap(fx.ip(2)+":0", fx.observed); err != nil {
		return nil, err
	}
	for i := range fx.size.writers + fx.size.jobs {
		server, err := fx.newServer(i)
		if err != nil {
			return nil, err
		}
		fx.servers = append(fx.servers, server)
	}
	for i := range fx.size.spares {
		server, err := fx.newServer(fx.size.writers + fx.size.jobs + i)
		if err != nil {
			return nil, err
		}
		server.idle.Store(true)
		server.front.set(reset)
		fx.spares = append(fx.spares, server)
	}
	var seeds []string
	for i := range fx.size.hosts {
		seeds = append(seeds, fmt.Sprintf("%q", fx.ip(10+i)))
	}
	for i := range fx.size.hosts {
		if err := fx.addHost(i, binary, strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	return fx, nil
}

func (fx *fixture) startHosts() error {
	for _, h := range fx.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (fx *fixture) addHost(i int, binary, seeds string) error {
	front, err := newProxy(fx.ip(10+i)+":0", fx.backend)
	if err != nil {
		return err
	}
	id, cores := fmt.Sprintf("entry-%d", i), smallCores
	if i < fx.size.large {
		cores = largeCores
	}
	h := &host{id: id, cores: cores, ip: fx.ip(10 + i), zone: fmt.Sprintf("zone-%d", i%2), binary: binary, store: front, grace: fx.grace(), log: filepath.Join(fx.dir, id+".log")}
	h.memoryMB, h.overload = fx.overload.settings()
	if fx.promises && fx.seed%2 == 0 {
		h.overload = `"fair_share": true`
	}
	h.settings = filepath.Join(fx.dir, id+".hujson")
	if err := os.WriteFile(h.settings, []byte(settingsFor(h, seeds)), 0o644); err != nil {
		return err
	}
	fx.hosts = append(fx.hosts, h)
	return nil
}

// newServer starts the server at the i-th address.
func (fx *fixture) newServer(i int) (*server, error) {
	listener, err := net.Listen("tcp4", fx.ip(100+i)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{service: "writer", listenAddress: listener.Addr().String()}
	if i >= fx.size.writers {
		s.service = "jobs"
	}
	if fx.overload.kind != "" {
		s.service, s.slots = fx.overload.server(i)
	}
	if s.front, err = newProxy(fx.ip(100+i)+":0", s.listenAddress); err != nil {
		return nil, err
	}
	if fx.cutsServers {
		s.front.cuts, s.front.allHosts = &fx.cuts, func() []*host { return fx.hosts }
	}
	fx.startServer(s)
	s.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.current().Handler().ServeHTTP(rw, r) })}
	if s.slots > 0 {
		s.http.Handler, s.http.ConnContext = limited(s, s.http.Handler), limitBuffers
	}
	if fx.promises && s.service == "jobs" {
		s.talker = &talker{promiseFaults: fx.promiseFaults, handler: s.http.Handler, listener: listener, seed: fx.seed}
		go s.talker.accept()
		return s, nil
	}
	go s.http.Serve(listener)
	return s, nil
}

// startServer starts a new incarnation of a server, under a new ID.
func (fx *fixture) startServer(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations++
	fx.startWithID(s, fmt.Sprint(idPrefix(s), s.incarnations))
	s.draining = false
}

// idPrefix returns the common prefix of the IDs that incarnations at an address get.
func idPrefix(s *server) string {
	return fmt.Sprintf("i-%s-", strings.ReplaceAll(strings.Split(s.listenAddress, ":")[0], ".", "-"))
}

// startWithID starts a server with weights version 1. The caller holds s.mu. Plain
// servers don't report when they started.
func (fx *fixture) startWithID(s *server, id string) {
	o := engine.Options{ID: id, Service: s.service, Address: s.front.address(), Zone: "zone-0", Slots: 8, Events: fx.streamEvents(), Pace: fx.pace(), LoadTime: 250 * time.Millisecond}
	if fx.silences {
		o.Slots, o.RejectsFull, o.PartPause = silenceSlots, true, partPause
	}
	if s.slots > 0 {
		o.Slots, o.Work = s.slots, plainWork
	}
	if fx.promises && s.service == "jobs" {
		fx.promiseFaults.options(&o)
	}
	if hasEarlyAnswers(fx.seed) && s.service == "jobs" {
		fx.setEarlyAnswers(&o, s.listenAddress)
	}
	if s.service == filesService {
		// Without the proxy, whose buffers would take a good part of each answer.
		o.Address = s.listenAddress
	}
	if s.service == "writer" {
		o.Model, o.Started = model, time.Now().UnixMilli()
		o.CrashBlock, o.CrashPoint, o.UntilClose = fx.poisonOptions.CrashBlock, fx.poisonOptions.CrashPoint, fx.poisonOptions.UntilClose
	}
	o.OnRun = func(request string, h http.Header) { fx.observed.recordRun(id, request, h) }
	o.OnArrive = func(request string) { fx.observed.recordArrival(s.service, request) }
	o.OnCrash = func() { fx.crash(s, id) }
	o.OnTurnedAway = func(request string, backoff time.Duration) { fx.notices.recordRejection(id, request, backoff) }
	o.OnFault, o.OnOwnStatus = fx.observed.recordServerFault, fx.observed.recordOwnStatus
	o.OnOrder = func(holder string, fence int64) { fx.observed.recordCommand(holder, fence) }
	if s.ended != nil {
		s.ended <- time.Now()
	}
	s.engine, s.ended = engine.New(o), make(chan time.Time, 1)
}

// heartbeats renews the servers' entries in the store until ctx ends.
func (fx *fixture) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		fx.copies.add(fx.store.Copy())
		for _, s := range slices.Concat(fx.servers, fx.spares) {
			if s.idle.Load() {
				continue
			}
			s.mu.Lock()
			e, draining := s.engine, s.draining
			s.mu.Unlock()
			if s.crashed.Load() || s.silence.lasts() {
				continue
			}
			// Writes to the stand-in store succeed in every mode.
			_ = e.Register(func(key string, entry any) error { return fx.store.PutJSON(platform.ReplicaTopic, key, entry) }, draining)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// replace ends one incarnation of a server and starts another at its address. A planned
// end is announced first; new requests may arrive for drainTime after that.
func (fx *fixture) replace(s *server, planned bool) {
	old := s.current()
	if planned {
		old.Leave()
		if fx.delayLeaving {
			time.Sleep(time.Duration(rand.Int64N(int64(maxLeavingDelay))))
		}
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		fx.observed.recordLeaving(old.ID)
		_ = old.Register(func(key string, entry any) error { return fx.store.PutJSON(platform.ReplicaTopic, key, entry) }, true)
		time.Sleep(drainTime + time.Second)
	} else {
		s.front.set(reset)
	}
	fx.startServer(s)
	fx.store.Put(platform.ReplicaTopic, old.ID, nil)
	s.front.set(pass)
}

// stop ends all processes and servers of the fixture.
func (fx *fixture) stop() {
	for _, h := range fx.hosts {
		h.shutDown()
		h.store.close()
	}
	for _, s := range slices.Concat(fx.servers, fx.spares) {
		s.front.close()
		s.http.Close()
		if s.talker != nil {
			s.talker.listener.Close()
		}
	}
	fx.trap.http.Close()
	fx.http.Close()
}
