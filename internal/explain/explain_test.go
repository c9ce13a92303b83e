package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/briarlink/briarlink/internal/logline"
)

// background is part of every log: the host's start, what was in force, and a line on a
// replica that the request was not sent to.
const background = `
0.0 edge-1 {"level":"info","msg":"started","host":"edge-1","time":"2026-06-01T10:00:00Z"}
0.1 edge-1 {"level":"info","msg":"replica registered","replica":"i-1","time":"2026-06-01T10:00:00.1Z"}
0.2 edge-1 {"level":"info","msg":"configuration in force","version":7,"time":"2026-06-01T10:00:00.2Z"}
0.2 edge-1 {"level":"info","msg":"weights wanted","model":"m","version":1,"time":"2026-06-01T10:00:00.2Z"}
9.0 edge-1 {"level":"warning","msg":"replica thought down","replica":"i-9","reason":"lost","time":"2026-06-01T10:00:09Z"}
2.0 edge-2 {"level":"info","msg":"weights loaded","replica":"i-1","version":1,"time":"2026-06-01T10:00:02Z"}
`

// cases are the logs of all hosts for requests that failed or were answered late.
var cases = map[string]string{
	"refusal": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"overloaded","error":"overloaded: the wait is expected to be 431 ms, and 400 ms are left to more urgent requests","ms":2,"sends":0,"ran":0,"config":7,"retry_after_ms":431,"state":"failed","time":"2026-06-01T10:00:10Z"}`,
	"rejected-by-name": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"overloaded","error":"overloaded: no server has room for the request","shortage":"servers","ms":9,"sends":2,"ran":0,"replica":"i-2","config":7,"retry_after_ms":431,"state":"failed","tries":[{"Replica":"i-1","Result":"refused","AtMs":0,"Ms":3,"Answer":{"Status":503,"NotRun":true,"Named":true,"Reused":true,"Skipped":1}},{"Replica":"i-2","Result":"refused","AtMs":4,"Ms":5,"Answer":{"Status":503,"NotRun":true}}],"time":"2026-06-01T10:00:10Z"}`,
	"failure-that-would-promise": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_error","error":"backend_error: the replica answered 503 and does not state that it did not run the request","ms":62,"first_ms":61,"sends":1,"ran":1,"replica":"i-2","status":503,"config":7,"state":"failed","tries":[{"Replica":"i-2","Result":"failed","AtMs":1,"Ms":60,"Answer":{"Status":503,"Sealed":true,"Named":true}}],"time":"2026-06-01T10:00:10Z"}`,
	"above-share": `
9.9 edge-1 {"level":"warning","msg":"service short of capacity","service":"jobs","capacity":176,"offered":195,"time":"2026-06-01T10:00:09.9Z"}
10.0 edge-1 {"level":"warning","msg":"service short of capacity","service":"jobs","capacity":176,"offered":195,"time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"overloaded","error":"overloaded: the service is short of capacity, and the organisation is above its share: it sends 90 a second over all hosts, and gets 71 of 176","shortage":"share","returned":true,"ms":0,"sends":0,"ran":0,"config":7,"retry_after_ms":431,"state":"failed","time":"2026-06-01T10:00:10Z"}`,
	"body-too-slow": `
10.0 edge-1 {"level":"warning","msg":"memory budget: requests refused or slow callers ended","body":62000000,"budget":96468992,"ended_body":1,"time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"body_too_slow","error":"body_too_slow: the body arrived too slowly while this host was short of memory","ended_for_memory":true,"ms":2250,"sends":0,"ran":0,"config":7,"retry_after_ms":500,"state":"","time":"2026-06-01T10:00:10.1Z"}`,
	"host-stopped": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"caller_gone","error":"caller_gone: the caller left: backend_lost: the attempt was ended","ended_by":"stop","ms":4100,"first_ms":40,"sends":1,"ran":1,"replica":"i-1","status":200,"config":7,"state":"failed","time":"2026-06-01T10:00:10.1Z"}`,
	"tried-beside-a-silent-replica": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"ok","ms":4100,"first_ms":40,"sends":2,"ran":2,"replica":"i-1","status":200,"config":7,"state":"complete","tries":[{"Replica":"i-2","Result":"cancelled","Ms":20,"EndedBy":"host","SilentMs":20,"Beside":"i-1","AfterMs":1200},{"Replica":"i-1","Result":"answered","Ms":4100}],"time":"2026-06-01T10:00:10.1Z"}`,
	"answer-read-too-slowly": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"caller_gone","error":"caller_gone: the answer was aborted: its caller read it too slowly while this host was short of memory","ended_for_memory":true,"ms":4100,"first_ms":40,"sends":1,"ran":1,"replica":"i-1","status":200,"config":7,"state":"failed","time":"2026-06-01T10:00:10.1Z"}`,
	"over-limit": `
