package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarlink/briarlink/internal/explain"
	"github.com/briarlink/briarlink/internal/logreport"
)

// lines calls a function for each line that is written to it: a line is one write.
type lines func(text []byte) error

func (l lines) Write(text []byte) (int, error) { return len(text), l(text) }

// fleetLogs are the logs of a fleet, made anew each time, and measures what is kept of
// them.
type fleetLogs struct {
	fleet
	// kept is the most memory, of those at the ends of the readings, that is reachable.
	kept uint64
}

func (l *fleetLogs) Each(f func(text []byte) error) error {
	for host := range l.hosts {
		l.host(lines(f), host)
	}
	l.kept = max(l.kept, reachable())
	return nil
}

// reachable returns the bytes of memory that are in use for something.
func reachable() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryDoesNotGrowWithLogs: both commands had every line of every host in memory,
// decoded, before they began: a gigabyte for a day of the largest deployment, and 19 MB
// for the greater number of lines here. Ten times as many lines of the same hour now leave
// no more in memory than the report's counts and the story's lines.
func TestMemoryDoesNotGrowWithLogs(t *testing.T) {
	const (
		few, many = 4 * fleetHosts, 40 * fleetHosts
		// most is 49 bytes for each line more; the report's counts fill up at first.
		most = 512 << 10
	)
	for name, read := range map[string]func(*testing.T, *fleetLogs){
		"report": func(t *testing.T, l *fleetLogs) {
			report, err := logreport.New(10 * time.Minute)
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Each(report.Add); err != nil {
				t.Fatal(err)
			}
			if got := len(report.Intervals()); got != 6 {
				t.Errorf("%d intervals", got)
			}
		},
		"explain": func(t *testing.T, l *fleetLogs) {
			story, err := explain.Request(fleetLost, l, false)
			if err != nil || !strings.Contains(story.Verdict, "was lost") {
				t.Errorf("%v: %s", err, story.Verdict)
			}
		},
	} {
		kept := map[int]uint64{}
		for _, n := range []int{few, many} {
			l := &fleetLogs{fleet: fleet{fleetHosts, n}}
			before := reachable()
			read(t, l)
			kept[n] = l.kept - min(l.kept, before)
		}
		t.Logf("%s: %d bytes of %d lines, %d of %d", name, kept[few], few, kept[many], many)
		if kept[many] > kept[few]+most {
			t.Errorf("%s: %d bytes of %d lines, %d of %d", name, kept[few], few, kept[many], many)
		}
	}
}

// story returns what explain prints, given standard input.
func story(t *testing.T, stdin *os.File, args ...string) string {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	in, out := os.Stdin, os.Stdout
	os.Stdin, os.Stdout = stdin, file
	code := run(append([]string{"explain"}, args...))
	os.Stdin, os.Stdout = in, out
	if err := file.Close(); err != nil || code != exitOK {
		t.Fatalf("exit code %d, %v", code, err)
	}
	text, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestPipesAreReadTwice: the story takes two readings, and logs often come through a pipe.
func TestPipesAreReadTwice(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	names, _ := fleet{3, 300}.write(t, t.TempDir())
	want := story(t, os.Stdin, append([]string{fleetLost}, names...)...)
	if strings.Count(want, "\n") < 2 || strings.HasPrefix(want, "no line ends") {
		t.Fatalf("the story is %q", want)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	go func() {
		defer w.Close()
		for host := range 3 {
			fleet{3, 300}.host(w, host)
		}
	}()
	if got := story(t, r, fleetLost); got != want {
		t.Errorf("through a pipe: %s\nfrom files: %s", got, want)
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	if err != nil || len(left) > 0 {
		t.Errorf("%v, left behind: %v", err, left)
	}
}

// TestProgress: work that takes longer than the interval says how far it is, and only
// then.
func TestProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := newProgress(&out, "reading logs", 4e6).reader(strings.NewReader(strings.Repeat("x", 4e6)))
		for range 3 {
			if _, err := io.CopyN(io.Discard, r, 1e6); err != nil {
				t.Fatal(err)
			}
			time.Sleep(progressInterval)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 3 || !strings.HasSuffix(lines[0], " of 4 MB") {
			t.Errorf("it says %q", out.String())
		}
		out.Reset()
		quick := newProgress(&out, "reading logs", 0).reader(strings.NewReader("x"))
		if _, err := io.Copy(io.Discard, quick); err != nil || out.Len() > 0 {
			t.Errorf("%v, it says %q", err, out.String())
		}
	})
}

// TestErrorsNameTheFile: among the logs of hundreds of hosts an operator must find the one
// that cannot be read.
func TestErrorsNameTheFile(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"mistyped.log": `{"msg":"request","ms":"three","time":"2026-06-01T10:00:00Z"}`,
		"long.log":     strings.Repeat("x", 2<<20),
	} {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		report, err := logreport.New(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		logs := newLogFiles([]string{name})
		if err := logs.Each(report.Add); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
		logs.Close()
	}
}
