package cachesync

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/prefix"
	"github.com/briarlink/briarlink/platform"
)

// fakeEngines answers for many holders. One in seven does not answer; of the others, one in ten
// holds a large and a small prefix block.
type fakeEngines struct {
	mu            sync.Mutex
	calls         map[string]int
	concurrent    int
	maxConcurrent int
}

func (f *fakeEngines) CacheEvents(ctx context.Context, address string, _ int64, wait time.Duration) (platform.CacheEvents, error) {
	var i int
	fmt.Sscanf(address, "i-%d", &i)
	f.mu.Lock()
	f.calls[address]++
	f.concurrent++
	f.maxConcurrent = max(f.maxConcurrent, f.concurrent)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.concurrent--
	}()
	switch {
	case i%7 == 0:
		time.Sleep(time.Second)
		return platform.CacheEvents{}, context.DeadlineExceeded
	case i%10 == 0:
		add := func(block string, tokens int) platform.CacheEvent {
			return platform.CacheEvent{HeldBlock: platform.HeldBlock{Block: block, Tokens: tokens}}
		}
		return platform.CacheEvents{Next: 4, Events: []platform.CacheEvent{
			add("large", 13000), add("small", 50), add("dropped", 9000), add("dropped", 0),
		}}, nil
	default:
		time.Sleep(wait)
		return platform.CacheEvents{}, nil
	}
}

func (f *fakeEngines) CacheList(context.Context, string) (platform.CacheList, error) {
	return platform.CacheList{}, nil
}

// TestSurveyReadsEachHolderOnce: each holder is read once, at a limited rate even if some do not
// answer, and only the large prefix blocks are announced.
func TestSurveyReadsEachHolderOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 160
		var holders []Holder
		for i := range n {
			name := fmt.Sprint("i-", i)
			holders = append(holders, Holder{Name: name, Address: name, Capacity: 100_000})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		engines := &fakeEngines{calls: map[string]int{}}
		index := prefix.NewIndex()
		var mu sync.Mutex
		announced := map[string]prefix.Prompt{}
		s := Survey{Engine: engines, Index: index, Log: log, OnFound: func(holder string, blocks prefix.Prompt) {
			mu.Lock()
			defer mu.Unlock()
			announced[holder] = blocks
		}}
		began := time.Now()
		s.Run(t.Context(), holders)
		if took := time.Since(began); took < n*surveyInterval || took > 5*time.Second {
			t.Errorf("%d holders read in %v", n, took)
		}
		if len(engines.calls) != n || engines.maxConcurrent > maxSurveyCalls {
			t.Errorf("%d holders were read, %d at once", len(engines.calls), engines.maxConcurrent)
		}
		for i := range n {
			name, want := fmt.Sprint("i-", i), i%10 == 0 && i%7 != 0
			if engines.calls[name] != 1 {
				t.Errorf("%s was read %d times", name, engines.calls[name])
			}
			if blocks := announced[name]; (len(blocks.Blocks) == 1 && blocks.Tokens[0] == 13000) != want {
				t.Errorf("%s: announced %v", name, blocks)
			}
			if got := index.Tokens(name); (got == 13050) != want {
				t.Errorf("%s: the index has %d tokens", name, got)
			}
		}
	})
}
