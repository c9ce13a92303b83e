package member

import (
	"slices"
	"strings"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// newFleetByLoad starts a fleet whose directories consider load: two large and some small hosts in each of three
// zones.
func newFleetByLoad(t *testing.T, small int) *sim {
	t.Parallel()
	s := newSim(t, 3, 2, small)
	for _, h := range s.hosts {
		h.byLoad = true
		h.start(s)
	}
	return s
}

func namesOf(hosts []*pb.Heartbeat) string {
	var out []string
	for _, b := range hosts {
		out = append(out, b.Host)
	}
	return strings.Join(out, ",")
}

// TestStandbyHostsAreListedInOneOrder guards against directories of different hosts that add different standby
// hosts, and against any that send callers to hosts that are leaving, not ready or cut off.
func TestStandbyHostsAreListedInOneOrder(t *testing.T) {
	s := newFleetByLoad(t, 9)
	unfit := map[string]bool{}
	for i, h := range s.hosts[5:8] {
		h.self.Ready, h.self.Leaving, h.self.Detached = i != 0, i == 1, i == 2
		h.start(s)
		unfit[h.self.Host] = true
	}
	s.run(15 * time.Second)
	want := namesOf(s.hosts[0].table.View(s.now).Standby)
	if n := strings.Count(want, ",") + 1; n != 24 {
		t.Errorf("%d standby hosts are listed, want 27 less the three that are unfit", n)
	}
	for _, h := range s.hosts {
		v := h.table.View(s.now)
		if got := namesOf(v.Standby); !unfit[h.self.Host] && got != want {
			t.Errorf("%s lists %s, want %s", h.self.Host, got, want)
		}
		for _, b := range append(slices.Clone(v.Serving), v.Standby...) {
			if unfit[b.Host] {
				t.Errorf("%s lists %s", h.self.Host, b.Host)
			}
		}
	}
}

// TestLostStandbyHostsAreNotNamed guards against directories that send callers to standby hosts which have been
// off for long, as these are declared dead late.
func TestLostStandbyHostsAreNotNamed(t *testing.T) {
	s := newFleetByLoad(t, 23)
	s.run(15 * time.Second)
	lost := map[string]bool{}
	for i, h := range s.hosts {
		if h.self.Cores < 0.5 && i%4 == 0 {
			h.down = true
			lost[h.self.Host] = true
		}
	}
	s.run(4 * time.Second)
	named, sound := 0, 0
	for _, h := range s.hosts {
		if h.down {
			continue
		}
		for _, b := range h.table.View(s.now).Standby {
			if lost[b.Host] {
				t.Errorf("%s lists %s, which has been off for 4 s", h.self.Host, b.Host)
			}
			if b.AvailabilityZone == h.self.AvailabilityZone {
				named++
			}
		}
		for _, other := range s.hosts {
			if !other.down && other.self.Cores < 0.5 && other.self.AvailabilityZone == h.self.AvailabilityZone {
				sound++
			}
		}
	}
	t.Logf("%.2f of the standby hosts of their own zone are listed", float64(named)/float64(sound))
	if named < sound*3/4 {
		t.Error("less than three quarters")
	}
}

// TestWorkingStandbyHostsKeepTheirRelays guards against standby hosts that lose sight of rate limits, configurations
// and other hosts as soon as callers are sent to them: with requests in flight they sent heartbeats to all
// routing hosts, but asked none for heartbeats.
func TestWorkingStandbyHostsKeepTheirRelays(t *testing.T) {
	s := newFleetByLoad(t, 9)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		h.working = h.self.Cores < 0.5
	}
	for range 10 {
		s.run(time.Second)
		for _, h := range s.hosts {
			if h.working && !h.table.HasActiveRelay(s.now) {
				t.Fatalf("%s has no relay", h.self.Host)
			}
		}
	}
}

// TestUtilisationReachesAllHosts guards against directories that decide by old reports, and against utilisation in
// the messages of hosts that do not consider it.
func TestUtilisationReachesAllHosts(t *testing.T) {
	s := newFleetByLoad(t, 23)
	s.run(10 * time.Second)
	for _, h := range s.hosts {
		h.self.Utilisation, h.working = 900, true
	}
	known := func() int {
		n := 0
		for _, h := range s.hosts {
			for _, other := range h.table.Hosts(s.now) {
				if other.Heartbeat.Utilisation == 900 {
					n++
				}
			}
		}
		return n
	}
	all := len(s.hosts) * (len(s.hosts) - 1)
	s.run(time.Second)
	afterSecond := float64(known()) / float64(all)
	s.run(5 * time.Second)
	t.Logf("known of %.2f of the hosts after 1 s, of %.4f after 6 s", afterSecond, float64(known())/float64(all))
	if known() < all*99/100 {
		t.Errorf("utilisation of %d of %d hosts is known", known(), all)
	}
	s.hosts[0].table.ByLoad = false
	for _, m := range s.hosts[0].table.MemberStates(true, s.now) {
		if m.Utilisation != 0 {
			t.Errorf("%s is relayed with its utilisation", m.Host)
		}
	}
}

// TestUtilisationOutlastsRelaysOfTheBuildBefore guards against directories of mixed builds that change with each
// heartbeat, as some relays report a host without its utilisation, and against keeping an old one for good.
func TestUtilisationOutlastsRelaysOfTheBuildBefore(t *testing.T) {
	table, now := newTestTable("self"), time.Now()
	relayed := func(sequence uint64, incarnation uint64, utilisation int32) int32 {
		b := newHeartbeat("relay", 1, sequence)
		b.Members = []*pb.MemberState{{Host: "a", PeerAddress: "a:1", Incarnation: incarnation, Sequence: sequence, Ready: true, Utilisation: utilisation}}
		table.ApplyHeartbeat(b, now)
		return table.hosts["a"].heartbeat.Utilisation
	}
	if got := relayed(1, 1, 700); got != 700 {
		t.Errorf("utilisation %d, want the relayed one", got)
	}
	now = now.Add(utilisationRetention / 2)
	if got := relayed(2, 1, 0); got != 700 {
		t.Errorf("utilisation %d after a report without it, want the one before", got)
	}
	now = now.Add(utilisationRetention / 2)
	if got := relayed(3, 1, 0); got != 0 {
		t.Errorf("utilisation %d after %v without reports of it, want it unknown", got, utilisationRetention)
	}
	relayed(4, 1, 700)
	now = now.Add(time.Second)
	if got := relayed(5, 2, 0); got != 0 {
		t.Errorf("utilisation %d of a host that has started again, want it unknown", got)
	}
}
