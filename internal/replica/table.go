// Package replica keeps the table of backend servers: their registrations, the load that all
// hosts put on them, and how their answers went. It builds the snapshots that routing
// decisions are made on.
package replica

import (
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/quarantine"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/platform"
)

// States of a backend server.
const (
	StateServing  = "serving"
	StateDraining = "draining"
	// StateLapsed is the state of a server whose entry went missing during an outage of the
	// store.
	StateLapsed = "lapsed"
	StateGone   = "gone"
)

const (
	eventRegister = "register"
	eventDrain    = "drain"
	eventLapse    = "lapse"
	eventRemove   = "remove"
)

// newMachine returns the state machine of one incarnation of a backend server. A drained or
// removed server never serves again in the same incarnation.
func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateServing, fsm.Events{
		{Name: eventRegister, Src: []string{StateLapsed}, Dst: StateServing},
		{Name: eventDrain, Src: []string{StateServing, StateLapsed}, Dst: StateDraining},
		{Name: eventLapse, Src: []string{StateServing}, Dst: StateLapsed},
		{Name: eventRemove, Src: []string{StateServing, StateDraining, StateLapsed}, Dst: StateGone},
	}, fsm.Callbacks{})
}

// Diagram returns the state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// Table is one host's table of backend servers. It is safe for concurrent use; mu is its
// only lock.
type Table struct {
	log *logrus.Logger
	// onRemove is called, without the lock, for each server that left or restarted under its
	// ID.
	onRemove func(id, address string)
	// Off holds the disabled mechanisms; it is set before use.
	Off mechanism.Off
	// IsKnownService reports whether operators have configured a service; it is set before use and
	// called under the lock. Servers of other services get no commands, since other writers
	// may add entries to the store.
	IsKnownService func(service string) bool
	// OnCrash is called, without the lock, for each server that crashed, with the requests
	// that it was running; it is set before use.
	OnCrash func(server quarantine.Server, running []quarantine.Fingerprint, at time.Time)
	// OnAnswered is called, without the lock, for each answer that ended with its connection, once its
	// server has shown that it lives on; it is set before use.
	OnAnswered func(request quarantine.Fingerprint, at time.Time)

	mu      sync.Mutex
	entries map[string]*entry
	// active holds the entries with current or recent requests of this host and those that
	// need attention: of many servers, a host uses only a few at a time. lapsed holds the
	// entries that lapsed during a store outage, withSlowdown those with a known slowdown.
	// Entries are removed from these sets later than they leave the state.
	active, lapsed, withSlowdown map[string]*entry
	// unconfirmed holds the entries with answers that are not confirmed yet.
	unconfirmed map[string]*entry
	// limited holds the entries that limit their requests. The next report starts after
	// limitCursor.
	limited     map[string]*entry
	limitCursor string
	// brittle holds the entries that say that they are brittle, or recently said so. The next report
	// starts after brittleCursor. slotShare is this host's share of their slots.
	brittle       map[string]*entry
	brittleCursor string
	// rejectedAt is, by service, when a brittle server last rejected a request of any host.
	// borrowedAt is when this host last sent one there a request beyond its own slots.
	rejectedAt, borrowedAt map[string]time.Time
	slotShare              SlotShare
	// machine computes the transitions of all entries, one at a time: with thousands of
	// entries, a machine for each would take half of an entry's memory.
	machine *fsm.FSM
	// services holds the IDs of each service's servers, in order.
	services services
	// wanted holds the wanted weights versions of each model, the newest last.
	wanted map[string][]wantedVersion
	// newestHeld is the newest version of each model that any server of a service was seen
	// to hold.
	newestHeld map[serviceModel]int64
	outdated   outdatedCache
	// otherLoads is the load that other hosts put on the servers.
	otherLoads hostLoads
	// peerSlowdowns holds the slowdowns that other hosts measured, serviceSlowdowns the mean
	// of each service's servers. The next report starts after slowdownCursor.
	peerSlowdowns    slowdownReports
	serviceSlowdowns map[string]slowdown
	slowdownCursor   string
	// contacts holds, by service, whether this host reaches any of its servers.
	contacts map[string]*contact
	// tried holds the entries that this host recently reached or misses.
	tried map[string]*entry
	// coverageAt is when the coverage of all services was last updated.
	coverageAt time.Time
	// pendingCrashes and pendingAnswers are passed to OnCrash and OnAnswered once the lock is released.
	pendingCrashes []crash
	pendingAnswers []confirmedAnswer
	// generation counts the changes of the set of servers and of those that may be used.
	generation uint64
}