9.2 edge-1 {"level":"info","msg":"rate limit changed","organisation":"museum-a","before":"90000 tokens a second, burst 90000","limit":"47000 tokens a second, burst 112000","version":7,"time":"2026-06-01T10:00:09.2Z"}
10.1 edge-1 {"level":"warning","msg":"organisation over its rate limit","organisation":"museum-a","limit":"47000 tokens a second, burst 112000","time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"quota_exceeded","error":"quota_exceeded: museum-a is at its rate limit over all hosts: 47000 tokens a second, burst 112000; the request counts 17020","organisation":"museum-a","charged":0,"ms":0,"sends":0,"ran":0,"config":7,"retry_after_ms":310,"state":"","time":"2026-06-01T10:00:10Z"}`,
	"replica-lost": `
10.0 edge-2 {"level":"warning","msg":"replica thought down","replica":"i-1","reason":"unreachable","time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_lost","error":"backend_lost: the stream was cut: unexpected EOF","ms":1800,"first_ms":240,"expected_ms":200,"sends":1,"ran":1,"replica":"i-1","config":7,"weights":1,"state":"failed","tries":[{"Replica":"i-1","Result":"lost","Reason":"cut","Ms":1790}],"time":"2026-06-01T10:00:10.1Z"}`,
	"stream-cut-and-no-other": `
10.0 edge-1 {"level":"warning","msg":"replica thought down","replica":"i-2","reason":"unreachable","time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_lost","error":"backend_lost: the replica was lost and no other could take over","ms":1001,"first_ms":0,"expected_ms":56,"status":200,"sends":2,"ran":1,"replica":"i-2","config":7,"weights":1,"state":"failed","tries":[{"Replica":"i-1","Result":"lost","Reason":"the stream was cut: unexpected EOF","Ms":1001},{"Replica":"i-2","Result":"unreachable","Reason":"nothing was sent: connection refused","Ms":0}],"time":"2026-06-01T10:00:10.1Z"}`,
	"quarantined": `
7.1 edge-2 {"level":"warning","msg":"request refused from now on: servers crash under it","digest":"6b47bf19d2b6dff2","crashes":3,"time":"2026-06-01T10:00:07.1Z"}
7.2 edge-2 {"level":"warning","msg":"request refused from now on: servers crash under it","digest":"1111111111111111","crashes":3,"time":"2026-06-01T10:00:07.2Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"quarantined","error":"quarantined: 3 backend servers crashed while they were running this request; it is not sent to others","ms":0,"sends":0,"ran":0,"config":7,"state":"failed","digest":"6b47bf19d2b6dff2","tries":null,"time":"2026-06-01T10:00:10Z"}`,
	"quarantined-block": `
7.1 edge-2 {"level":"warning","msg":"prefix block refused from now on: servers crash under requests with it","digest":"6b47bf19d2b6dff2","crashes":4,"time":"2026-06-01T10:00:07.1Z"}
7.2 edge-2 {"level":"warning","msg":"prefix block refused from now on: servers crash under requests with it","digest":"1111111111111111","crashes":4,"time":"2026-06-01T10:00:07.2Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"quarantined","error":"quarantined: 4 backend servers crashed while they were running requests with the prefix block 2b55; none is sent to others","ms":0,"sends":0,"ran":0,"config":7,"state":"failed","digest":"22","blocks":["a1","2b55"],"refused_block":"6b47bf19d2b6dff2","tries":null,"time":"2026-06-01T10:00:10Z"}`,
	"replica-crashed": `
10.0 edge-2 {"level":"warning","msg":"replica thought down","replica":"i-1","reason":"unreachable","time":"2026-06-01T10:00:10Z"}
10.0 edge-1 {"level":"warning","msg":"replica crashed while it was running requests","replica":"i-1","requests":7,"time":"2026-06-01T10:00:10.02Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_lost","error":"backend_lost: the stream was cut: unexpected EOF","ms":1800,"first_ms":240,"expected_ms":200,"sends":1,"ran":1,"replica":"i-1","config":7,"weights":1,"state":"failed","digest":"6b47bf19d2b6dff2","tries":[{"Replica":"i-1","Result":"lost","Reason":"cut","Ms":1790}],"time":"2026-06-01T10:00:10.1Z"}`,
	"host-lost": `
10.9 edge-2 {"level":"warning","msg":"host lost: no heartbeats","host":"edge-1","time":"2026-06-01T10:00:10.9Z"}
10.9 edge-3 {"level":"warning","msg":"host lost: no heartbeats","host":"edge-1","time":"2026-06-01T10:00:10.95Z"}`,
	"answer-lost": `
8.9 edge-1 {"level":"info","msg":"answer thought lost: later requests were answered","replica":"i-1","waited_ms":1100,"time":"2026-06-01T10:00:08.9Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"caller_gone","error":"caller_gone: the caller left","ms":3200,"expected_ms":200,"sends":1,"ran":1,"replica":"i-1","config":7,"weights":1,"state":"failed","tries":[{"Replica":"i-1","Result":"cancelled","Reason":"ended","Ms":3190}],"time":"2026-06-01T10:00:10.1Z"}`,
	"answer-of-its-own-lost": `
8.0 edge-1 {"level":"info","msg":"answer thought lost: later requests were answered","replica":"i-1","waited_ms":1100,"time":"2026-06-01T10:00:08.010Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"caller_gone","error":"caller_gone: the caller left","ms":3200,"expected_ms":200,"sends":1,"ran":1,"replica":"i-1","config":7,"weights":1,"state":"failed","tries":[{"Replica":"i-1","Result":"cancelled","Reason":"ended","Ms":3190}],"time":"2026-06-01T10:00:10.1Z"}`,
	"nothing-expected": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"deadline_exceeded","error":"deadline_exceeded: the deadline passed","ms":800,"sends":1,"ran":1,"replica":"i-1","config":7,"state":"failed","tries":[{"Replica":"i-1","Result":"cancelled","Reason":"ended","Ms":790}],"time":"2026-06-01T10:00:10.1Z"}`,
	"configuration-changed": `
