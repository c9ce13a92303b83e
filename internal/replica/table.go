// Package replica keeps the table of backend servers: their configuration, the
// state each is in, the load each reported, and what this host sent since. It
// builds the immutable snapshots on which routing decides.
package replica

import (
	"sort"
	"sync"
	"time"

	"github.com/looplab/fsm"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/internal/rollout"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/statemachine"
)

// States of a backend server.
const (
	StateUnknown = "unknown"
	StateServing = "serving"
	StateLoading = "loading"
	StateLeaving = "leaving"
	StateDown    = "down"
)

// Events of a backend server.
const (
	eventServe   = "serve"
	eventLoad    = "load"
	eventLeave   = "leave"
	eventSilent  = "silent"
	eventRestart = "restart"
)

// newMachine returns the state machine of one backend server. Leaving ends
// only with a new incarnation.
func newMachine() *fsm.FSM {
	alive := []string{StateUnknown, StateServing, StateLoading, StateDown}
	return fsm.NewFSM(StateUnknown, fsm.Events{
		{Name: eventServe, Src: alive, Dst: StateServing},
		{Name: eventLoad, Src: alive, Dst: StateLoading},
		{Name: eventLeave, Src: append(alive, StateLeaving), Dst: StateLeaving},
		{Name: eventSilent, Src: append(alive, StateLeaving), Dst: StateDown},
		{Name: eventRestart, Src: append(alive, StateLeaving), Dst: StateUnknown},
	}, fsm.Callbacks{})
}

// Table is the table of backend servers of one host. Lock order: Table.mu, then
// the prefix index's lock.
type Table struct {
	mu        sync.Mutex
	entries   map[string]*entry
	index     *prefix.Index
	downAfter time.Duration
	// configured is true once a configuration was taken.
	configured bool
	// wanted is the version configured for each model.
	wanted map[string]string
	// untold is work sent since the last TakeSent.
	untold []*pb.WorkItem
}

type entry struct {
	id       string
	spec     *pb.BackendServer
	machine  *fsm.FSM
	reason   string
	status   *pb.PollResponse
	polled   time.Time
	number   prefix.Replica
	sequence uint64
	sent     []sentWork
	// barred is the incarnation that a peer or a refusal said is leaving.
	barred uint64
}

// sentWork is work this host sent to a replica whose load report may not show it yet.
type sentWork struct {
	at     time.Time
	pieces float64
}

// NewTable returns an empty table over index. A backend server that is not
// polled for downAfter counts as down.
func NewTable(index *prefix.Index, downAfter time.Duration) *Table {
	return &Table{entries: map[string]*entry{}, index: index, downAfter: downAfter}
}

// Configure takes the backend servers and models of the configuration in force.
func (t *Table) Configure(specs map[string]*pb.BackendServer, models map[string]*pb.Model) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.configured = true
	t.wanted = map[string]string{}
	for id, m := range models {
		t.wanted[id] = m.Version
	}
	for id, e := range t.entries {
		spec := specs[id]
		if spec == nil || spec.Address != e.spec.Address {
			t.index.Clear(e.number)
			delete(t.entries, id)
		}
	}
	for id, spec := range specs {
		if e := t.entries[id]; e != nil {
			e.spec = spec
			if e.status != nil && !e.machine.Is(StateDown) {
				e.advance()
			}
			continue
		}
		t.entries[id] = &entry{id: id, spec: spec, machine: newMachine(), number: t.index.Reset(id, 0)}
	}
}

// Target is a backend server to poll.
type Target struct {
	ID       string
	Address  string
	Sequence uint64
}

// Targets returns every configured backend server, by ID.
func (t *Table) Targets() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Target, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, Target{e.id, e.spec.Address, e.sequence})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Report takes a poll's answer: state, load and cache events.
func (t *Table) Report(id string, status *pb.PollResponse, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	if e.status == nil || e.status.Incarnation != status.Incarnation {
		t.restart(e, status.Incarnation)
	}
	e.status = status
	e.polled = now
	e.dropSentBefore(e.loadTime())
	t.events(e, status, now)
	e.advance()
}

