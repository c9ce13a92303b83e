package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
	"github.com/briarlink/briarlink/test/standin/wire"
)

func testFixture() *fixture {
	return &fixture{operator: newOperator(store.New()), observed: newObservations(), notices: newNotices(), faults: &disturbances{}}
}

// ended returns a request of a kind that was answered just now.
func ended(k *kind, status int, seal string) *request {
	h := http.Header{}
	h.Set(wire.Seal, seal)
	h.Set(wire.Attempt, "r")
	now := time.Now()
	return &request{id: "r", kind: k, key: "key-of-museum-a", from: now.Add(-time.Millisecond), to: now, answer: caller.Answer{Status: status, Header: h, Whole: true}}
}

func recordTestRun(fx *fixture, server string) {
	h := http.Header{}
	h.Set(wire.Organisation, "museum-a")
	fx.observed.recordRun(server, "r", h)
}

// TestViolationsAreDetected guards against checks that detect nothing: for each check it
// sets up a violation and expects it to be reported.
func TestViolationsAreDetected(t *testing.T) {
	updates, notes := kinds[2], kinds[1]
	for want, do := range map[string]func(fx *fixture){
		"ran 2 times": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			recordTestRun(fx, "i-2")
			fx.observed.add(ended(updates, http.StatusBadGateway, ""))
		},
		"of museum-d ran in 4s": func(fx *fixture) {
			h := http.Header{}
			h.Set(wire.Organisation, limitedOrganisation)
			for i := range 60 {
				fx.observed.recordRun("i-1", fmt.Sprint("d-", i), h)
			}
		},
		"was answered 503 and ran": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			fx.observed.add(ended(updates, http.StatusServiceUnavailable, ""))
		},
		"which takes 2 requests a second, got 18": func(fx *fixture) {
			h := &host{id: "entry-0", ip: "127.0.60.10"}
			fx.hosts = []*host{h}
			now := time.Now()
			fx.requestLimits.spans = []limitSpan{{"i-1", 2, now.Add(-time.Minute), now.Add(time.Minute)}}
			told := ended(notes, http.StatusOK, "seal-of-i-1")
			told.answer.Address, told.to = h.caller(), now.Add(-time.Second)
			told.answer.Header.Set(wire.RequestLimit, "2")
			fx.observed.add(told)
			for range 18 {
				recordTestRun(fx, "i-1")
			}
		},
		"which did not run it": func(fx *fixture) { fx.check(ended(updates, http.StatusOK, "seal-of-i-1")) },
		"want \"answer of i-1": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			fx.check(ended(updates, http.StatusOK, "seal-of-i-1"))
		},
		"ends as complete after event 0": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			fx.check(ended(notes, http.StatusOK, "seal-of-i-1"))
		},
		"bears a server's seal": func(fx *fixture) { fx.check(ended(updates, http.StatusServiceUnavailable, "seal-of-i-1")) },
		"though its key and route were always in force": func(fx *fixture) {
			fx.check(ended(updates, http.StatusUnauthorized, ""))
		},
		"ran for organisation": func(fx *fixture) {
			fx.observed.recordRun("i-1", "r", http.Header{})
			fx.observed.add(ended(updates, http.StatusBadGateway, ""))
		},
		"after its leave notice": func(fx *fixture) {
			s := ended(updates, http.StatusBadGateway, "")
			fx.observed.leavingSince["i-1"] = s.from.Add(-2 * drainTime)
			recordTestRun(fx, "i-1")
			fx.observed.add(s)
		},
		"ran 4 times more, forwarded by undisturbed hosts": func(fx *fixture) {
			for i := range 2*poisonCrashes + 1 {
				s := ended(notes, http.StatusBadGateway, "")
				s.id, s.poison, s.host = fmt.Sprint("poison-", i), true, &host{id: "entry-0"}
				fx.observed.runs[s.id] = []run{{server: fmt.Sprint("i-", i), organisation: "museum-a", at: s.to.Add(-recoveryTime)}}
				if i >= poisonCrashes {
					s.from = s.to.Add(time.Second)
					fx.observed.runs[s.id][0].at = s.from
				}
				fx.observed.add(s)
			}
		},
		"after an answer had given the host the server's leave notice": func(fx *fixture) {
			h := &host{id: "entry-0"}
			notice, later := ended(updates, http.StatusOK, "seal-of-i-1"), ended(updates, http.StatusBadGateway, "")
			notice.host, notice.incarnation, notice.to = h, 1, time.Now().Add(-2*drainTime)
			notice.answer.Header.Set(wire.Leaving, "1")
			fx.notices.recordAnswer(notice, "i-1")
			later.host, later.incarnation = h, 1
			recordTestRun(fx, "i-1")
			fx.observed.add(later)
		},
		"i-1 asked entry-0 to back off and received 3 requests": func(fx *fixture) {
			h, now := &host{id: "entry-0"}, time.Now()
			for i := range backoffAllowed + 2 {
				s := ended(updates, http.StatusServiceUnavailable, "")
				s.id, s.host, s.incarnation = fmt.Sprint("backoff-", i), h, 1
				fx.observed.add(s)
				at := now.Add(time.Duration(i) * 2 * backoffMargin)
				fx.notices.rejections = append(fx.notices.rejections, rejection{s.id, "i-1", at, now.Add(time.Minute)})
			}
		},
		"r of updates was denied": func(fx *fixture) { fx.check(ended(updates, http.StatusBadRequest, "")) },
		"two holders": func(fx *fixture) {
			fx.observed.recordCommand("a", 1)
			fx.observed.recordCommand("b", 1)
		},
		"was forwarded and has no complete answer around a planned stop of entry-0: http": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			s := ended(updates, 0, "")
			s.host, s.err = &host{id: "entry-0"}, http.ErrServerClosed
			fx.check(s)
		},
		"has no complete answer around a planned stop of entry-1": func(fx *fixture) {
			recordTestRun(fx, "i-1")
			s := ended(notes, http.StatusOK, "seal-of-i-1")
			s.host, s.answer.Whole = &host{id: "entry-1"}, false
			fx.check(s)
		},
	} {
		fx := testFixture()
		do(fx)
		fx.checkAll()
		if all := strings.Join(fx.observed.violations, "\n"); !strings.Contains(all, want) {
			t.Errorf("want %q among the violations: %q", want, all)
		}
	}
}