9.5 edge-1 {"level":"info","msg":"configuration in force","version":8,"time":"2026-06-01T10:00:09.5Z"}
10.1 edge-1 {"level":"info","msg":"request","request":"r-1","outcome":"ok","status":200,"ms":1400,"first_ms":1390,"expected_ms":60,"target_ms":150,"sends":1,"ran":1,"replica":"i-1","config":7,"state":"complete","time":"2026-06-01T10:00:10.1Z"}`,
	"short-of-cpu-time": `
9.5 edge-1 {"level":"info","msg":"directory names other hosts by load","zone":"z1","usual":2,"further":5,"others":0,"time":"2026-06-01T10:00:09.5Z"}
9.6 edge-2 {"level":"info","msg":"directory names other hosts by load","zone":"z1","usual":2,"further":6,"others":0,"time":"2026-06-01T10:00:09.6Z"}
10.1 edge-1 {"level":"info","msg":"request","request":"r-1","outcome":"ok","status":200,"ms":1400,"first_ms":1390,"expected_ms":60,"target_ms":150,"sends":1,"ran":1,"replica":"i-1","config":7,"state":"complete","time":"2026-06-01T10:00:10.1Z"}`,
	"old-weights": `
8.0 edge-1 {"level":"info","msg":"weights wanted","model":"m","version":2,"time":"2026-06-01T10:00:08Z"}
9.9 edge-2 {"level":"info","msg":"order to load weights","replica":"i-1","version":2,"time":"2026-06-01T10:00:09.9Z"}
10.1 edge-1 {"level":"info","msg":"request","request":"r-1","outcome":"ok","status":200,"ms":600,"first_ms":210,"expected_ms":200,"target_ms":800,"sends":1,"ran":1,"replica":"i-1","config":7,"weights":1,"state":"complete","time":"2026-06-01T10:00:10.1Z"}`,
	"awaited-prefill": `
