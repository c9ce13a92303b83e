package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/briarlink/briarlink/internal/clock"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/obs"
)

// copyHeaders copies the replica's headers to the answer and keeps net/http from guessing a
// Content-Type where the replica sent none.
func (ex *exchange) copyHeaders(h http.Header) {
	out := ex.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		out["Content-Type"] = nil
	}
}

// Buffered implements dispatch.Answer: it writes a buffered answer.
func (ex *exchange) Buffered(status int, h http.Header, body []byte) error {
	ex.copyHeaders(h)
	ex.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	ex.answered = true
	ex.w.WriteHeader(status)
	return errors.Wrap(ex.write(body), "write an answer")
}

// Start implements dispatch.Answer: it writes the head of a streamed answer.
func (ex *exchange) Start(status int, h http.Header) error {
	ex.copyHeaders(h)
	ex.answered = true
	ex.w.WriteHeader(status)
	return nil
}

// Event implements dispatch.Answer: it writes and flushes one event of a streamed answer.
func (ex *exchange) Event(data []byte) error {
	if err := ex.write(data); err != nil {
		return errors.Wrap(err, "write an event")
	}
	return errors.Wrap(ex.flush(), "flush an event")
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type     string `json:"type"`
	Message  string `json:"message"`
	RunState string `json:"run_state"`
}

// writeError answers with an error that this host, not a replica, produced.
func writeError(w http.ResponseWriter, err error) {
	e := errkind.From(err)
	answer := e.Kind.Answer()
	body, err := json.Marshal(errorBody{errorDetail{answer.Name, e.Reason, string(answer.Run)}})
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if retryAfter := e.Retry(); retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(answer.Status)
	// A write error means that the caller's connection failed: nothing more can be sent to it.
	_, _ = w.Write(body)
}

// outcome returns the outcome for logs and metrics. A replica's 5xx answer is forwarded
// unchanged, but counts as a backend error.
func (ex *exchange) outcome(err error) string {
	switch {
	case err != nil:
		return errkind.From(err).Kind.String()
	case ex.passedOn.Rejected:
		return rejectionOf(ex.passedOn.Status).String()
	case ex.report.Status >= http.StatusInternalServerError:
		return errkind.BackendError.String()
	default:
		return obs.OutcomeOK
	}
}

// log writes the request's single log line and updates the metrics.
func (ex *exchange) log(err error) {
	outcome := ex.outcome(err)
	elapsed := clock.Since(ex.arrived)
	ex.s.Metrics.Answered(outcome)
	ex.measure(elapsed)
	fields := logrus.Fields{
		"request": ex.caller.ID, "outcome": outcome, "ms": elapsed.Milliseconds(),
		"state": ex.report.State, "replica": ex.report.Replica, "status": ex.report.Status,
		"sends": ex.report.Sends, "ran": ex.report.Ran,
	}
	if ex.view.Config != nil {
		fields["config"] = ex.view.Config.Version
		fields["config_age_ms"] = ex.view.Age.Milliseconds()
	}
	if ex.route != nil {
		fields["route"] = ex.route.Name
		fields["target_ms"] = ex.route.LatencyTarget.Milliseconds()
		fields["deadline_ms"] = ex.deadline().Sub(ex.arrived).Milliseconds()
	}
	if host := cmp.Or(ex.passedOn.Host, ex.report.PassedOnTo); host != "" {
		fields["forwarded_to"] = host
	}
	if ex.memory.Ended() {
		fields["ended_for_memory"] = true
	}
	if endedBy := ex.endedBy(err); endedBy != "" {
		fields["ended_by"] = endedBy
	}
	if ex.isForwarded {
		fields["forwarded_by"] = ex.mark.Host
	}
	if ex.org != nil {
		fields["organisation"], fields["charged"] = ex.org.Name, ex.charged
	}
	if ex.report.Prompt > 0 {
		fields["prompt"], fields["cached"], fields["fetched"] = ex.report.Prompt, ex.report.Cached, ex.report.Fetched
		fields["weights"], fields["shared"], fields["prefix"] = ex.report.Weights, ex.report.Shared, ex.report.Prefix
		fields["blocks"] = ex.report.Blocks
		fields["source"], fields["sink"], fields["salt"] = ex.report.Source, ex.report.Sink, ex.report.Salt
		fields["first_ms"], fields["expected_ms"] = ex.report.First.Milliseconds(), ex.report.Expected.Milliseconds()
	}
	if len(ex.report.Attempts) > 1 || err != nil || ex.report.Status >= http.StatusBadRequest {
		fields["tries"] = ex.report.Attempts
		if ex.report.Digest != 0 {
			fields["digest"] = ex.report.Digest.String()
		}
	}
	if ex.report.RetriesCharged > 0 {
		fields["retries_charged"] = ex.report.RetriesCharged
	}
	if ex.report.RetryRefused {
		fields["retry_refused"] = true
	}
	if ex.report.Awaited > 0 {
		fields["awaited_ms"] = ex.report.Awaited.Milliseconds()
	}
	if ex.report.RefusedBlock != 0 {
		fields["refused_block"] = ex.report.RefusedBlock.String()
	}
	if ex.report.Shortage != "" {
		fields["shortage"] = ex.report.Shortage
	}
	if ex.report.Returned {
		fields["returned"] = true
	}
	if ex.report.WaitedForRoom > 0 {
		fields["room_wait_ms"] = ex.report.WaitedForRoom.Milliseconds()
	}
	line := ex.s.Log.WithFields(fields)
	if err != nil {
		if retryAfter := errkind.From(err).Retry(); retryAfter > 0 {
			line = line.WithField("retry_after_ms", retryAfter.Milliseconds())
		}
		line.WithError(err).Warn("request")
		return
	}
	line.Info("request")
}

// endedBy returns who ended the caller's connection before a complete answer, or "" if nobody did.
func (ex *exchange) endedBy(err error) dispatch.EndedBy {
	if err == nil {
		return ""
	}
	kind := errkind.From(err).Kind
	switch {
	case !ex.answered && kind != errkind.CallerGone:
		return ""
	case ex.memory.Ended():
		return dispatch.EndedByMemory
	case kind == errkind.CallerGone && ex.s.aborting.Load():
		return dispatch.EndedByStop
	case kind == errkind.CallerGone:
		return dispatch.EndedByCaller
	case kind == errkind.DeadlineExceeded:
		return dispatch.EndedByDeadline
	}
	if n := len(ex.report.Attempts); n > 0 && ex.report.Attempts[n-1].EndedBy == dispatch.EndedBySilence {
		return dispatch.EndedBySilence
	}
	return dispatch.EndedByReplica
}

// measure records the request's latency, token and repeat metrics.
func (ex *exchange) measure(elapsed time.Duration) {
	m, r := ex.s.Metrics, &ex.report
	m.Whole.RecordDuration(elapsed)
	if r.First > 0 {
		m.First.RecordDuration(r.First)
	}
	m.PromptTokens.Inc(int64(r.Prompt))
	m.CachedTokens.Inc(int64(r.Cached))
	m.FetchedTokens.Inc(int64(r.Fetched))
	if r.Awaited > 0 {
		m.AwaitedPrefills.Inc(1)
	}
	if r.WaitedForRoom > 0 {
		m.RoomWait.RecordDuration(r.WaitedForRoom)
	}
	m.Repeats.Inc(int64(max(0, r.Sends-1)))
	m.Resumed.Inc(int64(r.Resumed))
	m.RetryBudget(r.RetriesCharged, r.RetryRefused)
}
