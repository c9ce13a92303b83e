package state

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/test/standin/fakelog"
)

// edit is one operator's change as a compare-and-set of a version.
type edit struct{ expected uint64 }

type verdict struct {
	accepted bool
	version  uint64
}

// versionModel is a register: an edit is accepted iff it names the version held.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		held, in, out := state.(uint64), input.(edit), output.(verdict)
		if out.accepted {
			return held == in.expected, out.version
		}
		return held != in.expected, held
	},
}

// submission is one drawn edit: where and when, and how old its view is.
type submission struct {
	host  int
	at    time.Duration
	fault fakelog.AppendFault
	// stale names the first version in place of the newest this host knows.
	stale bool
}

// history submits from several hosts at once and returns what they saw. Edits
// without an answer end at the end, with the outcome that the log then shows.
func history(submissions []submission, hosts int) []porcupine.Operation {
	log := fakelog.New()
	ctx, cancel := context.WithCancel(context.Background())
	var stores []*Store
	var running, done sync.WaitGroup
	for range hosts {
		store := NewStore()
		stores = append(stores, store)
		tailer := NewTailer(store, log)
		running.Go(func() { tailer.Run(ctx) })
	}
	ref := Ref{pb.ObjectKind_OBJECT_KIND_MODEL, "model-0"}
	type attempt struct {
		op porcupine.Operation
		id string
	}
	attempts := make([]attempt, len(submissions))
	for i, s := range submissions {
		done.Go(func() {
			time.Sleep(s.at + time.Duration(i)*time.Microsecond)
			store := stores[s.host]
			if store.Current() == nil {
				return
			}
			expected := store.Current().Objects[ref].GetVersion()
			if s.stale {
				expected = 0
			}
			log.Inject(s.fault)
			change := modelChange(uuid.NewString(), 0, expected, store.Next(), false)
			call := time.Now().UnixNano()
			out, err := NewSubmitter(store, log, time.Second).Submit(ctx, change)
			ret := time.Now().UnixNano()
			if err != nil {
				ret, out = 1<<62, nil
			}
			attempts[i] = attempt{porcupine.Operation{ClientId: i, Input: edit{expected}, Call: call, Return: ret, Output: outcomeOf(out)}, change.ChangeId}
		})
	}
	done.Wait()
	time.Sleep(5 * time.Second)
	var ops []porcupine.Operation
	for _, a := range attempts {
		out := stores[0].Current().Outcome(a.id)
		if out == nil {
			// Never on the log: it had no effect.
			continue
		}
		a.op.Output = outcomeOf(out)
		ops = append(ops, a.op)
	}
	cancel()
	running.Wait()
	return ops
}

func outcomeOf(out *pb.ChangeOutcome) verdict {
	return verdict{out.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED, out.GetToVersion()}
}

// TestRacingOperatorsAreLinearizable checks that edits at different hosts behave
// like a compare-and-set at one place.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		submissions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) submission {
			return submission{
				host: rapid.IntRange(0, 2).Draw(t, "host"), at: time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond,
				fault: rapid.SampledFrom([]fakelog.AppendFault{fakelog.None, fakelog.None, fakelog.LoseAnswer, fakelog.Fail, fakelog.Late}).Draw(t, "fault"),
				stale: rapid.IntRange(0, 3).Draw(t, "stale") == 0,
			}
		}), 2, 15).Draw(rt, "submissions")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = history(submissions, 3) })
		if len(ops) == 0 && slices.ContainsFunc(submissions, func(s submission) bool { return s.fault == fakelog.None }) {
			rt.Error("no edit took effect")
		}
		if !porcupine.CheckOperations(versionModel, ops) {
			rt.Errorf("not linearizable: %+v", ops)
		}
	})
}
