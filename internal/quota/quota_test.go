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

// limited returns a limiter that is informed, alone and has organisations with limits of
// so many tokens a second and twice that as burst.
func limited(t testing.TB, perSecond ...float64) (*Limiter, time.Time) {
	t.Helper()
	l := NewLimiter(Terms{Window: 10 * time.Second, Over: 0.1}, testInterval, start)
	l.SetLimits(organisations(perSecond...), start)
	now := start.Add(coldFor + 10*time.Second)
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

func tokens(n int) Size { return Size{PromptTokens: n, Said: true} }

// fill lets requests of an organisation in until one is refused, and returns their tokens.
func fill(l *Limiter, organisation string, each int, now time.Time) int {
	sum := 0
	for l.Admit(organisation, tokens(each), now).Admitted {
		sum += each
	}
	return sum
}

// TestLimitIsKept: a burst at once, then the rate; a refused request is asked back when
// there is room, and there is.
func TestLimitIsKept(t *testing.T) {
	l, now := limited(t, 1000)
	if got := fill(l, "o0", 100, now); got < 2000 || got > 2500 {
		t.Errorf("%d tokens at once of a burst of 2,000", got)
	}
	d := l.Admit("o0", tokens(100), now)
	if d.Admitted || d.RetryAfter <= 0 || d.Limit.PerSecond != 1000 {
		t.Errorf("over the limit: %+v", d)
	}
	now = now.Add(d.RetryAfter)
	if !l.Admit("o0", tokens(100), now).Admitted {
		t.Error("refused although it came back when told to")
	}
	fill(l, "o0", 100, now)
	if got := fill(l, "o0", 100, now.Add(2*time.Second)); got < 1900 || got > 2200 {
		t.Errorf("%d tokens after two seconds at 1,000", got)
	}
}

// TestWhatARequestCounts: its prompt and the most it may generate, DefaultTokens where it
// does not say, one where the limit counts requests.
func TestWhatARequestCounts(t *testing.T) {
	l, now := limited(t, 1000)
	if d := l.Admit("o0", Size{PromptTokens: 70, OutputTokens: 9, Said: true}, now); d.Cost != 79 {
		t.Errorf("cost %d, want 79", d.Cost)
	}
	if d := l.Admit("o0", Size{PromptTokens: 64}, now); d.Cost != 200 {
		t.Errorf("a request that does not say its tokens counts %d, want 200", d.Cost)
	}
	requests := &config.RateLimit{PerSecond: 5}
	if cost := requests.Cost(70, 9, true); cost != 1 {
		t.Errorf("a request counts %d requests", cost)
	}
	if d := l.Admit("unlimited", tokens(1<<40), now); !d.Admitted || d.Cost != 0 {
		t.Errorf("without a limit: %+v", d)
	}
}

// TestLargeRequestsOfABusyOrganisationDoNotStarve: with short requests at twice the limit,
// a request of five seconds' worth of tokens would never find room if it had to fit. It is
// let in below the threshold like any other, and the next ones wait for it.
func TestLargeRequestsOfABusyOrganisationDoNotStarve(t *testing.T) {
	l, now := limited(t, 1000)
	large, largeIn, short, shortIn := 0, 0, 0, 0
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond)))
		if rng.IntN(1000) > 0 {
			short++
			if l.Admit("o0", tokens(20), now).Admitted {
				shortIn++
			}
			continue
		}
		large++
		if l.Admit("o0", tokens(2500), now).Admitted {
			largeIn++
		}
	}
	shares := [2]float64{float64(largeIn) / float64(large), float64(shortIn) / float64(short)}
	if shares[0] < shares[1]/2 {
		t.Errorf("%.2f of the large requests and %.2f of the short ones let in", shares[0], shares[1])
	}
	if d := l.Admit("o0", tokens(1<<30), now.Add(time.Hour)); d.Admitted {
		t.Error("a request larger than any window holds was let in")
	}
}

// TestWhatHasNotRunIsGivenBack: a request that is charged and refused later, or never
// sent, leaves no trace.
func TestWhatHasNotRunIsGivenBack(t *testing.T) {
	l, now := limited(t, 1000)
	before := fill(l, "o0", 100, now)
	now = now.Add(time.Hour)
	for range 100 {
		d := l.Admit("o0", tokens(100), now)
		l.Return("o0", d.Cost, now)
	}
	if got := fill(l, "o0", 100, now); got != before {
		t.Errorf("%d tokens let in after as many were given back, want %d", got, before)
	}
	l.Charge("o0", 5000, now)
	if l.Admit("o0", tokens(1), now.Add(4*time.Second)).Admitted {
		t.Error("further runs of what was let in do not count")
	}
}

