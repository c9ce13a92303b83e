package explain

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/obs"
)

// lateFactor is how many times as long as expected a first event must take for the
// verdict to name it.
const lateFactor = 2

// verdict says in a sentence what the caller got, why, and which line shows it.
func verdict(r *logline.Request, end *logline.Line, near []logline.Line, newer *logline.Line) string {
	text := got(r, end, near)
	if evidence := evidence(r, near); evidence != "" {
		text += "; " + evidence
	}
	if old := oldWeights(r, end, newer); old != "" {
		text += "; " + old
	}
	if changed := configChanged(r, near); changed != "" {
		text += "; " + changed
	}
	return text
}

// got says what the caller got.
func got(r *logline.Request, end *logline.Line, near []logline.Line) string {
	if r.Outcome == obs.OutcomeOK {
		return answered(r)
	}
	kind, _ := errkind.ByName(r.Outcome)
	if kind == errkind.QuotaExceeded {
		return overLimit(r)
	}
	if kind.Answer().Refusal() {
		return fmt.Sprintf("the caller was refused after %.0f ms and asked back after %.0f ms; it has not run (%s)", r.Ms, r.RetryAfterMs, r.Error)
	}
	switch kind {
	case errkind.BackendError:
		return fmt.Sprintf("the caller got replica %s's own %d, passed on as it is", r.Replica, r.Status)
	case errkind.Unauthenticated, errkind.NotFound:
		return fmt.Sprintf("the caller was denied by configuration %d, of which a newer version could have been missed for %.0f ms (%s)", r.Config, r.ConfigAgeMs, r.Error)
	case errkind.Quarantined:
		return fmt.Sprintf("the caller was denied: servers crash under this request, whoever sends it on; it has not run (%s)", r.Error)
	case errkind.BackendLost:
		if r.Started() {
			return fmt.Sprintf("the caller's stream was cut after %.0f ms, its first event came after %.0f ms: replica %s was lost", r.Ms, r.FirstMs, r.LostReplica())
		}
		return fmt.Sprintf("the caller got %d after %.0f ms: replica %s was lost before an answer, and may have run it", errkind.BackendLost.Answer().Status, r.Ms, r.LostReplica())
	case errkind.CallerGone, errkind.DeadlineExceeded:
		return unanswered(r, end.At, near)
	default:
		return fmt.Sprintf("the caller got %s after %.0f ms (%s)", r.Outcome, r.Ms, r.Error)
	}
}

// overLimit tells a refusal for a rate limit from one that more replicas would have saved.
func overLimit(r *logline.Request) string {
	return fmt.Sprintf("the caller was refused for its organisation's rate limit, by configuration %d, and asked back after %.0f ms; it has not run, and no load of other organisations played a part (%s)",
		r.Config, r.RetryAfterMs, r.Error)
}

func answered(r *logline.Request) string {
	text := fmt.Sprintf("the caller got %d from replica %s after %.0f ms", statusOr(r.Status, http.StatusOK), r.Replica, r.Ms)
	if r.FirstMs > 0 && r.ExpectedMs > 0 && r.FirstMs > lateFactor*r.ExpectedMs {
		text += fmt.Sprintf(", the first event after %.0f ms where %.0f were expected", r.FirstMs, r.ExpectedMs)
	}
	if r.Late() {
		text += fmt.Sprintf(": late against a target of %.0f ms", r.TargetMs)
	}
	return text
}

func statusOr(status, otherwise int) int {
	if status == 0 {
		return otherwise
	}
	return status
}

// unanswered tells a caller that left from an answer that never came.
func unanswered(r *logline.Request, end time.Time, near []logline.Line) string {
	who := "the caller left"
	if r.Outcome == errkind.DeadlineExceeded.String() {
		who = "the deadline passed"
	}
	switch {
	case r.Started():
		return fmt.Sprintf("%s after %.0f ms, in the middle of the answer", who, r.Ms)
	case r.Sends > 0 && lostHere(r, end, near):
		return fmt.Sprintf("%s after %.0f ms without an answer: replica %s lost it silently", who, r.Ms, r.Replica)
	case find(near, lineLost, r.Replica) != nil:
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

// lineLost is written when a later request of a replica is answered long after an
// earlier one was due.
const lineLost = "answer thought lost: later requests were answered"

// sameSend is how far apart two accounts of one moment may lie: lines have whole
// milliseconds and are written a little later.
const sameSend = 100 * time.Millisecond

// lostHere reports whether a line says so of this very request: one that the replica
// had been sent when this one was.
func lostHere(r *logline.Request, end time.Time, near []logline.Line) bool {
	if len(r.Tries) == 0 {
		return false
	}
	last := r.Tries[len(r.Tries)-1]
	sent := end.Add(-time.Duration(last.Ms) * time.Millisecond)
	return slices.ContainsFunc(near, func(l logline.Line) bool {
		other := l.At.Add(-time.Duration(l.Number("waited_ms") * float64(time.Millisecond)))
		return l.Message == lineLost && l.Text("replica") == last.Replica && other.Sub(sent).Abs() <= sameSend
	})
}

// causes are the lines on a lost replica, the most telling first.
var causes = []string{"replica crashed while it was running requests", "replica thought down", "replica changed state", "replica gives no sign of life", "replica avoided: another host finds it down"}

// evidence names the line that shows why a replica was lost.
func evidence(r *logline.Request, near []logline.Line) string {
	if r.Sends == 0 || !replicaLost(r) {
		return ""
	}
	for _, message := range causes {
		if l := find(near, message, r.LostReplica()); l != nil {
			return "the line that shows it: " + l.String()
		}
	}
	if r.Outcome == errkind.BackendLost.String() {
		return "no line says that the replica went away: it, or the link to it, breaks answers"
	}
	return ""
}

// replicaLost reports whether the caller got no whole answer because its replica, or
// the link to it, gave none.
func replicaLost(r *logline.Request) bool {
	switch r.Outcome {
	case errkind.BackendLost.String():
		return true
	case errkind.CallerGone.String(), errkind.DeadlineExceeded.String():
		return !r.Started()
	default:
		return false
	}
}

func find(lines []logline.Line, message, replica string) *logline.Line {
	for i := range lines {
		if lines[i].Message == message && lines[i].Text("replica") == replica {
			return &lines[i]
		}
	}
	return nil
}

// oldWeights says that newer weights were wanted when the request came, as a line shows.
func oldWeights(r *logline.Request, end, newer *logline.Line) string {
	if r.Weights == 0 || r.Sends == 0 || newer == nil {
		return ""
	}
	return fmt.Sprintf("on weights %d although %.0f were wanted %d ms before it came", r.Weights, newer.Number("version"), r.Began(end.At).Sub(newer.At)/time.Millisecond)
}

// configChanged says that another configuration came into force around the request.
func configChanged(r *logline.Request, near []logline.Line) string {
	for i := range near {
		if l := &near[i]; l.Message == configInForce && int64(l.Number("version")) != r.Config {
			return fmt.Sprintf("decided by configuration %d; %.0f came into force at %s", r.Config, l.Number("version"), l.At.UTC().Format(time.RFC3339Nano))
		}
	}
	return ""
}