// entry is the record of one incarnation of a server.
type entry struct {
	reg     platform.Registration
	state   string
	reason  string
	weights map[string]int64
	// contactAskedAt is when a health check of the server was last due to learn whether this host has contact.
	contactAskedAt time.Time
	// loadingUntil is when a reported command to load weights is assumed to have failed.
	loadingUntil time.Time
	// unverifiedUntil is the time until which the server is asked which weights it holds,
	// after it refused a request for the weights that it was assumed to hold.
	unverifiedUntil time.Time
	flights         map[*Flight]bool
	health          health
	failures        failures
	// slowdownSamples are the slowdowns of the last answers that this host received;
	// mergedSlowdown is the slowdown measured by all hosts, or 0 if there is none.
	slowdownSamples sampleWindow
	mergedSlowdown  float64
	// unresponsive is set if the server had exceeded unresponsiveThreshold at the last
	// check.
	unresponsive bool
	// silentSince is the beginning of the server's last silence, and silentAt when it was last found unresponsive.
	silentSince, silentAt time.Time
	// lastSeen is the time of the last liveness signal in any answer.
	lastSeen time.Time
	// dataAt is when data of any answer last arrived.
	dataAt time.Time
	// failingSince is since when no connection to the server could be opened, or zero.
	failingSince time.Time
	// reachedAt is when this host last reached the server, or zero.
	reachedAt time.Time
	// backoffUntil is the end of the backoff that the server requested from this host.
	backoffUntil time.Time
	// limit is the request limit that the server states.
	limit requestLimit
	// brittle is what the server states about falling over.
	brittle brittleness
	// firstSeen is when this host first received the registration of this incarnation.
	firstSeen time.Time
	// leaveNoticeReceived is set once an answer said that the server leaves.
	leaveNoticeReceived bool
	// brokenRequests are the requests whose exchanges recently broke off. needsProbe is set
	// while the server is to be probed because of that. connectionRefusedAt is when its
	// address last refused a connection, or zero.
	brokenRequests      []brokenRequest
	needsProbe          bool
	connectionRefusedAt time.Time
}

// NewTable returns an empty table. onRemove is called for each server that left or
// restarted; the caller then drops its state of that server.
func NewTable(log *logrus.Logger, onRemove func(id, address string)) *Table {
	return &Table{
		log: log, onRemove: onRemove, IsKnownService: func(string) bool { return true },
		OnCrash: func(quarantine.Server, []quarantine.Fingerprint, time.Time) {}, OnAnswered: func(quarantine.Fingerprint, time.Time) {}, unconfirmed: map[string]*entry{},
		machine: newMachine(), entries: map[string]*entry{}, active: map[string]*entry{}, lapsed: map[string]*entry{}, withSlowdown: map[string]*entry{}, tried: map[string]*entry{}, limited: map[string]*entry{}, brittle: map[string]*entry{}, rejectedAt: map[string]time.Time{}, borrowedAt: map[string]time.Time{}, services: services{}, wanted: map[string][]wantedVersion{}, newestHeld: map[serviceModel]int64{}, otherLoads: newLoads(), peerSlowdowns: slowdownReports{}, contacts: map[string]*contact{},
	}
}

