package cachesync

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/bandwidth"
	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/platform"
)

const (
	// slowLink and fastLink are the link speeds of small and large hosts in Mbit/s.
	slowLink, fastLink = 10, 200
	// eventBytes is the size of one event in an answer.
	eventBytes = 60
	// maxQueueDelay is the maximum time that a packet may wait for the link: half of the
	// shortest timeout of a connection.
	maxQueueDelay = 250 * time.Millisecond
)

// link simulates a network link that transmits answers one after the other in virtual time.
type link struct {
	mu   sync.Mutex
	mbps float64
	// freeAt is when everything queued has been transmitted.
	freeAt time.Time
	// maxWait is the longest time that a packet has waited for the link.
	maxWait time.Duration
}

// transmit queues a packet and returns how long it takes until it has arrived.
func (l *link) transmit(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.maxWait = max(l.maxWait, l.freeAt.Sub(now))
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8e3 / l.mbps))
	return l.freeAt.Sub(now)
}

// longestWait returns the longest time that a packet has waited for the link so far.
func (l *link) longestWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxWait
}

// remoteHolder is a holder at the other end of a link.
type remoteHolder struct {
	*fakeHolder
	link *link
	// partitioned is set while nothing passes the link.
	partitioned *atomic.Bool
}

func (r remoteHolder) CacheEvents(_ context.Context, _ string, since int64, wait time.Duration) (platform.CacheEvents, error) {
	if r.partitioned.Load() {
		time.Sleep(wait + time.Second)
		return platform.CacheEvents{}, errors.New("timeout")
	}
	out := r.page(since)
	out.Bytes = eventBytes * len(out.Events)
	if len(out.Events) == 0 {
		time.Sleep(wait)
	}
	time.Sleep(r.link.transmit(out.Bytes))
	return out, nil
}

// remoteHolders are the holders that one host follows over its link.
type remoteHolders struct {
	link        *link
	partitioned atomic.Bool
	fakes       []*fakeHolder
	index       *prefix.Index
}

func newRemoteHolders(n, blocks int, mbps float64) *remoteHolders {
	h := &remoteHolders{link: &link{mbps: mbps}, index: prefix.NewIndex()}
	for range n {
		h.fakes = append(h.fakes, newFakeHolder(blocks))
	}
	return h
}

// at returns the holder with an index.
func (h *remoteHolders) at(i int) remoteHolder {
	return remoteHolder{h.fakes[i], h.link, &h.partitioned}
}

// CacheEvents implements Engine for a Survey of all holders.
func (h *remoteHolders) CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (platform.CacheEvents, error) {
	var i int
	fmt.Sscanf(address, "r%d", &i)
	return h.at(i).CacheEvents(ctx, address, since, wait)
}

func (h *remoteHolders) CacheList(context.Context, string) (platform.CacheList, error) {
	return platform.CacheList{}, errors.New("busy")
}

func (h *remoteHolders) holder(i int) Holder {
	return Holder{Name: fmt.Sprint("r", i), Address: fmt.Sprint("r", i), Capacity: 1 << 30}
}

// follow starts a Follower for each holder.
func (h *remoteHolders) follow(ctx context.Context, budget *bandwidth.Budget) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range h.fakes {
		f := &Follower{
			Engine: h.at(i), Index: h.index, Holder: h.holder(i), Log: log, Budget: budget,
			PollInterval: func() time.Duration { return 100 * time.Millisecond }, OnResult: func(error) {},
		}
		go f.Run(ctx)
	}
}

// ping keeps sending small packets over the link until ctx ends.
func (h *remoteHolders) ping(ctx context.Context) {
	for ctx.Err() == nil {
		h.link.transmit(100)
		time.Sleep(25 * time.Millisecond)
	}
}

// allIndexed reports whether the index has everything that the holders hold.
func (h *remoteHolders) allIndexed() bool {
	for i, fake := range h.fakes {
		fake.mu.Lock()
		events := len(fake.events)
		fake.mu.Unlock()
		if h.index.Tokens(h.holder(i).Name) != 100*events {
			return false
		}
	}
	return true
}

