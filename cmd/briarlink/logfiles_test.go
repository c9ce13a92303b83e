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

// lines is a writer that calls a function for each write, which must be one line.
type lines func(text []byte) error

func (l lines) Write(text []byte) (int, error) { return len(text), l(text) }

// fleetLogs implements logline.Logs on the logs of a fleet, generated for each read, and
// measures the memory that is still in use after a read.
type fleetLogs struct {
	fleet
	// retained is the maximum heap in use at the end of a read.
	retained uint64
}

func (l *fleetLogs) Each(f func(text []byte) error) error {
	for host := range l.hosts {
		l.host(lines(f), host)
	}
	l.retained = max(l.retained, heapInUse())
	return nil
}

// heapInUse returns the bytes of reachable heap objects.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestMemoryDoesNotGrowWithLogs: commands that decode all lines of all hosts before they begin
// need a gigabyte for a day's logs of a large fleet, and 19 MB for the larger logs here. With
// ten times as many lines in the same hour, only the report's counts and the explanation's
// lines may stay in memory.
func TestMemoryDoesNotGrowWithLogs(t *testing.T) {
	const (
		few, many = 4 * fleetHosts, 40 * fleetHosts
		// maxGrowth is 49 bytes for each additional line. It is not 0 because the report's
		// histograms grow at first.
		maxGrowth = 512 << 10
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
			explanation, err := explain.Request(fleetLost, l, false)
			if err != nil || !strings.Contains(explanation.Verdict, "was lost") {
				t.Errorf("%v: %s", err, explanation.Verdict)
			}
		},
	} {
		retained := map[int]uint64{}
		for _, n := range []int{few, many} {
			l := &fleetLogs{fleet: fleet{fleetHosts, n}}
			before := heapInUse()
			read(t, l)
			retained[n] = l.retained - min(l.retained, before)
		}
		t.Logf("%s: %d bytes retained from %d lines, %d from %d", name, retained[few], few, retained[many], many)
		if retained[many] > retained[few]+maxGrowth {
			t.Errorf("%s: %d bytes retained from %d lines, %d from %d", name, retained[few], few, retained[many], many)
		}
	}
}

// explainOutput returns what the explain command prints, given standard input.
func explainOutput(t *testing.T, stdin *os.File, args ...string) string {
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

// TestPipesAreReadTwice: explain reads the logs twice, and a pipe can be read only once. The
// command must spool it, print the same as for files, and leave no temporary file behind.
func TestPipesAreReadTwice(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	names, _ := fleet{3, 300}.write(t, t.TempDir())
	want := explainOutput(t, os.Stdin, append([]string{fleetLost}, names...)...)
	if strings.Count(want, "\n") < 2 || strings.HasPrefix(want, "no line ends") {
		t.Fatalf("the explanation is %q", want)
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
	if got := explainOutput(t, r, fleetLost); got != want {
		t.Errorf("through a pipe: %s\nfrom files: %s", got, want)
	}
	left, err := os.ReadDir(os.Getenv("TMPDIR"))
	if err != nil || len(left) > 0 {
		t.Errorf("%v, left behind: %v", err, left)
	}
}

// TestProgress: a read that takes longer than the interval prints its progress, and a short
// one prints nothing.
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
			t.Errorf("it printed %q", out.String())
		}
		out.Reset()
		quick := newProgress(&out, "reading logs", 0).reader(strings.NewReader("x"))
		if _, err := io.Copy(io.Discard, quick); err != nil || out.Len() > 0 {
			t.Errorf("%v, it printed %q", err, out.String())
		}
	})
}

// TestErrorsNameTheFile: with the logs of hundreds of hosts, an error must say which file
// cannot be read.
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
