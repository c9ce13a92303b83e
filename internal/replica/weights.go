package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// wantedVersion is a weights version that operators have named.
type wantedVersion struct {
	version int64
	// since is the earliest known time at which a host learned of the version. Operators
	// named it at that time or earlier.
	since time.Time
	// exactSince is set if some host learned of the version while following the operators'
	// writes, so that since is the time of naming plus the time of a read. Otherwise the
	// version may have been named at any time before.
	exactSince bool
}

// merge combines the records that two hosts have of a version. The earlier time wins: no host
// learns of a version before it is named, and the delay of a report only makes the version
// look younger than reported. A lower limit of the naming time is not kept: each report would
// move it later by its delay, and hosts that keep reporting to each other would lose all of
// the age.
func (w wantedVersion) merge(other wantedVersion) wantedVersion {
	if other.since.Before(w.since) {
		w.since = other.since
	}
	w.exactSince = w.exactSince || other.exactSince
	return w
}

// maxWanted limits the versions remembered for each model. A replica with even older weights
// counts as outdated since the oldest of them.
const maxWanted = 64

// Want records the weights version that operators have just named for a model. Versions
// never decrease. It reports whether the version is newer than all before.
func (t *Table) Want(model string, version int64, now time.Time) bool {
	return t.want(model, wantedVersion{version: version, since: now, exactSince: true}, false)
}

// WantFound is Want for a version whose naming time is unknown.
func (t *Table) WantFound(model string, version int64, now time.Time) bool {
	return t.want(model, wantedVersion{version: version, since: now}, false)
}

// want records a version. A record of a known or older version changes nothing, as operators
// may write it twice, unless it was reported by another host: such a report may contain the
// naming time, or a version that was superseded before this host started.
func (t *Table) want(model string, w wantedVersion, reported bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.wanted[model]
	i, known := slices.BinarySearchFunc(versions, w.version, func(v wantedVersion, version int64) int { return cmp.Compare(v.version, version) })
	isNewest := i == len(versions)
	if !reported && !isNewest {
		return false
	}
	if known {
		versions[i] = versions[i].merge(w)
		return false
	}
	versions = slices.Insert(versions, i, w)
	t.wanted[model] = versions[max(0, len(versions)-maxWanted):]
	t.outdated.valid = false
	return isNewest
}

// ApplyNamed records another host's report of a version and of its age. It reports whether
// the version is newer than all before.
func (t *Table) ApplyNamed(w *pb.NamedWeights, now time.Time) bool {
	age := time.Duration(max(0, w.AgeMs)) * time.Millisecond
	return t.want(w.Model, wantedVersion{version: w.Version, since: now.Add(-age), exactSince: true}, true)
}

// Wanted returns the newest wanted version of a model, or 0.
func (t *Table) Wanted(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.wanted[model]); n > 0 {
		return t.wanted[model][n-1].version
	}
	return 0
}

// serviceModel is a model on the servers of one service. Entries of other services, which
// any writer may add, say nothing about these servers.
type serviceModel struct{ service, model string }

// assumedOutdatedFor is the result of outdatedFor for a server that must not be used although it is
// unknown for how long its weights have been outdated.
const assumedOutdatedFor = 24 * time.Hour

// outdatedFor returns how long a version newer than the given one has been wanted. It counts from
// the first such version: a later one gives a replica no more time.
//
// If it is unknown when that version was named, for instance after a power loss of the whole
// fleet, the weights that servers hold decide, since loading begins within a fraction of a
// second of the naming. A version that no server of the service has held was most likely
// named a moment ago, and all servers are outdated: the time counts from when this host
// learned of it, so that they serve until one has loaded it. A version that a server of the
// service has held has been wanted for longer, maybe for hours, and servers without it are
// not used.
func (t *Table) outdatedFor(service, model string, version int64, now time.Time) time.Duration {
	first, newer := t.firstNewer(model, version)
	if !newer {
		return 0
	}
	if !first.exactSince && t.newestHeld[serviceModel{service, model}] >= first.version {
		return assumedOutdatedFor
	}
	return now.Sub(first.since)
}

// firstNewer returns the oldest wanted version of a model that is newer than the given one,
// if there is any.
func (t *Table) firstNewer(model string, version int64) (wantedVersion, bool) {
	for _, w := range t.wanted[model] {
		if w.version > version {
			return w, true
		}
	}
	return wantedVersion{}, false
}

// RecordWeights records weights that a server was seen to hold. Late reports of older weights are
// ignored; see RecordOlderWeights. It reports whether the weights are new.
func (t *Table) RecordWeights(id, model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] >= version {
		return false
	}
	t.setWeights(e, model, version)
	e.loadingUntil, e.unverifiedUntil = time.Time{}, time.Time{}
	return true
}

// RecordOlderWeights records that a server itself reports older weights than it was assumed to
// hold, unless its record has changed since. It reports whether the record was updated.
func (t *Table) RecordOlderWeights(id, model string, assumed, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] != assumed {
		return false
	}
	e.weights[model] = version
	t.outdated.valid = false
	e.loadingUntil, e.unverifiedUntil = time.Time{}, time.Time{}
	return true
}

// setWeights records that a server holds a version of a model.
func (t *Table) setWeights(e *entry, model string, version int64) {
	e.weights[model] = max(e.weights[model], version)
	t.outdated.valid = false
	key := serviceModel{e.reg.Service, model}
	t.newestHeld[key] = max(t.newestHeld[key], version)
}

// MarkLoading records that a server is being commanded to load weights. It gets no requests
// until the given time, unless it is seen to hold the weights before. Late reports about a
// server that already holds the wanted weights are ignored.
func (t *Table) MarkLoading(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && t.isOutdated(e) {
		e.loadingUntil = until
	}
}

// isOutdated reports whether a server holds older weights than wanted.
func (t *Table) isOutdated(e *entry) bool {
	for model, version := range e.weights {
		if versions := t.wanted[model]; len(versions) > 0 && versions[len(versions)-1].version > version {
			return true
		}
	}
	return false
}

// unverifiedTimeout is how long a server that refused the weights it was assumed to hold
// gets no requests, unless its own report arrives earlier: reports are a few hundred
// milliseconds old.
const unverifiedTimeout = time.Second

// MarkUnverified records that a server refused a request for weights that it was assumed to
// hold. Until it reports which weights it holds, it would refuse every further request.
func (t *Table) MarkUnverified(id, model string, version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] != version || now.Before(e.unverifiedUntil) {
		return
	}
	e.unverifiedUntil = now.Add(unverifiedTimeout)
	t.track(t.active, e)
	e.loadingUntil = e.unverifiedUntil
	t.log.WithFields(logrus.Fields{"replica": id, "weights": weightsText(model, version)}).Info("replica holds other weights than believed")
}

// Unverified returns the servers to ask which weights they hold, ordered by ID.
func (t *Table) Unverified(now time.Time) []Server {
	return t.servers(t.active, now, func(e *entry) bool { return now.Before(e.unverifiedUntil) })
}
