package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
)

// TestRoomAtBrittleServers guards against hosts that send brittle servers requests that these must reject, and
// against hosts without slots that leave idle servers unused.
func TestRoomAtBrittleServers(t *testing.T) {
	// owner has a slot of four at a calm server, guest has none.
	owner := slotState{slots: 4, maxRejections: 1, own: 1, sinceRejection: time.Minute, sinceBorrowed: time.Minute, sinceBusy: time.Minute}
	guest := owner
	guest.own, guest.withoutSlots, guest.isTurn = 0, true, true
	for name, tc := range map[string]struct {
		state  slotState
		change func(*slotState)
		want   bool
	}{
		"own slot":                         {owner, func(*slotState) {}, true},
		"own slot after a rejection":       {owner, func(s *slotState) { s.sinceRejection, s.sinceBusy = 0, 0 }, true},
		"own slot in use":                  {owner, func(s *slotState) { s.sent, s.total = 1, 1 }, false},
		"own slot in use, some rejections": {owner, func(s *slotState) { s.sent, s.total, s.maxRejections = 1, 1, 5 }, true},
		"own slot used by another host":    {owner, func(s *slotState) { s.total = 4 }, false},
		"own slot, rejections":             {owner, func(s *slotState) { s.rejected = 1 }, false},
		"no slots":                         {guest, func(*slotState) {}, true},
		"no slots, soon after a rejection": {guest, func(s *slotState) { s.sinceRejection = 2 * time.Second }, true},
		"no slots, not its turn":           {guest, func(s *slotState) { s.isTurn = false }, false},
		"no slots, half full":              {guest, func(s *slotState) { s.total = 2 }, false},
		"no slots, just filled":            {guest, func(s *slotState) { s.sinceBusy = calmTime / 2 }, false},
		"no slots, one used this turn":     {guest, func(s *slotState) { s.sinceBorrowed = borrowTurn / 2 }, false},
		"no slots, a rejection":            {guest, func(s *slotState) { s.rejected, s.maxRejections, s.sinceRejection = 1, 12, 0 }, false},
	} {
		state := tc.state
		tc.change(&state)
		if got := state.hasRoom(); got != tc.want {
			t.Errorf("%s: room %v, want %v", name, got, tc.want)
		}
	}
}

// TestTurnsAtBrittleServers guards against turns in which too many hosts use a server, and against hosts that have
// no turn while a request waits.
func TestTurnsAtBrittleServers(t *testing.T) {
	const servers = 4
	start := time.Unix(1000, 0)
	for _, hosts := range []int{1, 8, 44} {
		for position := range servers {
			turns := make([]int, hosts)
			for at := time.Duration(0); at < time.Duration(hosts)*borrowTurn; at += borrowTurn {
				together := 0
				for index := range hosts {
					if isTurn(hosts, 1, 16+index, servers, position, start.Add(at)) {
						together++
						turns[index]++
					}
				}
				if together != 1 {
					t.Errorf("%d hosts, server %d: turn of %d hosts at a time, want 1", hosts, position, together)
				}
			}
			for index, n := range turns {
				if n != 1 {
					t.Errorf("%d hosts, server %d: host %d has %d turns in a round, want 1", hosts, position, index, n)
				}
			}
		}
	}
	if !isTurn(-4, 1, 0, servers, 0, start) {
		t.Error("no turn where there are more slots than hosts")
	}
}

// fewSlots is a world with 24 hosts and 16 slots, a quarter full, in which the last hosts have the slots. Its
// servers bear one rejection.
type fewSlots struct {
	*brittleWorld
	rate float64
	// cut is the number of hosts, at the end, that receive no heartbeats and whose heartbeats get lost. deaf
	// is the number of hosts, at the end, that ignore what others report.
	cut, deaf int
}

func newFewSlots(hosts int) *fewSlots {
	const servers, slots, work = 4, 4, 40 * time.Millisecond
	w := &fewSlots{brittleWorld: newBrittleWorld(hosts, servers, slots, 1, work), rate: servers * slots / work.Seconds() / 4}
	w.share(hosts)
	for _, h := range w.hosts {
		for _, s := range w.servers {
			f := h.table.Begin(s.id, Work{Expected: work}, w.now)
			f.RecordNotice(platform.ReplicaAnswer{Brittle: true, MaxRejections: s.maxRejections, Sealed: true}, w.now)
			f.AnswerStarted(w.now)
			f.End(Answered, w.now)
		}
	}
	return w
}

