package state

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/platform"
	_ "github.com/briarlink/briarlink/test/fixedseed"
	"github.com/briarlink/briarlink/test/standin/fakelog"
)

// oracle folds the whole log with the simplest rule, remembering everything.
type oracle struct {
	// versions[n] is the version of each object before offset n.
	versions []map[string]uint64
	accepted map[string]bool
}

func newOracle(records []platform.Record) *oracle {
	o := &oracle{accepted: map[string]bool{}}
	seen := map[string]bool{}
	now := map[string]uint64{}
	for _, rec := range records {
		o.versions = append(o.versions, now)
		c := decodeRecord(rec.Payload).GetChange()
		if c == nil || seen[c.ChangeId] {
			continue
		}
		seen[c.ChangeId] = true
		if rec.Offset-c.ReadOffset > window || now[c.Ref.Id] != c.ExpectedVersion || now[c.Ref.Id] == 0 && c.Spec == nil {
			continue
		}
		o.accepted[c.ChangeId] = true
		next := map[string]uint64{}
		for id, v := range now {
			next[id] = v
		}
		delete(next, c.Ref.Id)
		if c.Spec != nil {
			next[c.Ref.Id] = rec.Offset + 1
		}
		now = next
	}
	o.versions = append(o.versions, now)
	return o
}

// site is several hosts before one log.
type site struct {
	log     *fakelog.Log
	stores  []*Store
	tailers []*Tailer
	// reached is how far each store ever was, since its start.
	reached []uint64
	sent    []*pb.Change
	// chunks are parts of checkpoints that paused writers still hold.
	chunks [][]byte
	down   bool
}

func newSite(hosts int) *site {
	s := &site{log: fakelog.New()}
	s.log.PageSize = 7
	for i := range hosts {
		s.stores = append(s.stores, nil)
		s.tailers = append(s.tailers, nil)
		s.reached = append(s.reached, 0)
		s.restart(i)
	}
	return s
}

func (s *site) restart(i int) {
	s.stores[i] = NewStore()
	s.tailers[i] = NewTailer(s.stores[i], s.log)
	s.reached[i] = 0
}

func (s *site) step(i int) { _ = s.tailers[i].Follower().Step(context.Background(), 0) }

func (s *site) append(payload []byte) {
	_, _ = s.log.Append(context.Background(), platform.ConfigStream, payload)
}

func (s *site) submit(c *pb.Change) {
	payload, err := proto.Marshal(&pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: c}})
	if err != nil {
		panic(err)
	}
	s.append(payload)
}

// readOffset returns what the author of a change had read.
func (s *site) readOffset(changeID string) uint64 {
	for _, c := range s.sent {
		if c.ChangeId == changeID {
			return c.ReadOffset
		}
	}
	panic("unknown change " + changeID)
}

func modelChange(id string, object int, expected, read uint64, remove bool) *pb.Change {
	c := &pb.Change{
		ChangeId:        id,
		Ref:             &pb.ObjectRef{Kind: pb.ObjectKind_OBJECT_KIND_MODEL, Id: fmt.Sprintf("model-%d", object)},
		ExpectedVersion: expected,
		ReadOffset:      read,
		Author:          "operator",
	}
	if !remove {
		c.Spec = &pb.Spec{Kind: &pb.Spec_Model{Model: &pb.Model{Version: id}}}
	}
	return c
}