// Register applies a server's registration from the store. A server that restarted under its
// ID starts with empty state: its requests, failures and weights, and whatever onRemove
// drops, belonged to the earlier incarnation. Late entries of an earlier incarnation are
// ignored.
func (t *Table) Register(reg platform.Registration, offset int64) {
	t.mu.Lock()
	e := t.entries[reg.ID]
	if e != nil && reg.Started != 0 && reg.Started < e.reg.Started {
		t.mu.Unlock()
		t.log.WithFields(logrus.Fields{"replica": reg.ID, "started": reg.Started, "known": e.reg.Started, "offset": offset}).Info("entry of an earlier start ignored")
		return
	}
	restarted := e != nil && e.reg.Started != 0 && reg.Started > e.reg.Started
	address := ""
	if restarted {
		address = t.remove(reg.ID, e, "started again")
		t.otherLoads.dropServer(reg.ID)
	}
	t.register(reg, offset)
	t.unlockAndNotify()
	if restarted {
		t.onRemove(reg.ID, address)
	}
}

func (t *Table) register(reg platform.Registration, offset int64) {
	e := t.entries[reg.ID]
	if e == nil {
		e = &entry{state: StateServing, firstSeen: clock.Now(), weights: map[string]int64{}}
		t.entries[reg.ID] = e
		t.generation++
		t.log.WithFields(logrus.Fields{"replica": reg.ID, "service": reg.Service, "address": reg.Address, "started": reg.Started, "offset": offset}).Info("replica registered")
	}
	t.services.remove(e.reg.Service, reg.ID)
	t.services.add(reg.Service, reg.ID)
	e.reg = reg
	t.outdated.valid = false
	for model, version := range reg.Weights {
		t.setWeights(e, model, version)
	}
	if reg.Draining {
		t.fire(e, eventDrain, "registered as draining")
	} else {
		t.fire(e, eventRegister, "registered again")
	}
}

// Remove applies the removal of a server's entry. An untrusted removal may be an effect of a
// store outage: the server keeps serving until RemoveLapsed.
func (t *Table) Remove(id string, trusted bool) {
	t.mu.Lock()
	e := t.entries[id]
	if e == nil {
		t.mu.Unlock()
		return
	}
	if !trusted && e.is(StateServing) {
		t.fire(e, eventLapse, "entry missing after an outage of the store")
		t.track(t.lapsed, e)
		t.mu.Unlock()
		return
	}
	address := t.remove(id, e, "entry removed")
	t.unlockAndNotify()
	t.onRemove(id, address)
}

// RemoveAt removes a server at whose address another server answers, unless it has
// registered elsewhere since the request was sent.
func (t *Table) RemoveAt(id, address string) {
	t.mu.Lock()
	e := t.entries[id]
	if e == nil || e.reg.Address != address {
		t.mu.Unlock()
		return
	}
	t.remove(id, e, "its address answers for another server")
	t.unlockAndNotify()
	t.onRemove(id, address)
}

// RemoveLapsed removes the servers whose entries are still missing after a store outage.
func (t *Table) RemoveLapsed() {
	t.mu.Lock()
	removed := map[string]string{}
	for id, e := range t.lapsed {
		if t.entries[id] == e && e.is(StateLapsed) {
			removed[id] = t.remove(id, e, "entry still missing after an outage")
		}
	}
	clear(t.lapsed)
	t.unlockAndNotify()
	for id, address := range removed {
		t.onRemove(id, address)
	}
}

func (t *Table) remove(id string, e *entry, reason string) string {
	t.attributeCrash(e, clock.Now())
	t.fire(e, eventRemove, reason)
	delete(t.entries, id)
	delete(t.active, id)
	delete(t.tried, id)
	delete(t.unconfirmed, id)
	delete(t.withSlowdown, id)
	delete(t.limited, id)
	delete(t.brittle, id)
	delete(t.peerSlowdowns, id)
	t.services.remove(e.reg.Service, id)
	t.outdated.valid = false
	return e.reg.Address
}

