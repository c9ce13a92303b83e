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

func testWorld() *world {
	return &world{config: newOperator(store.New()), seen: newRecord(), said: newNotices(), faults: &disturbances{}}
}

// ended returns a request of a kind that a host answered just now.
func ended(k *kind, status int, seal string) *sent {
	h := http.Header{}
	h.Set(wire.Seal, seal)
	h.Set(wire.Attempt, "r")
	now := time.Now()
	return &sent{id: "r", kind: k, key: "key-of-museum-a", from: now.Add(-time.Millisecond), to: now, answer: caller.Answer{Status: status, Header: h, Whole: true}}
}

func ran(w *world, server string) {
	h := http.Header{}
	h.Set(wire.Organisation, "museum-a")
	w.seen.ran(server, "r", h)
}

// TestBrokenPromisesAreSeen: each check finds what it is for.
func TestBrokenPromisesAreSeen(t *testing.T) {
	updates, notes := kinds[2], kinds[1]
	for want, do := range map[string]func(w *world){
		"ran 2 times": func(w *world) {
			ran(w, "i-1")
			ran(w, "i-2")
			w.seen.add(ended(updates, http.StatusBadGateway, ""))
		},
		"of museum-d ran in 4s": func(w *world) {
			h := http.Header{}
			h.Set(wire.Organisation, limitedOrganisation)
			for i := range 60 {
				w.seen.ran("i-1", fmt.Sprint("d-", i), h)
			}
		},
		"was answered 503 and ran": func(w *world) {
			ran(w, "i-1")
			w.seen.add(ended(updates, http.StatusServiceUnavailable, ""))
		},
		"which did not run it": func(w *world) { w.judge(ended(updates, http.StatusOK, "seal-of-i-1")) },
		"want \"answer of i-1": func(w *world) {
			ran(w, "i-1")
			w.judge(ended(updates, http.StatusOK, "seal-of-i-1"))
		},
		"ends as whole after event 0": func(w *world) {
			ran(w, "i-1")
			w.judge(ended(notes, http.StatusOK, "seal-of-i-1"))
		},
		"bears a server's seal": func(w *world) { w.judge(ended(updates, http.StatusServiceUnavailable, "seal-of-i-1")) },
		"though its key and route always held": func(w *world) {
			w.judge(ended(updates, http.StatusUnauthorized, ""))
		},
		"ran for organisation": func(w *world) {
			w.seen.ran("i-1", "r", http.Header{})
			w.seen.add(ended(updates, http.StatusBadGateway, ""))
		},
		"after that said it leaves": func(w *world) {
			s := ended(updates, http.StatusBadGateway, "")
			w.seen.left["i-1"] = s.from.Add(-2 * drainTime)
			ran(w, "i-1")
			w.seen.add(s)
		},
		"ran 4 times more, sent on by hosts in touch": func(w *world) {
			for i := range 2*poisonCrashes + 1 {
				s := ended(notes, http.StatusBadGateway, "")
				s.id, s.poison, s.host = fmt.Sprint("poison-", i), true, &host{id: "entry-0"}
				w.seen.runs[s.id] = []run{{server: fmt.Sprint("i-", i), organisation: "museum-a", at: s.to.Add(-touch)}}
				if i >= poisonCrashes {
					s.from = s.to.Add(time.Second)
					w.seen.runs[s.id][0].at = s.from
				}
				w.seen.add(s)
			}
		},
		"after an answer had told the host that the server leaves": func(w *world) {
			h := &host{id: "entry-0"}
			told, later := ended(updates, http.StatusOK, "seal-of-i-1"), ended(updates, http.StatusBadGateway, "")
			told.host, told.boot, told.to = h, 1, time.Now().Add(-2*drainTime)
			told.answer.Header.Set(wire.Leaving, "1")
			w.said.hear(told, "i-1")
			later.host, later.boot = h, 1
			ran(w, "i-1")
			w.seen.add(later)
		},
		"i-1 asked entry-0 to back off and got 3 requests": func(w *world) {
			h, now := &host{id: "entry-0"}, time.Now()
			for i := range backoffAllowed + 2 {
				s := ended(updates, http.StatusServiceUnavailable, "")
				s.id, s.host, s.boot = fmt.Sprint("backoff-", i), h, 1
				w.seen.add(s)
				at := now.Add(time.Duration(i) * 2 * backoffMargin)
				w.said.refusals = append(w.said.refusals, refusal{s.id, "i-1", at, now.Add(time.Minute)})
			}
		},
		"r of updates was denied": func(w *world) { w.judge(ended(updates, http.StatusBadRequest, "")) },
		"two holders": func(w *world) {
			w.seen.ordered("a", 1)
			w.seen.ordered("b", 1)
		},
		"was passed on and has no whole answer around a planned stop of entry-0: http": func(w *world) {
			ran(w, "i-1")
			s := ended(updates, 0, "")
			s.host, s.err = &host{id: "entry-0"}, http.ErrServerClosed
			w.judge(s)
		},
		"has no whole answer around a planned stop of entry-1": func(w *world) {
			ran(w, "i-1")
			s := ended(notes, http.StatusOK, "seal-of-i-1")
			s.host, s.answer.Whole = &host{id: "entry-1"}, false
			w.judge(s)
		},
	} {
		w := testWorld()
		do(w)
		w.judgeAll()
		if all := strings.Join(w.seen.broken, "\n"); !strings.Contains(all, want) {
			t.Errorf("want %q among what is broken: %q", want, all)
		}
	}
}

