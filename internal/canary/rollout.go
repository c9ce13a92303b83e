// Package canary decides on canary releases. When operators order one, the requests of a
// service move from servers with one version of its software to servers with another: a small
// share at first, all of them once the new version has proved to be no worse, and none if it
// is worse. Communication between hosts and with the store is not part of this package.
package canary

import (
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/briarlink/briarlink/internal/statemachine"
)

// States of a canary release.
const (
	// StateWaiting: the release is ordered, but no host has permitted the use of the new
	// version.
	StateWaiting = "waiting"
	// StateRunning: a share of the requests goes to the new version.
	StateRunning = "running"
	// StateMoving: all new requests go to the new version, while requests that run on the old
	// one finish.
	StateMoving = "moving"
	// StateDone and StateRolledBack are final.
	StateDone       = "done"
	StateRolledBack = "rolled back"
)

const (
	eventPermit   = "permitted"
	eventShift    = "found no worse"
	eventDone     = "nothing left on the old version"
	eventRollBack = "found worse, or not moved in time"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(StateWaiting, fsm.Events{
		{Name: eventPermit, Src: []string{StateWaiting}, Dst: StateRunning},
		{Name: eventShift, Src: []string{StateWaiting, StateRunning}, Dst: StateMoving},
		{Name: eventDone, Src: []string{StateWaiting, StateRunning, StateMoving}, Dst: StateDone},
		{Name: eventRollBack, Src: []string{StateWaiting, StateRunning, StateMoving}, Dst: StateRolledBack},
	}, fsm.Callbacks{})
}

// Diagram returns the state machine of a canary release as a Mermaid diagram.
func Diagram() string { return statemachine.Diagram(newMachine()) }

// ReleaseOrder is an operators' order to release a version of a service.
type ReleaseOrder struct {
	Service string
	Target  string
	// Duration is the time within which the release is to be done.
	Duration time.Duration
	// Offset is the order's position in the operators' topic; a later order supersedes it.
	Offset int64
}

// Terms limit the requests that go to a new version, which may be bad.
type Terms struct {
	// Share is the share of a service's requests, over all hosts, that may go to the new
	// version, and Slack the number of requests beyond that.
	Share float64
	Slack float64
	// RollBack is the time within which the new version must stop getting requests once it
	// has proved to be bad.
	RollBack time.Duration
}

const (
	// permitValidity is how long a permit is valid, as a part of Terms.RollBack. A host that
	// does not receive another one in that time stops sending to the new version.
	permitValidity = 0.3
	// shareMargin is the part of Terms.Share that is used, as other hosts may count requests
	// that reached no server. slackShare is the part of Terms.Slack that is divided among the
	// hosts, as all of them may restart once and use theirs again.
	shareMargin = 0.8
	slackShare  = 0.5
	// The new version gets firstStepShare of its share until it has given firstStepAnswers, or
	// firstStepTime, a part of the duration, is over. It then gets secondStepShare until
	// secondStepAnswers or secondStepTime, and the whole share after that.
	firstStepShare, secondStepShare     = 0.25, 0.5
	firstStepAnswers, secondStepAnswers = 20, 60
	firstStepTime, secondStepTime       = 0.08, 0.2
	// minAnswers is how many answers of the new version are needed to move all requests to
	// it, provided that the old version has given as many.
	minAnswers = 12
	// shiftShare is the part of the duration, up to maxShiftTime, that is reserved at the end
	// for moving all requests, as those at the old version have to finish. A version that turns
	// bad only then may go undetected.
	shiftShare   = 0.25
	maxShiftTime = 10 * time.Second
	// storeMargin is the time reserved at the end for writing to the store.
	storeMargin = 500 * time.Millisecond
)

// release is one ordered canary release as a host sees it.
type release struct {
	order   ReleaseOrder
	machine *fsm.FSM
	// startedAt is when the order was received, by this host or by the lease holder if that
	// was earlier.
	startedAt time.Time
	// permit is the last one from the lease holder, received at permittedAt. generation is the
	// fencing token of that holder.
	permit      Permit
	permittedAt time.Time
	generation  int64
	// requests counts this host's requests since the order, and targetRequests those of them
	// that went to the new version.
	requests, targetRequests int64
	// ownCounts holds the counts of this host's answers, and peerCounts those of the others.
	ownCounts  routeCounts
	peerCounts map[peer]routeCounts
	history    history
	// worse is set once the answers have shown that the new version is bad. evidence and route
	// are the result of the last evaluation.
	worse    bool
	evidence float64
	route    routeHash
}

// peer is one incarnation of another host. A host that restarts counts from zero again, and
// its earlier counts are kept.
type peer struct {
	host        string
	incarnation uint64
}

// Permit allows hosts to send requests to the new version. The holder of the lease for
// canary releases renews it.
type Permit struct {
	Offset int64
	// Generation is the fencing token of the holder's lease.
	Generation int64
	// Share is the share of each host's requests that may go to the new version, and Extra
	// the number of requests beyond that. A share of 1 moves all requests.
	Share float64
	Extra int
	// Elapsed is the time since the order was received.
	Elapsed time.Duration
}

func newRelease(o ReleaseOrder, now time.Time) *release {
	return &release{order: o, machine: newMachine(), startedAt: now, ownCounts: routeCounts{}, peerCounts: map[peer]routeCounts{}}
}

func (r *release) finished() bool { return r.machine.Is(StateDone) || r.machine.Is(StateRolledBack) }

