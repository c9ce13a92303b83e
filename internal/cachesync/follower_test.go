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

// pageEvents is the most that one answer of the stand-in holds.
const pageEvents = 500

// history is a holder with a past: it keeps the newest kept of its events.
type history struct {
	mu     sync.Mutex
	epoch  int64
	events []platform.CacheEvent
	kept   int
	// listable is whether it answers lists.
	listable     bool
	calls, lists int
}

// newHistory returns a holder that has taken so many parts.
func newHistory(parts int) *history {
	h := &history{epoch: 1, kept: 4 * pageEvents, listable: true}
	for i := range parts {
		h.events = append(h.events, stored(name(i)))
	}
	return h
}

// stored is the event of a part that is now held.
func stored(part string) platform.CacheEvent {
	return platform.CacheEvent{HeldPart: platform.HeldPart{Salt: "s", Part: part, Tokens: 100}}
}

func name(i int) string { return fmt.Sprintf("p%d", i) }

func (h *history) CacheEvents(ctx context.Context, _ string, since int64, wait time.Duration) (platform.CacheEvents, error) {
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

func (h *history) page(since int64) platform.CacheEvents {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	first := max(0, len(h.events)-h.kept)
	out := platform.CacheEvents{Epoch: h.epoch, Lost: int(since) < first}
	from := min(max(int(since), first), len(h.events))
	to := min(len(h.events), from+pageEvents)
	out.Next = int64(to)
	out.Events = append(out.Events, h.events[from:to]...)
	return out
}

func (h *history) CacheList(context.Context, string) (platform.CacheList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists++
	if !h.listable {
		return platform.CacheList{}, errors.New("busy")
	}
	out := platform.CacheList{Epoch: h.epoch, Next: int64(len(h.events))}
	for _, ev := range h.events {
		out.Held = append(out.Held, ev.HeldPart)
	}
	return out, nil
}

// follow follows a holder for a while in virtual time and returns how many of its
// parts the index holds then.
func follow(t *testing.T, h *history, d time.Duration, during func(*history)) int {
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
			Gap: func() time.Duration { return 100 * time.Millisecond }, Up: func(error) {},
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
			p := prefix.Prompt{Parts: []prefix.Hash{prefix.HashOf("s", name(i))}, Tokens: []int{100}}
			if held, _ := index.Held("r", p, time.Now()); held == 100 {
				found++
			}
		}
	})
	return found
}

// TestHistoryIsReadAtOnce: all hosts lost power and start again among replicas
// that hold some two thousand parts. What a host has not read yet it has read
// again, so that the whole history must be known before the first callers come: a
// tenth of a second. With a pause between the answers it took half a second.
func TestHistoryIsReadAtOnce(t *testing.T) {
	if found := follow(t, newHistory(1800), 50*time.Millisecond, nil); found != 1800 {
		t.Errorf("%d of 1800 parts were found", found)
	}
}

// TestBusyHolderIsNotPressed: a few events an answer are no backlog.
func TestBusyHolderIsNotPressed(t *testing.T) {
	h := newHistory(1)
	follow(t, h, time.Second, func(h *history) {
		h.events = append(h.events, stored(name(1)))
	})
	if h.calls > 3 {
		t.Errorf("%d calls in a second", h.calls)
	}
}

// TestMissingEventsAreListed: a store keeps fewer events than it holds parts, and
// replicas lose theirs. Forgetting what was held would have it read again.
func TestMissingEventsAreListed(t *testing.T) {
	h := newHistory(1800)
	h.kept = pageEvents
	if found := follow(t, h, 100*time.Millisecond, nil); found != 1800 || h.lists != 1 {
		t.Errorf("%d of 1800 parts were found, %d lists", found, h.lists)
	}
}

// TestListsAreRare: a holder that loses events again and again is listed once in
// listPause, and otherwise only what it tells anew counts.
func TestListsAreRare(t *testing.T) {
	h := newHistory(1800)
	h.kept = pageEvents
	follow(t, h, 2*time.Second, func(h *history) {
		for i := range 1000 {
			h.events = append(h.events, stored(name(1800+i)))
		}
	})
	if h.lists != 1 {
		t.Errorf("%d lists within %v", h.lists, listPause)
	}
}

// TestWithoutAListOnlyWhatIsToldCounts: removals may be among what is missing.
func TestWithoutAListOnlyWhatIsToldCounts(t *testing.T) {
	h := newHistory(1800)
	h.kept, h.listable = pageEvents, false
	if found := follow(t, h, 100*time.Millisecond, nil); found != pageEvents {
		t.Errorf("%d parts were found, %d were told", found, pageEvents)
	}
}

// TestRestartForgets what the holder held.
func TestRestartForgets(t *testing.T) {
	h := newHistory(100)
	found := follow(t, h, 4*time.Second, func(h *history) {
		h.epoch = 2
		h.events = h.events[:1]
	})
	if found != 1 {
		t.Errorf("%d parts are known of a holder that holds one", found)
	}
}
