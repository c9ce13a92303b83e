package logline

import (
	"testing"

	"github.com/briarlink/briarlink/internal/replica"
)

// TestHeadsAndLinesAgree: what is left out by its head must not be what the whole line
// would have told, whatever the types of its fields.
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

// TestEnds: only whole lines that end requests are ends; one of them with a field of a
// wrong type is an error, as its request would be missing from every sum.
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

// TestMayHold is wrong only by saying yes.
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

// BenchmarkLine says what each way to look at a line costs, for one of 480 bytes that
// ends another request.
func BenchmarkLine(b *testing.B) {
	text := []byte(`0.221 edge-zone-000 {"cached":1744,"config":7,"config_age_ms":111,"deadline_ms":3000,"expected_ms":303,"fetched":0,"first_ms":306,` +
		`"level":"info","ms":890,"msg":"request","organisation":"org-1248","outcome":"ok","prefix":"pb653ce","prompt":9957,"ran":1,` +
		`"replica":"i-00025","request":"0000000000000000","route":"reports","salt":"s","sends":1,"shared":9000,"sink":"","source":"",` +
		`"state":"complete","status":200,"target_ms":400,"weights":1,"time":"2026-06-01T10:00:00.220653748Z"}`)
	for name, look := range map[string]func(){
		"MayHold":   func() { MayHold(text, "r-lost") },
		"ParseHead": func() { ParseHead(text) },
		"ParseEnd":  func() { _, _ = ParseEnd(text) },
		"Parse":     func() { Parse(text) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				look()
			}
		})
	}
}

// TestLostReplica: where the replicas tried after the lost one could not be reached, the
// lost one is the cause, although the line's replica is the last.
func TestLostReplica(t *testing.T) {
	lost := replica.Lost.String()
	for want, r := range map[string]Request{
		"i-1": {Replica: "i-2", Tries: []Try{{Replica: "i-1", Result: lost}, {Replica: "i-2", Result: "unreachable"}}},
		"i-2": {Replica: "i-2", Tries: []Try{{Replica: "i-1", Result: lost}, {Replica: "i-2", Result: lost}}},
		"i-3": {Replica: "i-3"},
	} {
		if got := r.LostReplica(); got != want {
			t.Errorf("%s was lost, want %s", got, want)
		}
	}
}
