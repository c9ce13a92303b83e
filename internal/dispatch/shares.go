package dispatch

import (
	"context"
	"fmt"
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

// outputTokenCost is the cost of an output token, in prompt tokens.
const outputTokenCost = 16

// cost returns the cost of a request in the capacity of its service.
func (r *Request) cost() float64 {
	if r.Service.Engine == nil {
		return 1
	}
	return max(1, float64(r.Caller.PromptTokens+outputTokenCost*r.Caller.OutputTokens))
}

// urgent reports whether the request has the most urgent route of its service. Only streaming routes
// have priorities that services know; all requests of other services are equally urgent.
func (r *Request) urgent() bool {
	return r.Service.UrgentTarget == 0 || r.Route.Priority <= r.Service.UrgentPriority
}

func (r *run) shareRequest() fairshare.Request {
	out := fairshare.Request{
		Service: r.req.Service.Name, Cost: r.req.cost(), Urgent: r.req.urgent(),
		Digest: uint64(r.report.Digest), Deadline: r.req.Deadline,
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
	if r.d.Shares == nil || r.shareChecked {
		return nil
	}
	r.shareChecked = true
	now := clock.Now()
	if r.req.Forwarded {
		r.d.Shares.Arrived(r.shareRequest(), now)
		return nil
	}
	d := r.d.Shares.Admit(r.shareRequest(), now)
	r.report.Returned = d.Returned
	if d.Admitted {
		return nil
	}
	r.report.Shortage = ShortageShare
	return errkind.New(errkind.Overloaded, fmt.Sprintf("the service is short of capacity, and the organisation is above its share: it sends %.4g a second over all hosts, and gets %.4g of %.4g",
		d.Offered, d.Share, d.Capacity)).After(d.RetryAfter)
}

// recordServed counts the request as served by a server.
func (r *run) recordServed(now time.Time) {
	if r.d.Shares != nil {
		r.d.Shares.Answered(r.req.Service.Name, r.req.cost(), now)
	}
}

// recordRejection counts a server's rejection of the request. An engine with fewer requests than it runs
// at once rejects because it loads weights or is about to leave, not for want of capacity. Were that
// counted, a roll-out of weights would limit all organisations to what the other engines answer.
func (x *exchange) recordRejection(now time.Time) {
	x.rejections++
	engineHasRoom := x.req.Service.Engine != nil && x.choice.Requests < x.choice.Slots
	if x.d.Shares == nil || engineHasRoom {
		return
	}
	x.fullRejections++
	x.d.Shares.Rejected(x.req.Service.Name, x.fullRejections, now)
}

// recordLate records that the request is refused because of its expected time. The service is short of
// capacity if the replica, without other requests, would have answered in time.
func (r *run) recordLate(choice *schedule.Choice, left time.Duration, now time.Time) {
	r.refusedLate = true
	alone := time.Duration(float64(choice.ServiceTime) * max(1, choice.Slowdown))
	if r.d.Shares != nil && alone <= left {
		r.d.Shares.MarkShort(r.req.Service.Name, now)
	}
}

// refuseForShortage returns the error of a request that has not run, with the Retry-After for it if it
// was refused for want of capacity; it returns any other error unchanged.
func (r *run) refuseForShortage(ctx context.Context, e *errkind.Error) *errkind.Error {
	if r.d.Shares == nil || r.report.Ran > 0 || r.report.Shortage != "" || ctx.Err() != nil {
		return e
	}
	now := clock.Now()
	noRoom := e.Kind == errkind.Overloaded && !r.refusedLate
	noServerLeft := e.Kind == errkind.NoBackend && r.rejections > 0 && !r.report.CutOff
	switch {
	case r.refusedLate && e.Kind == errkind.Overloaded:
		r.report.Shortage = ShortageExpected
	case e.Kind == errkind.BackendRefused && r.rejections > 0, noRoom, noServerLeft:
		r.report.Shortage = ShortageServers
	default:
		return e
	}
	if noRoom || noServerLeft && r.fullRejections > 0 {
		r.d.Shares.MarkShort(r.req.Service.Name, now)
	}
	if e.Kind != errkind.Overloaded {
		e = errkind.Wrap(errkind.Overloaded, e, "no server has room for the request")
	}
	return e.After(r.d.Shares.Refuse(r.shareRequest(), now))
}
