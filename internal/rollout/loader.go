package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxLoading is how many replicas may take new weights at once.
	maxLoading = 2
	// OrderTimeout bounds an order, its way to the engine included.
	OrderTimeout = 3 * time.Second
	stepInterval = 500 * time.Millisecond
	// handover is how long a new holder waits before its first order: by then the
	// last order of the holder before has arrived and shows in the reports. Engines
	// that check fencing numbers would refuse it only where the new holder has
	// given an order already.
	handover = OrderTimeout + 2*time.Second
)

// Replica is a backend server as the loader sees it.
type Replica struct {
	ID      string
	Address string
	Model   string
	// Wanted is the version that the configuration names.
	Wanted string
	// Version and Loading are what the engine itself reports; Known is false
	// while it does not answer.
	Version string
	Loading bool
	Known   bool
}

// Fleet lists the backend servers.
type Fleet interface {
	Rollout() []Replica
}

// Orders gives orders to engines.
type Orders interface {
	// Order states the version wanted. It returns whether the engine took it.
	Order(ctx context.Context, address string, fencing uint64, model, version string) (bool, error)
}

// Leaser says whether this host has the duty.
type Leaser interface {
	Held() (Grant, bool)
}

// Loader gives orders while its host holds the lease.
type Loader struct {
	lease  Leaser
	fleet  Fleet
	orders Orders
	log    *logrus.Logger
	// ordered holds when a replica was last ordered and what; until it reports
	// loading or the version, it counts as loading.
	ordered map[string]order
}

type order struct {
	version string
	at      time.Time
}

// NewLoader returns a loader.
func NewLoader(lease Leaser, fleet Fleet, orders Orders, log *logrus.Logger) *Loader {
	return &Loader{lease, fleet, orders, log, map[string]order{}}
}

// Run gives orders until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step orders as many replicas as may load. Orders state the wanted end, so one
// that is given twice, or undone by a stale order, is simply given again.
func (l *Loader) step(ctx context.Context) {
	grant, ok := l.lease.Held()
	if !ok {
		l.ordered = map[string]order{}
		return
	}
	if time.Since(grant.Since) < handover {
		return
	}
	fleet := l.fleet.Rollout()
	loading := l.loading(fleet)
	for _, r := range fleet {
		if loading >= maxLoading {
			return
		}
		if r.Known && !l.busy(r) && r.Version != r.Wanted && l.order(ctx, r) {
			loading++
		}
	}
}

func (l *Loader) loading(fleet []Replica) int {
	n := 0
	for _, r := range fleet {
		if l.busy(r) {
			n++
		}
	}
	return n
}

// busy reports whether a replica loads, or has just been ordered to and does not
// show it yet. One that does not answer may be loading too.
func (l *Loader) busy(r Replica) bool {
	o, ordered := l.ordered[r.ID]
	if r.Known && ordered && !r.Loading && r.Version == o.version {
		delete(l.ordered, r.ID)
		return false
	}
	return r.Loading || ordered && time.Since(o.at) < 2*OrderTimeout
}

// order checks the lease and orders one replica.
func (l *Loader) order(ctx context.Context, r Replica) bool {
	grant, ok := l.lease.Held()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	l.ordered[r.ID] = order{r.Wanted, time.Now()}
	accepted, err := l.orders.Order(ctx, r.Address, grant.Fencing, r.Model, r.Wanted)
	l.log.WithFields(logrus.Fields{
		"backend_server": r.ID, "version": r.Wanted, "fencing": grant.Fencing, "accepted": accepted, "error": err,
	}).Info("weights ordered")
	return true
}
