package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/statemachine"
	"github.com/briarlink/briarlink/internal/topic"
	"github.com/briarlink/briarlink/platform"
)

const (
	// pollTimeout is how long the store holds a read open until there is a record.
	pollTimeout = 15 * time.Second
	// holderReportTTL is how long a report from the lease holder replaces reads of the log.
	holderReportTTL = 700 * time.Millisecond
	// readRetryDelay is the wait after a failed read.
	readRetryDelay = 300 * time.Millisecond
)

// Follow reads the lease's log until ctx is done.
func (l *Lease) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if l.holderReportedRecently() || !l.Follows() {
			clock.Sleep(ctx, readRetryDelay)
			continue
		}
		l.mu.Lock()
		from := l.position()
		wait := pollTimeout
		if l.machine.Is(StateUnknown) {
			wait = 0
		}
		l.mu.Unlock()
		page, err := l.poll(ctx, from.Offset, wait)
		if !l.handleRead(page, from, err) {
			clock.Sleep(ctx, readRetryDelay)
		}
	}
}

// poll reads the log from an offset on. An append that conflicts cancels it: the log has
// then grown, and the answer to this read may have been lost.
func (l *Lease) poll(ctx context.Context, from int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancelRead = cancel
	l.mu.Unlock()
	return l.store.Read(ctx, l.Topic, from, wait)
}

// holderReportedRecently reports whether reports from the lease holder make reads of the log
// unnecessary. Otherwise each record would wake up every host.
func (l *Lease) holderReportedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Is(StateOther) && clock.Since(l.holderLastSeen) < holderReportTTL
}

// ApplyHolderReport records a report from another host: end is the end of the lease's log, in an era
// of the store, if that host holds the lease, or 0 if it does not.
func (l *Lease) ApplyHolderReport(holder string, era, end int64) {
	if end == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.eraKnown {
		l.beginEra(era)
	}
	if era < l.era || end < l.end || l.machine.Is(StateHeld) || l.machine.Is(StateUnknown) {
		return
	}
	now := clock.Now()
	l.holderLastSeen = now
	if end == l.end {
		return
	}
	l.end, l.lastSeen = end, now
	l.last = platform.LeaseRecord{Holder: holder}
	statemachine.Fire(l.machine, eventOtherGranted)
}

// handleRead applies the result of a read from a position and reports whether to read again at once.
func (l *Lease) handleRead(page platform.Page, from topic.Position, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCurrent(from) {
		// The offset that was read from means nothing in the current era, nor does an error.
		return true
	}
	var trimmed *platform.TrimmedError
	var status *platform.StatusError
	switch {
	case errors.As(err, &trimmed) && l.eraKnown && trimmed.Era > l.era:
		l.beginEra(trimmed.Era)
		return true
	case errors.As(err, &trimmed):
		l.end = max(l.end+1, trimmed.First)
		return true
	case errors.As(err, &status) && status.Status == http.StatusNotFound:
		// Nobody has held the lease yet.
		l.adoptEra(l.StoreEra())
		l.markVacant(eventRead)
		return false
	case err != nil:
		return false
	}
	if !l.readsEra(page.Era) {
		return true
	}
	for _, rec := range page.Records {
		l.applyRecord(rec)
	}
	if l.end >= page.End {
		l.markVacant(eventRead)
	}
	return len(page.Records) > 0 || page.End > from.Offset || !l.machine.Is(StateUnknown)
}

// applyRecord applies the next record of the log.
func (l *Lease) applyRecord(rec platform.Record) {
	if rec.Offset < l.end {
		return
	}
	l.end = rec.Offset + 1
	record, err := platform.DecodeLease(rec)
	if err != nil {
		l.log.WithError(err).WithField("offset", rec.Offset).Error("malformed lease record skipped")
		return
	}
	l.last = record
	l.lastSeen = clock.Now()
	if l.isOwn(record) {
		l.unconfirmedSince = time.Time{}
		return
	}
	held := l.machine.Is(StateHeld)
	before := l.machine.Current()
	statemachine.Fire(l.machine, eventOtherGranted)
	if held || before != l.machine.Current() {
		l.log.WithFields(logrus.Fields{"lease": l.Purpose, "holder": record.Holder, "offset": rec.Offset, "held_here_before": held}).Info("lease granted to another host")
	}
}
