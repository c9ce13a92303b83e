package quarantine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	_ "github.com/briarlink/briarlink/test/fixedseed"
)

// start is the beginning of the simulated time.
var start = time.Unix(1_000_000, 0)

const poison, innocent = Digest(1), Digest(2)

// running returns the fingerprints of requests without prefix blocks.
func running(requests ...Digest) []Fingerprint {
	var out []Fingerprint
	for _, d := range requests {
		out = append(out, Fingerprint{Request: d})
	}
	return out
}

// Refused returns the number of crashes attributed to a request if it is refused, or else 0.
func (t *Table) Refused(d Digest, now time.Time) int {
	refusal, _ := t.Check(Fingerprint{Request: d}, now)
	return refusal.Crashes
}

func newTable() *Table {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewTable(log, start.Add(-warmUp))
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestCrashesSeenByDifferentHostsAdd checks that crashes add up if each of three hosts has
// observed one of them, and that the end of one server counts once, however many hosts and
// attempts observed it.
func TestCrashesSeenByDifferentHostsAdd(t *testing.T) {
	hosts := []*Table{newTable(), newTable(), newTable()}
	for i, h := range hosts {
		h.Crashed(Server(10+i), running(poison), at(float64(i)), at(float64(i)))
		h.Crashed(Server(10), running(poison), at(float64(i)), at(float64(i)))
		if n := h.Refused(poison, at(3)); n != 0 {
			t.Fatalf("refused after the crashes that one host observed: %d", n)
		}
	}
	for _, from := range hosts {
		reports := from.Changes(at(3), false)
		for _, to := range hosts {
			to.ApplyReport(reports, at(3))
		}
	}
	for i, h := range hosts {
		if n := h.Refused(poison, at(3)); n != 3 {
			t.Errorf("host %d attributes %d crashes to the request, want 3", i, n)
		}
	}
}

// TestRequestsRunningWithAPoisonRequestAreServed checks requests that were running, maybe
// repeatedly, beside a poison request when servers crashed. An answer to such a request
// clears it on every host, and crashes that the poison request explains do not count against
// it.
func TestRequestsRunningWithAPoisonRequestAreServed(t *testing.T) {
	a, b := newTable(), newTable()
	for i := range 3 {
		a.Crashed(Server(10+i), running(poison, innocent), at(float64(i)), at(float64(i)))
	}
	if a.Refused(poison, at(3)) == 0 {
		t.Error("the poison request is admitted")
	}
	b.ApplyReport(a.Changes(at(3), true), at(3))
	a.Answered(Fingerprint{Request: innocent}, at(4), at(4))
	if a.Refused(innocent, at(4)) != 0 {
		t.Error("a request that was answered is refused")
	}
	b.ApplyReport(a.Changes(at(4), true), at(4))
	if b.Refused(innocent, at(4)) != 0 || b.Refused(poison, at(4)) == 0 {
		t.Error("the report of an answer changed nothing, or too much")
	}
	c := newTable()
	for i := range 4 {
		c.Crashed(Server(10+i), running(poison), at(float64(i)), at(float64(i)))
	}
	c.Crashed(Server(10), running(innocent), at(5), at(5))
	c.Crashed(Server(11), running(innocent), at(5), at(5))
	c.Crashed(Server(12), running(innocent), at(5), at(5))
	if c.Refused(innocent, at(5)) != 0 {
		t.Error("a request is refused for crashes that another one explains")
	}
}

// TestRefusalExpires checks that a request is served again ten minutes after its last crash,
// as the request or its servers may have been fixed, and that one more crash refuses it
// again.
func TestRefusalExpires(t *testing.T) {
	table := newTable()
	for i := range 3 {
		table.Crashed(Server(10+i), running(poison), at(float64(i)), at(float64(i)))
	}
	later := at(2).Add(refusalDuration)
	if table.Refused(poison, later.Add(-time.Millisecond)) == 0 || table.Refused(poison, later) != 0 {
		t.Error("not refused for refusalDuration after the last crash")
	}
	table.Crashed(Server(20), running(poison), later, later)
	if table.Refused(poison, later) == 0 {
		t.Error("admitted after another crash")
	}
	table.Expire(later.Add(crashRetention))
	if len(table.records) != 0 {
		t.Error("not dropped after crashRetention")
	}
}

// TestStartedHostReceivesRefusals checks that a host that starts without records receives
// every refused request within a second of heartbeats, however many other crashes are
// recent.
func TestStartedHostReceivesRefusals(t *testing.T) {
	informed, started := newTable(), newTable()
	const refused = 8
	for d := range Digest(refused) {
		for i := range 3 {
			informed.Crashed(Server(100*uint64(d)+uint64(i)+1), running(d+1, 1000+d*10+Digest(i)), at(float64(i)), at(float64(i)))
		}
	}
	now := at(60)
	for range 7 {
		now = now.Add(150 * time.Millisecond)
		started.ApplyReport(informed.Changes(now, true), now)
	}
	if n, _ := started.Count(now); n != refused {
		t.Errorf("%d of %d refused requests received", n, refused)
	}
}

// TestMemoryIsBounded checks the limits of the table, and that the requests with the most
// crashes outlast the others.
func TestMemoryIsBounded(t *testing.T) {
	table := newTable()
	for i := range 2 * maxPerRecord {
		table.Crashed(Server(1+i), running(poison), at(float64(i)), at(float64(i)))
	}
	for i := range 3 * maxRecords {
		table.Crashed(Server(1000+i), running(Digest(100+i)), at(20+float64(i)/1000), at(20+float64(i)/1000))
	}
	if len(table.records) > maxRecords || len(table.records[poison].crashes) > maxPerRecord {
		t.Errorf("%d requests, %d crashes of one", len(table.records), len(table.records[poison].crashes))
	}
	if table.Refused(poison, at(30)) == 0 {
		t.Error("the request with the most crashes was dropped")
	}
}

// maxConsecutiveLosses is how many heartbeats in a row may be lost between two hosts.
const maxConsecutiveLosses = 4

// TestHostsConvergeDespiteLostHeartbeats simulates crashes and answers on several hosts,
// with up to four heartbeats in a row lost between two hosts. A second after the last of
// them, every host refuses the requests that all crashes together give reason to refuse, and
// none that was answered since.
func TestHostsConvergeDespiteLostHeartbeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*Table, rapid.IntRange(2, 6).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = newTable()
		}
		now := start
		lost := map[[2]int]int{}
		delivered := func(from, to int) bool {
			link := [2]int{from, to}
			if lost[link] < maxConsecutiveLosses && rapid.IntRange(0, 4).Draw(t, "loss") > 2 {
				lost[link]++
				return false
			}
			lost[link] = 0
			return true
		}
		exchange := func(lossy bool) {
			now = now.Add(150 * time.Millisecond)
			for i, from := range hosts {
				reports := from.Changes(now, true)
				for j, to := range hosts {
					if i != j && (!lossy || delivered(i, j)) {
						to.ApplyReport(reports, now)
					}
				}
			}
		}
		crashes, answered := map[Digest][]time.Time{}, map[Digest]bool{}
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			host := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			d := Digest(rapid.IntRange(1, 3).Draw(t, "request"))
			if rapid.IntRange(0, 6).Draw(t, "what") == 6 {
				// An answer clears the crashes that its host has received.
				for range 7 {
					exchange(false)
				}
				hosts[host].Answered(Fingerprint{Request: d}, now, now)
				crashes[d], answered[d] = nil, true
			} else {
				hosts[host].Crashed(Server(1+n), running(d), now, now)
				crashes[d] = append(crashes[d], now)
			}
			exchange(true)
		}
		for range 7 {
			exchange(true)
		}
		for i, h := range hosts {
			for d, times := range crashes {
				// Crashes of one moment may be an outage, where the request was answered before.
				n := len(times)
				if answered[d] {
					n = countSeparate(times)
				}
				if refused := h.Refused(d, now) > 0; refused != (n >= maxCrashes) {
					t.Fatalf("host %d refuses request %d: %v after crashes at %v, answered before: %v", i, d, refused, times, answered[d])
				}
			}
		}
	})
}

