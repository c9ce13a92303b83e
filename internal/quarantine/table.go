package quarantine

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"
)

const (
	// maxCrashes is the number of crashes from which a request is refused. The first crash
	// also counts against the requests that were running beside the cause, but these rarely
	// run beside it a second time.
	maxCrashes = 3
	// refusalDuration is how long a request is refused after its last crash. After that, a
	// single further crash is enough to refuse it again: a request whose fault has been fixed
	// is served again, and any other costs one server in ten minutes.
	refusalDuration = 10 * time.Minute
	// crashRetention is how long a crash is remembered.
	crashRetention = time.Hour
	// maxRecords limits the remembered requests, at about 200 bytes each.
	maxRecords = 1024
	// maxPerRecord limits the crashes that are remembered for each request.
	maxPerRecord = 8
)

// Server identifies one incarnation of a backend server.
type Server uint64

// ServerOf returns the identifier of a server's incarnation; started is as in
// platform.Registration.
func ServerOf(id string, started int64) Server {
	return Server(xxh3.HashStringSeed(id, uint64(started)))
}

// record is what this host has recorded about one request.
type record struct {
	// crashes holds the crash times of the servers that were running the request.
	crashes map[Server]time.Time
	// answered is when a server last answered the request completely, or zero: earlier
	// crashes were caused by another request.
	answered time.Time
	// refusing is set if the last log line about the request says that it is refused.
	refusing bool
}

// Table holds the requests that were running when backend servers crashed, as observed by
// this host or reported by others. It is safe for concurrent use; mu is its only lock.
type Table struct {
	log *logrus.Logger
	// Dirty holds an element while there are unsaved records.
	Dirty chan struct{}

	mu      sync.Mutex
	records map[Digest]*record
	// updates holds the requests with updates to report, and cursor the refused request that
	// was resent last.
	updates map[Digest]*update
	cursor  Digest
	// unsaved are the requests whose record in the store is outdated.
	unsaved map[Digest]bool
	// inFlight holds the attempts to cancel once their request is refused.
	inFlight map[Digest]map[*attempt]bool
}

// attempt is an attempt in flight.
type attempt struct{ cancel func() }

// NewTable returns an empty table.
func NewTable(log *logrus.Logger) *Table {
	return &Table{
		log: log, Dirty: make(chan struct{}, 1),
		records: map[Digest]*record{}, updates: map[Digest]*update{}, unsaved: map[Digest]bool{},
		inFlight: map[Digest]map[*attempt]bool{},
	}
}

// Crashed records that a server crashed while it was running these requests.
func (t *Table) Crashed(server Server, requests []Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range requests {
		t.updates[d] = &update{observedAt: now}
		t.add(d, server, now, now)
	}
}

// Answered records that a server has answered a request completely.
func (t *Table) Answered(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	if r == nil || len(r.crashes) == 0 {
		return
	}
	t.updates[d] = &update{observedAt: now}
	t.clear(d, r, now)
}

// Refused returns the number of crashes attributed to a request if it must not be sent to
// another server, or else 0.
func (t *Table) Refused(d Digest, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	if r == nil {
		return 0
	}
	n := t.refused(d, r, now)
	t.setRefusing(d, r, n)
	return n
}

// OnRefused calls cancel, which must not block, once a request is refused, unless stop was
// called before: attempts that are queued at other servers would crash these too.
func (t *Table) OnRefused(d Digest, cancel func()) (stop func()) {
	running := &attempt{cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[d] == nil {
		t.inFlight[d] = map[*attempt]bool{}
	}
	t.inFlight[d][running] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inFlight[d], running)
		if len(t.inFlight[d]) == 0 {
			delete(t.inFlight, d)
		}
	}
}

// Count returns the number of requests that are refused.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for d, r := range t.records {
		if t.refused(d, r, now) > 0 {
			n++
		}
	}
	return n
}

// refused returns the number of crashes attributed to a request if it is to be refused, or
// else 0.
func (t *Table) refused(d Digest, r *record, now time.Time) int {
	newest := time.Time{}
	for _, at := range r.crashes {
		if at.After(newest) {
			newest = at
		}
	}
	if len(r.crashes) < maxCrashes || now.Sub(newest) >= refusalDuration {
		return 0
	}
	if n := t.attributedCrashes(d, r); n >= maxCrashes {
		return n
	}
	return 0
}