// TestRevokedKeys checks that a run with a revoked key counts both as too late and as
// accepted again after a refusal.
func TestRevokedKeys(t *testing.T) {
	fx := testFixture()
	fx.operator.revoke()
	fx.operator.revoked["spare-key-1"] = time.Now().Add(-2 * applyTime)
	s := ended(kinds[2], http.StatusBadGateway, "")
	s.key, s.host, s.incarnation = "spare-key-1", &host{id: "entry-0"}, 1
	fx.observed.denied["entry-0/1/spare-key-1"] = s.from.Add(-time.Millisecond)
	recordTestRun(fx, "i-1")
	fx.check(s)
	if len(fx.observed.violations) != 2 {
		t.Errorf("violations: %q", fx.observed.violations)
	}
	// A request that was sent before the first refusal may still run.
	fx = testFixture()
	fx.operator.revoke()
	fx.observed.denied["entry-0/1/spare-key-1"] = s.from.Add(time.Nanosecond)
	recordTestRun(fx, "i-1")
	fx.check(s)
	if len(fx.observed.violations) != 0 {
		t.Errorf("violations: %q", fx.observed.violations)
	}
}

// TestServersOwnFaultsAreExcused: an answer that its server cut off must not count against
// the host.
func TestServersOwnFaultsAreExcused(t *testing.T) {
	fx := testFixture()
	recordTestRun(fx, "i-1")
	fx.observed.recordServerFault("r")
	s := ended(kinds[1], http.StatusOK, "seal-of-i-1")
	s.host, s.answer.Whole = &host{id: "entry-1"}, false
	fx.check(s)
	if len(fx.observed.violations) != 0 {
		t.Errorf("violations: %q", fx.observed.violations)
	}
}