// share divides the slots among the first n hosts. The last of these own them if there are fewer slots than hosts.
func (w *fewSlots) share(n int) {
	for i, h := range w.hosts[:n] {
		h.table.SetSlotShare(SlotShare{Hosts: n, Index: n - 1 - i})
	}
}

func (w *fewSlots) play(d time.Duration) {
	drop := func(from, to int) { w.hosts[to].table.DropLoads(fmt.Sprint("h", from)) }
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(time.Millisecond, w.rate, -1)
		for i := range w.hosts {
			for j := range w.hosts {
				if i >= len(w.hosts)-w.cut {
					drop(i, j)
					drop(j, i)
				}
				if i >= len(w.hosts)-w.deaf {
					drop(j, i)
				}
			}
		}
	}
}

func (w *fewSlots) check(t *testing.T, falls, lostShare float64) {
	t.Logf("%d of %d lost, %d falls", w.rejected, w.sent, w.falls())
	if w.falls() > int(falls) {
		t.Errorf("%d falls, %v allowed", w.falls(), falls)
	}
	if w.rejected > int(lostShare*float64(w.sent)) {
		t.Errorf("%d of %d lost", w.rejected, w.sent)
	}
}

// hostLostAfter is how long hosts need to notice that another one is lost.
const hostLostAfter = time.Second

// TestSlotsOfLostHosts guards against slots of brittle servers that nobody uses, or that two hosts use, when hosts
// that have slots are killed, start or are cut off from the others, and while hosts of the build before, which do
// not take turns, have slots.
func TestSlotsOfLostHosts(t *testing.T) {
	for name, play := range map[string]func(w *fewSlots){
		"killed": func(w *fewSlots) {
			w.play(time.Second)
			w.hosts = w.hosts[:20]
			w.play(hostLostAfter)
			for i := 20; i < 24; i++ {
				for _, h := range w.hosts {
					h.table.DropLoads(fmt.Sprint("h", i))
				}
			}
			w.share(20)
			w.play(2 * time.Second)
		},
		"cut off": func(w *fewSlots) {
			w.play(time.Second)
			w.cut = 4
			w.play(hostLostAfter)
			w.share(20)
			for _, h := range w.hosts[20:] {
				h.table.SetSlotShare(SlotShare{Hosts: 1})
			}
			w.play(2 * time.Second)
			w.cut = 0
			w.share(24)
			w.play(time.Second)
		},
		"started": func(w *fewSlots) {
			all := w.hosts
			w.hosts = all[:20]
			w.share(20)
			w.play(time.Second)
			w.hosts = all
			// The hosts learn of it one after the other.
			for i, h := range w.hosts {
				h.table.SetSlotShare(SlotShare{Hosts: 24, Index: 23 - i})
				w.play(10 * time.Millisecond)
			}
			w.play(2 * time.Second)
		},
		"build before": func(w *fewSlots) {
			w.deaf = 8
			w.play(4 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFewSlots(24)
			play(w)
			w.check(t, 0, 0.01)
		})
	}
}

// TestConcurrentRequestsShareTheRoom guards against a brittle server that is sent several requests for one free
// slot: each of them found it free when it was scheduled.
func TestConcurrentRequestsShareTheRoom(t *testing.T) {
	const own = 2
	w := newBrittleWorld(3, 1, 3*own, 5, 0)
	table, id := w.hosts[0].table, w.servers[0].id
	f := table.Begin(id, Work{}, w.now)
	f.RecordNotice(platform.ReplicaAnswer{Brittle: true, MaxRejections: 5, Sealed: true}, w.now)
	f.Rejected(w.now)
	f.End(Refused, w.now)
	w.now = w.now.Add(rejectionWindow)
	if !table.HasRoom(id, w.now) {
		t.Fatal("no room at an idle server")
	}
	var sent []*Flight
	for range 3 * own {
		if f, _ := table.BeginIfRoom(id, Work{}, w.now); f != nil {
			sent = append(sent, f)
		}
	}
	if len(sent) != own || table.HasRoom(id, w.now) {
		t.Fatalf("%d requests sent at one moment, %d slots belong to this host", len(sent), own)
	}
	sent[0].End(Answered, w.now)
	if f, full := table.BeginIfRoom(id, Work{}, w.now); f == nil || full {
		t.Error("no room after a request was answered")
	}
}
