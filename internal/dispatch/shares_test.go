package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/config"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/fairshare"
	"github.com/briarlink/briarlink/internal/route"
	"github.com/briarlink/briarlink/internal/schedule"
	"github.com/briarlink/briarlink/internal/upstream"
)

// shareFleet returns a dispatcher that shares capacity, and a function that runs a request with a body
// of an organisation.
func shareFleet(plan ...behaviour) (*Dispatcher, func(organisation, body string, forwarded bool) (Report, error)) {
	f := &fleet{plan: plan, ranAt: map[string]bool{}}
	d, _ := newDispatcher(f)
	d.Shares = fairshare.NewTable(1)
	return d, func(organisation, body string, forwarded bool) (Report, error) {
		// Scripted replicas close their connections after one answer.
		d.pool = upstream.NewPool()
		d.pool.Dial = f.dial
		req := idempotent()
		req.Organisation, req.Body, req.Forwarded = &config.Organisation{Name: organisation}, []byte(body), forwarded
		req.Deadline = time.Now().Add(3 * time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
		defer cancel()
		return d.Run(ctx, req, &recorder{})
	}
}

// TestEnginesAreNotShared guards against shares by cost at model engines, which refuse short requests
// because long ones find no room.
func TestEnginesAreNotShared(t *testing.T) {
	r := &run{d: &Dispatcher{Shares: fairshare.NewTable(1)}, req: testRequest(config.Streaming, true, 2)}
	if r.shares() == nil {
		t.Error("a plain service is not shared")
	}
	r.req.Service = &config.Service{Name: testService, Engine: &config.Engine{}}
	if r.shares() != nil {
		t.Error("engines are shared")
	}
}

// TestRejectedRequestIsOverloaded guards against refusals that name no time to come back at which
// capacity is expected, and against a service that is not found short when servers reject a request.
func TestRejectedRequestIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, run := shareFleet(refuses, refuses, refuses, refuses, refuses)
		report, err := run("a", "x", false)
		retry := errkind.From(err).Retry()
		if !errkind.Is(err, errkind.Overloaded) || errkind.From(err).Kind.Answer().Status != http.StatusServiceUnavailable || report.Ran > 0 || report.Shortage != ShortageServers {
			t.Errorf("%v, %+v", err, report)
		}
		if retry < 200*time.Millisecond || retry > time.Second {
			t.Errorf("asked back after %v", retry)
		}
		if s := d.Shares.TakeStatuses(time.Now()); len(s) != 1 || !s[0].Short || s[0].Refused != 1 {
			t.Errorf("%+v", s)
		}
		time.Sleep(retry)
		if report, err := run("a", "x", false); err != nil || !report.Returned {
			t.Errorf("back: %v, %+v", err, report)
		}
	})
}

// TestOrganisationAboveItsShareIsRefusedUnsent guards against requests that reach a server before their
// organisation's share is looked at, against shares that refuse others, and against a request that two
// hosts decide on.
func TestOrganisationAboveItsShareIsRefusedUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, run := shareFleet()
		refused := 0
		for range 500 {
			d.Shares.Arrived(fairshare.Request{Service: testService, Organisation: "many", Cost: 1}, time.Now())
		}
		for i := range 30 {
			time.Sleep(30 * time.Millisecond)
			if i%6 == 0 {
				d.Shares.MarkShort(testService, time.Now())
				if _, err := run("few", "x", false); err != nil {
					t.Errorf("an organisation below its share: %v", err)
				}
			}
			report, err := run("many", "x"+string(rune('0'+i)), i%2 == 1)
			switch {
			case err == nil:
			case i%2 == 1:
				t.Errorf("a request that was passed on: %v", err)
			case !errkind.Is(err, errkind.Overloaded) || report.Sends > 0 || report.Shortage != ShortageShare:
				t.Errorf("%v, %+v", err, report)
			default:
				refused++
			}
		}
		if refused == 0 {
			t.Error("nothing was refused")
		}
	})
}

