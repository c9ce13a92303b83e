package node

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/cachesync"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
	"github.com/briarlink/briarlink/platform"
)

// silentStore is a KV cache store with one prefix block that does not answer calls in the given time after the start.
type silentStore struct {
	cachesync.Engine
	started  time.Time
	from, to time.Duration
	epoch    atomic.Int64
}

func (s *silentStore) CacheEvents(ctx context.Context, _ string, since int64, wait time.Duration) (platform.CacheEvents, error) {
	if at := time.Since(s.started); at >= s.from && at < s.to {
		clock.Sleep(ctx, wait)
		return platform.CacheEvents{}, errors.New("no answer")
	}
	out := platform.CacheEvents{Epoch: s.epoch.Load(), Next: 1}
	if since == 0 && out.Epoch == 1 {
		out.Events = []platform.CacheEvent{{HeldBlock: platform.HeldBlock{Salt: "s", Block: "a", Tokens: 800}}}
		return out, nil
	}
	clock.Sleep(ctx, wait)
	return out, nil
}

// TestSilentStoreIsNotForgotten guards against hosts that never use again what a store of KV cache holds because it
// left a call unanswered. What it held before a restart is forgotten.
func TestSilentStoreIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := settings.Defaults()
		log, lines := obs.NewLogger(set.Log, io.Discard)
		defer lines.Close()
		n := New(set, nil, log, lines)
		store := &silentStore{started: time.Now(), from: 2 * time.Second, to: 4 * time.Second}
		store.epoch.Store(1)
		f := n.follower(cachesync.Holder{Name: "store", Address: "store", Capacity: 100000, Store: true})
		f.Engine = store
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		for _, c := range []struct {
			what   string
			at     time.Duration
			up     bool
			tokens int
		}{{"before", time.Second, true, 800}, {"silent", 3500 * time.Millisecond, false, 800}, {"after", 7 * time.Second, true, 800}} {
			time.Sleep(c.at - time.Since(store.started))
			if up, tokens := n.scheduler.StoreUp("store"), n.index.Tokens("store"); up != c.up || tokens != c.tokens {
				t.Errorf("%s: up %v, %d tokens held", c.what, up, tokens)
			}
		}
		store.epoch.Store(2)
		time.Sleep(3 * time.Second)
		if tokens := n.index.Tokens("store"); tokens != 0 {
			t.Errorf("%d tokens held after a restart", tokens)
		}
		cancel()
		synctest.Wait()
	})
}
