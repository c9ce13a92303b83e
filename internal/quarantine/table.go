package quarantine

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"
)

const (
	// maxCrashes is the number of servers that may crash under a request before it is
	// refused: others that were running beside it are blamed with it the first time, rarely
	// the second.
	maxCrashes = 3
	// holdFor is how long a request is refused after the last crash under it. Then one
	// crash more is enough: what was mended meanwhile is served again, and what was not
	// costs a server in ten minutes.
	holdFor = 10 * time.Minute
	// forgetAfter is how long a crash is remembered.
	forgetAfter = time.Hour
	// maxRecords bounds the requests that are remembered, some 200 bytes each.
	maxRecords = 1024
	// maxPerRecord bounds the crashes that are remembered of one request.
	maxPerRecord = 8
)

// Server names one start of a backend server.
type Server uint64

// ServerOf returns the name of a server's start; started is as in platform.Registration.
func ServerOf(id string, started int64) Server {
	return Server(xxh3.HashStringSeed(id, uint64(started)))
}

// record is what is known of one request.
type record struct {
	// crashes holds when servers crashed that were running it.
	crashes map[Server]time.Time
	// answered is when a server last answered it whole, or zero: whatever crashed before
	// that, crashed under another request.
	answered time.Time
	// refusing is set while a line of the log says that the request is refused.
	refusing bool
}

// Table holds the requests under which backend servers crashed, as far as this host has
// seen or was told. It is safe for concurrent use; mu is its only lock.
type Table struct {
	log *logrus.Logger
	// Dirty holds an element while something is to be kept in the store.
	Dirty chan struct{}

	mu      sync.Mutex
	records map[Digest]*record
	// fresh holds since when something is to be told of a request, and cursor the refused
	// request that was told again last.
	fresh  map[Digest]*news
	cursor Digest
	// unsaved are the requests of which the store does not know what this host does.
	unsaved map[Digest]bool
	// underWay are the attempts that end once their request is refused.
	underWay map[Digest]map[*attempt]bool
}

// attempt is one that is under way.
type attempt struct{ end func() }

// NewTable returns an empty table.
func NewTable(log *logrus.Logger) *Table {
	return &Table{
		log: log, Dirty: make(chan struct{}, 1),
		records: map[Digest]*record{}, fresh: map[Digest]*news{}, unsaved: map[Digest]bool{},
		underWay: map[Digest]map[*attempt]bool{},
	}
}

// Crashed records that a server crashed while it was running these requests.
func (t *Table) Crashed(server Server, requests []Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range requests {
		t.fresh[d] = &news{since: now}
		t.add(d, server, now, now)
	}
}

// Answered records that a server has answered a request whole.
func (t *Table) Answered(d Digest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	if r == nil || len(r.crashes) == 0 {
		return
	}
	t.fresh[d] = &news{since: now}
	t.clear(d, r, now)
}

// Refused returns how many servers crashed under a request that must not be sent to
// another one, or 0 when it may be.
func (t *Table) Refused(d Digest, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	if r == nil {
		return 0
	}
	n := t.refused(d, r, now)
	t.note(d, r, n)
	return n
}

// OnRefused calls end, which must not block, once a request is refused, unless stop was
// called before: attempts that wait at servers for their turn would crash these too.
func (t *Table) OnRefused(d Digest, end func()) (stop func()) {
	a := &attempt{end}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.underWay[d] == nil {
		t.underWay[d] = map[*attempt]bool{}
	}
	t.underWay[d][a] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.underWay[d], a)
		if len(t.underWay[d]) == 0 {
			delete(t.underWay, d)
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

// refused returns how many servers' crashes are put down to a request, or 0 while they
// are no reason to refuse it.
func (t *Table) refused(d Digest, r *record, now time.Time) int {
	newest := time.Time{}
	for _, at := range r.crashes {
		if at.After(newest) {
			newest = at
		}
	}
	if len(r.crashes) < maxCrashes || now.Sub(newest) >= holdFor {
		return 0
	}
	if n := t.blamed(d, r); n >= maxCrashes {
		return n
	}
	return 0
}

// blamed returns how many crashes no other request explains better. A server runs many
// requests when it crashes; one that crashed several others is the cause, and those beside
// it are not.
func (t *Table) blamed(d Digest, r *record) int {
	n := 0
	for server := range r.crashes {
		if !t.explained(d, server, len(r.crashes)) {
			n++
		}
	}
	return n
}

// explained reports whether another request with more crashes was running on a server
// when it crashed.
func (t *Table) explained(d Digest, server Server, crashes int) bool {
	for other, r := range t.records {
		if _, ran := r.crashes[server]; ran && other != d && len(r.crashes) > crashes {
			return true
		}
	}
	return false
}

// note writes a line when a request begins to be refused, or no longer is.
func (t *Table) note(d Digest, r *record, crashes int) {
	refusing := crashes > 0
	if refusing == r.refusing {
		return
	}
	r.refusing = refusing
	if refusing {
		t.log.WithFields(logrus.Fields{"digest": d.String(), "crashes": crashes}).Warn("request refused from now on: servers crash under it")
		for a := range t.underWay[d] {
			a.end()
		}
	} else {
		t.log.WithField("digest", d.String()).Info("request is let in again")
	}
}

// add remembers a crash, and reports whether it was not known.
func (t *Table) add(d Digest, server Server, at, now time.Time) bool {
	r := t.records[d]
	if r == nil {
		t.makeRoom(now)
		r = &record{crashes: map[Server]time.Time{}}
		t.records[d] = r
	}
	if _, known := r.crashes[server]; known || !at.After(r.answered) {
		return false
	}
	if len(r.crashes) >= maxPerRecord {
		delete(r.crashes, oldest(r.crashes))
	}
	r.crashes[server] = at
	if n := len(r.crashes); n >= keepFrom && n <= maxCrashes {
		t.save(d)
	}
	t.note(d, r, t.refused(d, r, now))
	return true
}

// clear drops the crashes up to a whole answer.
func (t *Table) clear(d Digest, r *record, answered time.Time) {
	if !answered.After(r.answered) {
		return
	}
	r.answered = answered
	if len(r.crashes) >= keepFrom {
		t.save(d)
	}
	for server, at := range r.crashes {
		if !at.After(answered) {
			delete(r.crashes, server)
		}
	}
	t.note(d, r, 0)
}

func oldest(crashes map[Server]time.Time) Server {
	var first Server
	for server, at := range crashes {
		if first == 0 || at.Before(crashes[first]) {
			first = server
		}
	}
	return first
}

// Expire forgets what is old.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, r := range t.records {
		for server, at := range r.crashes {
			if now.Sub(at) >= forgetAfter {
				delete(r.crashes, server)
			}
		}
		if len(r.crashes) == 0 && now.Sub(r.answered) >= tellFor {
			delete(t.records, d)
		}
	}
	for d, n := range t.fresh {
		if now.Sub(n.since) >= tellFor {
			delete(t.fresh, d)
		}
	}
}

// makeRoom drops a request with the fewest crashes, the oldest of them, where the table
// is full: that of a request which a hundred thousand others came after is worth less than
// one that crashes servers.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var least Digest
	var leastCrashes int
	var leastAt time.Time
	for d, r := range t.records {
		at := now
		if server := oldest(r.crashes); server != 0 {
			at = r.crashes[server]
		}
		n := len(r.crashes)
		if least == 0 || n < leastCrashes || n == leastCrashes && at.Before(leastAt) {
			least, leastCrashes, leastAt = d, n, at
		}
	}
	delete(t.records, least)
	delete(t.fresh, least)
}