func (t *Table) restart(e *entry, incarnation uint64) {
	e.number = t.index.Reset(e.id, incarnation)
	e.sequence = 0
	e.sent = nil
	e.fire(eventRestart, "new incarnation")
}

// events folds cache events. A gap loses removals: what this host believes is
// then kept, since routing decays it and each answer corrects it.
func (t *Table) events(e *entry, status *pb.PollResponse, now time.Time) {
	for _, ev := range status.Events {
		if ev.Sequence < e.sequence {
			continue
		}
		e.sequence = ev.Sequence + 1
		if ev.Removed {
			t.index.Evicted(e.number, status.Incarnation, now, prefix.Hash(ev.Hash))
		} else {
			t.index.Stored(e.number, status.Incarnation, now, prefix.Hash(ev.Hash))
		}
	}
	e.sequence = max(e.sequence, status.NextSequence)
}

// advance moves the state machine to what is known of the server.
func (e *entry) advance() {
	if reason := e.leavingReason(); reason != "" {
		e.fire(eventLeave, reason)
		return
	}
	if e.machine.Is(StateLeaving) {
		// An operator ended the draining; the engine itself is not leaving.
		e.fire(eventRestart, "draining ended")
	}
	if e.status.Loading {
		e.fire(eventLoad, "loading weights")
		return
	}
	e.fire(eventServe, "")
}

// leavingReason returns why the server takes no new work, or "".
func (e *entry) leavingReason() string {
	switch {
	case e.spec.Draining:
		return "draining by operator"
	case e.status.Leaving:
		return "says it is leaving"
	case e.barred == e.status.Incarnation:
		return "refused new work"
	default:
		return ""
	}
}

func (e *entry) fire(event, reason string) {
	if e.machine.Can(event) {
		e.reason = reason
		statemachine.Fire(e.machine, event)
	}
}

func (e *entry) dropSentBefore(t time.Time) {
	keep := e.sent[:0]
	for _, s := range e.sent {
		if s.at.After(t) {
			keep = append(keep, s)
		}
	}
	e.sent = keep
}

// Polled reports whether most backend servers have answered a poll.
func (t *Table) Polled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	polled := 0
	for _, e := range t.entries {
		if e.status != nil {
			polled++
		}
	}
	return t.configured && 2*polled >= len(t.entries)
}

// Sent records that this host sent work of so many uncached pieces.
func (t *Table) Sent(id string, pieces float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.sent = append(e.sent, sentWork{now, pieces})
		t.untold = append(t.untold, &pb.WorkItem{BackendServer: id, Pieces: float32(pieces)})
	}
}

// TakeSent returns what this host sent since the last call, to tell its peers.
func (t *Table) TakeSent() []*pb.WorkItem {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := t.untold
	t.untold = nil
	return work
}

// staleReport is the age of a load report from which on peers' work is ignored:
// a host that was paused finds old messages waiting, and cannot tell them from
// new ones before its next poll.
const staleReport = time.Second

// SentByPeer takes what another host sent a moment ago.
func (t *Table) SentByPeer(work []*pb.WorkItem, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range work {
		if e := t.entries[item.BackendServer]; e != nil && now.Sub(e.polled) < staleReport {
			e.sent = append(e.sent, sentWork{now, float64(item.Pieces)})
		}
	}
}

// Bar marks an incarnation as leaving, from its own refusal or a peer's word.
func (t *Table) Bar(id string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.status == nil || e.status.Incarnation != incarnation {
		return
	}
	e.barred = incarnation
	e.advance()
}

// Failed records that a backend server could not be reached.
func (t *Table) Failed(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.fire(eventSilent, reason)
	}
}

// Expire marks backend servers as down that were silent for too long.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.status != nil && now.Sub(e.polled) > t.downAfter {
			e.fire(eventSilent, "no answer to polls")
		}
	}
}

