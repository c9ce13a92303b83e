package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/config"
)

var start = time.Unix(1_000_000, 0)

// newInformedLimiter returns an informed limiter of a single host, with organisations whose limits
// are the given rates in tokens per second and a burst of twice the rate.
func newInformedLimiter(t testing.TB, perSecond ...float64) (*Limiter, time.Time) {
	t.Helper()
	l := NewLimiter(Terms{Window: 10 * time.Second, Over: 0.1}, testInterval, start)
	l.SetLimits(organisations(perSecond...), start)
	now := start.Add(coldStartTimeout + 10*time.Second)
	l.SetHosts(1, 1, false, now)
	return l, now
}

func organisations(perSecond ...float64) []*config.Organisation {
	var out []*config.Organisation
	for i, rate := range perSecond {
		out = append(out, &config.Organisation{Name: fmt.Sprint("o", i), RateLimit: &config.RateLimit{
			Unit: config.Tokens, PerSecond: rate, Burst: 2 * rate, DefaultTokens: 200,
		}})
	}
	return out
}

func tokens(n int) Size { return Size{PromptTokens: n, HasTokenCount: true} }

// fill admits requests of an organisation until one is refused, and returns the tokens admitted.
func fill(l *Limiter, organisation string, each int, now time.Time) int {
	sum := 0
	for l.Admit(organisation, tokens(each), now).Admitted {
		sum += each
	}
	return sum
}

// TestLimitIsKept checks that a burst is admitted at once and then the rate, and that a refused
// request is admitted if it is retried after RetryAfter.
func TestLimitIsKept(t *testing.T) {
	l, now := newInformedLimiter(t, 1000)
	if got := fill(l, "o0", 100, now); got < 2000 || got > 2500 {
		t.Errorf("admitted %d tokens at once, want 2000 to 2500 with a burst of 2000", got)
	}
	d := l.Admit("o0", tokens(100), now)
	if d.Admitted || d.RetryAfter <= 0 || d.Limit.PerSecond != 1000 {
		t.Errorf("decision on a request over the limit: %+v", d)
	}
	now = now.Add(d.RetryAfter)
	if !l.Admit("o0", tokens(100), now).Admitted {
		t.Error("refused although it was retried after RetryAfter")
	}
	fill(l, "o0", 100, now)
	if got := fill(l, "o0", 100, now.Add(2*time.Second)); got < 1900 || got > 2200 {
		t.Errorf("admitted %d tokens after two seconds, want 1900 to 2200 at 1000 a second", got)
	}
}

// TestRequestCost checks that a request counts its prompt and its maximum output, DefaultTokens if
// it does not state them, and one if the limit counts requests.
func TestRequestCost(t *testing.T) {
	l, now := newInformedLimiter(t, 1000)
	if d := l.Admit("o0", Size{PromptTokens: 70, OutputTokens: 9, HasTokenCount: true}, now); d.Cost != 79 {
		t.Errorf("cost %d, want 79", d.Cost)
	}
	if d := l.Admit("o0", Size{PromptTokens: 64}, now); d.Cost != 200 {
		t.Errorf("cost %d of a request that does not state its tokens, want 200", d.Cost)
	}
	requests := &config.RateLimit{PerSecond: 5}
	if cost := requests.Cost(70, 9, true); cost != 1 {
		t.Errorf("cost %d under a limit on requests, want 1", cost)
	}
	if d := l.Admit("unlimited", tokens(1<<40), now); !d.Admitted || d.Cost != 0 {
		t.Errorf("decision without a limit: %+v", d)
	}
}

