// Package fakelog is an in-process fake of the platform's log for tests, with
// faults at each append and read. It sleeps only on timers, so it runs under
// virtual time.
package fakelog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/briarlink/briarlink/internal/platform"
)

// AppendFault is what happens to one append.
type AppendFault int

// Faults of an append.
const (
	// None appends and answers.
	None AppendFault = iota
	// LoseAnswer appends and answers with an error.
	LoseAnswer
	// Fail answers with an error and appends nothing.
	Fail
	// Late answers with an error and appends after Delay.
	Late
)

// ErrUnavailable is the error of a call that failed.
var ErrUnavailable = errors.New("log unavailable")

// Log is the fake. It is safe for concurrent use.
type Log struct {
	// PageSize bounds the records of one read.
	PageSize int
	// Delay is how late a Late append takes effect.
	Delay time.Duration

	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	faults  []AppendFault
}

type stream struct {
	first   uint64
	records []platform.Record
	// all holds every record ever appended, trimmed or not.
	all   []platform.Record
	grown chan struct{}
}

// New returns an empty log.
func New() *Log { return &Log{PageSize: 100, streams: map[string]*stream{}} }

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// SetDown starts or ends an outage: every call fails and appends nothing.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Heal ends an outage and drops the faults still queued.
func (l *Log) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	l.faults = nil
}

// Inject queues faults for the next appends.
func (l *Log) Inject(faults ...AppendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, name string, payload []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrUnavailable
	}
	fault := None
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case Fail:
		return 0, ErrUnavailable
	case Late:
		time.AfterFunc(l.Delay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(name, payload)
		})
		return 0, ErrUnavailable
	case LoseAnswer:
		l.add(name, payload)
		return 0, ErrUnavailable
	default:
		return l.add(name, payload), nil
	}
}

func (l *Log) add(name string, payload []byte) uint64 {
	s := l.stream(name)
	rec := platform.Record{Offset: uint64(len(s.all)), Time: time.Now(), Payload: payload}
	s.records = append(s.records, rec)
	s.all = append(s.all, rec)
	close(s.grown)
	s.grown = make(chan struct{})
	return rec.Offset
}

// Trim forgets the n oldest records still kept.
func (l *Log) Trim(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n = min(n, len(s.records))
	s.records = s.records[n:]
	s.first += uint64(n)
}

// TrimBefore forgets every record appended before t.
func (l *Log) TrimBefore(name string, t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.records[0].Time.Before(t) {
		s.records = s.records[1:]
		s.first++
	}
}

// All returns every record ever appended to a stream.
func (l *Log) All(name string) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Record(nil), l.stream(name).all...)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (platform.Page, error) {
	var expired <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		page, grown, err := l.page(name, from)
		if err != nil || len(page.Records) > 0 || page.First > from || wait == 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-expired:
			return page, nil
		case <-grown:
		}
	}
}

func (l *Log) page(name string, from uint64) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, nil, ErrUnavailable
	}
	s := l.stream(name)
	page := platform.Page{First: s.first, End: uint64(len(s.all)), Now: time.Now()}
	start := max(from, s.first)
	if start < page.End {
		records := s.records[start-s.first:]
		page.Records = append(page.Records, records[:min(len(records), l.PageSize)]...)
	}
	return page, s.grown, nil
}
