package dispatch

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/fairshare"
	"github.com/briarlink/briarlink/internal/schedule"
)

// Why a request was refused while its service was short of capacity, as stated in Report.Shortage.
const (
	// ShortageShare means that its organisation was above its share of the service.
	ShortageShare = "share"
	// ShortageServers means that servers rejected it.
	ShortageServers = "servers"
	// ShortageExpected means that it would have been answered too late, or delayed more urgent ones.
	ShortageExpected = "expected"
)

// shares returns the table that divides the capacity of the request's service, or nil. Model engines are
// left out: they answer short requests within their target long after they are short of capacity for
// prompts of many thousand tokens, which shares by cost refuse alike.
func (r *run) shares() *fairshare.Table {
	if r.req.Service.Engine != nil {
		return nil
	}
	return r.d.Shares
}

// urgent reports whether the request has the most urgent route of its service. Only streaming routes
// have priorities that services know; all requests of other services are equally urgent.
func (r *Request) urgent() bool {
	return r.Service.UrgentTarget == 0 || r.Route.Priority <= r.Service.UrgentPriority
}

func (r *run) shareRequest() fairshare.Request {
	out := fairshare.Request{
		Service: r.req.Service.Name, Cost: 1, Urgent: r.req.urgent(),
		Digest: uint64(r.report.Digest), Deadline: r.req.Deadline,
		Above: r.aboveShare, LatencyTarget: r.req.Route.LatencyTarget, Target: r.began.Add(r.req.Route.LatencyTarget),
		Expected: r.report.Expected,
	}
	if r.req.Organisation != nil {
		out.Organisation = r.req.Organisation.Name
	}
	return out
}

// checkShare counts the request as demand for its service, and returns an error if its organisation has
// no room in its share. It decides once, before the first attempt; a request that another host passed on
// is only counted.
func (r *run) checkShare() error {
	if r.shares() == nil || r.shareChecked {
		return nil
	}
	r.shareChecked = true
	now := clock.Now()
	if r.req.Forwarded {
		r.aboveShare = r.shares().Arrived(r.shareRequest(), now)
		return nil
	}
	d := r.shares().Admit(r.shareRequest(), now)
	r.report.Returned, r.aboveShare = d.Returned, d.Above
	if d.Admitted {
		return nil
	}
	r.report.Shortage = ShortageShare
	return errkind.New(errkind.Overloaded, fmt.Sprintf("the service is short of capacity, and the organisation is above its share: it sends %.4g a second over all hosts, and gets %.4g of %.4g",
		d.Offered, d.Share, d.Capacity)).After(d.RetryAfter)
}

// recordServed counts the request as served by a server.
func (r *run) recordServed(now time.Time) {
	if r.shares() != nil {
		r.shares().Answered(r.req.Service.Name, 1, now)
	}
}

// recordRejection counts a server's rejection of the request for want of room.
func (r *run) recordRejection(server string, now time.Time) {
	r.rejecting[server] = true
	if r.shares() != nil {
		r.shares().Rejected(r.shareRequest(), server, len(r.rejecting), r.servers, now)
	}
}

// recordLate records that the request is refused because of its expected time. The service is short of
// capacity if the replica, without other requests, would have answered in time.
func (r *run) recordLate(choice *schedule.Choice, left time.Duration, now time.Time) {
	r.refusedLate = true
	alone := time.Duration(float64(choice.ServiceTime) * max(1, choice.Slowdown))
	if r.shares() != nil && alone <= left {
		r.shares().MarkShort(r.req.Service.Name, now)
	}
}

// refuseForShortage returns the error of a request that has not run, with the Retry-After for it if it
// was refused for want of capacity; it returns any other error unchanged.
func (r *run) refuseForShortage(ctx context.Context, e *errkind.Error) *errkind.Error {
	if r.shares() == nil || r.report.Ran > 0 || r.report.Shortage != "" || ctx.Err() != nil {
		return e
	}
	switch {
	case r.refusedLate && e.Kind == errkind.Overloaded:
		r.report.Shortage = ShortageExpected
	case r.noRoom(e):
		r.report.Shortage = ShortageServers
	default:
		return e
	}
	if e.Kind != errkind.Overloaded {
		e = errkind.Wrap(errkind.Overloaded, e, "no server has room for the request")
	}
	return e.After(r.shares().Refuse(r.shareRequest(), clock.Now()))
}

// noRoom reports whether an error means that no server has room for the request. If none is left for it,
// the service is short of capacity.
func (r *run) noRoom(e *errkind.Error) bool {
	full := e.Kind == errkind.Overloaded && !r.refusedLate
	noneLeft := e.Kind == errkind.NoBackend && (len(r.rejecting) > 0 || r.noneFree) && !r.report.CutOff
	if full || noneLeft {
		r.shares().MarkShort(r.req.Service.Name, clock.Now())
	}
	return full || noneLeft || e.Kind == errkind.BackendRefused && len(r.rejecting) > 0
}

// mayRetryRejected reports whether a request that a server rejected may be sent to another one at once.
func (r *run) mayRetryRejected() bool {
	return r.shares() == nil || r.shares().MayRetry(r.shareRequest(), clock.Now())
}

// awaitShare lets a request of an organisation below its share wait for room after no server had any, and
// reports whether it may be sent again. Each time that it is sent counts as a retry.
func (r *run) awaitShare(ctx context.Context, err error) bool {
	if r.shares() == nil || r.report.Ran > 0 || r.report.Sends >= maxSends || ctx.Err() != nil || !r.noRoom(errkind.From(err)) {
		return false
	}
	for charged := r.report.Sends == 0; ; {
		began := clock.Now()
		pause, wait := r.shares().AwaitRoom(r.shareRequest(), r.report.WaitedForRoom > 0, began)
		if !wait {
			return false
		}
		// The retry is charged before the wait: a request would otherwise wait in vain.
		if !charged && !r.takeRetryBudget() {
			r.shares().EndWait(r.req.Service.Name)
			return false
		}
		charged = true
		clock.Sleep(ctx, pause)
		r.shares().EndWait(r.req.Service.Name)
		r.report.WaitedForRoom += clock.Since(began)
		if ctx.Err() != nil || r.d.IsCutOff(r.req.Service.Name) || r.expectsRoom(clock.Now()) {
			return true
		}
	}
}

// withoutRoom returns the IDs of the servers that are not to be tried: beside those that were, the ones at
// which this host expects no room, as they rejected another request a moment ago.
func (r *run) withoutRoom(now time.Time) map[string]bool {
	if r.shares() == nil {
		return r.exclude
	}
	full := r.shares().Full(r.req.Service.Name, now)
	if len(full) == 0 {
		return r.exclude
	}
	maps.Copy(full, r.exclude)
	return full
}

// expectsRoom reports whether some server is expected to have room for the request, and makes those that
// rejected it and are expected to have room eligible again.
func (r *run) expectsRoom(now time.Time) bool {
	for server := range r.rejecting {
		if r.shares().ExpectsRoom(r.req.Service.Name, server, now) {
			delete(r.exclude, server)
		}
	}
	return r.servers == 0 || len(r.withoutRoom(now)) < r.servers
}