// TestLargeRequestsOfABusyOrganisationDoNotStarve guards against large requests that never find
// room: with short requests at twice the limit, a request of five seconds' worth of tokens would
// never fit. It must be admitted below the threshold like any other, and the next ones wait for it.
func TestLargeRequestsOfABusyOrganisationDoNotStarve(t *testing.T) {
	l, now := newInformedLimiter(t, 1000)
	large, largeAdmitted, short, shortAdmitted := 0, 0, 0, 0
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond)))
		if rng.IntN(1000) > 0 {
			short++
			if l.Admit("o0", tokens(20), now).Admitted {
				shortAdmitted++
			}
			continue
		}
		large++
		if l.Admit("o0", tokens(2500), now).Admitted {
			largeAdmitted++
		}
	}
	shares := [2]float64{float64(largeAdmitted) / float64(large), float64(shortAdmitted) / float64(short)}
	if shares[0] < shares[1]/2 {
		t.Errorf("admitted %.2f of the large requests and %.2f of the short ones", shares[0], shares[1])
	}
	if d := l.Admit("o0", tokens(1<<30), now.Add(time.Hour)); d.Admitted {
		t.Error("admitted a request larger than any window may hold")
	}
}

// TestReturnedCost checks that a request that is charged and then refused, or never sent, does not
// reduce what is admitted later, and that Charge does.
func TestReturnedCost(t *testing.T) {
	l, now := newInformedLimiter(t, 1000)
	before := fill(l, "o0", 100, now)
	now = now.Add(time.Hour)
	for range 100 {
		d := l.Admit("o0", tokens(100), now)
		l.Refund("o0", d.Cost, now)
	}
	if got := fill(l, "o0", 100, now); got != before {
		t.Errorf("admitted %d tokens after refunds, want %d", got, before)
	}
	l.Charge("o0", 5000, now)
	if l.Admit("o0", tokens(1), now.Add(4*time.Second)).Admitted {
		t.Error("cost of further runs was not counted")
	}
}

// TestChangedLimits checks that a raised limit applies at once, that a lowered one admits its own
// rate at once whatever was admitted before, and that each change is reported.
func TestChangedLimits(t *testing.T) {
	l, now := newInformedLimiter(t, 1000, 1000)
	fill(l, "o0", 100, now)
	changes := l.SetLimits(organisations(3000, 1000), now)
	if len(changes) != 1 || changes[0].Organisation != "o0" || changes[0].Before.PerSecond != 1000 || changes[0].Now.PerSecond != 3000 {
		t.Errorf("changes %+v", changes)
	}
	if got := fill(l, "o0", 100, now); got < 3500 {
		t.Errorf("admitted %d tokens at once after the burst rose by 4000, want at least 3500", got)
	}
	l.SetLimits(organisations(100, 1000), now)
	if got := fill(l, "o0", 10, now.Add(2*time.Second)); got < 190 || got > 260 {
		t.Errorf("admitted %d tokens two seconds after the limit fell to 100 a second, want 190 to 260", got)
	}
	if changes := l.SetLimits(nil, now); len(changes) != 2 || changes[0].Now != nil {
		t.Errorf("changes %+v", changes)
	}
	if !l.Admit("o0", tokens(1<<20), now.Add(2*time.Second)).Admitted {
		t.Error("refused without a limit")
	}
}

// reportUsage applies the unreported usage of one limiter to others.
func reportUsage(from *Limiter, name string, now time.Time, to ...*Limiter) {
	w := UsageReport{Host: name, Incarnation: 1, Routing: true, Uses: from.Changes(now)}
	for _, l := range to {
		l.ApplyReport(w, now)
	}
}

// TestHostsCountTogether checks that usage admitted by one host counts against the limit on
// another, and that the next report includes the usage of a lost one.
func TestHostsCountTogether(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	b, _ := newInformedLimiter(t, 1000)
	all := fill(a, "o0", 10, now)
	a.Changes(now) // This heartbeat is lost.
	a.Charge("o0", 1, now)
	reportUsage(a, "a", now, b)
	if got := fill(b, "o0", 10, now); got > 20 {
		t.Errorf("admitted %d tokens on the second host after %d on the first, want at most 20", got, all)
	}
}

