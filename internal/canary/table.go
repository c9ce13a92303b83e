package canary

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/statemachine"
)

// Status is the record of a service's last order in the store.
type Status struct {
	Service string
	Target  string
	// State is StateRunning until the outcome is decided.
	State string
	// Offset is the position of the order, and Generation the fencing token of the host that
	// wrote the status.
	Offset     int64
	Generation int64
	// Began is when the release started, by the wall clock of that host.
	Began time.Time
	// Excluded lists the versions that get no requests: those that were rolled back or
	// replaced, or whose release was superseded.
	Excluded []string
}

// serviceState is the last order for a service and its status in the store.
type serviceState struct {
	release *release
	status  Status
	// unsaved is set if status is missing from the store.
	unsaved bool
}

// Table holds the canary releases of all services. It is safe for concurrent use; mu is its
// only lock, and no other lock is taken while it is held.
type Table struct {
	terms Terms
	log   *logrus.Logger

	mu       sync.Mutex
	services map[string]*serviceState
	// unreported is set while other hosts have not been sent this host's newest answers.
	unreported bool
}

// NewTable returns a table without canary releases.
func NewTable(terms Terms, log *logrus.Logger) *Table {
	return &Table{terms: terms, log: log, services: map[string]*serviceState{}}
}

func (t *Table) getOrCreate(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{}
		t.services[name] = s
	}
	return s
}

// ApplyOrder applies an operators' order. An older one than the current is ignored; a newer one
// supersedes it.
func (t *Table) ApplyOrder(o ReleaseOrder, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(o.Service)
	if s.release != nil && s.release.order.Offset >= o.Offset {
		return
	}
	entry := t.log.WithFields(logrus.Fields{"service": o.Service, "target": o.Target, "ms": o.Duration.Milliseconds(), "offset": o.Offset})
	if s.release != nil && !s.release.finished() {
		entry = entry.WithField("overtaken", s.release.order.Target)
		s.status.Excluded = excluded(s.status.Excluded).with(s.release.order.Target)
	}
	s.release = newRelease(o, now)
	s.status.Excluded = excluded(s.status.Excluded).without(o.Target)
	entry.Info("move to another version ordered")
	t.applyToRelease(s, now)
}

// MoveOrder records that the current order of a service has another position: the store was restored
// from a copy, and the order written again. The release goes on. Its stored status, which names the
// position before or is lost, is to be written again.
func (t *Table) MoveOrder(o ReleaseOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[o.Service]
	if s == nil || s.release == nil || s.release.order.Target != o.Target || s.release.order.Offset >= o.Offset {
		return
	}
	before := s.release.order.Offset
	s.release.order.Offset = o.Offset
	if s.status.Offset == before && s.status.State != "" {
		s.status.Offset, s.unsaved = o.Offset, true
	}
}

