package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/prefix"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

const testDownAfter = 2 * time.Second

// truth is what the oracle knows of one backend server.
type truth struct {
	incarnation uint64
	version     string
	leaving     bool
	loading     bool
	draining    bool
	// barred is the incarnation that was said to take no new work.
	barred uint64
	polled time.Time
	failed bool
	// held are the pieces confirmed for the incarnation.
	held map[prefix.Hash]bool
}

func (w *truth) serving(now time.Time) bool {
	return w.incarnation != 0 && !w.leaving && !w.loading && !w.draining && !w.failed &&
		w.barred != w.incarnation && now.Sub(w.polled) <= testDownAfter
}

// world is one table beside its oracle, for one backend server.
type world struct {
	table *Table
	index *prefix.Index
	truth truth
	now   time.Time
}

func newWorld() *world {
	index := prefix.NewIndex(1000)
	w := &world{table: NewTable(index, testDownAfter), index: index, now: time.Now(), truth: truth{held: map[prefix.Hash]bool{}}}
	w.configure()
	return w
}

func (w *world) configure() {
	spec := &pb.BackendServer{Address: "127.0.0.1:1", Model: "m", Draining: w.truth.draining}
	w.table.Configure(map[string]*pb.BackendServer{"r": spec}, nil)
}

func (w *world) poll() {
	t := &w.truth
	t.polled, t.failed = w.now, false
	w.table.Report("r", &pb.PollResponse{Incarnation: t.incarnation, Model: "m", Version: t.version, Leaving: t.leaving, Loading: t.loading}, w.now)
}

func (w *world) actions() map[string]func(*rapid.T) {
	t := &w.truth
	return map[string]func(*rapid.T){
		"restart": func(*rapid.T) {
			*t = truth{incarnation: t.incarnation + 1, version: "v1", draining: t.draining, barred: t.barred, held: map[prefix.Hash]bool{}}
			w.poll()
		},
		"poll": func(r *rapid.T) {
			if t.incarnation == 0 {
				r.Skip("not started")
			}
			t.leaving = t.leaving || rapid.IntRange(0, 4).Draw(r, "leaves") == 0
			t.loading = rapid.Bool().Draw(r, "loading")
			t.version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(r, "version")
			w.poll()
		},
		"refusal or peer's hint": func(r *rapid.T) {
			incarnation := uint64(rapid.IntRange(1, int(t.incarnation)+1).Draw(r, "incarnation"))
			w.table.Bar("r", incarnation)
			if incarnation == t.incarnation {
				t.barred = incarnation
			}
		},
		"operator": func(*rapid.T) {
			t.draining = !t.draining
			w.configure()
		},
		"time": func(r *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(r, "ms")) * time.Millisecond)
			w.table.Expire(w.now)
		},
		"unreachable": func(*rapid.T) {
			w.table.Failed("r", "test")
			t.failed = true
		},
		"learn": func(r *rapid.T) {
			incarnation := uint64(rapid.IntRange(0, int(t.incarnation)).Draw(r, "incarnation"))
			piece := prefix.Hash(rapid.IntRange(1, 5).Draw(r, "piece"))
			w.index.Add(0, incarnation, w.now, piece)
			if incarnation == t.incarnation {
				t.held[piece] = true
			}
		},
		"": w.check,
	}
}

func (w *world) check(t *rapid.T) {
	for piece := prefix.Hash(1); piece <= 5; piece++ {
		if found := len(w.index.Lookup([]prefix.Hash{piece}, w.now)) > 0; found != w.truth.held[piece] {
			t.Fatalf("piece %d: believed %v, want %v", piece, found, w.truth.held[piece])
		}
	}
	snap := w.table.Snapshot("m", w.now)
	if len(snap.Replicas) == 0 {
		return
	}
	r := snap.Replicas[0]
	if r.Serving != w.truth.serving(w.now) || r.Version != w.truth.version || r.Incarnation != w.truth.incarnation {
		t.Fatalf("snapshot %+v, truth %+v", r, w.truth)
	}
}

// TestReplicaAgainstOracle checks that no snapshot offers a replica that leaves,
// loads, is silent or dead, and that no belief outlives its incarnation.
func TestReplicaAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
	})
}

// TestQueueDrains checks the fluid queue by hand.
func TestQueueDrains(t *testing.T) {
	w := newWorld()
	w.truth.incarnation = 1
	w.table.Report("r", &pb.PollResponse{Incarnation: 1, Model: "m", QueuedPieces: 10, PrefillUsPerPiece: 100_000, LoadAgeMs: 500}, w.now)
	queued := func(after time.Duration) float64 { return w.table.Snapshot("m", w.now.Add(after)).Replicas[0].Queued }
	if got := queued(0); got != 5 {
		t.Errorf("a report of 10 pieces 0.5 s ago at 0.1 s a piece leaves %g", got)
	}
	w.table.Sent("r", 4, w.now)
	w.table.SentByPeer([]*pb.WorkItem{{BackendServer: "r", Pieces: 3}}, w.now)
	if got := queued(0); got != 12 {
		t.Errorf("with 7 pieces sent: %g", got)
	}
	if got := queued(2 * time.Second); got != 0 {
		t.Errorf("two seconds later: %g", got)
	}
	// A host that was paused finds its peers' old work waiting.
	w.table.SentByPeer([]*pb.WorkItem{{BackendServer: "r", Pieces: 1000}}, w.now.Add(6*time.Second))
	if got := queued(6 * time.Second); got != 0 {
		t.Errorf("old work counts as new: %g", got)
	}
}