// TestStartingHostAdoptsUsage checks that a starting host adopts the levels of buckets and then
// refuses what the others would refuse, and that it counts the burst as used up until it receives
// levels.
func TestStartingHostAdoptsUsage(t *testing.T) {
	a, now := newInformedLimiter(t, 1000, 1000)
	fill(a, "o0", 10, now)
	a.Charge("o1", 10, now)
	b := NewLimiter(a.terms, testInterval, now)
	b.SetLimits(organisations(1000, 1000), now)
	if got := fill(b, "o1", 10, now); got > 30 {
		t.Errorf("admitted %d tokens on a host without reports, want at most 30", got)
	}
	reportUsage(a, "a", now, b)
	now = now.Add(adoptDuration)
	a.Charge("o1", 10, now)
	reportUsage(a, "a", now, b)
	b.SetHosts(2, 2, false, now)
	if got := fill(b, "o0", 10, now); got > 700 {
		t.Errorf("admitted %d tokens half a second after the bucket was full, want at most 700", got)
	}
	if got := fill(b, "o1", 10, now); got < 1500 {
		t.Errorf("admitted %d tokens with a nearly empty bucket, want at least 1500", got)
	}
}

// TestPartitionedHostsKeepTheirShare checks that hosts that cannot reach any other together admit
// no more than the limit and the part of the tolerance reserved for partitions.
func TestPartitionedHostsKeepTheirShare(t *testing.T) {
	const hosts = 4
	sum := 0
	for range hosts {
		l, now := newInformedLimiter(t, 1000)
		l.SetHosts(hosts, 1, false, now)
		fill(l, "o0", 10, now)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			sum += fill(l, "o0", 10, now)
		}
	}
	if sum > 11000 || sum < 9000 {
		t.Errorf("admitted %d tokens in ten seconds on %d partitioned hosts, want 9000 to 11000 at 1000 a second", sum, hosts)
	}
}

// TestRejoinedHostIsNotCountedTwice guards against counting the usage of an unreachable host twice.
// The others reserved its share while it was unreachable, so the usage that it reports from that
// time must not count against the limit again.
func TestRejoinedHostIsNotCountedTwice(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	b, _ := newInformedLimiter(t, 1000)
	reportUsage(b, "b", now, a)
	a.SetHosts(2, 2, false, now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		b.Charge("o0", 200, now)
		a.SetHosts(2, 1, false, now)
		a.Admit("o0", tokens(200), now)
	}
	reportUsage(b, "b", now, a)
	a.SetHosts(2, 2, false, now)
	if got := fill(a, "o0", 10, now); got < 1500 {
		t.Errorf("admitted %d tokens for an organisation below its rate, want at least 1500 with a burst of 2000", got)
	}
}

// TestFullBucketIsResentAfterPartition guards against a rejoining host admitting a full burst
// because the other hosts refuse all requests and have no new usage to send.
func TestFullBucketIsResentAfterPartition(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	b, _ := newInformedLimiter(t, 1000)
	setHosts := func(reachable float64) {
		a.SetHosts(2, reachable, false, now)
		b.SetHosts(2, reachable, false, now)
	}
	reportUsage(a, "a", now, b)
	reportUsage(b, "b", now, a)
	setHosts(2)
	now = now.Add(time.Second)
	setHosts(1)
	now = now.Add(10 * time.Second)
	setHosts(1)
	before := fill(a, "o0", 10, now)
	a.Changes(now) // This heartbeat is lost in the partition.
	reportUsage(b, "b", now, a)
	reportUsage(a, "a", now, b)
	setHosts(2)
	if got := fill(b, "o0", 10, now); before+got > 2500 {
		t.Errorf("both sides of a partition admitted %d tokens at once, want at most 2500 with a burst of 2000", before+got)
	}
}

// TestPausedHostCountsMissedUsage guards against a resumed host ignoring usage from during its
// pause when its unreachable fraction is still zero.
func TestPausedHostCountsMissedUsage(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	b, _ := newInformedLimiter(t, 1000)
	reportUsage(a, "a", now, b)
	reportUsage(b, "b", now, a)
	now = now.Add(2 * time.Second)
	fill(a, "o0", 10, now)
	reportUsage(a, "a", now, b)
	if got := fill(b, "o0", 10, now); got > 20 {
		t.Errorf("admitted %d tokens with a full bucket, want at most 20", got)
	}
}