// actions returns what may happen, in any order.
func (s *site) actions() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(s.stores)-1)
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			i, object := host.Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "object")
			cur := s.stores[i].Current()
			if cur == nil {
				t.Skip("no state")
			}
			ref := Ref{pb.ObjectKind_OBJECT_KIND_MODEL, fmt.Sprintf("model-%d", object)}
			// Two changes never share an ID; a repeat is the same change.
			id := uuid.UUID{15: byte(len(s.sent)), 14: byte(len(s.sent) >> 8)}.String()
			c := modelChange(id, object, cur.Objects[ref].GetVersion(), cur.Next, rapid.IntRange(0, 3).Draw(t, "remove") == 0)
			s.sent = append(s.sent, c)
			s.submit(c)
		},
		"repeat a change": func(t *rapid.T) {
			if len(s.sent) == 0 {
				t.Skip("nothing sent")
			}
			s.submit(rapid.SampledFrom(s.sent).Draw(t, "sent"))
		},
		"append fault": func(t *rapid.T) {
			s.log.Inject(rapid.SampledFrom([]fakelog.AppendFault{fakelog.LoseAnswer, fakelog.Fail}).Draw(t, "fault"))
		},
		"tail": func(t *rapid.T) {
			i := host.Draw(t, "host")
			before := s.stores[i].Current()
			s.step(i)
			if cur := s.stores[i].Current(); before == nil && cur != nil && cur.Next < s.tailers[i].heldFrom {
				t.Fatalf("host %d starts at offset %d, the log at %d", i, cur.Next, s.tailers[i].heldFrom)
			}
		},
		"outage": func(*rapid.T) {
			s.down = !s.down
			s.log.SetDown(s.down)
		},
		"trim":    func(t *rapid.T) { s.log.Trim(platform.ConfigStream, rapid.IntRange(1, 6).Draw(t, "n")) },
		"restart": func(t *rapid.T) { s.restart(host.Draw(t, "host")) },
		"fetch from a peer": func(t *rapid.T) {
			from, to := host.Draw(t, "from"), host.Draw(t, "to")
			if cur := s.stores[from].Current(); cur != nil {
				s.stores[to].Offer(Decode(proto.Clone(cur.Encode()).(*pb.ConfigState)))
			}
		},
		"begin a checkpoint": func(t *rapid.T) {
			cur := s.stores[host.Draw(t, "host")].Current()
			if cur == nil {
				t.Skip("no state")
			}
			records, err := checkpoint(cur, rapid.IntRange(100, 400).Draw(t, "chunk"))
			if err != nil {
				t.Fatal(err)
			}
			s.chunks = append(s.chunks, records...)
		},
		"write checkpoint chunks": func(t *rapid.T) {
			n := rapid.IntRange(0, len(s.chunks)).Draw(t, "n")
			for _, c := range s.chunks[:n] {
				s.append(c)
			}
			s.chunks = s.chunks[n:]
		},
		"": s.check,
	}
}

// check compares every host with the oracle.
func (s *site) check(t *rapid.T) {
	o := newOracle(s.log.All(platform.ConfigStream))
	for i, store := range s.stores {
		cur := store.Current()
		if cur == nil {
			continue
		}
		if cur.Next < s.reached[i] {
			t.Fatalf("host %d went back from offset %d to %d", i, s.reached[i], cur.Next)
		}
		s.reached[i] = cur.Next
		want := o.versions[cur.Next]
		if len(cur.Objects) != len(want) {
			t.Fatalf("host %d at offset %d has %d objects, want %d", i, cur.Next, len(cur.Objects), len(want))
		}
		for ref, object := range cur.Objects {
			if object.Version != want[ref.ID] {
				t.Fatalf("host %d at offset %d has %s at version %d, want %d", i, cur.Next, ref.ID, object.Version, want[ref.ID])
			}
		}
		for _, out := range cur.Outcomes {
			if out.Verdict == pb.Verdict_VERDICT_STALE {
				// Says nothing about an earlier record, but must be true of this one.
				if out.Offset-s.readOffset(out.ChangeId) <= window {
					t.Fatalf("host %d calls change %s stale", i, out.ChangeId)
				}
				continue
			}
			if (out.Verdict == pb.Verdict_VERDICT_ACCEPTED) != o.accepted[out.ChangeId] {
				t.Fatalf("host %d reports %v for change %s", i, out.Verdict, out.ChangeId)
			}
		}
	}
}