// TestShortDeadlineIsNoShortage guards against callers that make a service look short of capacity by
// asking for answers sooner than any server gives them.
func TestShortDeadlineIsNoShortage(t *testing.T) {
	for _, alone := range []time.Duration{time.Millisecond, time.Second} {
		r := &run{d: &Dispatcher{Shares: fairshare.NewTable(1)}, req: testRequest(config.Streaming, true, 2)}
		if err := r.admit(&schedule.Choice{Decision: route.Decision{Expected: 2 * time.Second, ServiceTime: alone}}, time.Now()); err == nil {
			t.Error("admitted")
		}
		s := r.d.Shares.TakeStatuses(time.Now())
		if short := len(s) > 0 && s[0].Short; short != (alone == time.Millisecond) {
			t.Errorf("alone %v: short %v", alone, short)
		}
	}
}

// TestReturnedRequestMayBeLate guards against a caller that comes back only to be refused for a latency
// target, although its deadline allows for an answer.
func TestReturnedRequestMayBeLate(t *testing.T) {
	for _, returned := range []bool{false, true} {
		r := &run{d: &Dispatcher{Shares: fairshare.NewTable(1)}, req: testRequest(config.Streaming, true, 2)}
		r.report.Returned = returned
		err := r.admit(&schedule.Choice{Decision: route.Decision{Expected: 2 * time.Second, ServiceTime: time.Millisecond}}, time.Now())
		if admitted := err == nil; admitted != returned {
			t.Errorf("returned %v: %v", returned, err)
		}
	}
}

// TestRequestBelowItsShareWaitsForRoom guards against requests that are refused although a server has room
// a moment later, also if they must not be repeated, and against waits without the setting.
func TestRequestBelowItsShareWaitsForRoom(t *testing.T) {
	for _, kind := range []config.Kind{config.Idempotent, config.NonIdempotent} {
		for _, on := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{plan: []behaviour{refuses, refuses, refuses, refuses}, ranAt: map[string]bool{}}
				d, _ := newDispatcher(f)
				if on {
					d.Shares = fairshare.NewTable(1)
				}
				req := testRequest(kind, false, 1)
				report, err := d.Run(t.Context(), req, &recorder{})
				waited := report.WaitedForRoom
				if on != (err == nil && f.runs == 1 && waited > 0 && waited <= req.Route.LatencyTarget) || !on && waited+time.Since(req.Deadline.Add(-5*time.Second)) > 0 {
					t.Errorf("%v, on %v: %v, waited %v, %d runs", kind, on, err, waited, f.runs)
				}
			})
		}
	}
}

// TestWaitForRoomEnds guards against requests that wait after their caller has left, after a server may
// have run them, or after this host was cut off, and that keep the places of others.
func TestWaitForRoomEnds(t *testing.T) {
	full := []behaviour{refuses, refuses, refuses, refuses, refuses, refuses, refuses, refuses}
	for what, plan := range map[string][]behaviour{"left": full, "cut off": full, "ran": append([]behaviour{cutsBefore}, full...)} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{plan: plan, ranAt: map[string]bool{}}
			d, _ := newDispatcher(f)
			d.Shares = fairshare.NewTable(1)
			began := time.Now()
			const leaves = time.Millisecond
			d.IsCutOff = func(string) bool { return what == "cut off" && time.Since(began) > leaves }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if what == "left" {
				time.AfterFunc(leaves, cancel)
			}
			report, err := d.Run(ctx, idempotent(), &recorder{})
			want := map[string]errkind.Kind{"left": errkind.CallerGone, "cut off": errkind.NoBackend, "ran": errkind.BackendLost}[what]
			longest := map[string]time.Duration{"left": leaves, "cut off": 100 * time.Millisecond}[what]
			if !errkind.Is(err, want) || report.WaitedForRoom > longest || (longest > 0) != (report.WaitedForRoom > 0) {
				t.Errorf("%s: %v, waited %v", what, err, report.WaitedForRoom)
			}
			d.IsCutOff = func(string) bool { return false }
			// No server counts as full any more.
			time.Sleep(time.Second)
			f.plan = full[:4]
			if report, err := d.Run(t.Context(), idempotent(), &recorder{}); err != nil || report.WaitedForRoom == 0 {
				t.Errorf("%s: the next request: %v, waited %v", what, err, report.WaitedForRoom)
			}
		})
	}
}
