package entry

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/quota"
)

// chargeQuota charges the request to its organisation's rate limit, or rejects it. It runs
// before the body is read, so that a rejection costs almost nothing.
func (ex *exchange) chargeQuota() error {
	if ex.org == nil {
		return nil
	}
	decision := ex.s.Limiter.Admit(ex.org.Name, quota.Size{
		PromptTokens: ex.caller.PromptTokens, OutputTokens: ex.caller.OutputTokens, HasTokenCount: ex.caller.HasTokenCount,
	}, ex.arrived)
	if decision.Admitted {
		ex.charged = decision.Cost
		if decision.Cost > 0 && ex.s.Limiter.ShouldReportNow(ex.org.Name) {
			ex.s.ReportUsage()
		}
		return nil
	}
	ex.s.Metrics.OverLimit(ex.org.Name)
	if decision.First {
		ex.s.Log.WithFields(logrus.Fields{"organisation": ex.org.Name, "limit": decision.Limit.String()}).Warn("organisation over its rate limit")
	}
	return errkind.New(errkind.QuotaExceeded, fmt.Sprintf("%s is at its rate limit over all hosts: %s; the request counts %d",
		ex.org.Name, &decision.Limit, decision.Cost)).After(decision.RetryAfter)
}

// adjustCharge corrects the charge once the request has ended: it refunds a request that did
// not run, and charges each run beyond the first.
func (ex *exchange) adjustCharge() {
	if ex.charged == 0 {
		return
	}
	now := clock.Now()
	if ex.report.Ran == 0 {
		ex.s.Limiter.Refund(ex.org.Name, ex.charged, now)
		return
	}
	ex.s.Limiter.Charge(ex.org.Name, int64(ex.report.Ran-1)*ex.charged, now)
}
