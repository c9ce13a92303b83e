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
	// surveyWait is how long a holder without events is asked to hold the call; calls under
	// 200 ms are dear.
	surveyWait = 200 * time.Millisecond
	// surveyPause is the time between the calls of one host.
	surveyPause = 15 * time.Millisecond
	// surveyAtOnce bounds its calls that wait.
	surveyAtOnce = 24
	// surveyedPart is the least number of tokens of a part that other hosts are told of.
	surveyedPart = 512
)

// Survey reads what holders keep once: in a fleet with more of them than its hosts can
// follow, a host that starts would otherwise never know what was kept before.
type Survey struct {
	Engine Engine
	Index  *prefix.Index
	Log    *logrus.Logger
	// Budget is what this host may read in bulk.
	Budget *bandwidth.Budget
	// Found is told of the large parts that a holder keeps.
	Found func(holder string, parts prefix.Prompt)
}

// Run reads the holders one after the other, until ctx ends.
func (s *Survey) Run(ctx context.Context, holders []Holder) {
	free := make(chan struct{}, surveyAtOnce)
	var reads sync.WaitGroup
	defer reads.Wait()
	for _, h := range holders {
		select {
		case <-ctx.Done():
			return
		case free <- struct{}{}:
		}
		reads.Go(func() {
			defer func() { <-free }()
			s.read(ctx, h)
		})
		clock.Sleep(ctx, surveyPause)
	}
	reads.Wait()
	s.Log.WithField("holders", len(holders)).Info("what holders of KV cache keep was read")
}

func (s *Survey) read(ctx context.Context, h Holder) {
	defer s.Budget.Begin(ctx)()
	events, err := s.Engine.CacheEvents(ctx, h.Address, 0, surveyWait)
	s.Budget.Spend(events.Bytes)
	if err != nil {
		if ctx.Err() == nil {
			s.Log.WithError(err).WithField("holder", h.Name).Debug("cache events not read")
		}
		return
	}
	large := map[prefix.Hash]int{}
	for _, ev := range events.Events {
		part := prefix.HashOf(ev.Salt, ev.Part)
		s.Index.Stored(h.Name, part, ev.Tokens, h.Capacity, clock.Now())
		if ev.Tokens >= surveyedPart {
			large[part] = ev.Tokens
		} else {
			delete(large, part)
		}
	}
	if len(large) == 0 {
		return
	}
	var found prefix.Prompt
	for _, part := range slices.Sorted(maps.Keys(large)) {
		found.Parts = append(found.Parts, part)
		found.Tokens = append(found.Tokens, large[part])
	}
	s.Found(h.Name, found)
}