// TestRevokedKeys: refused in time, and never accepted again.
func TestRevokedKeys(t *testing.T) {
	w := testWorld()
	w.config.revoke()
	w.config.revoked["spare-key-1"] = time.Now().Add(-2 * applyTime)
	s := ended(kinds[2], http.StatusBadGateway, "")
	s.key, s.host, s.boot = "spare-key-1", &host{id: "entry-0"}, 1
	w.seen.denied["entry-0/1/spare-key-1"] = s.from.Add(-time.Millisecond)
	ran(w, "i-1")
	w.judge(s)
	if len(w.seen.broken) != 2 {
		t.Errorf("broken: %q", w.seen.broken)
	}
	// One that was sent before the refusal was known may still run.
	w = testWorld()
	w.config.revoke()
	w.seen.denied["entry-0/1/spare-key-1"] = s.from.Add(time.Nanosecond)
	ran(w, "i-1")
	w.judge(s)
	if len(w.seen.broken) != 0 {
		t.Errorf("broken: %q", w.seen.broken)
	}
}

// TestServersOwnFaultsAreExcused: an answer that its server cut is nobody else's.
func TestServersOwnFaultsAreExcused(t *testing.T) {
	w := testWorld()
	ran(w, "i-1")
	w.seen.spoils("r")
	s := ended(kinds[1], http.StatusOK, "seal-of-i-1")
	s.host, s.answer.Whole = &host{id: "entry-1"}, false
	w.judge(s)
	if len(w.seen.broken) != 0 {
		t.Errorf("broken: %q", w.seen.broken)
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
		if got := wrongStream(c.body, c.whole); (got != "") != c.wrong {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestDisturbancesExcuse what lies within them and shortly after.
func TestDisturbancesExcuse(t *testing.T) {
	ds := &disturbances{}
	a, b := &host{id: "a"}, &host{id: "b"}
	end := ds.begin("kill", a, false)
	end()
	now := time.Now()
	if ds.inTouch(a, now, now) || !ds.inTouch(b, now, now) || ds.inTouch(nil, now, now) {
		t.Error("just after a disturbance of one host")
	}
	if later := now.Add(touch + time.Millisecond); !ds.inTouch(a, later, later) {
		t.Error("still disturbed long after")
	}
}

// TestMalformedEntriesNameNoServer: none of them could be taken by a sound host, and
// what is sent to their address is seen.
func TestMalformedEntriesNameNoServer(t *testing.T) {
	for _, entry := range malformed {
		rec := platform.Record{Key: "stranger-1", Value: fmt.Appendf(nil, entry, "127.0.0.1:80")}
		if reg, err := platform.DecodeReplica(rec); err == nil {
			t.Errorf("%s names %+v", entry, reg)
		}
	}
	w := testWorld()
	tr, err := newTrap("127.0.0.1:0", w.seen)
	if err != nil {
		t.Fatal(err)
	}
	defer tr.http.Close()
	resp, err := http.Get("http://" + tr.address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(w.seen.broken) != 1 {
		t.Errorf("broken: %q", w.seen.broken)
	}
}

// TestSeries: a seed's series stays, and one of planned work alone has nothing else.
func TestSeries(t *testing.T) {
	const length = 5 * time.Second
	names := func(series []fault) (out []string) {
		for _, f := range series {
			out = append(out, fmt.Sprint(f.at, f.name))
		}
		return out
	}
	unplanned := func(f fault) bool { return !f.planned }
	alone := 0
	for seed := uint64(sizedSeeds); seed < sizedSeeds+20; seed++ {
		series := seriesOf(seed, sizeOf(seed), length)
		if !slices.Equal(names(series), names(seriesOf(seed, sizeOf(seed), length))) {
			t.Errorf("seed %d has two series", seed)
		}
		if !slices.ContainsFunc(series, unplanned) {
			alone++
		}
	}
	if alone == 0 || alone == 20 {
		t.Errorf("%d of 20 series are of planned work alone", alone)
	}
}
