package cachesync

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/platform"
)

// pageEvents is the maximum number of events in one answer of a fakeHolder.
const pageEvents = 500

// fakeHolder is a holder that retains only its newest events.
type fakeHolder struct {
	mu     sync.Mutex
	epoch  int64
	events []platform.CacheEvent
	// retained is the number of events that it retains.
	retained int
	// listable is whether calls for lists succeed.
	listable     bool
	calls, lists int
}

// newFakeHolder returns a holder that holds the given number of prefix blocks.
func newFakeHolder(blocks int) *fakeHolder {
	h := &fakeHolder{epoch: 1, retained: 4 * pageEvents, listable: true}
	for i := range blocks {
		h.events = append(h.events, storedEvent(blockName(i)))
	}
	return h
}

// storedEvent returns the event of a prefix block that is now held.
func storedEvent(block string) platform.CacheEvent {
	return platform.CacheEvent{HeldBlock: platform.HeldBlock{Salt: "s", Block: block, Tokens: 100}}
}

func blockName(i int) string { return fmt.Sprintf("p%d", i) }

func (h *fakeHolder) CacheEvents(ctx context.Context, _ string, since int64, wait time.Duration) (platform.CacheEvents, error) {
	out := h.page(since)
	d := 2 * time.Millisecond
	if len(out.Events) == 0 {
		d = wait
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return out, nil
}

// page returns the answer to a call for events.
func (h *fakeHolder) page(since int64) platform.CacheEvents {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	first := max(0, len(h.events)-h.retained)
	out := platform.CacheEvents{Epoch: h.epoch, Lost: int(since) < first}
	start := min(max(int(since), first), len(h.events))
	end := min(len(h.events), start+pageEvents)
	out.Next = int64(end)
	out.Events = append(out.Events, h.events[start:end]...)
	return out
}

func (h *fakeHolder) CacheList(context.Context, string) (platform.CacheList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists++
	if !h.listable {
		return platform.CacheList{}, errors.New("busy")
	}
	out := platform.CacheList{Epoch: h.epoch, Next: int64(len(h.events))}
	for _, ev := range h.events {
		out.Held = append(out.Held, ev.HeldBlock)
	}
	return out, nil
}

// followFor follows a holder for d in virtual time, with a call of during half-way, and returns
// how many of the holder's prefix blocks the index has then.
func followFor(t *testing.T, h *fakeHolder, d time.Duration, during func(*fakeHolder)) int {
	t.Helper()
	found := 0
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		index := prefix.NewIndex()
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		f := &Follower{
			Engine: h, Index: index, Holder: Holder{Name: "r", Capacity: 1 << 30}, Log: log,
			PollInterval: func() time.Duration { return 100 * time.Millisecond }, OnResult: func(error) {},
		}
		go f.Run(ctx)
		if during != nil {
			time.Sleep(d / 2)
			h.mu.Lock()
			during(h)
			h.mu.Unlock()
		}
		<-ctx.Done()
		synctest.Wait()
		for i := range h.events {
			p := prefix.Prompt{Blocks: []prefix.Hash{prefix.HashOf("s", blockName(i))}, Tokens: []int{100}}
			if held, _ := index.Held("r", p, time.Now()); held == 100 {
				found++
			}
		}
	})
	return found
}

// TestBacklogIsReadWithoutPauses: after a power loss all hosts start again among replicas that
// hold some two thousand prefix blocks each. Blocks that a host has not read about yet are
// recomputed, so that it must have read all events before the first callers come: within a tenth
// of a second. With a pause between the calls it took half a second.
func TestBacklogIsReadWithoutPauses(t *testing.T) {
	if found := followFor(t, newFakeHolder(1800), 50*time.Millisecond, nil); found != 1800 {
		t.Errorf("%d of 1800 blocks were found", found)
	}
}

// TestFewEventsAreNoBacklog: after an answer with few events the follower pauses before the next
// call.
func TestFewEventsAreNoBacklog(t *testing.T) {
	h := newFakeHolder(1)
	followFor(t, h, time.Second, func(h *fakeHolder) {
		h.events = append(h.events, storedEvent(blockName(1)))
	})
	if h.calls > 3 {
		t.Errorf("%d calls in a second", h.calls)
	}
}

// TestLostEventsTriggerAList: a store retains fewer events than it holds prefix blocks, and
// replicas lose events. If the index were only cleared, those blocks would be recomputed.
func TestLostEventsTriggerAList(t *testing.T) {
	h := newFakeHolder(1800)
	h.retained = pageEvents
	if found := followFor(t, h, 100*time.Millisecond, nil); found != 1800 || h.lists != 1 {
		t.Errorf("%d of 1800 blocks were found, %d lists", found, h.lists)
	}
}

// TestListsAreRateLimited: a holder that keeps losing events is listed once per minListInterval.
// In between, only blocks in its new events count as held.
func TestListsAreRateLimited(t *testing.T) {
	h := newFakeHolder(1800)
	h.retained = pageEvents
	followFor(t, h, 2*time.Second, func(h *fakeHolder) {
		for i := range 1000 {
			h.events = append(h.events, storedEvent(blockName(1800+i)))
		}
	})
	if h.lists != 1 {
		t.Errorf("%d lists within %v", h.lists, minListInterval)
	}
}

// TestLostEventsWithoutAListClearTheIndex: the lost events may include removals, so that only
// blocks in later events count as held.
func TestLostEventsWithoutAListClearTheIndex(t *testing.T) {
	h := newFakeHolder(1800)
	h.retained, h.listable = pageEvents, false
	if found := followFor(t, h, 100*time.Millisecond, nil); found != pageEvents {
		t.Errorf("%d blocks were found, want the %d in the events", found, pageEvents)
	}
}

// TestRestartClearsTheIndex: a new incarnation of a holder does not hold what the earlier one held.
func TestRestartClearsTheIndex(t *testing.T) {
	h := newFakeHolder(100)
	found := followFor(t, h, 4*time.Second, func(h *fakeHolder) {
		h.epoch = 2
		h.events = h.events[:1]
	})
	if found != 1 {
		t.Errorf("%d blocks were found for a holder that holds one", found)
	}
}
