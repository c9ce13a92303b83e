package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of a service at this host.
type Status struct {
	Service string
	Short   bool
	// Changed is set if the service has become short since the last call, or has not been short for
	// reportTime and was before.
	Changed bool
	// Capacity is the cost per second that all hosts together admit while the service is short, and
	// Offered what all organisations together ask for.
	Capacity, Offered float64
	// Refused counts the requests refused since the last call, Returned those that were refused before
	// and then admitted. EpisodeRefused and EpisodeReturned are those since the service became short.
	Refused, Returned               int64
	EpisodeRefused, EpisodeReturned int64
}

// TakeStatuses returns the states of all services that had requests at this host, by name, and begins to
// count anew.
func (t *Table) TakeStatuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, s := range t.services {
		out = append(out, t.status(s, now))
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (t *Table) status(s *service, now time.Time) Status {
	since := t.sinceShort(s, now)
	st := Status{
		Service: s.name, Short: since < shortTime, Refused: s.refused, Returned: s.returned,
		EpisodeRefused: s.episodeRefused, EpisodeReturned: s.episodeReturns,
	}
	if st.Short {
		p := t.currentPlan(s, now)
		st.Capacity = p.capacity
		for _, offered := range p.others {
			st.Offered += offered
		}
		for _, a := range s.accounts {
			st.Offered += a.offered.perSecond(now)
		}
	}
	s.refused, s.returned = 0, 0
	switch {
	case st.Short && !s.inEpisode:
		s.inEpisode, st.Changed = true, true
	case s.inEpisode && since >= reportTime:
		s.inEpisode, st.Changed = false, true
		s.episodeRefused, s.episodeReturns = 0, 0
	}
	return st
}