// countSeparate returns the number of crashes that are at least episodeLength after the one counted before.
func countSeparate(times []time.Time) int {
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= episodeLength {
			n, last = n+1, at
		}
	}
	return n
}

// TestOutageDeniesNoAnsweredRequest guards against sound requests that are denied on all hosts because several
// servers that ran them ended at once: a popular request runs on many servers at a time. Requests that were never
// answered, and those that crash servers again and again, are denied from the third crash on.
func TestOutageDeniesNoAnsweredRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*Table, rapid.IntRange(1, 9).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = newTable()
			hosts[i].Answered(Fingerprint{Request: innocent}, at(0), at(0))
		}
		ended := rapid.IntRange(maxCrashes, 40).Draw(t, "servers")
		pick := func(what string) *Table { return hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, what)] }
		now := at(1)
		for i := range ended {
			crashed := at(1).Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "later")) * time.Millisecond)
			pick("sees").Crashed(Server(10+i), running(innocent), crashed, now)
			pick("hears").ApplyReport(pick("reports").Changes(now, rapid.Bool().Draw(t, "round")), now)
			for i, h := range hosts {
				if n := h.Refused(innocent, now); n > 0 {
					t.Fatalf("host %d denies an answered request after %d of %d servers ended at once", i, n, ended)
				}
			}
		}
		for _, from := range hosts {
			for _, to := range hosts {
				to.ApplyReport(from.Changes(now, true), now)
			}
		}
		// Hosts that start have the crashes from the store and from the others.
		started := newTable()
		for _, from := range hosts {
			started.Load(from.storeRecord(innocent), now)
			started.ApplyReport(from.Changes(now, true), now)
		}
		if n := started.Refused(innocent, now); n > 0 {
			t.Fatalf("a started host denies it after %d crashes", n)
		}
		for i := range maxCrashes {
			now = now.Add(episodeLength)
			hosts[0].Crashed(Server(1000+i), running(innocent), now, now)
		}
		if hosts[0].Refused(innocent, now) == 0 {
			t.Fatal("a request that goes on crashing servers is not denied")
		}
	})
}

