package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

// lateFactor is the ratio of actual to expected time to the first event above which the
// verdict mentions the delay.
const lateFactor = 2

// verdict returns one sentence on what the caller received, the cause, and the line that
// shows it.
func verdict(r *logline.Request, end *logline.Line, lines []logline.Line, newer *logline.Line) string {
	text := describeOutcome(r, end, lines)
	if silences := describeSilences(r); silences != "" {
		text += "; " + silences
	}
	if answers := describeAnswers(r); answers != "" {
		text += "; " + answers
	}
	if evidence := lossEvidence(r, lines); evidence != "" {
		text += "; " + evidence
	}
	if r.AwaitedMs > 0 {
		text += fmt.Sprintf("; it waited %.0f ms for prefix blocks that another replica was prefilling", r.AwaitedMs)
	}
	if r.RoomWaitMs > 0 {
		text += fmt.Sprintf("; it waited %.0f ms for room at the servers, as its organisation was below its share of a service that is short of capacity", r.RoomWaitMs)
	}
	if r.RetryRefused {
		text += "; it was not sent again, as the retry budget of its service was used up"
	}
	if old := describeOldWeights(r, end, newer); old != "" {
		text += "; " + old
	}
	if changed := describeConfigChange(r, lines); changed != "" {
		text += "; " + changed
	}
	return text + describeHostLoad(lines)
}

// describeSilences says which replicas others were tried beside, as they sent nothing.
func describeSilences(r *logline.Request) string {
	var tried []string
	for _, a := range r.Tries {
		if a.Beside != "" {
			tried = append(tried, fmt.Sprintf("%s after %s had sent nothing for %d ms (%s)", a.Replica, a.Beside, a.AfterMs, a.Result))
		}
	}
	if len(tried) == 0 {
		return ""
	}
	return "tried beside a silent replica: " + strings.Join(tried, ", ")
}

// describeAnswers says what the failures and rejections of replicas state, so that their own logs can be laid beside.
func describeAnswers(r *logline.Request) string {
	var answers []string
	for _, a := range r.Tries {
		if h := a.Answer; h != nil && h.Status >= http.StatusBadRequest {
			answers = append(answers, fmt.Sprintf("%s sent %d (%s) %d ms after the request came", a.Replica, h.Status, headMarks(h), a.AtMs+a.Ms))
		}
	}
	if len(answers) == 0 {
		return ""
	}
	return "answers of replicas: " + strings.Join(answers, ", ")
}

func headMarks(h *logline.AnswerHead) string {
	marks := []string{"states nothing about a run"}
	if h.NotRun {
		marks[0] = "states that it did not run"
	}
	if h.Sealed {
		marks = append(marks, "sealed")
	}
	if !h.Named {
		marks = append(marks, "names no request")
	}
	if h.Reused {
		marks = append(marks, "on a connection that had carried another request")
	}
	if h.Skipped > 0 {
		marks = append(marks, fmt.Sprintf("after %d answers to others", h.Skipped))
	}
	return strings.Join(marks, ", ")
}

// describeHostLoad says that hosts were short of CPU time around the time of the request, so that
// directories named others.
func describeHostLoad(lines []logline.Line) string {
	for i := range lines {
		if l := &lines[i]; l.Message == directoryByLoad && l.Number("further") > 0 {
			return fmt.Sprintf("; the hosts of zone %s were short of CPU time: from %s on, directories named %.0f others",
				l.Text("zone"), l.At.UTC().Format(time.RFC3339Nano), l.Number("further"))
		}
	}
	return ""
}