// TestChangedLimits: a raised limit is owed at once; a lower one lets its own rate in at
// once, whatever was let in under the higher one; each change is reported.
func TestChangedLimits(t *testing.T) {
	l, now := limited(t, 1000, 1000)
	fill(l, "o0", 100, now)
	changes := l.SetLimits(organisations(3000, 1000), now)
	if len(changes) != 1 || changes[0].Organisation != "o0" || changes[0].Before.PerSecond != 1000 || changes[0].Now.PerSecond != 3000 {
		t.Errorf("changes %+v", changes)
	}
	if got := fill(l, "o0", 100, now); got < 3500 {
		t.Errorf("%d tokens at once after the burst rose by 4,000", got)
	}
	l.SetLimits(organisations(100, 1000), now)
	if got := fill(l, "o0", 10, now.Add(2*time.Second)); got < 190 || got > 260 {
		t.Errorf("%d tokens two seconds after the limit fell to 100 a second", got)
	}
	if changes := l.SetLimits(nil, now); len(changes) != 2 || changes[0].Now != nil {
		t.Errorf("changes %+v", changes)
	}
	if !l.Admit("o0", tokens(1<<20), now.Add(2*time.Second)).Admitted {
		t.Error("refused without a limit")
	}
}

// tell lets one limiter tell others with what it has untold.
func tell(from *Limiter, name string, now time.Time, to ...*Limiter) {
	w := Word{Host: name, Incarnation: 1, Routing: true, Uses: from.Changes(now)}
	for _, l := range to {
		l.Heard(w, now)
	}
}

// TestHostsCountTogether: what one host let in stands against the limit on the other one.
// A lost word is made up for by the next.
func TestHostsCountTogether(t *testing.T) {
	a, now := limited(t, 1000)
	b, _ := limited(t, 1000)
	all := fill(a, "o0", 10, now)
	a.Changes(now) // Lost on its way.
	a.Charge("o0", 1, now)
	tell(a, "a", now, b)
	if got := fill(b, "o0", 10, now); got > 20 {
		t.Errorf("%d tokens let in at the second host after %d at the first", got, all)
	}
}

// TestStartingHostIsToldWhatWasLetIn: a host that starts takes over how full the buckets
// are, and lets nothing in that the others would refuse; where nobody can tell, the burst
// counts as used up.
func TestStartingHostIsToldWhatWasLetIn(t *testing.T) {
	a, now := limited(t, 1000, 1000)
	fill(a, "o0", 10, now)
	a.Charge("o1", 10, now)
	b := NewLimiter(a.terms, testInterval, now)
	b.SetLimits(organisations(1000, 1000), now)
	if got := fill(b, "o1", 10, now); got > 30 {
		t.Errorf("%d tokens let in by a host that knows nothing yet", got)
	}
	tell(a, "a", now, b)
	now = now.Add(adoptFor)
	a.Charge("o1", 10, now)
	tell(a, "a", now, b)
	b.SetHosts(2, 2, false, now)
	if got := fill(b, "o0", 10, now); got > 700 {
		t.Errorf("%d tokens let in half a second after the bucket was full", got)
	}
	if got := fill(b, "o1", 10, now); got < 1500 {
		t.Errorf("%d tokens let in where next to nothing was used", got)
	}
}

// TestCutOffHostsKeepTheirShare: hosts that hear nobody let in no more together than the
// limit and the part of the tolerance that is meant for it.
func TestCutOffHostsKeepTheirShare(t *testing.T) {
	const hosts = 4
	sum := 0
	for range hosts {
		l, now := limited(t, 1000)
		l.SetHosts(hosts, 1, false, now)
		fill(l, "o0", 10, now)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			sum += fill(l, "o0", 10, now)
		}
	}
	if sum > 11000 || sum < 9000 {
		t.Errorf("%d tokens in ten seconds at 1,000 on %d hosts that do not hear each other", sum, hosts)
	}
}

// TestHostThatWasCutOffIsNotCountedTwice: the others left a silent host its share while
// it was silent; what it tells then of that time does not stand against the limit again.
func TestHostThatWasCutOffIsNotCountedTwice(t *testing.T) {
	a, now := limited(t, 1000)
	b, _ := limited(t, 1000)
	tell(b, "b", now, a)
	a.SetHosts(2, 2, false, now)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		b.Charge("o0", 200, now)
		a.SetHosts(2, 1, false, now)
		a.Admit("o0", tokens(200), now)
	}
	tell(b, "b", now, a)
	a.SetHosts(2, 2, false, now)
	if got := fill(a, "o0", 10, now); got < 1500 {
		t.Errorf("%d tokens of a burst of 2,000 for an organisation that kept below its rate", got)
	}
}

