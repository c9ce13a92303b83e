package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	// maxRecords limits the remembered requests and blocks, at about 200 bytes each.
	maxRecords = 2048
	// maxPerRecord limits the crashes that are remembered for each of them.
	maxPerRecord = 24
)

// Server identifies one incarnation of a backend server.
type Server uint64

// ServerOf returns the identifier of a server's incarnation; started is as in
// platform.Registration.
func ServerOf(id string, started int64) Server {
	return Server(xxh3.HashStringSeed(id, uint64(started)))
}

// record is what this host has recorded about one request or prefix block.
type record struct {
	// block is set for a prefix block.
	block bool
	// crashes holds the crash times of the servers that were running the request, or requests with
	// the block.
	crashes map[Server]time.Time
	// answered is when a server last answered such a request, or zero: earlier crashes had another
	// cause.
	answered time.Time
	// answersBefore is the value of Table.answers when the first of the crashes was recorded. Answers
	// since then are to other requests, as one to this would have cleared the crashes.
	answersBefore int
	// refusing is set if the last log line about it says that it is refused.
	refusing bool
	// refusedBefore is set if another host refused the block, or this one before it started, and no
	// request with it was answered since.
	refusedBefore bool
	// verdict is as of the table's change judgedAt.
	verdict  verdict
	judgedAt uint64
}

// Table holds the requests and prefix blocks that were running when backend servers crashed, as
// observed by this host or reported by others. It is safe for concurrent use; mu is its only lock.
type Table struct {
	log     *logrus.Logger
	started time.Time
	// Dirty holds an element while there are unsaved records.
	Dirty chan struct{}

	mu      sync.Mutex
	records map[Digest]*record
	// changes counts the changes of records.
	changes uint64
	// answeredRequests and answeredBlocks remember what was answered, apart from each other as most requests
	// are answered once. answers counts the answered prompts: answers of plain servers do not show that
	// engines answer.
	answeredRequests, answeredBlocks answerTimes
	answers                          int
	// updates holds the digests with updates to report, and cursor the refused one that was resent
	// last.
	updates map[Digest]*update
	cursor  Digest
	// unsaved are the digests whose record in the store is outdated.
	unsaved map[Digest]bool
	// inFlight holds, by each of their digests, the attempts to cancel once their request is refused.
	inFlight map[Digest]map[*attempt]bool
}

// attempt is an attempt in flight.
type attempt struct {
	fingerprint Fingerprint
	cancel      func()
}

// NewTable returns the empty table of a host that starts.
func NewTable(log *logrus.Logger, now time.Time) *Table {
	return &Table{
		log: log, started: now, Dirty: make(chan struct{}, 1),
		records: map[Digest]*record{}, updates: map[Digest]*update{}, unsaved: map[Digest]bool{},
		inFlight: map[Digest]map[*attempt]bool{},
	}
}

// Crashed records that a server crashed at the given time while it was running these requests.
func (t *Table) Crashed(server Server, running []Fingerprint, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range running {
		t.observeCrash(f.Request, false, server, at, now)
		for _, d := range f.Blocks {
			t.observeCrash(d, true, server, at, now)
		}
	}
}

func (t *Table) observeCrash(d Digest, block bool, server Server, at, now time.Time) {
	t.updates[d] = &update{observedAt: now}
	t.add(d, block, server, at, now)
	if r := t.records[d]; !r.block {
		// Reported with the crash: another host may never have received an answer to the request.
		t.clear(d, r, t.answeredRequests.last(d), now)
	}
}

// Answered records that a server answered a request completely at the given time, and lived on.
func (t *Table) Answered(f Fingerprint, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.Prompt {
		t.answers++
	}
	t.answeredRequests.add(f.Request, at)
	t.recordAnswer(f.Request, at, now)
	for _, d := range f.Blocks {
		t.answeredBlocks.add(d, at)
		t.recordAnswer(d, at, now)
	}
}

func (t *Table) recordAnswer(d Digest, at, now time.Time) {
	r := t.records[d]
	if r == nil || len(r.crashes) == 0 {
		return
	}
	t.updates[d] = &update{observedAt: now}
	t.clear(d, r, at, now)
}

// Suspected reports whether a server crashed while running the request, or one that shares a prefix
// block with it, and none has been answered since.
func (t *Table) Suspected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashed := func(d Digest) bool { return t.records[d] != nil && len(t.records[d].crashes) > 0 }
	return crashed(f.Request) || slices.ContainsFunc(f.Blocks, crashed)
}

// Refusal says why a request is refused.
type Refusal struct {
	// Crashes is the number of crashes attributed to the request or the block.
	Crashes int
	// Block is the index of the block in the request's fingerprint, -1 for the whole request.
	Block int
}

// Check reports whether a request must not be sent to another server, and why.
func (t *Table) Check(f Fingerprint, now time.Time) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(f, now)
}

func (t *Table) check(f Fingerprint, now time.Time) (Refusal, bool) {
	if n := t.refusedRequest(f.Request, now); n > 0 {
		return Refusal{Crashes: n, Block: -1}, true
	}
	block, n := t.refusedBlock(f.Blocks, now)
	return Refusal{Crashes: n, Block: block}, n > 0
}