// attributedCrashes returns the number of a request's crashes that no other request explains
// better. A server runs many requests when it crashes: a request that crashed several other
// servers is the cause, and those running beside it are not.
func (t *Table) attributedCrashes(d Digest, r *record) int {
	n := 0
	for server := range r.crashes {
		if !t.explainedByAnother(d, server, len(r.crashes)) {
			n++
		}
	}
	return n
}

// explainedByAnother reports whether another request with more crashes was running on a
// server when it crashed.
func (t *Table) explainedByAnother(d Digest, server Server, crashes int) bool {
	for other, r := range t.records {
		if _, ran := r.crashes[server]; ran && other != d && len(r.crashes) > crashes {
			return true
		}
	}
	return false
}

// setRefusing logs when the refusal of a request begins or ends, and cancels its attempts in
// flight when it begins.
func (t *Table) setRefusing(d Digest, r *record, crashes int) {
	refusing := crashes > 0
	if refusing == r.refusing {
		return
	}
	r.refusing = refusing
	if refusing {
		t.log.WithFields(logrus.Fields{"digest": d.String(), "crashes": crashes}).Warn("request refused from now on: servers crash under it")
		for a := range t.inFlight[d] {
			a.cancel()
		}
	} else {
		t.log.WithField("digest", d.String()).Info("request is let in again")
	}
}

// add records a crash, and reports whether it is new.
func (t *Table) add(d Digest, server Server, at, now time.Time) bool {
	r := t.records[d]
	if r == nil {
		t.evictIfFull(now)
		r = &record{crashes: map[Server]time.Time{}}
		t.records[d] = r
	}
	if _, known := r.crashes[server]; known || !at.After(r.answered) {
		return false
	}
	if len(r.crashes) >= maxPerRecord {
		delete(r.crashes, oldestCrash(r.crashes))
	}
	r.crashes[server] = at
	if n := len(r.crashes); n >= minSavedCrashes && n <= maxCrashes {
		t.markUnsavedIfObserved(d)
	}
	t.setRefusing(d, r, t.refused(d, r, now))
	return true
}

// clear drops the crashes up to a complete answer.
func (t *Table) clear(d Digest, r *record, answered time.Time) {
	if !answered.After(r.answered) {
		return
	}
	r.answered = answered
	if len(r.crashes) >= minSavedCrashes {
		t.markUnsavedIfObserved(d)
	}
	for server, at := range r.crashes {
		if !at.After(answered) {
			delete(r.crashes, server)
		}
	}
	t.setRefusing(d, r, 0)
}

func oldestCrash(crashes map[Server]time.Time) Server {
	var oldest Server
	for server, at := range crashes {
		if oldest == 0 || at.Before(crashes[oldest]) {
			oldest = server
		}
	}
	return oldest
}

// Expire drops expired crashes, records and updates.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, r := range t.records {
		for server, at := range r.crashes {
			if now.Sub(at) >= crashRetention {
				delete(r.crashes, server)
			}
		}
		if len(r.crashes) == 0 && now.Sub(r.answered) >= reportDuration {
			delete(t.records, d)
		}
	}
	for d, u := range t.updates {
		if now.Sub(u.observedAt) >= reportDuration {
			delete(t.updates, d)
		}
	}
}

// evictIfFull drops the record with the fewest crashes if the table is full, and among several
// the one with the oldest crash. Such a record matters least: a hundred thousand other
// requests may have followed the crash, while a request with more or recent crashes is likely to
// crash further servers.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var victim Digest
	var victimCrashes int
	var victimAt time.Time
	for d, r := range t.records {
		at := now
		if server := oldestCrash(r.crashes); server != 0 {
			at = r.crashes[server]
		}
		n := len(r.crashes)
		if victim == 0 || n < victimCrashes || n == victimCrashes && at.Before(victimAt) {
			victim, victimCrashes, victimAt = d, n, at
		}
	}
	delete(t.records, victim)
	delete(t.updates, victim)
}