// totals returns the counts of the answers at all hosts.
func (r *release) totals() routeCounts {
	all := r.ownCounts.clone()
	for _, p := range r.peerCounts {
		for k, v := range p {
			pair := all.get(k)
			pair.old.add(v.old, 1)
			pair.target.add(v.target, 1)
		}
	}
	return all
}

// evaluate compares the answers of both versions so far.
func (r *release) evaluate(servers int, now time.Time) {
	if r.worse || r.finished() {
		return
	}
	all := r.totals()
	r.evidence, r.route = r.history.strongestEvidence(all, servers)
	r.history.record(all, now)
	if r.evidence >= evidenceThreshold {
		r.worse = true
	}
}

// receivePermit records a permit, unless it belongs to an older generation or another order.
func (r *release) receivePermit(p Permit, now time.Time) {
	if r.finished() || p.Offset != r.order.Offset || p.Generation < r.generation {
		return
	}
	r.generation, r.permit, r.permittedAt = p.Generation, p, now
	if earlier := now.Add(-p.Elapsed); earlier.Before(r.startedAt) {
		r.startedAt = earlier
	}
	if p.Share >= 1 {
		statemachine.Fire(r.machine, eventShift)
	} else {
		statemachine.Fire(r.machine, eventPermit)
	}
}

// share returns the share of this host's requests that may go to the new version now, and the
// number of requests beyond that.
func (r *release) share(t Terms, now time.Time) (share float64, extra int) {
	valid := now.Sub(r.permittedAt) < time.Duration(permitValidity*float64(t.RollBack))
	if r.worse || r.permittedAt.IsZero() || !valid {
		return 0, 0
	}
	return r.permit.Share, r.permit.Extra
}

// ServiceLoad is the state of a service's servers, as far as the lease holder knows.
type ServiceLoad struct {
	// TargetServers and OldServers are the numbers of ready servers with the new version and with
	// other versions, and TargetSlots how many requests the former run concurrently.
	TargetServers, OldServers, TargetSlots int
	// Running is the number of unfinished requests of all hosts, and OldRunning of those at
	// the old version.
	Running, OldRunning int
	// Hosts is the number of hosts that send requests, including those from which no
	// heartbeats are received.
	Hosts int
}

// Decision is what to do about a canary release now.
type Decision struct {
	// State is StateDone or StateRolledBack once the outcome is decided, until then "".
	State  string
	Reason string
	// Share and Extra are what each host may send to the new version until then; see Permit.
	Share float64
	Extra int
}

// decide returns the decision for the lease holder to carry out now.
func (r *release) decide(t Terms, s ServiceLoad, now time.Time) Decision {
	elapsed := now.Sub(r.startedAt)
	all := r.totals()
	answers := all.get(0).target.Answers
	shiftStart := r.order.Duration - min(maxShiftTime, time.Duration(shiftShare*float64(r.order.Duration)))
	switch {
	case r.worse:
		return Decision{State: StateRolledBack, Reason: "answers show that the new version is worse"}
	case elapsed >= r.order.Duration && !r.machine.Is(StateMoving):
		return Decision{State: StateRolledBack, Reason: "not moved in time: " + r.unmetCondition(all, s)}
	case s.OldServers == 0 && s.TargetServers > 0 && s.OldRunning == 0:
		return Decision{State: StateDone, Reason: "no other version is left"}
	case r.machine.Is(StateMoving) && (s.OldRunning == 0 || elapsed >= r.order.Duration-storeMargin):
		return Decision{State: StateDone, Reason: "all requests moved"}
	case r.machine.Is(StateMoving), elapsed >= shiftStart && r.unmetCondition(all, s) == "":
		return Decision{Share: 1}
	case s.TargetServers == 0:
		return Decision{}
	default:
		return Decision{
			Share: t.Share * shareMargin * stepShare(answers, float64(elapsed)/float64(r.order.Duration)),
			Extra: int(t.Slack * slackShare / float64(max(1, s.Hosts))),
		}
	}
}

// stepShare returns the part of the share that the new version gets after a number of answers
// and a part of the duration.
func stepShare(answers int64, elapsed float64) float64 {
	switch {
	case answers < firstStepAnswers && elapsed < firstStepTime:
		return firstStepShare
	case answers < secondStepAnswers && elapsed < secondStepTime:
		return secondStepShare
	default:
		return 1
	}
}

// unmetCondition describes what prevents moving all requests to the new version, or returns "".
func (r *release) unmetCondition(all routeCounts, s ServiceLoad) string {
	pair := all.get(0)
	switch {
	case s.TargetServers == 0:
		return "no server with the new version is ready"
	case s.TargetSlots < s.Running:
		return "too few servers with the new version are ready"
	case pair.target.Answers < minAnswers && pair.old.Answers >= minAnswers:
		return "too few answers of the new version"
	case 2*pair.target.Failed > pair.target.Answers && pair.old.Answers < minAnswers:
		// Servers that limit their requests may give too few answers to show that the new version
		// is worse.
		return "too few answers of the old version to compare the failures of the new one with"
	default:
		return ""
	}
}

// excluded lists versions that get no requests.
type excluded []string

func (e excluded) with(version string) excluded {
	if version == "" || slices.Contains(e, version) {
		return e
	}
	return append(slices.Clone(e), version)
}

func (e excluded) without(version string) excluded {
	return slices.DeleteFunc(slices.Clone(e), func(v string) bool { return v == version })
}
