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
	for _, command := range []string{"", "serve", "settings check", "admin", "admin status", "explain", "logs check", "logs report", "completion", "version"} {
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
