package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
)

// verifyInterval is how often to look for replicas with other weights than assumed. Each of
// them costs a call for a report.
const verifyInterval = 100 * time.Millisecond

// Verify requests reports from replicas whose weights have turned out to differ from those
// assumed, until ctx is done. A load order that is executed seconds late leaves a replica
// with weights that no host expects.
func (l *Loader) Verify(ctx context.Context) {
	clock.Every(ctx, verifyInterval, func() {
		for _, s := range l.replicas.Unverified(clock.Now()) {
			l.verify(ctx, s)
		}
	})
}

func (l *Loader) verify(ctx context.Context, s replica.Server) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := l.engine.Report(ctx, s.Address, s.ID)
	if err != nil {
		l.log.WithError(err).WithField("replica", s.ID).Info("weights not told")
		return
	}
	for model, version := range report.Weights {
		switch assumed := s.Weights[model]; {
		case version > assumed:
			l.recordWeights(s.ID, model, version)
		case version < assumed && !report.Loading:
			l.recordOlderWeights(s.ID, model, assumed, version)
		}
	}
}

// recordOlderWeights records that a replica, which rejected requests for the weights that it was
// assumed to hold, reports older ones: an older order was executed after a newer one. The replica
// keeps the older weights unless it is sent another load order.
func (l *Loader) recordOlderWeights(id, model string, assumed, version int64) {
	if !l.replicas.RecordOlderWeights(id, model, assumed, version) {
		return
	}
	l.log.WithFields(logrus.Fields{"replica": id, "model": model, "believed": assumed, "version": version}).Warn("replica went back to older weights")
	l.Forget(id)
	l.OnLoaded(id)
}

// recordWeights records weights that a replica itself reported, and notifies other hosts.
func (l *Loader) recordWeights(id, model string, version int64) {
	l.replicas.RecordWeights(id, model, version)
	l.mu.Lock()
	l.recentLoads = append(l.recentLoads, loadedWeights{id, model, version, clock.Now()})
	l.mu.Unlock()
	l.OnLoaded(id)
	l.OnChange()
}
