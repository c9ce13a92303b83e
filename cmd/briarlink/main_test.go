package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/sebdah/goldie/v2"
)

// TestHelp keeps the help of every command in golden files; -update renews them.
func TestHelp(t *testing.T) {
	for _, command := range []string{"", "serve", "settings check", "admin", "admin status", "explain", "logs check", "version"} {
		var out bytes.Buffer
		parser, err := newParser(kong.Writers(&out, &out), kong.Exit(func(int) { panic("exit") }))
		if err != nil {
			t.Fatal(err)
		}
		func() {
			defer func() { _ = recover() }()
			_, _ = parser.Parse(append(strings.Fields(command), "--help"))
		}()
		name := strings.ReplaceAll(strings.TrimSpace("help "+command), " ", "-")
		goldie.New(t).Assert(t, name, out.Bytes())
	}
}

// TestExitCodes runs commands that need no host.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	if err := os.WriteFile(bad, []byte("{\n\"speed\": 1,\n\"log\": {\"level\": \"loud\"},\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		want int
	}{
		{"version", exitOK},
		{"settings check " + bad, exitUsage},
		{"settings check /does/not/exist", exitUsage},
		{"no-such-command", exitUsage},
		{"admin --address 127.0.0.1:1 --output xml status", exitUsage},
		{"admin --address 127.0.0.1:1 status", exitFailed},
		{"explain r-1 /does/not/exist", exitFailed},
		{"logs check /does/not/exist", exitFailed},
		{"logs check " + bad, exitUsage},
	} {
		if got := run(strings.Fields(c.args)); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.args, got, c.want)
		}
	}
}

// TestExplain tells a request's story from the lines of two hosts, other programs'
// lines and prefixes before a line included.
func TestExplain(t *testing.T) {
	logs := `starting
{"level":"info","msg":"configuration in force","version":7,"time":"2026-06-01T10:00:00Z"}
  12.5 edge-1 {"level":"warning","msg":"request","request":"r-1","outcome":"backend_lost","tries":[{"Replica":"i-1","Result":"lost"}],"time":"2026-06-01T10:00:02Z"}
{"level":"info","msg":"replica changed state","replica":"i-1","state":"gone","time":"2026-06-01T10:00:01Z"}
{"level":"info","msg":"replica changed state","replica":"i-2","state":"gone","time":"2026-06-01T10:00:01Z"}
`
	got, err := explain("r-1", strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"configuration in force", "state=gone", "outcome=backend_lost"} {
		if i >= len(got) || !strings.Contains(got[i], want) {
			t.Errorf("line %d of %q lacks %q", i, got, want)
		}
	}
	if len(got) != 3 {
		t.Errorf("%d lines, want 3", len(got))
	}
}

// TestExplainFoldsWhatAllHostsSay: of one event, not of a later one.
func TestExplainFoldsWhatAllHostsSay(t *testing.T) {
	line := func(time string) string {
		return `{"level":"info","msg":"replica registered","replica":"i-1","time":"` + time + `"}` + "\n"
	}
	logs := line("2026-06-01T10:00:00Z") + line("2026-06-01T10:00:00.2Z") + line("2026-06-01T10:00:05Z") +
		`{"level":"info","msg":"request","request":"r-1","replica":"i-1","time":"2026-06-01T10:00:06Z"}`
	story, err := explain("r-1", strings.NewReader(logs))
	if err != nil || len(story) != 3 {
		t.Errorf("%d lines, %v: %q", len(story), err, story)
	}
}
