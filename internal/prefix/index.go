package prefix

import (
	"sync"
	"time"
)

// Replica numbers a backend server within one index.
type Replica uint16

// Index is what this host believes about which replica holds which piece. A
// belief belongs to one incarnation of the replica: a new incarnation starts
// without any. It is bounded and forgets the least recently confirmed belief.
// All methods are safe for concurrent use; mu is the only lock and nothing else
// is locked while it is held.
type Index struct {
	mu     sync.RWMutex
	pieces map[Hash]holders
	tables []*table
	byID   map[string]Replica
	max    int
	size   int
	epoch  time.Time
}

// holders lists the replicas of one piece; nearly all pieces have one or two.
type holders []holder

type holder struct {
	replica Replica
	// seen is the tick of the last confirmation, since the index was made.
	seen uint32
}

type table struct {
	id          string
	incarnation uint64
	count       int
	// lag estimates how late the replica's cache events come, in ticks.
	lag float64
}

// NewIndex returns an index of at most maxBeliefs (piece, replica) pairs.
func NewIndex(maxBeliefs int) *Index {
	return &Index{pieces: map[Hash]holders{}, byID: map[string]Replica{}, max: maxBeliefs, epoch: time.Now()}
}

// tick is the resolution of ages; 32 bits of it last two years.
const tick = 16 * time.Millisecond

func (x *Index) stamp(t time.Time) uint32 {
	d := t.Sub(x.epoch)
	if d < 0 {
		return 0
	}
	return uint32(d / tick)
}

// Reset tells the index which incarnation of a replica is alive. Beliefs of any
// other incarnation are dropped. It returns the replica's number.
func (x *Index) Reset(id string, incarnation uint64) Replica {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.number(id)
	if x.tables[r].incarnation != incarnation {
		x.clear(r)
		x.tables[r].incarnation = incarnation
	}
	return r
}

func (x *Index) number(id string) Replica {
	if r, ok := x.byID[id]; ok {
		return r
	}
	r := Replica(len(x.tables))
	x.byID[id] = r
	x.tables = append(x.tables, &table{id: id})
	return r
}

// Clear drops every belief about a replica.
func (x *Index) Clear(r Replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.clear(r)
}

func (x *Index) clear(r Replica) {
	if x.tables[r].count == 0 {
		return
	}
	for h := range x.pieces {
		x.remove(r, h)
	}
}

// Add records that incarnation of r holds the pieces, confirmed at t. It does
// nothing when another incarnation is alive.
func (x *Index) Add(r Replica, incarnation uint64, at time.Time, pieces ...Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.tables[r].incarnation != incarnation {
		return
	}
	now := x.stamp(at)
	for _, h := range pieces {
		x.add(r, h, now)
	}
	if x.size > x.max {
		x.sweep(now)
	}
}

func (x *Index) add(r Replica, h Hash, now uint32) {
	hs := x.pieces[h]
	for i := range hs {
		if hs[i].replica == r {
			hs[i].seen = max(hs[i].seen, now)
			return
		}
	}
	x.pieces[h] = append(hs, holder{r, now})
	x.tables[r].count++
	x.size++
}

// Weights of one sample in the estimate of the events' lag. A sample is too
// large where an eviction was lost and the piece is stored anew, so the estimate
// falls faster than it rises.
const (
	lagRise = 1.0 / 256
	lagFall = 1.0 / 32
)

// sample takes the time between a piece's confirmation and its event.
func (t *table) sample(ticks uint32) {
	diff := float64(ticks) - t.lag
	if diff > 0 {
		t.lag += diff * lagRise
	} else {
		t.lag += diff * lagFall
	}
}

// Stored takes a cache event that says r holds a piece. The piece may be older
// than the event's arrival: a piece known before tells how late events come.
func (x *Index) Stored(r Replica, incarnation uint64, at time.Time, h Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.tables[r]
	if t.incarnation != incarnation {
		return
	}
	now := x.stamp(at)
	if seen, known := x.confirmed(r, h); known {
		t.sample(now - min(now, seen))
		return
	}
	x.add(r, h, now-min(now, uint32(t.lag)))
	if x.size > x.max {
		x.sweep(now)
	}
}