// TestFullBucketIsResentAfterPartition guards against a rejoining host admitting a full burst
// because the other hosts refuse all requests and have no new usage to send.
func TestFullBucketIsResentAfterPartition(t *testing.T) {
	a, now := limited(t, 1000)
	b, _ := limited(t, 1000)
	setHosts := func(heard float64) {
		a.SetHosts(2, heard, false, now)
		b.SetHosts(2, heard, false, now)
	}
	tell(a, "a", now, b)
	tell(b, "b", now, a)
	setHosts(2)
	now = now.Add(time.Second)
	setHosts(1)
	now = now.Add(10 * time.Second)
	setHosts(1)
	before := fill(a, "o0", 10, now)
	a.Changes(now) // This heartbeat is lost in the partition.
	tell(b, "b", now, a)
	tell(a, "a", now, b)
	setHosts(2)
	if got := fill(b, "o0", 10, now); before+got > 2500 {
		t.Errorf("both sides of a partition admitted %d tokens at once, want at most 2500 with a burst of 2000", before+got)
	}
}

// TestPausedHostCountsMissedUsage guards against a resumed host ignoring usage from during its
// pause when its unheard fraction is still zero.
func TestPausedHostCountsMissedUsage(t *testing.T) {
	a, now := limited(t, 1000)
	b, _ := limited(t, 1000)
	tell(a, "a", now, b)
	tell(b, "b", now, a)
	now = now.Add(2 * time.Second)
	fill(a, "o0", 10, now)
	tell(a, "a", now, b)
	if got := fill(b, "o0", 10, now); got > 20 {
		t.Errorf("admitted %d tokens with a full bucket, want at most 20", got)
	}
}

// TestStandbyHostIsToldTheFullest: a host on standby hears of the buckets that matter, in
// a bounded number.
func TestStandbyHostIsToldTheFullest(t *testing.T) {
	rates := make([]float64, 200)
	for i := range rates {
		rates[i] = 1000
	}
	a, now := limited(t, rates...)
	for i := range 50 {
		fill(a, fmt.Sprint("o", i), 100, now)
	}
	full := a.Full(now)
	if len(full) != maxFull {
		t.Fatalf("%d organisations told", len(full))
	}
	b, _ := limited(t, rates...)
	b.SetHosts(4, 4, true, now)
	b.Heard(Word{Host: "a", Uses: full}, now)
	refused := 0
	for i := range 50 {
		if !b.Admit(fmt.Sprint("o", i), tokens(1), now).Admitted {
			refused++
		}
	}
	if refused != maxFull {
		t.Errorf("%d organisations refused, want those told", refused)
	}
}

// TestStandbyHostOfAPartIsToldOfAPart: relays that hear half of the routing hosts refuse
// from half of a bucket on; the standby hosts that they tell must not let in the other half,
// since the hosts that are not heard do.
func TestStandbyHostOfAPartIsToldOfAPart(t *testing.T) {
	a, now := limited(t, 1000)
	a.SetHosts(8, 4, false, now)
	fill(a, "o0", 10, now)
	b, _ := limited(t, 1000)
	b.SetHosts(8, 8, true, now)
	b.Heard(Word{Host: "a", Uses: a.Full(now)}, now)
	if got := fill(b, "o0", 10, now); got > 0 {
		t.Errorf("%d tokens let in by a standby host whose relay refuses", got)
	}
}

// TestAdoptedLevelsDoNotGrow guards against hosts that start one after the other, each hearing a
// small part of the fleet, scaling the level that they adopt from each other again and again.
func TestAdoptedLevelsDoNotGrow(t *testing.T) {
	from, now := limited(t, 1000)
	fill(from, "o0", 10, now)
	for range 10 {
		from.SetHosts(64, 2, false, now)
		from.Charge("o0", 1, now)
		next := NewLimiter(from.terms, testInterval, now)
		next.SetLimits(organisations(1000), now)
		tell(from, "from", now, next)
		now = now.Add(adoptFor)
		next.SetHosts(64, 2, false, now)
		from = next
	}
	if level := from.Status(now)[0].Level; level > 3000 {
		t.Errorf("level %.0f after ten hosts adopted it, want at most 3000 with a burst of 2000", level)
	}
}