// Hints returns the incarnations known to be leaving, for peers.
func (t *Table) Hints() []*pb.ReplicaHint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.ReplicaHint
	for _, e := range t.entries {
		if e.status != nil && (e.barred == e.status.Incarnation || e.status.Leaving) {
			out = append(out, &pb.ReplicaHint{BackendServer: e.id, Incarnation: e.status.Incarnation, Leaving: true})
		}
	}
	return out
}

// Snapshot returns the replicas of one model, by ID.
func (t *Table) Snapshot(model string, now time.Time) route.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	var snap route.Snapshot
	for _, e := range t.entries {
		if e.spec.Model == model && e.status != nil {
			snap.Replicas = append(snap.Replicas, e.replica(now))
		}
	}
	sort.Slice(snap.Replicas, func(i, j int) bool { return snap.Replicas[i].ID < snap.Replicas[j].ID })
	return snap
}

func (e *entry) replica(now time.Time) route.Replica {
	r := route.Replica{
		ID:          e.id,
		Number:      e.number,
		Address:     e.spec.Address,
		Incarnation: e.status.Incarnation,
		Zone:        e.spec.AvailabilityZone,
		Model:       e.status.Model,
		Version:     e.status.Version,
		Serving:     e.machine.Is(StateServing),
		Queued:      e.queuedAt(now),
		Prefill:     time.Duration(e.status.PrefillUsPerPiece) * time.Microsecond,
	}
	return r
}

// queuedAt estimates the queue at now: what was reported drains at the replica's
// own speed, and what was sent since joins it at its time (a fluid queue).
func (e *entry) queuedAt(now time.Time) float64 {
	queued, at := float64(e.status.QueuedPieces), e.loadTime()
	drain := func(until time.Time) {
		if d := until.Sub(at); d > 0 && e.status.PrefillUsPerPiece > 0 {
			queued = max(0, queued-float64(d.Microseconds())/float64(e.status.PrefillUsPerPiece))
			at = until
		}
	}
	for _, s := range e.sent {
		drain(s.at)
		queued += s.pieces
	}
	drain(now)
	return queued
}

// loadTime is the time of the last load report.
func (e *entry) loadTime() time.Time {
	return e.polled.Add(-time.Duration(e.status.LoadAgeMs) * time.Millisecond)
}

// ServingVersion returns the weights version to route a model's requests for:
// the wanted one once it has as many serving replicas as any other, and until
// then the one that most of them report.
func (t *Table) ServingVersion(model, wanted string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, e := range t.entries {
		if e.status != nil && e.status.Model == model && e.machine.Is(StateServing) {
			counts[e.status.Version]++
		}
	}
	best := wanted
	for version, n := range counts {
		if n > counts[best] || n == counts[best] && best != wanted && version < best {
			best = version
		}
	}
	return best
}

// Rollout returns every backend server with the version its model's
// configuration wants, by ID.
func (t *Table) Rollout() []rollout.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []rollout.Replica
	for _, e := range t.entries {
		wanted, configured := t.wanted[e.spec.Model]
		if !configured {
			continue
		}
		out = append(out, rollout.Replica{
			ID: e.id, Address: e.spec.Address, Model: e.spec.Model, Wanted: wanted,
			Version: e.status.GetVersion(), Loading: e.status.GetLoading(),
			Known: e.status != nil && !e.machine.Is(StateDown),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Status returns every backend server for operators, by ID.
func (t *Table) Status() []*pb.ReplicaStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.ReplicaStatus
	for _, e := range t.entries {
		out = append(out, &pb.ReplicaStatus{
			Id:            e.id,
			Address:       e.spec.Address,
			State:         e.machine.Current(),
			Incarnation:   e.status.GetIncarnation(),
			Model:         e.spec.Model,
			Version:       e.status.GetVersion(),
			QueuedPieces:  e.status.GetQueuedPieces(),
			IndexedPieces: int64(t.index.Count(e.number)),
			Reason:        e.reason,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// Diagram returns the state machine as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }
