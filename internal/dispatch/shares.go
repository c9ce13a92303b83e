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
		r.shares().Arrived(r.shareRequest(), now)
		return nil
	}
	d := r.shares().Admit(r.shareRequest(), now)
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
	if r.shares() != nil {
		r.shares().Answered(r.req.Service.Name, 1, now)
	}
}

// recordRejection counts a server's rejection of the request for want of room.
func (r *run) recordRejection(now time.Time) {
	r.rejections++
	if r.shares() != nil {
		r.shares().Rejected(r.req.Service.Name, r.rejections, now)
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
	if noRoom || noServerLeft {
		r.shares().MarkShort(r.req.Service.Name, now)
	}
	if e.Kind != errkind.Overloaded {
		e = errkind.Wrap(errkind.Overloaded, e, "no server has room for the request")
	}
	return e.After(r.shares().Refuse(r.shareRequest(), now))
}