// TestHostThatTakesOverIsTold: a host on standby whose relays were lost is to route in
// their place. What they had told it has drained since, but the others went on. On a day of
// seven times the usual, with a third of all hosts cut off, four such hosts let in a whole
// burst each.
func TestHostThatTakesOverIsTold(t *testing.T) {
	a, now := limited(t, 1000)
	b, _ := limited(t, 1000)
	b.SetHosts(4, 4, true, now)
	fill(a, "o0", 10, now)
	b.Heard(Word{Host: "a", Uses: a.Full(now)}, now)
	for range 20 {
		now = now.Add(testInterval)
		b.SetHosts(4, 1, true, now)
	}
	a.Charge("o0", 3000, now)
	b.SetHosts(4, 2, false, now)
	if got := fill(b, "o0", 10, now); got > 50 {
		t.Errorf("%d tokens let in before anybody told the host", got)
	}
	tell(a, "a", now, b)
	now = now.Add(adoptFor)
	a.Charge("o0", 1, now)
	tell(a, "a", now, b)
	b.SetHosts(4, 4, false, now)
	if got := fill(b, "o0", 10, now); got > 0 {
		t.Errorf("%d tokens let in with a full bucket", got)
	}
}

// TestWhatIsToldIsBounded: 1,500 organisations at once are told in turn, the largest
// amounts first, and none is forgotten.
func TestWhatIsToldIsBounded(t *testing.T) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1000
	}
	l, now := limited(t, rates...)
	for i := range rates {
		l.Charge(fmt.Sprint("o", i), int64(1+i), now)
	}
	told := map[uint64]bool{}
	for first := true; l.Untold(); first = false {
		uses := l.Changes(now)
		if len(uses) > maxTold {
			t.Fatalf("%d organisations in one heartbeat", len(uses))
		}
		for _, u := range uses {
			told[u.Organisation] = true
			if first && u.Used <= 1500-maxTold {
				t.Errorf("%d tokens told in the first heartbeat", u.Used)
			}
		}
	}
	if len(told) != len(rates) {
		t.Errorf("%d organisations told", len(told))
	}
}

// TestEpisodes: one for each span of refusals, however many there are.
func TestEpisodes(t *testing.T) {
	l, now := limited(t, 1000)
	fill(l, "o0", 100, now)
	if d := l.Admit("o0", tokens(100), now); d.First {
		t.Error("a second refusal begins an episode")
	}
	if got := l.Ended(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("over after a second: %v", got)
	}
	if got := l.Ended(now.Add(3 * time.Second)); len(got) != 1 || got[0] != (Episode{"o0", 2}) {
		t.Errorf("episodes %v", got)
	}
	if s := l.Status(now); len(s) != 1 || s[0].Refused != 2 || s[0].Level < 2000 {
		t.Errorf("status %+v", s)
	}
}

// TestStormStaysItsOwn: one organisation sends 7.5 times its usual while fifteen others
// send theirs. Not one request of theirs is refused, as on a day without the storm, and
// what is let in of the storm keeps the bound. The figures are those of a fleet that
// limits organisations to 1.8 times what they usually send.
func TestStormStaysItsOwn(t *testing.T) {
	for _, times := range []float64{0.55, 7.5 * 0.55} {
		f := newFleet(nil, testTerms, 18, 3)
		f.loss = 0.01
		for i := range 16 {
			rate := max(47_000, 400_000/float64(i+1))
			usual := 0.55
			if i == 2 {
				usual = times
			}
			f.add(config.RateLimit{Unit: config.Tokens, PerSecond: rate, Burst: max(rate, 112_000)}, usual)
		}
		f.way = countsOf(f, false)
		f.settle()
		f.run(20 * time.Second)
		for i, o := range f.organisations {
			if i != 2 && o.wrongly > 0 {
				t.Errorf("%.1f times the limit: %d of %d tokens of %s refused", times, o.wrongly, o.owed, o.name)
			}
			if worst := f.worst(o); worst > 1 {
				t.Errorf("%.1f times the limit: %.2f of the bound of %s", times, worst, o.name)
			}
		}
	}
}

// BenchmarkRefusal is what a refused request costs a host with 1,500 organisations.
func BenchmarkRefusal(b *testing.B) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1
	}
	l, now := limited(b, rates...)
	fill(l, "o700", 1, now)
	for b.Loop() {
		if l.Admit("o700", tokens(1), now).Admitted {
			b.Fatal("let in")
		}
	}
}

// BenchmarkHeard is what a heartbeat costs that tells of forty organisations.
func BenchmarkHeard(b *testing.B) {
	rates := make([]float64, 1500)
	for i := range rates {
		rates[i] = 1000
	}
	l, now := limited(b, rates...)
	uses := make([]*pb.OrganisationUse, maxTold)
	for i := range uses {
		uses[i] = &pb.OrganisationUse{Organisation: key(fmt.Sprint("o", i))}
	}
	for i := 0; b.Loop(); i++ {
		for _, u := range uses {
			u.Used = int64(i)
		}
		l.Heard(Word{Host: "a", Routing: true, Uses: uses}, now)
	}
}