// Unsaved returns the statuses that are missing from the store since it was restored from a copy.
func (t *Table) Unsaved() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, s := range t.services {
		if s.unsaved {
			out = append(out, s.status)
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ApplyStatus applies the status of a service in the store, unless it is out of date.
func (t *Table) ApplyStatus(st Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(st.Service)
	if st.Offset == s.status.Offset && st.State == s.status.State {
		s.unsaved = false
	}
	older := st.Offset < s.status.Offset || st.Offset == s.status.Offset && st.Generation < s.status.Generation
	if older || isFinal(s.status.State) && st.Offset == s.status.Offset {
		return
	}
	s.status = st
	t.applyToRelease(s, now)
}

func isFinal(state string) bool { return state == StateDone || state == StateRolledBack }

// applyToRelease applies the stored status of the last order to its release.
func (t *Table) applyToRelease(s *serviceState, now time.Time) {
	r := s.release
	if r == nil || s.status.Offset != r.order.Offset || r.finished() {
		return
	}
	if !s.status.Began.IsZero() && s.status.State == StateRunning {
		// The wall clocks of hosts differ, so that a stored time may only move the start back.
		elapsed := min(r.order.Duration, max(0, now.Sub(s.status.Began)))
		if startedAt := now.Add(-elapsed); startedAt.Before(r.startedAt) {
			r.startedAt = startedAt
		}
	}
	event := map[string]string{StateDone: eventDone, StateRolledBack: eventRollBack}[s.status.State]
	if event != "" && statemachine.Fire(r.machine, event) {
		t.log.WithFields(logrus.Fields{"service": r.order.Service, "target": r.order.Target, "state": r.machine.Current()}).Info("move to another version is over")
	}
}

// ServerFilter describes the servers that a request may go to.
type ServerFilter struct {
	// Allows reports whether servers with a version may get the request; nil allows all.
	Allows func(version string) bool
	// Target is set if the request goes to the new version. Part, if not 0, is the fraction of
	// that version's servers that may get it, so that each of these is roughly as busy during
	// the release as all of them will be after it.
	Target bool
	Part   float64
}

// Servers returns those of the given servers that may get the request. identify returns a
// server's ID and version.
func Servers[S any](filter *ServerFilter, servers []S, identify func(S) (id, version string)) []S {
	if filter.Allows == nil {
		return servers
	}
	var out []S
	for _, s := range servers {
		if _, version := identify(s); filter.Allows(version) {
			out = append(out, s)
		}
	}
	if filter.Part == 0 {
		return out
	}
	hash := func(s S) uint64 {
		id, _ := identify(s)
		return xxh3.HashString(id)
	}
	slices.SortFunc(out, func(a, b S) int { return cmp.Compare(hash(a), hash(b)) })
	return out[:max(int(math.Ceil(filter.Part*float64(len(out)))), min(len(out), minBadServers))]
}

// serverShareFactor is the ratio of the part of the new version's servers that get requests to
// its share of the requests. It is above 1 as servers differ in speed and some may be down.
const serverShareFactor = 2

// Choose returns which servers the next request of a service may go to, and counts the request
// if that is the new version. Withdraw undoes the count; CountRequest follows once the request is
// sent.
func (t *Table) Choose(name string, now time.Time) ServerFilter {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return ServerFilter{}
	}
	excludedVersions := excluded(s.status.Excluded)
	r := s.release
	if r == nil || r.finished() {
		if r != nil && r.machine.Is(StateRolledBack) {
			excludedVersions = excludedVersions.with(r.order.Target)
		}
		return ServerFilter{Allows: func(version string) bool { return !slices.Contains(excludedVersions, version) }}
	}
	target := r.order.Target
	share, extra := r.share(t.terms, now)
	switch {
	case share >= 1:
		return ServerFilter{Target: true, Allows: func(version string) bool { return version == target }}
	case float64(r.targetRequests+1) <= share*float64(r.requests+1)+float64(extra):
		r.targetRequests++
		return ServerFilter{Target: true, Part: min(1, serverShareFactor*t.terms.Share), Allows: func(version string) bool { return version == target }}
	default:
		return ServerFilter{Allows: func(version string) bool { return version != target && !slices.Contains(excludedVersions, version) }}
	}
}

// CountRequest counts a request of a service that was sent to any version.
func (t *Table) CountRequest(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.release != nil {
		s.release.requests++
	}
}

// Withdraw undoes the count of a request to the new version, none of whose servers could accept
// it. It returns the servers with other versions, to which the request may go instead.
func (t *Table) Withdraw(name string) ServerFilter {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.release == nil {
		return ServerFilter{}
	}
	s.release.targetRequests = max(0, s.release.targetRequests-1)
	target, excludedVersions := s.release.order.Target, s.status.Excluded
	return ServerFilter{Allows: func(version string) bool { return version != target && !slices.Contains(excludedVersions, version) }}
}

// RecordAnswer records an answer of a server with a version.
func (t *Table) RecordAnswer(name, version string, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.release == nil || s.release.finished() {
		return
	}
	a.Target = version == s.release.order.Target
	hash := xxh3.HashString(a.Server)
	for _, route := range []routeHash{0, hashRoute(a.Route)} {
		pair := s.release.ownCounts.get(route)
		if a.Target {
			pair.target.record(a, hash)
		} else {
			pair.old.record(a, hash)
		}
	}
	t.unreported = true
}

// hashRoute returns the hash of a route's name. It is never 0, which stands for all routes.
func hashRoute(route string) routeHash { return routeHash(uint32(xxh3.HashString(route)) | 1) }

// Active returns the services with an unfinished canary release.
func (t *Table) Active() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.release != nil && !s.release.finished() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Target returns the version that the last order for a service releases, or "".
func (t *Table) Target(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.release != nil {
		return s.release.order.Target
	}
	return ""
}

// Evaluate evaluates the answers of a service so far. targets is the number of servers with the
// new version. Every host does this, and stops using a version that it finds bad without
// waiting for the lease holder.
func (t *Table) Evaluate(name string, targets int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.release == nil || s.release.worse {
		return
	}
	r := s.release
	r.evaluate(targets, now)
	if r.worse {
		pair := r.totals().get(r.route)
		t.log.WithFields(logrus.Fields{
			"service": name, "target": r.order.Target, "evidence": r.evidence,
			"answers": pair.target.Answers, "failed": pair.target.Failed, "old_answers": pair.old.Answers, "old_failed": pair.old.Failed,
		}).Warn("new version found worse")
	}
}

// Decide returns the decision of the lease holder, whose fencing token is generation, on a
// service, and the status to write to the store, if any. versions are the versions of the
// service's servers. A permit takes effect on this host at once.
func (t *Table) Decide(name string, generation int64, load ServiceLoad, versions []string, now time.Time) (Decision, *Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.release == nil || s.release.finished() {
		return Decision{}, nil
	}
	r := s.release
	d := r.decide(t.terms, load, now)
	st := Status{
		Service: name, Target: r.order.Target, State: StateRunning, Offset: r.order.Offset, Generation: generation,
		Began: r.startedAt, Excluded: s.status.Excluded,
	}
	switch d.State {
	case StateDone:
		st.State = d.State
		for _, v := range versions {
			if v != r.order.Target {
				st.Excluded = excluded(st.Excluded).with(v)
			}
		}
		return d, &st
	case StateRolledBack:
		st.State = d.State
		st.Excluded = excluded(st.Excluded).with(r.order.Target)
		return d, &st
	}
	if s.status.Offset != r.order.Offset {
		// The store must record that the release is running before any request goes to the
		// new version.
		return d, &st
	}
	r.receivePermit(Permit{Offset: r.order.Offset, Generation: generation, Share: d.Share, Extra: d.Extra, Elapsed: now.Sub(r.startedAt)}, now)
	return d, nil
}

// Status returns the state of the last order of each service, for operators, sorted by service.
func (t *Table) Status(now time.Time) []*pb.MoveStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.MoveStatus
	for name, s := range t.services {
		if s.release == nil {
			continue
		}
		r := s.release
		pair := r.totals().get(0)
		share, _ := r.share(t.terms, now)
		out = append(out, &pb.MoveStatus{
			Service: name, Target: r.order.Target, State: r.machine.Current(), Share: share,
			ElapsedMs: now.Sub(r.startedAt).Milliseconds(), DurationMs: r.order.Duration.Milliseconds(),
			Answers: pair.target.Answers, Failed: pair.target.Failed, OldAnswers: pair.old.Answers, OldFailed: pair.old.Failed,
			Evidence: r.evidence,
		})
	}
	slices.SortFunc(out, func(a, b *pb.MoveStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Permits returns the current permits of this host, the lease holder with a generation, to
// send to other hosts.
func (t *Table) Permits(generation int64, now time.Time) []*pb.MovePermit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pb.MovePermit
	for name, s := range t.services {
		r := s.release
		if r == nil || r.finished() || r.generation != generation || now.Sub(r.permittedAt) > windowStep {
			continue
		}
		out = append(out, &pb.MovePermit{
			Service: name, Offset: r.order.Offset, Generation: generation, Share: r.permit.Share,
			Extra: int32(r.permit.Extra), ElapsedMs: now.Sub(r.startedAt).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b *pb.MovePermit) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ReceivePermits records the permits of another host.
func (t *Table) ReceivePermits(permits []*pb.MovePermit, now time.Time) {
	if len(permits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range permits {
		if s := t.services[p.Service]; s != nil && s.release != nil {
			s.release.receivePermit(Permit{
				Offset: p.Offset, Generation: p.Generation, Share: p.Share, Extra: int(p.Extra), Elapsed: time.Duration(p.ElapsedMs) * time.Millisecond,
			}, now)
		}
	}
}

// TakeAnswers is Answers for the hosts that are sent the newest counts once.
func (t *Table) TakeAnswers() []*pb.MoveAnswers {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreported = false
	return t.answers()
}

// Answers returns the counts of this host's answers since the orders, to send to other hosts.
func (t *Table) Answers() []*pb.MoveAnswers {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers()
}

func (t *Table) answers() []*pb.MoveAnswers {
	var out []*pb.MoveAnswers
	for name, s := range t.services {
		if s.release == nil || s.release.finished() {
			continue
		}
		for route, pair := range s.release.ownCounts {
			out = append(out, &pb.MoveAnswers{Service: name, Offset: s.release.order.Offset, Route: uint32(route), Old: encodeCounts(pair.old), Target: encodeCounts(pair.target)})
		}
	}
	return out
}

// HasUnreported reports whether this host's newest answers have not been sent to other hosts.
func (t *Table) HasUnreported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreported
}

// ReceiveAnswers records the counts of another host's answers, in place of its earlier ones.
func (t *Table) ReceiveAnswers(host string, incarnation uint64, answers []*pb.MoveAnswers) {
	if len(answers) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range answers {
		s := t.services[a.Service]
		if s == nil || s.release == nil || s.release.order.Offset != a.Offset {
			continue
		}
		sender := peer{host, incarnation}
		if s.release.peerCounts[sender] == nil {
			s.release.peerCounts[sender] = routeCounts{}
		}
		s.release.peerCounts[sender][routeHash(a.Route)] = &versionPair{old: decodeCounts(a.Old), target: decodeCounts(a.Target)}
	}
}

func encodeCounts(c Counts) *pb.VersionCounts {
	return &pb.VersionCounts{Answers: c.Answers, Failed: c.Failed, Slow: c.Slow[:], Servers: c.Servers}
}

func decodeCounts(c *pb.VersionCounts) Counts {
	out := Counts{Answers: c.GetAnswers(), Failed: c.GetFailed(), Servers: c.GetServers()}
	copy(out.Slow[:], c.GetSlow())
	return out
}
