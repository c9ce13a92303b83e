package cachesync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/bandwidth"
	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/prefix"
)

const (
	// surveyPollTimeout is how long a holder without events keeps the call open. Calls that
	// wait for less than 200 ms are expensive.
	surveyPollTimeout = 200 * time.Millisecond
	// surveyInterval is the minimum time between the starts of two calls.
	surveyInterval = 15 * time.Millisecond
	// maxSurveyCalls limits the concurrent calls.
	maxSurveyCalls = 24
	// minAnnouncedTokens is the minimum size of a prefix block that is announced to other hosts.
	minAnnouncedTokens = 512
)

// Survey reads once what many holders hold. In a fleet with more holders than its hosts can
// follow, a host that starts would otherwise never learn what they held before.
type Survey struct {
	Engine Engine
	Index  *prefix.Index
	Log    *logrus.Logger
	// Budget limits this host's bulk reads.
	Budget *bandwidth.Budget
	// OnFound is called with the large prefix blocks of each holder that has some.
	OnFound func(holder string, blocks prefix.Prompt)
}

// Run reads each holder once, some of them concurrently, and returns early if ctx ends.
func (s *Survey) Run(ctx context.Context, holders []Holder) {
	slots := make(chan struct{}, maxSurveyCalls)
	var reads sync.WaitGroup
	defer reads.Wait()
	for _, h := range holders {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		reads.Go(func() {
			defer func() { <-slots }()
			s.readHolder(ctx, h)
		})
		clock.Sleep(ctx, surveyInterval)
	}
	reads.Wait()
	s.Log.WithField("holders", len(holders)).Info("what holders of KV cache keep was read")
}

// readHolder reads one page of a holder's events, records it in the index and announces the large
// prefix blocks.
func (s *Survey) readHolder(ctx context.Context, h Holder) {
	defer s.Budget.Begin(ctx)()
	events, err := s.Engine.CacheEvents(ctx, h.Address, 0, surveyPollTimeout)
	s.Budget.Spend(events.Bytes)
	if err != nil {
		if ctx.Err() == nil {
			s.Log.WithError(err).WithField("holder", h.Name).Debug("cache events not read")
		}
		return
	}
	large := map[prefix.Hash]int{}
	for _, ev := range events.Events {
		block := prefix.HashOf(ev.Salt, ev.Block)
		s.Index.Stored(h.Name, block, ev.Tokens, h.Capacity, clock.Now())
		if ev.Tokens >= minAnnouncedTokens {
			large[block] = ev.Tokens
		} else {
			delete(large, block)
		}
	}
	if len(large) == 0 {
		return
	}
	var announced prefix.Prompt
	for _, block := range slices.Sorted(maps.Keys(large)) {
		announced.Blocks = append(announced.Blocks, block)
		announced.Tokens = append(announced.Tokens, large[block])
	}
	s.OnFound(h.Name, announced)
}