func (t *Table) fire(e *entry, event, reason string) {
	t.machine.SetState(e.state)
	if !statemachine.Fire(t.machine, event) {
		return
	}
	e.state = t.machine.Current()
	t.generation++
	e.reason = reason
	t.log.WithFields(logrus.Fields{"replica": e.reg.ID, "state": e.state, "reason": reason}).Info("replica changed state")
}

func (e *entry) is(state string) bool { return e.state == state }

// track adds an entry to a set, unless it belongs to an earlier incarnation of its server.
func (t *Table) track(set map[string]*entry, e *entry) {
	if t.entries[e.reg.ID] == e {
		set[e.reg.ID] = e
	}
}

// inactive reports whether there is nothing to report or check about an entry.
func (e *entry) inactive(now time.Time) bool {
	return len(e.flights) == 0 && e.health.downTime == 0 && !e.unresponsive && !e.needsProbe && !now.Before(e.unverifiedUntil) && e.failures.recent(now).ended == 0
}

// Snapshot returns the servers of one service, ordered by ID.
func (t *Table) Snapshot(service, model string, cacheTokens int, now time.Time) []route.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot(t.services[service], model, cacheTokens, now)
}

// Candidates returns the servers that one routing decision considers, and whether they are
// all servers of the service. In a large service they are a subset, chosen by the key.
func (t *Table) Candidates(service, model string, key uint64, cacheTokens int, now time.Time) (candidates []route.Replica, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := t.services.candidates(service, key)
	return t.snapshot(ids, model, cacheTokens, now), len(ids) == len(t.services[service])
}

func (t *Table) snapshot(ids []string, model string, cacheTokens int, now time.Time) []route.Replica {
	out := make([]route.Replica, 0, len(ids))
	for _, id := range ids {
		out = append(out, t.replica(id, t.entries[id], model, cacheTokens, now))
	}
	return out
}

func (t *Table) replica(id string, e *entry, model string, cacheTokens int, now time.Time) route.Replica {
	l := t.totalLoad(e, now)
	serving := e.is(StateServing) || e.is(StateLapsed)
	down, trial := e.health.state(now)
	unresponsiveFor := e.unresponsiveFor(now)
	return route.Replica{
		ID: id, Address: e.reg.Address, AvailabilityZone: e.reg.AvailabilityZone, Software: e.reg.Software,
		Backoff: e.backoff(now), Limited: e.limit.limited, LimitWait: e.limit.deferral(now), Brittle: e.brittle.brittle, NoRoom: !t.hasRoom(e, now), Usable: serving && !e.health.unreachable, Suspected: down || unresponsiveFor >= unresponsiveThreshold, Trial: trial, Loading: now.Before(e.loadingUntil),
		Weights: e.weights[model], OutdatedFor: t.outdatedFor(e.reg.Service, model, e.weights[model], now), Slots: e.reg.Slots,
		Requests: int(l.requests), PrefillTokens: int(l.prefill),
		MemoryTokens: int(l.memory), CacheTokens: cacheTokens,
		RecentSlowdown: e.health.slow(now), Slowdown: t.slowdownOf(e), ErrorRate: t.recentOutcomes(e, now).share(), UnresponsiveFor: unresponsiveFor,
	}
}

// VersionLoad is the load of the servers of a service that run one software version.
type VersionLoad struct {
	// Servers is the number of ready servers, Slots how many requests these run at once. Servers that
	// cannot be reached are left out, unless this host reaches none of the service, or few.
	Servers, Slots int
	// Requests counts the unfinished requests of all hosts at any server of the version.
	Requests int
}

// Versions returns the load of each software version that a service's servers run.
func (t *Table) Versions(service string, now time.Time) map[string]VersionLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]VersionLoad{}
	for _, id := range t.services[service] {
		e := t.entries[id]
		v := out[e.reg.Software]
		if e.is(StateServing) && (!e.health.unreachable || t.linksInDoubt(e)) {
			v.Servers++
			v.Slots += e.reg.Slots
		}
		v.Requests += int(t.totalLoad(e, now).requests)
		out[e.reg.Software] = v
	}
	return out
}