// waitAllIndexed waits until the index has everything, for at most limit, and returns how long
// that took.
func (h *remoteHolders) waitAllIndexed(limit time.Duration) time.Duration {
	began := time.Now()
	for !h.allIndexed() && time.Since(began) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// stop ends the goroutines of the synctest bubble and waits until calls in progress have ended.
func stop(cancel func()) {
	cancel()
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// TestBacklogsLeaveRoomOnTheLink: while it began to route, a small host read the event backlogs of
// 45 replicas at the same time. For five seconds its connections to the store, to other hosts and to
// servers timed out, and it received a configuration 3.4 s late. A large host must not be slowed
// down where its link has the capacity.
func TestBacklogsLeaveRoomOnTheLink(t *testing.T) {
	for _, c := range []struct {
		mbps   float64
		within time.Duration
	}{{slowLink, 11 * time.Second}, {fastLink, time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer stop(cancel)
			h := newRemoteHolders(45, 1500, c.mbps)
			h.follow(ctx, bandwidth.NewBudget(c.mbps))
			go h.ping(ctx)
			took := h.waitAllIndexed(20 * time.Second)
			if h.link.longestWait() > maxQueueDelay || took > c.within {
				t.Errorf("%g Mbit/s: packets waited %v, at most %v allowed; everything was read after %v, %v allowed", c.mbps, h.link.longestWait(), maxQueueDelay, took, c.within)
			}
		})
	}
}

// TestEventsAfterAPartitionLeaveRoomOnTheLink: when a network partition ends, all holders have a
// backlog for the host at the same time, even though it had followed them before.
func TestEventsAfterAPartitionLeaveRoomOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stop(cancel)
		h := newRemoteHolders(45, 0, slowLink)
		h.follow(ctx, bandwidth.NewBudget(slowLink))
		time.Sleep(5 * time.Second)
		h.partitioned.Store(true)
		time.Sleep(6 * time.Second)
		for _, fake := range h.fakes {
			fake.mu.Lock()
			for i := range pageEvents - 1 {
				fake.events = append(fake.events, storedEvent(blockName(i)))
			}
			fake.mu.Unlock()
		}
		h.partitioned.Store(false)
		go h.ping(ctx)
		took := h.waitAllIndexed(20 * time.Second)
		if h.link.longestWait() > maxQueueDelay || took > 8*time.Second {
			t.Errorf("packets waited %v, at most %v allowed; everything was read after %v", h.link.longestWait(), maxQueueDelay, took)
		}
	})
}

// TestSurveyLeavesRoomOnTheLink: a survey read full pages from 24 holders at the same time.
func TestSurveyLeavesRoomOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stop(cancel)
		h := newRemoteHolders(150, pageEvents, slowLink)
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := Survey{Engine: h, Index: h.index, Log: log, Budget: bandwidth.NewBudget(slowLink), OnFound: func(string, prefix.Prompt) {}}
		var all []Holder
		for i := range h.fakes {
			all = append(all, h.holder(i))
		}
		go h.ping(ctx)
		s.Run(ctx, all)
		if h.link.longestWait() > maxQueueDelay || !h.allIndexed() {
			t.Errorf("packets waited %v, at most %v allowed; everything was read: %v", h.link.longestWait(), maxQueueDelay, h.allIndexed())
		}
	})
}

// TestBackoffRequestedWhileTheLinkIsFull: a call that had waited for the link was sent although
// the holder had asked for a backoff in the meantime.
func TestBackoffRequestedWhileTheLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer stop(cancel)
		h := newRemoteHolders(1, 10, slowLink)
		log := logrus.New()
		log.SetOutput(io.Discard)
		budget := bandwidth.NewBudget(slowLink)
		budget.Spend(1 << 20)
		until := time.Now().Add(10 * time.Second)
		f := &Follower{
			Engine: h.at(0), Index: h.index, Holder: h.holder(0), Log: log, Budget: budget, OnResult: func(error) {},
			PollInterval: func() time.Duration { return time.Second },
			Backoff: func() time.Duration {
				if now := time.Now(); now.After(until.Add(-9*time.Second)) && now.Before(until) {
					return until.Sub(now)
				}
				return 0
			},
		}
		go f.Run(ctx)
		time.Sleep(time.Until(until) - time.Millisecond)
		synctest.Wait()
		h.fakes[0].mu.Lock()
		calls := h.fakes[0].calls
		h.fakes[0].mu.Unlock()
		if calls > 0 {
			t.Errorf("%d calls during the backoff", calls)
		}
		if h.waitAllIndexed(time.Second); !h.allIndexed() {
			t.Error("events were not read after the backoff")
		}
	})
}
