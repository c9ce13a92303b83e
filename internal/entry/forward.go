package entry

import (
	"net/http"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/forward"
)

// passOnFirst passes a request on that is better not tried here, as this host reaches no replica of the service, or
// few while another host reaches many more. It reports whether that ended the request: if there is no host to
// pass it on to, one that reaches few replicas tries them.
func (ex *exchange) passOnFirst() (ended bool, err error) {
	if ex.isForwarded || ex.service == nil {
		return false, nil
	}
	cutOff := ex.s.IsCutOff(ex.service.Name)
	if !cutOff && !ex.s.ReachesFew(ex.service.Name) {
		return false, nil
	}
	err = ex.passOn()
	return cutOff || ex.passedOn.Host != "" || !errkind.Is(err, errkind.NoBackend), err
}

// passOn passes the request on to a host that reaches the service. That host charges it to the
// organisation's rate limit.
func (ex *exchange) passOn() error {
	body, err := ex.read()
	if err != nil {
		return err
	}
	return ex.forward(body)
}

// mayForward reports whether a request that this host could not serve may be passed on to another one:
// it was not sent because this host is cut off, did not run because no replica can be reached, or may go on elsewhere.
func (ex *exchange) mayForward(err error) bool {
	if err == nil || ex.isForwarded {
		return false
	}
	if !ex.answered && (ex.report.CutOff || ex.unreached(err)) {
		return true
	}
	return ex.mayGoOnElsewhere(err)
}

// mayGoOnElsewhere reports whether a request that ran, and lost its replica, may go on at another host, as this one reaches
// no other replica. Another attempt must be allowed, and its retry be charged already.
func (ex *exchange) mayGoOnElsewhere(err error) bool {
	r := &ex.report
	if !errkind.Is(err, errkind.BackendLost) || !r.CutOff && !r.Unreachable || r.PassedOnTo != "" {
		return false
	}
	if ex.answered && (!ex.route.Resumable || r.LastEvent == 0) || !ex.route.Repeatable() {
		return false
	}
	return r.Ran > 0 && r.Ran < ex.route.Attempts && r.RetriesCharged >= r.Ran && !r.RetryRefused
}

// unreached reports whether a request certainly did not run because no connection to a replica can be
// opened from this host, or because the few that it reaches have no room for a request that was passed on to it.
func (ex *exchange) unreached(err error) bool {
	if ex.isForwarded && ex.report.Sends == 0 && errkind.Is(err, errkind.Overloaded) && ex.service != nil && ex.s.ReachesFew(ex.service.Name) {
		return true
	}
	if ex.report.Ran > 0 || !errkind.Is(err, errkind.NoBackend) && !errkind.Is(err, errkind.BackendUnreachable) {
		return false
	}
	return ex.report.Unreachable || ex.service != nil && ex.s.LostContact(ex.service.Name)
}

// passOnAfter passes a request on that ended with err here. It returns err if there is no host to
// pass it on to.
func (ex *exchange) passOnAfter(err error, body []byte) error {
	ex.adjustCharge()
	ex.charged = 0
	ex.withdrawRequest()
	forwarded := ex.forward(body)
	if ex.passedOn.Host == "" && errkind.Is(forwarded, errkind.NoBackend) {
		return err
	}
	return forwarded
}

// withdrawRequest undoes the count of the request for the retry budget, if it was counted here: another host
// counts it.
func (ex *exchange) withdrawRequest() {
	if ex.report.State != "" && ex.report.Ran == 0 {
		ex.s.Dispatcher.WithdrawRequest(ex.service.Name, ex.arrived)
	}
}

// chargePassedOnRetry charges a retry of a request that was passed on to this host, if the other host could not.
func (ex *exchange) chargePassedOnRetry() error {
	if !ex.isForwarded || !ex.mark.ChargeRetry || ex.service == nil || ex.s.Dispatcher.AllowRetry(ex.service.Name) {
		return nil
	}
	return errkind.New(errkind.Overloaded, "the retry budget is used up")
}

func (ex *exchange) forward(body []byte) error {
	report, err := ex.s.Forwarder.Send(ex.r.Context(), &forward.Request{
		Request: ex.request(body), Config: ex.view.Config.Version, Ran: ex.report.Ran, LastEvent: ex.report.LastEvent,
		AllowRetry: func() bool { return ex.s.Dispatcher.AllowRetry(ex.service.Name) },
	}, ex)
	ex.passedOn = report
	ex.report.RetriesCharged += report.Retries
	if report.Status > 0 {
		ex.report.Status = report.Status
	}
	if ex.report.First == 0 {
		ex.report.First = report.First
	}
	ex.s.Metrics.Forwarded(err == nil && !report.Rejected)
	return err
}

// rejectionOf returns the kind of error that corresponds to another host's own answer.
func rejectionOf(status int) errkind.Kind {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errkind.BackendRefused
	case http.StatusGatewayTimeout:
		return errkind.DeadlineExceeded
	case http.StatusNotFound:
		return errkind.NotFound
	case http.StatusUnauthorized:
		return errkind.Unauthenticated
	case http.StatusBadRequest:
		return errkind.Quarantined
	default:
		return errkind.BackendLost
	}
}