// TestStandbyHostReceivesFullestBuckets checks that a standby host receives the levels of the
// fullest buckets, in a limited number.
func TestStandbyHostReceivesFullestBuckets(t *testing.T) {
	rates := make([]float64, 200)
	for i := range rates {
		rates[i] = 1000
	}
	a, now := newInformedLimiter(t, rates...)
	for i := range 50 {
		fill(a, fmt.Sprint("o", i), 100, now)
	}
	full := a.FullestBuckets(now)
	if len(full) != maxFullest {
		t.Fatalf("reported %d organisations to a standby host, want maxFullest", len(full))
	}
	b, _ := newInformedLimiter(t, rates...)
	b.SetHosts(4, 4, true, now)
	b.ApplyReport(UsageReport{Host: "a", Uses: full}, now)
	refused := 0
	for i := range 50 {
		if !b.Admit(fmt.Sprint("o", i), tokens(1), now).Admitted {
			refused++
		}
	}
	if refused != maxFullest {
		t.Errorf("%d organisations refused, want only those reported", refused)
	}
}

// TestStandbyHostReceivesScaledLevel guards against standby hosts admitting what their relays
// refuse. Relays that can reach half of the routing hosts refuse at half of a bucket. The standby
// hosts must not admit the other half, which the unreachable hosts admit.
func TestStandbyHostReceivesScaledLevel(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	a.SetHosts(8, 4, false, now)
	fill(a, "o0", 10, now)
	b, _ := newInformedLimiter(t, 1000)
	b.SetHosts(8, 8, true, now)
	b.ApplyReport(UsageReport{Host: "a", Uses: a.FullestBuckets(now)}, now)
	if got := fill(b, "o0", 10, now); got > 0 {
		t.Errorf("admitted %d tokens on a standby host whose relay refuses, want 0", got)
	}
}

// TestAdoptedLevelsDoNotGrow guards against levels that grow without usage: hosts that start one
// after the other and each reach a small part of the fleet must not scale the level that they adopt
// from each other again and again.
func TestAdoptedLevelsDoNotGrow(t *testing.T) {
	from, now := newInformedLimiter(t, 1000)
	fill(from, "o0", 10, now)
	for range 10 {
		from.SetHosts(64, 2, false, now)
		from.Charge("o0", 1, now)
		next := NewLimiter(from.terms, testInterval, now)
		next.SetLimits(organisations(1000), now)
		reportUsage(from, "from", now, next)
		now = now.Add(adoptDuration)
		next.SetHosts(64, 2, false, now)
		from = next
	}
	if level := from.Status(now)[0].Level; level > 3000 {
		t.Errorf("level %.0f after ten hosts adopted it, want at most 3000 with a burst of 2000", level)
	}
}

// TestHostThatTakesOverAdoptsUsage guards against a whole burst admitted by a standby host that
// becomes a routing host because its relays were lost. The levels that they reported have drained
// since, but other hosts went on admitting. At seven times the usual load, with a third of all
// hosts partitioned, four such hosts admitted a whole burst each.
func TestHostThatTakesOverAdoptsUsage(t *testing.T) {
	a, now := newInformedLimiter(t, 1000)
	b, _ := newInformedLimiter(t, 1000)
	b.SetHosts(4, 4, true, now)
	fill(a, "o0", 10, now)
	b.ApplyReport(UsageReport{Host: "a", Uses: a.FullestBuckets(now)}, now)
	for range 20 {
		now = now.Add(testInterval)
		b.SetHosts(4, 1, true, now)
	}
	a.Charge("o0", 3000, now)
	b.SetHosts(4, 2, false, now)
	if got := fill(b, "o0", 10, now); got > 50 {
		t.Errorf("admitted %d tokens before the host received a report, want at most 50", got)
	}
	reportUsage(a, "a", now, b)
	now = now.Add(adoptDuration)
	a.Charge("o0", 1, now)
	reportUsage(a, "a", now, b)
	b.SetHosts(4, 4, false, now)
	if got := fill(b, "o0", 10, now); got > 0 {
		t.Errorf("admitted %d tokens with a full bucket, want 0", got)
	}
}

