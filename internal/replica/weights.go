package replica

import (
	"time"

	"github.com/sirupsen/logrus"
)

// wanted is a weights version that operators wanted at a time.
type wanted struct {
	version int64
	// since is when this host learned of it.
	since time.Time
}

// maxWanted bounds the versions remembered of a model. A replica that is further
// behind counts from the oldest of them.
const maxWanted = 64

// Want takes the weights version that operators want of a model. Versions never
// go back. It reports whether the version is new.
func (t *Table) Want(model string, version int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := t.wanted[model]
	if n := len(versions); n > 0 && versions[n-1].version >= version {
		return false
	}
	versions = append(versions, wanted{version, now})
	t.wanted[model] = versions[max(0, len(versions)-maxWanted):]
	return true
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

// behind returns how long a version newer than the given one has been wanted. It
// counts from the first such version: a later one gives a replica no more time.
func (t *Table) behind(model string, version int64, now time.Time) time.Duration {
	for _, w := range t.wanted[model] {
		if w.version > version {
			return now.Sub(w.since)
		}
	}
	return 0
}

// Holds records weights that a server was seen to hold. Late word of older ones changes
// nothing: see HoldsOlder. It reports whether they are new.
func (t *Table) Holds(id, model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] >= version {
		return false
	}
	e.weights[model] = version
	e.loadingUntil, e.unsure = time.Time{}, time.Time{}
	return true
}

// HoldsOlder records that a server itself reports older weights than those it was believed
// to hold, unless something newer was learned meanwhile. It reports whether it did.
func (t *Table) HoldsOlder(id, model string, believed, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] != believed {
		return false
	}
	e.weights[model] = version
	return true
}

// Loading records that a server is being ordered to load weights. Until then it
// is given no requests, unless it is seen to hold the weights before. Late word
// of a server that holds the wanted weights already changes nothing.
func (t *Table) Loading(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && t.lacks(e) {
		e.loadingUntil = until
	}
}

// lacks reports whether a server holds older weights than wanted.
func (t *Table) lacks(e *entry) bool {
	for model, version := range e.weights {
		if versions := t.wanted[model]; len(versions) > 0 && versions[len(versions)-1].version > version {
			return true
		}
	}
	return false
}

// Lacking returns how many servers lack the wanted weights, and the longest time for
// which one of them has.
func (t *Table) Lacking(now time.Time) (servers int, longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if !t.lacks(e) || e.machine.Is(StateDraining) {
			continue
		}
		servers++
		for model, version := range e.weights {
			longest = max(longest, t.behind(model, version, now))
		}
	}
	return servers, longest
}

// unsureFor is how long a server that refused the weights it was believed to hold
// gets no requests, unless its own report tells before: reports are some hundred
// milliseconds old.
const unsureFor = time.Second

// MarkUnsure records that a server refused a request for weights that it was believed to
// hold. Without a word of what it holds it would refuse every further request.
func (t *Table) MarkUnsure(id, model string, version int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.weights[model] != version || now.Before(e.unsure) {
		return
	}
	e.unsure = now.Add(unsureFor)
	e.loadingUntil = e.unsure
	t.log.WithFields(logrus.Fields{"replica": id, "weights": weightsText(model, version)}).Info("replica holds other weights than believed")
}

// Unsure returns the servers that are to be asked for their weights, by ID.
func (t *Table) Unsure(now time.Time) []Server {
	return t.servers(now, func(e *entry) bool { return now.Before(e.unsure) })
}
