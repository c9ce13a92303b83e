package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/replica"
)

// verifyInterval is how often replicas are looked for whose weights are not those
// believed; a report costs a probe.
const verifyInterval = 100 * time.Millisecond

// Verify asks replicas whose weights turned out not to be those believed, until ctx
// ends. An order that was carried out seconds late leaves a replica on weights that
// nobody expects of it.
func (l *Loader) Verify(ctx context.Context) {
	clock.Every(ctx, verifyInterval, func() {
		for _, s := range l.replicas.Unsure(clock.Now()) {
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
		switch believed := s.Weights[model]; {
		case version > believed:
			l.learn(s.ID, model, version)
		case version < believed && !report.Loading:
			l.wentBack(s.ID, model, believed, version)
		}
	}
}

// wentBack records that a replica which refused the weights it was believed to hold
// reports older ones: an order was carried out after a newer one. Unless it is ordered
// again it keeps them.
func (l *Loader) wentBack(id, model string, believed, version int64) {
	if !l.replicas.HoldsOlder(id, model, believed, version) {
		return
	}
	l.log.WithFields(logrus.Fields{"replica": id, "model": model, "believed": believed, "version": version}).Warn("replica went back to older weights")
	l.Forget(id)
	l.Loaded(id)
}

// learn records weights that a replica itself reported, for this host and others.
func (l *Loader) learn(id, model string, version int64) {
	l.replicas.Holds(id, model, version)
	l.mu.Lock()
	l.recent = append(l.recent, loaded{id, model, version, clock.Now()})
	l.mu.Unlock()
	l.Loaded(id)
	l.Changed()
}