10.1 edge-1 {"level":"info","msg":"request","request":"r-1","outcome":"ok","status":200,"ms":900,"first_ms":590,"expected_ms":140,"target_ms":800,"awaited_ms":430,"sends":1,"ran":1,"replica":"i-1","source":"i-2","config":7,"weights":1,"state":"complete","time":"2026-06-01T10:00:10.1Z"}`,
	"waited-for-room": `
10.0 edge-1 {"level":"warning","msg":"service short of capacity","service":"jobs","capacity":176,"offered":195,"time":"2026-06-01T10:00:10Z"}
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"overloaded","error":"overloaded: no server has room for the request: no_backend: no replica can take the request; known: 2 (2 tried)","shortage":"servers","room_wait_ms":85,"ms":88,"target_ms":300,"sends":3,"ran":0,"replica":"i-2","config":7,"retry_after_ms":210,"state":"failed","tries":[{"Replica":"i-1","Result":"refused","Reason":"backend_refused: the replica refused with 503","Ms":1},{"Replica":"i-2","Result":"refused","Reason":"backend_refused: the replica refused with 503","Ms":1},{"Replica":"i-2","Result":"refused","Reason":"backend_refused: the replica refused with 503","Ms":1}],"time":"2026-06-01T10:00:10.1Z"}`,
	"retry-refused": `
10.1 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_lost","error":"backend_lost: the stream was cut","retries_charged":1,"retry_refused":true,"ms":62,"sends":2,"ran":2,"replica":"i-2","config":7,"state":"failed","tries":[{"Replica":"i-1","Result":"lost","Reason":"backend_lost: the stream was cut","Ms":30},{"Replica":"i-2","Result":"lost","Reason":"backend_lost: the stream was cut","Ms":30}],"time":"2026-06-01T10:00:10.1Z"}`,
	"replicas-own-failure": `
9.1 edge-2 {"level":"warning","msg":"replica thought down","replica":"i-2","reason":"cancelled","time":"2026-06-01T10:00:09.1Z"}
10.1 edge-1 {"level":"info","msg":"request","request":"r-1","outcome":"backend_error","status":500,"ms":62,"sends":2,"ran":2,"replica":"i-2","config":7,"state":"complete","tries":[{"Replica":"i-1","Result":"failed","Reason":"the replica answered 500","Ms":30},{"Replica":"i-2","Result":"failed","Reason":"the replica answered 500","Ms":29}],"time":"2026-06-01T10:00:10.1Z"}`,
}

// logs implements logline.Logs on a text with the logs of all hosts.
type logs string

func (l logs) Each(f func(text []byte) error) error {
	return logline.Each(strings.NewReader(string(l)), f)
}

func explainRequest(t *testing.T, log string, everything bool) Explanation {
	t.Helper()
	out, err := Request("r-1", logs("starting\n"+background+log), everything)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestExplanations compares the explanation of each case with a golden file: the verdict
// names the cause, and no irrelevant line is included.
func TestExplanations(t *testing.T) {
	for name, log := range cases {
		explanation := explainRequest(t, log, false)
		text := explanation.Verdict + "\n"
		for _, l := range explanation.Lines {
			text += l.String() + "\n"
		}
		goldie.New(t).Assert(t, name, []byte(text))
		for _, l := range explanation.Lines {
			if l.Text("replica") == "i-9" || l.Message == "replica registered" {
				t.Errorf("%s: includes the irrelevant line %s", name, l.String())
			}
		}
	}
}

// TestEverything: with everything set, exactly the lines on the request's replicas since the
// logs begin are added.
func TestEverything(t *testing.T) {
	few, all := explainRequest(t, cases["replica-lost"], false), explainRequest(t, cases["replica-lost"], true)
	if len(all.Lines) != len(few.Lines)+2 {
		t.Errorf("%d lines with everything set, %d without", len(all.Lines), len(few.Lines))
	}
}

// TestRepeatedLinesAreDropped: the same line of several hosts is included once within
// repeatWindow; a later one is another event.
func TestRepeatedLinesAreDropped(t *testing.T) {
	line := func(at time.Duration) logline.Line {
		return logline.Line{At: time.Unix(0, 0).Add(at), Message: "replica registered", Fields: map[string]any{"replica": "i-1"}}
	}
	if got := dropRepeats([]logline.Line{line(0), line(repeatWindow / 2), line(2 * repeatWindow)}); len(got) != 2 {
		t.Errorf("%d lines", len(got))
	}
}