func (t *Table) refusedRequest(d Digest, now time.Time) int {
	r := t.records[d]
	if r == nil {
		return 0
	}
	n := t.refused(d, r, now)
	t.setRefusing(d, r, n)
	return n
}

// OnRefused calls cancel, which must not block, once a request is refused, unless stop was
// called before: attempts that are queued at other servers would crash these too. It calls cancel
// at once if the request is refused already.
func (t *Table) OnRefused(f Fingerprint, now time.Time, cancel func()) (stop func()) {
	running := &attempt{f, cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := append([]Digest{f.Request}, f.Blocks...)
	for _, d := range digests {
		if t.inFlight[d] == nil {
			t.inFlight[d] = map[*attempt]bool{}
		}
		t.inFlight[d][running] = true
	}
	if _, refused := t.check(f, now); refused {
		cancel()
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, d := range digests {
			delete(t.inFlight[d], running)
			if len(t.inFlight[d]) == 0 {
				delete(t.inFlight, d)
			}
		}
	}
}

// Count returns the number of requests and of blocks that are refused.
func (t *Table) Count(now time.Time) (requests, blocks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, r := range t.records {
		switch {
		case t.refused(d, r, now) == 0:
		case r.block:
			blocks++
		default:
			requests++
		}
	}
	return requests, blocks
}

// setRefusing logs when the refusal of a request or block begins or ends, and cancels the attempts
// in flight that are refused when it begins.
func (t *Table) setRefusing(d Digest, r *record, crashes int) {
	refusing := crashes > 0
	if refusing == r.refusing {
		return
	}
	r.refusing = refusing
	t.changes++
	line := t.log.WithField("digest", d.String())
	switch {
	case refusing && r.block:
		line.WithField("crashes", crashes).Warn("prefix block refused from now on: servers crash under requests with it")
	case refusing:
		line.WithField("crashes", crashes).Warn("request refused from now on: servers crash under it")
	case r.block:
		line.Info("prefix block is let in again")
	default:
		line.Info("request is let in again")
	}
	if refusing {
		t.cancelRefused(d, r)
		t.markUnsavedIfObserved(d)
	}
}

func (t *Table) cancelRefused(d Digest, r *record) {
	for a := range t.inFlight[d] {
		if !r.block || t.mayCrash(a.fingerprint.Blocks, r) {
			a.cancel()
		}
	}
}

// add records a crash, and reports whether it is new.
func (t *Table) add(d Digest, block bool, server Server, at, now time.Time) bool {
	r := t.records[d]
	if r == nil {
		t.evictIfFull(now)
		r = &record{crashes: map[Server]time.Time{}}
		t.records[d] = r
	}
	r.block = r.block || block
	t.recallAnswer(d, r, at, now)
	if _, known := r.crashes[server]; known || !at.After(r.answered) {
		return false
	}
	if len(r.crashes) >= maxPerRecord {
		delete(r.crashes, mostCrowdedCrash(r.crashes))
	}
	if len(r.crashes) == 0 {
		r.answersBefore = t.answers
	}
	r.crashes[server] = at
	t.changes++
	if n := len(r.crashes); n >= minSavedCrashes && n <= maxSavedCrashes {
		t.markUnsavedIfObserved(d)
	}
	t.setRefusing(d, r, t.refused(d, r, now))
	return true
}

// recallAnswer applies the last answer to a request, or to one with a block, when a crash is
// recorded, and has it reported: hosts learn of the crashes of others later than of their own
// answers. An answer before the crash is reported only once there are crashes already, as most
// of what is in a single crash are answered again within moments.
func (t *Table) recallAnswer(d Digest, r *record, crashed, now time.Time) {
	at := t.answeredRequests.last(d)
	if r.block {
		at = t.answeredBlocks.last(d)
	}
	if !at.After(r.answered) || at.Before(crashed) && len(r.crashes) == 0 {
		return
	}
	t.updates[d] = &update{observedAt: now}
	t.clear(d, r, at, now)
}

// clear drops the crashes up to a complete answer.
func (t *Table) clear(d Digest, r *record, answered, now time.Time) {
	if !answered.After(r.answered) {
		return
	}
	r.answered, r.refusedBefore = answered, false
	if len(r.crashes) >= minSavedCrashes {
		t.markUnsavedIfObserved(d)
	}
	for server, at := range r.crashes {
		if !at.After(answered) {
			delete(r.crashes, server)
		}
	}
	t.changes++
	t.setRefusing(d, r, t.refused(d, r, now))
}

// mostCrowdedCrash returns the crash that another one followed most closely. The remaining crashes
// show best that they were separate ones, and the newest one is among them.
func mostCrowdedCrash(crashes map[Server]time.Time) Server {
	servers := slices.SortedFunc(maps.Keys(crashes), func(a, b Server) int {
		return cmp.Or(crashes[a].Compare(crashes[b]), cmp.Compare(a, b))
	})
	crowded, shortest := servers[0], time.Duration(math.MaxInt64)
	for i, server := range servers[1:] {
		if gap := crashes[server].Sub(crashes[servers[i]]); gap < shortest {
			crowded, shortest = servers[i], gap
		}
	}
	return crowded
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
				t.changes++
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
	t.changes++
}
