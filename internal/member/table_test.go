package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

const (
	testDeadAfter = 3 * time.Second
	testPeers     = 4
)

// known is what the oracle holds of one peer.
type known struct {
	incarnation, beat uint64
	heard             time.Time
	leaving           bool
}

func peerID(i int) string { return fmt.Sprint("peer-", i) }

// TestTableAgainstOracle feeds heartbeats late, crossed and from old processes.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(&pb.HostEntry{Id: "self", Incarnation: 5, Ready: true}, testDeadAfter)
		now := time.Now()
		peers := map[string]*known{}
		superseded := false
		listed := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				id := peerID(rapid.IntRange(0, testPeers-1).Draw(t, "peer"))
				e := &pb.HostEntry{
					Id: id, Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
					Beat: uint64(rapid.IntRange(1, 9).Draw(t, "beat")), Leaving: rapid.Bool().Draw(t, "leaving"), Ready: true,
				}
				table.Merge([]*pb.HostEntry{e}, now)
				old := peers[id]
				if old == nil || e.Incarnation > old.incarnation || e.Incarnation == old.incarnation && e.Beat > old.beat {
					peers[id] = &known{e.Incarnation, e.Beat, now, e.Leaving}
				}
			},
			"ghost": func(t *rapid.T) {
				incarnation := uint64(rapid.IntRange(4, 6).Draw(t, "incarnation"))
				table.Merge([]*pb.HostEntry{{Id: "self", Incarnation: incarnation}}, now)
				superseded = superseded || incarnation > 5
			},
			"list": func(t *rapid.T) {
				listed = map[string]bool{}
				var list []platform.ListedHost
				for i := range testPeers {
					if rapid.Bool().Draw(t, "listed") {
						leaving := rapid.Bool().Draw(t, "leaving")
						listed[peerID(i)] = leaving
						list = append(list, platform.ListedHost{ID: peerID(i), Leaving: leaving})
					}
				}
				table.SetListed(list)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				serving, heard := 1, 1
				for id, k := range peers {
					alive := now.Sub(k.heard) < testDeadAfter
					if alive && !k.leaving && !listed[id] {
						serving++
					}
					if _, on := listed[id]; on && alive {
						heard++
					}
				}
				if got := len(table.Serving(now)); got != serving {
					t.Fatalf("%d hosts serve, want %d", got, serving)
				}
				if got := table.InTouchWithMost(now, testDeadAfter); got != (2*heard > len(listed)+1) {
					t.Fatalf("in touch with most: %v, heard %d of %d", got, heard, len(listed)+1)
				}
				if table.Superseded() != superseded {
					t.Fatalf("superseded: %v", table.Superseded())
				}
			},
		})
	})
}

// TestUnheardOnlyAtTheStart checks that a host which just started waits for the
// listed ones, and not for ever for the dead.
func TestUnheardOnlyAtTheStart(t *testing.T) {
	table := NewTable(&pb.HostEntry{Id: "self"}, testDeadAfter)
	now := time.Now()
	table.SetListed([]platform.ListedHost{{ID: "self"}, {ID: "a"}, {ID: "b"}})
	table.Merge([]*pb.HostEntry{{Id: "a", Incarnation: 1}}, now)
	if got := fmt.Sprint(table.Unheard(now)); got != "[b]" {
		t.Errorf("at the start: %s", got)
	}
	if got := table.Unheard(now.Add(2 * testDeadAfter)); got != nil {
		t.Errorf("later: %v", got)
	}
}

// TestRankMovesLittle checks that a lost host moves only its own keys.
func TestRankMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids []string
		for i := range rapid.IntRange(2, 20).Draw(t, "hosts") {
			ids = append(ids, peerID(i))
		}
		key := rapid.String().Draw(t, "key")
		before := Rank(key, ids)
		lost := rapid.IntRange(1, len(ids)-1).Draw(t, "lost")
		var left []string
		for _, id := range ids {
			if id != before[lost] {
				left = append(left, id)
			}
		}
		if after := Rank(key, left); after[0] != before[0] {
			t.Fatalf("key moved from %s to %s", before[0], after[0])
		}
	})
}