// settle ends every fault and checks that hosts catch up where they can: from
// the log alone after a fresh checkpoint, once one host knows the state.
func (s *site) settle(t *rapid.T) {
	s.log.Heal()
	end := uint64(len(s.log.All(platform.ConfigStream)))
	for range int(end) + 2 {
		for i := range s.stores {
			s.step(i)
		}
	}
	s.check(t)
	for i, store := range s.stores {
		if !s.tailers[i].Gap() && store.Next() != end {
			t.Fatalf("host %d stopped at offset %d of %d", i, store.Next(), end)
		}
	}
}

func TestConfigurationAgainstOracle(t *testing.T) {
	// The smallest window puts both sides of it within reach of a run.
	defer func(old uint64) { window = old }(window)
	window = 12
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3)
		t.Repeat(s.actions())
		s.settle(t)
	})
}

func TestSubmitAnswersUnknownNotRefused(t *testing.T) {
	log := fakelog.New()
	store := NewStore()
	store.Offer(NewState())
	log.Inject(fakelog.LoseAnswer)
	change := modelChange(uuid.NewString(), 1, 0, 0, false)
	_, err := NewSubmitter(store, log, time.Millisecond).Submit(context.Background(), change)
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("error is %v", err)
	}
	tailOnce(t, store, log)
	if out := store.Current().Outcome(change.ChangeId); out.GetVerdict() != pb.Verdict_VERDICT_ACCEPTED {
		t.Fatalf("outcome is %v", out)
	}
}

func tailOnce(t *testing.T, store *Store, log platform.Log) {
	t.Helper()
	if err := NewTailer(store, log).Follower().Step(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
}

// TestCopyAtTheWindowsEdge folds a change again just before it would be stale.
func TestCopyAtTheWindowsEdge(t *testing.T) {
	s, now := NewState(), time.Now()
	create := &pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: modelChange(uuid.NewString(), 0, 0, 0, false)}}
	s.fold(create, now)
	s.fold(&pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: modelChange(uuid.NewString(), 0, 1, 1, true)}}, now)
	for s.Next < window {
		s.fold(&pb.ConfigRecord{}, now)
	}
	if out := s.fold(create, now); out.Offset != 0 || len(s.Objects) != 0 {
		t.Errorf("a copy at offset %d counts again: %v", window, out)
	}
	s.fold(&pb.ConfigRecord{}, now)
	if out := s.fold(create, now); out.Verdict != pb.Verdict_VERDICT_STALE || len(s.Objects) != 0 {
		t.Errorf("a copy beyond the window counts again: %v", out)
	}
}

// TestOldChangeIDIsStale submits a creation again, with a fresh read offset, when
// its outcome was forgotten and its object deleted.
func TestOldChangeIDIsStale(t *testing.T) {
	defer func(old uint64) { window = old }(window)
	window = 3
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	s, now := NewState(), time.Now()
	fold := func(c *pb.Change, at time.Time) pb.Verdict {
		return s.fold(&pb.ConfigRecord{Kind: &pb.ConfigRecord_Change{Change: c}}, at).Verdict
	}
	fold(modelChange(id.String(), 0, 0, s.Next, false), now)
	fold(modelChange(uuid.NewString(), 0, 1, s.Next, true), now)
	for range 2 * window {
		s.fold(&pb.ConfigRecord{}, now)
	}
	if got := fold(modelChange(id.String(), 0, 0, s.Next, false), now.Add(maxChangeAge+time.Second)); got != pb.Verdict_VERDICT_STALE {
		t.Errorf("verdict is %v", got)
	}
}

func TestCheckReportsEveryMistake(t *testing.T) {
	got := Check(&pb.Change{Ref: &pb.ObjectRef{Id: "A b"}, Spec: &pb.Spec{Kind: &pb.Spec_BackendServer{BackendServer: &pb.BackendServer{Address: "localhost:1"}}}})
	want := "change_id is not a UUID; ref.id must be 1 to 63 characters of a-z, 0-9, '-', '.', '_'; author is missing; " +
		"ref.kind is missing; spec does not match ref.kind; backend_server.address must be IP:port; backend_server.model is missing"
	if got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
}