// TestReportSizeIsBounded checks that 1,500 organisations are reported over several heartbeats, the
// largest amounts first, and that none is omitted.
func TestReportSizeIsBounded(t *testing.T) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1000
	}
	l, now := newInformedLimiter(t, rates...)
	for i := range rates {
		l.Charge(fmt.Sprint("o", i), int64(1+i), now)
	}
	reported := map[uint64]bool{}
	for first := true; l.HasUnreported(); first = false {
		uses := l.Changes(now)
		if len(uses) > maxReported {
			t.Fatalf("%d organisations in one heartbeat", len(uses))
		}
		for _, u := range uses {
			reported[u.Organisation] = true
			if first && u.Used <= 1500-maxReported {
				t.Errorf("reported an organisation with %d tokens in the first heartbeat, want the largest only", u.Used)
			}
		}
	}
	if len(reported) != len(rates) {
		t.Errorf("reported %d organisations, want all 1500", len(reported))
	}
}

// TestEpisodes checks that each span of refusals is one episode, however many requests are refused.
func TestEpisodes(t *testing.T) {
	l, now := newInformedLimiter(t, 1000)
	fill(l, "o0", 100, now)
	if d := l.Admit("o0", tokens(100), now); d.First {
		t.Error("a second refusal started an episode")
	}
	if got := l.EndedEpisodes(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("episodes ended after one second: %v", got)
	}
	if got := l.EndedEpisodes(now.Add(3 * time.Second)); len(got) != 1 || got[0] != (Episode{"o0", 2}) {
		t.Errorf("episodes %v", got)
	}
	if s := l.Status(now); len(s) != 1 || s[0].Refused != 2 || s[0].Level < 2000 {
		t.Errorf("status %+v", s)
	}
}

// TestOverloadDoesNotAffectOtherOrganisations runs one organisation at 7.5 times its usual load
// while fifteen others send theirs. None of their requests may be refused, as without the overload,
// and what is admitted of the overload must stay within the limit and its tolerance. Limits are 1.8
// times what organisations usually send.
func TestOverloadDoesNotAffectOtherOrganisations(t *testing.T) {
	for _, demandFactor := range []float64{0.55, 7.5 * 0.55} {
		f := newFleet(nil, testTerms, 18, 3)
		f.loss = 0.01
		for i := range 16 {
			rate := max(47_000, 400_000/float64(i+1))
			usual := 0.55
			if i == 2 {
				usual = demandFactor
			}
			f.add(config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: max(rate, 112_000)}, usual)
		}
		f.strategy = countsOf(f, false)
		f.settle()
		f.run(20 * time.Second)
		for i, o := range f.organisations {
			if i != 2 && o.wronglyRefused > 0 {
				t.Errorf("at %.1f times the limit: refused %d of %d tokens of %s", demandFactor, o.wronglyRefused, o.idealAdmitted, o.name)
			}
			if worstWindow := f.worstWindow(o); worstWindow > 1 {
				t.Errorf("at %.1f times the limit: admitted %.2f of the bound of %s", demandFactor, worstWindow, o.name)
			}
		}
	}
}

// BenchmarkRefusal measures the refusal of a request on a host with 1,500 organisations.
func BenchmarkRefusal(b *testing.B) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1
	}
	l, now := newInformedLimiter(b, rates...)
	fill(l, "o700", 1, now)
	for b.Loop() {
		if l.Admit("o700", tokens(1), now).Admitted {
			b.Fatal("admitted a request over the limit")
		}
	}
}

// BenchmarkApplyReport measures how long a heartbeat that reports forty organisations takes to
// apply.
func BenchmarkApplyReport(b *testing.B) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1000
	}
	l, now := newInformedLimiter(b, rates...)
	uses := make([]*pb.OrganisationUse, maxReported)
	for i := range uses {
		uses[i] = &pb.OrganisationUse{Organisation: key(fmt.Sprint("o", i))}
	}
	for i := 0; b.Loop(); i++ {
		for _, u := range uses {
			u.Used = int64(i)
		}
		l.ApplyReport(UsageReport{Host: "a", Routing: true, Uses: uses}, now)
	}
}