// describeOutcome says what the caller received.
func describeOutcome(r *logline.Request, end *logline.Line, lines []logline.Line) string {
	if r.Outcome == obs.OutcomeOK {
		return describeAnswer(r)
	}
	kind, _ := errkind.ByName(r.Outcome)
	if kind == errkind.QuotaExceeded {
		return describeOverLimit(r)
	}
	if r.Shortage != "" {
		return describeShortage(r)
	}
	if r.EndedForMemory {
		return describeEndedForMemory(r, kind)
	}
	if kind.Answer().Refusal() {
		return fmt.Sprintf("the caller was refused after %.0f ms and asked back after %.0f ms; it has not run (%s)", r.Ms, r.RetryAfterMs, r.Error)
	}
	switch kind {
	case errkind.BackendError:
		if r.Error != "" {
			return fmt.Sprintf("the caller got %d after %.0f ms: %s", kind.Answer().Status, r.Ms, r.Error)
		}
		return fmt.Sprintf("the caller got replica %s's own %d, passed on as it is", r.Replica, r.Status)
	case errkind.Unauthenticated, errkind.NotFound:
		return fmt.Sprintf("the caller was denied by configuration %d, of which a newer version could have been missed for %.0f ms (%s)", r.Config, r.ConfigAgeMs, r.Error)
	case errkind.Quarantined:
		if r.RefusedBlock != "" {
			return fmt.Sprintf("the caller was denied: servers crash under requests with one of its prefix blocks; it has not run (%s)", r.Error)
		}
		return fmt.Sprintf("the caller was denied: servers crash under this request, whoever sends it on; it has not run (%s)", r.Error)
	case errkind.BackendLost:
		if r.AnswerStarted() {
			return fmt.Sprintf("the caller's stream was cut after %.0f ms, its first event came after %.0f ms: replica %s was lost", r.Ms, r.FirstMs, r.LostReplica())
		}
		return fmt.Sprintf("the caller got %d after %.0f ms: replica %s was lost before an answer, and may have run it", errkind.BackendLost.Answer().Status, r.Ms, r.LostReplica())
	case errkind.CallerGone, errkind.DeadlineExceeded:
		return describeUnanswered(r, end.At, lines)
	default:
		return fmt.Sprintf("the caller got %s after %.0f ms (%s)", r.Outcome, r.Ms, r.Error)
	}
}

// describeOverLimit describes a rejection by a rate limit. Its text says that other
// organisations' load played no part, to distinguish it from a rejection for lack of capacity.
func describeOverLimit(r *logline.Request) string {
	return fmt.Sprintf("the caller was refused for its organisation's rate limit, by configuration %d, and asked back after %.0f ms; it has not run, and no load of other organisations played a part (%s)",
		r.Config, r.RetryAfterMs, r.Error)
}

// describeShortage describes a refusal for want of a service's capacity: whether other organisations'
// load played a part, and whether the caller had been refused before.
func describeShortage(r *logline.Request) string {
	text := fmt.Sprintf("the caller was refused after %.0f ms and asked back after %.0f ms, ", r.Ms, r.RetryAfterMs)
	switch r.Shortage {
	case dispatch.ShortageShare:
		text += "as its organisation was above its share of a service that is short of capacity"
	case dispatch.ShortageServers:
		text += "as servers had no room for it"
	default:
		text += "as servers would have answered it too late, or more urgent ones"
	}
	if r.Returned {
		text += "; it had been refused before"
	}
	return fmt.Sprintf("%s; it has not run (%s)", text, r.Error)
}

// describeEndedForMemory describes a request that the host ended because its caller was slow while the
// host was short of memory.
func describeEndedForMemory(r *logline.Request, kind errkind.Kind) string {
	if kind == errkind.BodyTooSlow {
		return fmt.Sprintf("the caller got %d after %.0f ms: its body arrived too slowly while the host was short of memory; it has not run", kind.Answer().Status, r.Ms)
	}
	return fmt.Sprintf("the answer of replica %s was aborted after %.0f ms: the caller read it too slowly while the host was short of memory", r.Replica, r.Ms)
}

func describeAnswer(r *logline.Request) string {
	text := fmt.Sprintf("the caller got %d from replica %s after %.0f ms", statusOr(r.Status, http.StatusOK), r.Replica, r.Ms)
	if r.FirstMs > 0 && r.ExpectedMs > 0 && r.FirstMs > lateFactor*r.ExpectedMs {
		text += fmt.Sprintf(", the first event after %.0f ms where %.0f were expected", r.FirstMs, r.ExpectedMs)
	}
	if r.Late() {
		text += fmt.Sprintf(": late against a target of %.0f ms", r.TargetMs)
	}
	return text
}

func statusOr(status, fallback int) int {
	if status == 0 {
		return fallback
	}
	return status
}