func TestStreams(t *testing.T) {
	var all strings.Builder
	for n := 1; n <= streamEvents; n++ {
		all.WriteString(engine.EventText(n))
	}
	for name, c := range map[string]struct {
		body  string
		whole bool
		wrong bool
	}{
		"whole":         {all.String(), true, false},
		"cut":           {engine.EventText(1), false, false},
		"cut and whole": {engine.EventText(1), true, true},
		"missing":       {engine.EventText(1) + engine.EventText(3), false, true},
		"twice":         {engine.EventText(1) + engine.EventText(1), false, true},
		"half an event": {engine.EventText(1) + "id: 2\n", false, true},
	} {
		if got := wrongStream(c.body, c.whole, streamEvents); (got != "") != c.wrong {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestDisturbancesExcuse checks that a disturbance of a host excuses that host, during the
// disturbance and for recoveryTime after it.
func TestDisturbancesExcuse(t *testing.T) {
	ds := &disturbances{}
	a, b := &host{id: "a"}, &host{id: "b"}
	end := ds.begin("kill", a, false)
	end()
	now := time.Now()
	if ds.undisturbed(a, now, now) || !ds.undisturbed(b, now, now) || ds.undisturbed(nil, now, now) {
		t.Error("just after a disturbance of one host")
	}
	if later := now.Add(recoveryTime + time.Millisecond); !ds.undisturbed(a, later, later) {
		t.Error("still disturbed long after")
	}
}

// TestMalformedEntriesNameNoServer checks that no malformed entry decodes as a server, and
// that the trap reports a request to the address in them.
func TestMalformedEntriesNameNoServer(t *testing.T) {
	for _, entry := range malformed {
		rec := platform.Record{Key: "stranger-1", Value: fmt.Appendf(nil, entry, "127.0.0.1:80")}
		if reg, err := platform.DecodeReplica(rec); err == nil {
			t.Errorf("%s names %+v", entry, reg)
		}
	}
	fx := testFixture()
	tr, err := newTrap("127.0.0.1:0", fx.observed)
	if err != nil {
		t.Fatal(err)
	}
	defer tr.http.Close()
	resp, err := http.Get("http://" + tr.address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(fx.observed.violations) != 1 {
		t.Errorf("violations: %q", fx.observed.violations)
	}
}

// TestSeries checks that a seed always gives the same series, and that some series, but not
// all, consist of planned work alone.
func TestSeries(t *testing.T) {
	const length = 5 * time.Second
	names := func(series []fault) (out []string) {
		for _, f := range series {
			out = append(out, fmt.Sprint(f.at, f.name))
		}
		return out
	}
	unplanned := func(f fault) bool { return !f.planned }
	plannedSeries := 0
	for seed := uint64(mixedSeeds); seed < mixedSeeds+20; seed++ {
		series := seriesOf(seed, sizeOf(seed), length)
		if !slices.Equal(names(series), names(seriesOf(seed, sizeOf(seed), length))) {
			t.Errorf("seed %d has two series", seed)
		}
		if !slices.ContainsFunc(series, unplanned) {
			plannedSeries++
		}
	}
	if plannedSeries == 0 || plannedSeries == 20 {
		t.Errorf("%d of 20 series are of planned work alone", plannedSeries)
	}
}

// TestLastDisturbance guards against a release that is called undecided while a fault lasts, and against
// one that is never called so because servers crash under requests until the end.
func TestLastDisturbance(t *testing.T) {
	var ds disturbances
	now := time.Now()
	if got := ds.lastEnd(now); !got.IsZero() {
		t.Errorf("no disturbance, and the last ended at %v", got)
	}
	end := ds.begin("store", nil, false)
	ds.begin(crashWhileRunning, nil, false)
	if got := ds.lastEnd(now); got != now {
		t.Errorf("a disturbance that lasts ended at %v, want %v", got, now)
	}
	end()
	if got := ds.lastEnd(now.Add(time.Hour)); got.Before(now) || got.After(time.Now()) {
		t.Errorf("the last disturbance ended at %v, want %v", got, now)
	}
}