// Evicted takes a cache event that says r dropped a piece. It does nothing when
// the piece was confirmed after the time at which the event is thought to have
// happened.
func (x *Index) Evicted(r Replica, incarnation uint64, at time.Time, h Hash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.tables[r]
	if t.incarnation != incarnation {
		return
	}
	happened := float64(x.stamp(at)) - t.lag
	if seen, known := x.confirmed(r, h); known && float64(seen) > happened {
		return
	}
	x.remove(r, h)
}

// confirmed returns the tick at which r was last confirmed to hold a piece.
func (x *Index) confirmed(r Replica, h Hash) (seen uint32, known bool) {
	for _, holder := range x.pieces[h] {
		if holder.replica == r {
			return holder.seen, true
		}
	}
	return 0, false
}

func (x *Index) remove(r Replica, h Hash) {
	hs := x.pieces[h]
	for i := range hs {
		if hs[i].replica != r {
			continue
		}
		x.tables[r].count--
		x.size--
		if len(hs) == 1 {
			delete(x.pieces, h)
			return
		}
		hs[i] = hs[len(hs)-1]
		x.pieces[h] = hs[:len(hs)-1]
		return
	}
}

// sweep drops the older half of the age range until the index is under its bound.
func (x *Index) sweep(now uint32) {
	oldest := now
	for _, hs := range x.pieces {
		for _, h := range hs {
			oldest = min(oldest, h.seen)
		}
	}
	for x.size > x.max*9/10 {
		cut := oldest + (now-oldest)/2
		for hash, hs := range x.pieces {
			for _, h := range append(holders(nil), hs...) {
				if h.seen <= cut && x.size > x.max*9/10 {
					x.remove(h.replica, hash)
				}
			}
		}
		oldest = cut + 1
	}
}

// Match is how much of a chain one replica is believed to hold.
type Match struct {
	Replica Replica
	// Depth is the number of leading pieces.
	Depth int
	// Oldest is the age of the least recently confirmed of them.
	Oldest time.Duration
}

// Lookup returns the replicas that hold at least the first piece of chain.
func (x *Index) Lookup(chain []Hash, at time.Time) []Match {
	x.mu.RLock()
	defer x.mu.RUnlock()
	now := x.stamp(at)
	var found []Match
	for depth, h := range chain {
		hs := x.pieces[h]
		if len(hs) == 0 {
			break
		}
		found = extend(found, hs, depth, now)
	}
	return found
}

// extend deepens the matches that hold the piece at depth.
func extend(found []Match, hs holders, depth int, now uint32) []Match {
	for _, h := range hs {
		age := time.Duration(0)
		if now > h.seen {
			age = time.Duration(now-h.seen) * tick
		}
		if depth == 0 {
			found = append(found, Match{h.replica, 1, age})
			continue
		}
		for i := range found {
			if found[i].Replica == h.replica && found[i].Depth == depth {
				found[i].Depth++
				found[i].Oldest = max(found[i].Oldest, age)
			}
		}
	}
	return found
}

// Size returns the number of beliefs held.
func (x *Index) Size() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.size
}

// Count returns the number of beliefs about one replica.
func (x *Index) Count(r Replica) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.tables[r].count
}

// Run lists the pieces of one replica.
type Run struct {
	ID          string
	Incarnation uint64
	Pieces      []Hash
}

// Export returns at most limit beliefs, for a host that starts.
func (x *Index) Export(limit int) []Run {
	x.mu.RLock()
	defer x.mu.RUnlock()
	runs := make([]Run, len(x.tables))
	for i, t := range x.tables {
		runs[i] = Run{ID: t.id, Incarnation: t.incarnation}
	}
	for hash, hs := range x.pieces {
		for _, h := range hs {
			if limit == 0 {
				return runs
			}
			runs[h.replica].Pieces = append(runs[h.replica].Pieces, hash)
			limit--
		}
	}
	return runs
}

// Adopt takes another host's beliefs about one incarnation of a replica. They
// count as a little old. It does nothing when another incarnation is alive.
func (x *Index) Adopt(id string, incarnation uint64, at time.Time, pieces []Hash) {
	x.mu.RLock()
	r, ok := x.byID[id]
	x.mu.RUnlock()
	if ok {
		x.Add(r, incarnation, at.Add(-adoptedAge), pieces...)
	}
}

// adoptedAge is the age given to beliefs taken from another host.
const adoptedAge = 5 * time.Second