// describeUnanswered describes a request whose caller disconnected or whose deadline passed before
// its answer was complete, and whether a replica failed to answer it.
func describeUnanswered(r *logline.Request, end time.Time, lines []logline.Line) string {
	who := "the caller left"
	if r.Outcome == errkind.DeadlineExceeded.String() {
		who = "the deadline passed"
	}
	if r.EndedBy == string(dispatch.EndedByStop) {
		who = "the host's time to stop was over"
	}
	switch {
	case r.AnswerStarted():
		return fmt.Sprintf("%s after %.0f ms, in the middle of the answer", who, r.Ms)
	case r.Sends > 0 && answerLost(r, end, lines):
		return fmt.Sprintf("%s after %.0f ms without an answer: replica %s lost it silently", who, r.Ms, r.Replica)
	case findLine(lines, answerLostMessage, r.Replica) != nil:
		return fmt.Sprintf("%s after %.0f ms without an answer; replica %s lost another one silently, whether this one too is not known", who, r.Ms, r.Replica)
	case r.Sends > 0 && r.ExpectedMs == 0:
		return fmt.Sprintf("%s after %.0f ms without an answer of replica %s; when one was expected is not known", who, r.Ms, r.Replica)
	case r.Sends > 0 && r.Ms > lateFactor*r.ExpectedMs:
		return fmt.Sprintf("%s after %.0f ms without an answer of replica %s, expected after %.0f ms", who, r.Ms, r.Replica, r.ExpectedMs)
	case r.Sends == 0:
		return fmt.Sprintf("%s after %.0f ms, before it was sent to a replica", who, r.Ms)
	default:
		return fmt.Sprintf("%s after %.0f ms", who, r.Ms)
	}
}

// answerLostMessage is logged when a replica answers a later request while an earlier one
// is long overdue.
const answerLostMessage = "answer thought lost: later requests were answered"

// sendTolerance is the maximum difference between two logged times of the same send: log
// lines have whole milliseconds and are written a little after the event.
const sendTolerance = 100 * time.Millisecond

// answerLost reports whether a line says that the answer to this very request was lost: the
// lost answer's request was sent to the same replica at the same time.
func answerLost(r *logline.Request, end time.Time, lines []logline.Line) bool {
	if len(r.Tries) == 0 {
		return false
	}
	last := r.Tries[len(r.Tries)-1]
	sent := end.Add(-time.Duration(last.Ms) * time.Millisecond)
	return slices.ContainsFunc(lines, func(l logline.Line) bool {
		other := l.At.Add(-time.Duration(l.Number("waited_ms") * float64(time.Millisecond)))
		return l.Message == answerLostMessage && l.Text("replica") == last.Replica && other.Sub(sent).Abs() <= sendTolerance
	})
}

// lossMessages are the messages on a lost replica, the most specific first.
var lossMessages = []string{"replica crashed while it was running requests", "replica thought down", "replica changed state", "replica gives no sign of life", "replica avoided: another host finds it down"}

// lossEvidence quotes the line that shows why a replica was lost.
func lossEvidence(r *logline.Request, lines []logline.Line) string {
	if r.Sends == 0 || !replicaLost(r) {
		return ""
	}
	for _, message := range lossMessages {
		if l := findLine(lines, message, r.LostReplica()); l != nil {
			return "the line that shows it: " + l.String()
		}
	}
	if r.Outcome == errkind.BackendLost.String() {
		return "no line says that the replica went away: it, or the link to it, breaks answers"
	}
	return ""
}

// replicaLost reports whether the caller received no complete answer because the replica, or
// the connection to it, did not deliver one.
func replicaLost(r *logline.Request) bool {
	switch r.Outcome {
	case errkind.BackendLost.String():
		return true
	case errkind.CallerGone.String(), errkind.DeadlineExceeded.String():
		return !r.AnswerStarted()
	default:
		return false
	}
}

func findLine(lines []logline.Line, message, replica string) *logline.Line {
	for i := range lines {
		if lines[i].Message == message && lines[i].Text("replica") == replica {
			return &lines[i]
		}
	}
	return nil
}

// describeOldWeights says that newer weights were already wanted when the request arrived.
func describeOldWeights(r *logline.Request, end, newer *logline.Line) string {
	if r.Weights == 0 || r.Sends == 0 || newer == nil {
		return ""
	}
	return fmt.Sprintf("on weights %d although %.0f were wanted %d ms before it came", r.Weights, newer.Number("version"), r.Arrival(end.At).Sub(newer.At)/time.Millisecond)
}

// describeConfigChange says that another configuration than the request's came into force
// around the time of the request.
func describeConfigChange(r *logline.Request, lines []logline.Line) string {
	for i := range lines {
		if l := &lines[i]; l.Message == configInForce && int64(l.Number("version")) != r.Config {
			return fmt.Sprintf("decided by configuration %d; %.0f came into force at %s", r.Config, l.Number("version"), l.At.UTC().Format(time.RFC3339Nano))
		}
	}
	return ""
}
