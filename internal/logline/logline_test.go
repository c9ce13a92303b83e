package logline

import (
	"testing"

	"github.com/briarlink/briarlink/internal/replica"
)

// TestHeadsAndLinesAgree: lines are filtered by their head, so the head must have the same
// values as the fully parsed line, whatever the types of its fields.
func TestHeadsAndLinesAgree(t *testing.T) {
	for _, text := range []string{
		`1.0 edge-1 {"msg":"request","request":"r-1","replica":"i-1","time":"2026-06-01T10:00:00.5Z"}`,
		`{"msg":"request","request":7,"replica":["i-1"],"time":"2026-06-01T10:00:00Z"}`,
		`edge-1 {"msg":5,"time":"2026-06-01T10:00:00Z"}`,
		`edge-1 {"msg":"started"}`,
		`edge-1 {"msg":"started","time":"noon"}`,
		`edge-1 {"msg":"started","time":"2026-06-01T10:00:00Z"`,
		`edge-1 starting`,
		`{}`,
		``,
	} {
		h, isHead := ParseHead([]byte(text))
		l, isLine := Parse([]byte(text))
		if isHead != isLine {
			t.Errorf("%s: head %t, line %t", text, isHead, isLine)
		}
		if !isLine {
			continue
		}
		if !h.At.Equal(l.At) || h.Source() != l.Source || h.Message != l.Message || h.Request != l.Text("request") || h.Replica != l.Text("replica") {
			t.Errorf("%s: head %+v, line %+v", text, h, l)
		}
	}
}

// TestEnds: ParseEnd accepts only complete lines that end requests. A field of the wrong type
// is an error, because the request would otherwise be missing from every report.
func TestEnds(t *testing.T) {
	for text, want := range map[string]struct{ end, err bool }{
		`edge-1 {"msg":"request","request":"r-1","ms":3,"time":"2026-06-01T10:00:00Z"}`: {end: true},
		`{"msg":"re\u0071uest","request":"r-1","ms":3,"time":"2026-06-01T10:00:00Z"}`:   {end: true},
		`{"msg":"request","request":"r-1","ms":"three","time":"2026-06-01T10:00:00Z"}`:  {err: true},
		`{"msg":"request","request":"r-1","ms":3,"time":"noon"}`:                        {},
		`{"msg":"request","request":"r-1","ms":3,"time":"2026-06-01T10:00:00Z"`:         {},
		`{"msg":"started","request":"r-1","ms":"three","time":"2026-06-01T10:00:00Z"}`:  {},
		`{"msg":"started","kind":"request","time":"2026-06-01T10:00:00Z"}`:              {},
		`the request went {"msg":"started","kind":"x","time":"2026-06-01T10:00:00Z"}`:   {},
		`"request"`: {},
		``:          {},
	} {
		end, err := ParseEnd([]byte(text))
		if (end != nil) != want.end || (err != nil) != want.err {
			t.Errorf("%s: %+v, %v", text, end, err)
		}
		if end != nil && (end.ID != "r-1" || end.Ms != 3) {
			t.Errorf("%s: %+v", text, end)
		}
	}
}

// TestMayHold: MayHold returns true for lines that contain the word, and for those that may
// contain it with escaped characters.
func TestMayHold(t *testing.T) {
	for text, want := range map[string]bool{
		`{"request":"r-1"}`:      true,
		`{"request":"r\u002d1"}`: true,
		`{"request":"r-2"}`:      false,
	} {
		if MayHold([]byte(text), "r-1") != want {
			t.Errorf("%s: not %t", text, want)
		}
	}
}

// BenchmarkLine measures each way to inspect a line, on a line of 480 bytes that ends a
// request other than the one searched for.
func BenchmarkLine(b *testing.B) {
	text := []byte(`0.221 edge-zone-000 {"cached":1744,"config":7,"config_age_ms":111,"deadline_ms":3000,"expected_ms":303,"fetched":0,"first_ms":306,` +
		`"level":"info","ms":890,"msg":"request","organisation":"org-1248","outcome":"ok","prefix":"pb653ce","prompt":9957,"ran":1,` +
		`"replica":"i-00025","request":"0000000000000000","route":"reports","salt":"s","sends":1,"shared":9000,"sink":"","source":"",` +
		`"state":"complete","status":200,"target_ms":400,"weights":1,"time":"2026-06-01T10:00:00.220653748Z"}`)
	for name, inspect := range map[string]func(){
		"MayHold":   func() { MayHold(text, "r-lost") },
		"ParseHead": func() { ParseHead(text) },
		"ParseEnd":  func() { _, _ = ParseEnd(text) },
		"Parse":     func() { Parse(text) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				inspect()
			}
		})
	}
}

// TestLostReplica: if the replicas attempted after the lost one could not be reached, the
// lost one is the cause of the failure, although the line names the last one.
func TestLostReplica(t *testing.T) {
	lost := replica.Lost.String()
	for want, r := range map[string]Request{
		"i-1": {Replica: "i-2", Tries: []Attempt{{Replica: "i-1", Result: lost}, {Replica: "i-2", Result: "unreachable"}}},
		"i-2": {Replica: "i-2", Tries: []Attempt{{Replica: "i-1", Result: lost}, {Replica: "i-2", Result: lost}}},
		"i-3": {Replica: "i-3"},
	} {
		if got := r.LostReplica(); got != want {
			t.Errorf("lost replica is %s, want %s", got, want)
		}
	}
}