// Server is a server that may be commanded to load weights.
type Server struct {
	ID      string
	Address string
	Service string
	Weights map[string]int64
	// Started is as in platform.Registration.
	Started int64
	// Requests counts the unfinished requests of all hosts.
	Requests int
	// Down is set if this host itself finds the server unreachable or unresponsive,
	// Suspected if another host has reported it down and this host has not marked it down.
	Down      bool
	Suspected bool
}

// Servers returns the servers, ordered by ID, that hold weights of some model, are neither
// draining nor removed, and don't defer commands because of a backoff.
func (t *Table) Servers(now time.Time) []Server {
	return t.servers(t.entries, now, func(*entry) bool { return true })
}

// HasOther reports whether a service has a server that seems able to take a request, other than those
// excluded.
func (t *Table) HasOther(service string, exclude map[string]bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.services[service] {
		e := t.entries[id]
		down, _ := e.health.state(now)
		serving := e.is(StateServing) || e.is(StateLapsed)
		if !exclude[id] && serving && !down && !e.health.unreachable && e.unresponsiveFor(now) <= unresponsiveThreshold {
			return true
		}
	}
	return false
}

// Generation returns a number that changes with the set of servers and of those that may be
// used.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// Endpoint is the address of a server that holds weights of some model.
type Endpoint struct {
	ID, Address, Service string
	// Started is as in platform.Registration.
	Started int64
}

// Endpoints returns, in no particular order, the servers that may be commanded to load
// weights, including those that defer commands because of a backoff.
func (t *Table) Endpoints() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Endpoint, 0, len(t.entries))
	for id, e := range t.entries {
		if t.acceptsCommands(e) {
			out = append(out, Endpoint{ID: id, Address: e.reg.Address, Service: e.reg.Service, Started: e.reg.Started})
		}
	}
	return out
}

// acceptsCommands reports whether a server may be commanded to load weights.
func (t *Table) acceptsCommands(e *entry) bool {
	return len(e.weights) > 0 && t.IsKnownService(e.reg.Service) && (e.is(StateServing) || e.is(StateLapsed))
}

// servers returns the matching entries that may be given commands now, ordered by ID.
func (t *Table) servers(entries map[string]*entry, now time.Time, match func(*entry) bool) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for id, e := range entries {
		if match(e) && t.acceptsCommands(e) && !t.commandsDeferred(e, now) {
			out = append(out, t.server(id, e, now))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (t *Table) server(id string, e *entry, now time.Time) Server {
	down, _ := e.health.state(now)
	suspected := e.health.onlySuspected(now)
	return Server{
		ID: id, Address: e.reg.Address, Service: e.reg.Service, Started: e.reg.Started, Weights: maps.Clone(e.weights),
		Requests: int(t.totalLoad(e, now).requests), Down: down && !suspected || e.unresponsiveFor(now) > unresponsiveThreshold, Suspected: suspected,
	}
}

// WaitingRequests returns how many requests of all hosts at a server wait for their first event.
func (t *Table) WaitingRequests(id string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return int(t.totalLoad(e, now).waiting)
}

// Count returns the number of servers in the table.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Status returns the status of every server for operators, ordered by ID.
func (t *Table) Status(now time.Time) []*pb.ReplicaStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.ReplicaStatus
	for id, e := range t.entries {
		r := t.replica(id, e, "", 0, now)
		s := &pb.ReplicaStatus{
			Id: id, Service: e.reg.Service, Address: e.reg.Address, AvailabilityZone: e.reg.AvailabilityZone,
			State: e.state, Reason: e.reason,
			Requests: int32(r.Requests), PrefillTokens: int32(r.PrefillTokens),
		}
		for model, version := range e.weights {
			s.Weights = append(s.Weights, weightsText(model, version))
		}
		sort.Strings(s.Weights)
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}
