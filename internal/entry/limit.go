package entry

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/quota"
)

// limit charges the request to its organisation, or refuses it. It comes before the body
// is read: a refusal costs next to nothing.
func (ex *exchange) limit() error {
	if ex.org == nil {
		return nil
	}
	d := ex.s.Limiter.Admit(ex.org.Name, quota.Size{
		PromptTokens: ex.caller.PromptTokens, OutputTokens: ex.caller.OutputTokens, Said: ex.caller.SaysTokens,
	}, ex.arrived)
	if d.Admitted {
		ex.charged = d.Cost
		if d.Cost > 0 && ex.s.Limiter.TellNow(ex.org.Name) {
			ex.s.Tell()
		}
		return nil
	}
	ex.s.Metrics.OverLimit(ex.org.Name)
	if d.First {
		ex.s.Log.WithFields(logrus.Fields{"organisation": ex.org.Name, "limit": d.Limit.String()}).Warn("organisation over its rate limit")
	}
	return errkind.New(errkind.QuotaExceeded, fmt.Sprintf("%s is at its rate limit over all hosts: %s; the request counts %d",
		ex.org.Name, &d.Limit, d.Cost)).After(d.RetryAfter)
}

// settle gives back what was charged for a request that has not run, and charges what
// ran more than once.
func (ex *exchange) settle() {
	if ex.charged == 0 {
		return
	}
	now := clock.Now()
	if ex.report.Ran == 0 {
		ex.s.Limiter.Return(ex.org.Name, ex.charged, now)
		return
	}
	ex.s.Limiter.Charge(ex.org.Name, int64(ex.report.Ran-1)*ex.charged, now)
}
