package obs

import (
	"strings"
	"testing"
)

func TestCheckLine(t *testing.T) {
	request := `{"time":"2026-06-01T10:00:00.5Z","level":"warning","msg":"request","request":"r","outcome":"overloaded","ms":1,"state":"failed","sends":0,"ran":0}`
	for name, c := range map[string]struct{ line, want string }{
		"a request":          {request, ""},
		"an event":           {`{"time":"2026-06-01T10:00:00Z","level":"info","msg":"ready"}`, ""},
		"no JSON":            {"panic: x", "not a JSON object"},
		"no time":            {`{"level":"info","msg":"ready"}`, "time"},
		"an unknown message": {`{"time":"2026-06-01T10:00:00Z","level":"info","msg":"hello"}`, "unknown message"},
		"another level":      {`{"time":"2026-06-01T10:00:00Z","level":"error","msg":"ready"}`, "at level"},
		"a missing field":    {strings.Replace(request, `"sends":0,`, "", 1), "without \"sends\""},
		"an unknown outcome": {strings.Replace(request, "overloaded", "meh", 1), "unknown outcome"},
	} {
		err := CheckLine([]byte(c.line))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