func BenchmarkRefused(b *testing.B) {
	table := newTable()
	for i := range maxRecords {
		table.Crashed(Server(1+i), running(Digest(1+i)), start, start)
	}
	for b.Loop() {
		table.Refused(Digest(1), start)
	}
}

func BenchmarkApplyReport(b *testing.B) {
	from, to := newTable(), newTable()
	for i := range maxUpdates {
		from.Crashed(Server(1), running(Digest(1+i)), start, start)
	}
	reports := from.Changes(start, true)
	if len(reports) != maxUpdates {
		b.Fatalf("%d reported", len(reports))
	}
	for b.Loop() {
		to.ApplyReport(reports, start)
	}
}

// BenchmarkCheckRefusedBlock measures the denial of a request while the table is full.
func BenchmarkCheckRefusedBlock(b *testing.B) {
	table := newTable()
	crashSeparately(table, 7, maxPerRecord)
	for i := range maxRecords {
		table.Crashed(Server(1000+i), running(Digest(1000+i)), start, start)
	}
	request := Fingerprint{Request: innocent, Blocks: []Digest{6, 7}}
	for b.Loop() {
		if _, refused := table.Check(request, at(10)); !refused {
			b.Fatal("not refused")
		}
	}
}

// BenchmarkAnswered measures an answer to a request with four blocks, none of which is suspected.
func BenchmarkAnswered(b *testing.B) {
	table := newTable()
	request := Fingerprint{Request: innocent, Blocks: []Digest{3, 4, 5, 6}}
	for b.Loop() {
		table.Answered(request, start, start)
	}
}

// TestBlockBesideThePoisonBlockIsServed guards against the refusal of a block that is not answered for
// seconds, as it runs beside a poison block each time and servers end for other reasons too: 17 requests
// in soak seed 5515, with a fleet on an overloaded machine.
func TestBlockBesideThePoisonBlockIsServed(t *testing.T) {
	const poisonBlock, beside = Digest(7), Digest(8)
	table := newTable()
	for i := range 14 {
		blocks := []Digest{poisonBlock}
		if i%2 == 0 {
			blocks = append(blocks, beside)
		}
		table.Crashed(Server(10+i), []Fingerprint{{Request: Digest(100 + i), Blocks: blocks}}, at(float64(i)), at(float64(i)))
	}
	for i := range 2 {
		table.Crashed(Server(50+i), []Fingerprint{{Request: Digest(200 + i), Blocks: []Digest{beside}}}, at(20+float64(i)), at(20+float64(i)))
	}
	if !refusesBlock(table, poisonBlock, at(30)) || refusesBlock(table, beside, at(30)) {
		t.Error("the poison block is not refused, or the block beside it is")
	}
}

// TestPlainAnswersDoNotProveBlocks guards against the refusal of a harmless block while engines crash one after
// the other and plain servers answer: 10 requests in soak seed 8001.
func TestPlainAnswersDoNotProveBlocks(t *testing.T) {
	const block = Digest(7)
	for _, prompts := range []bool{false, true} {
		table := newTable()
		table.started = start
		for i := range warmUpAnswers {
			table.Answered(Fingerprint{Request: Digest(1000 + i), Prompt: prompts}, at(0.1), at(0.1))
		}
		for i := range minBlockEpisodes {
			table.Crashed(Server(10+i), []Fingerprint{{Request: Digest(100 + i), Blocks: []Digest{block}}}, at(float64(1+i)), at(float64(1+i)))
		}
		if refused := refusesBlock(table, block, at(6)); refused != prompts {
			t.Errorf("answers to prompts: %v, refused: %v", prompts, refused)
		}
	}
}

// TestRefusedRequestIsNotLetInForABlock guards against a poison request that is admitted again because a block of
// requests that ran beside it has more crashes: two more servers crashed in soak seed 8001.
func TestRefusedRequestIsNotLetInForABlock(t *testing.T) {
	const block = Digest(7)
	table := newTable()
	table.Answered(Fingerprint{Request: innocent, Blocks: []Digest{block}}, at(0), at(0))
	for i := range minBlockEpisodes {
		crashed := []Fingerprint{{Request: Digest(100 + i), Blocks: []Digest{block}}}
		if i < maxCrashes {
			crashed = append(crashed, Fingerprint{Request: poison})
		}
		table.Crashed(Server(10+i), crashed, at(float64(1+i)), at(float64(1+i)))
	}
	if table.Refused(poison, at(6)) == 0 || refusesBlock(table, block, at(6)) {
		t.Error("the poison request is let in, or the block is refused")
	}
}
