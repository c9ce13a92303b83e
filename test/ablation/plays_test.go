package main

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/briarlink/briarlink/internal/mechanism"
)

func testRun(day string, seed int, without mechanism.Name, score float64, violations ...string) dayRun {
	return dayRun{setting: setting{site: "north", day: day, seed: seed}, without: without, score: score, violations: violations}
}

func TestRunsAreSaved(t *testing.T) {
	file := filepath.Join(t.TempDir(), "target", "plays.csv")
	if runs, err := readRuns(file); err != nil || len(runs) != 0 {
		t.Fatalf("no file: %v, %v", runs, err)
	}
	want := []dayRun{testRun("quiet", 0, nothing, 0.6085), testRun("heavy", 1, mechanism.Holds, -0.25, "TWICE", "STALE")}
	for _, d := range want {
		if err := appendRuns(file, []dayRun{d}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := readRuns(file)
	if err != nil || len(got) != 2 || !got[0].same(want[0]) || got[0].score != want[0].score || len(got[0].violations) != 0 || !reflect.DeepEqual(got[1], want[1]) {
		t.Errorf("read %v, %v", got, err)
	}
}

func TestDamagedRunsAreRejected(t *testing.T) {
	for _, line := range []string{"north,,quiet,0,0.5", "north,,quiet,first,0.5,", "north,,quiet,0,much,"} {
		file := filepath.Join(t.TempDir(), "plays.csv")
		if err := os.WriteFile(file, []byte(line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if runs, err := readRuns(file); err == nil {
			t.Errorf("%q was read as %v", line, runs)
		}
	}
}

func TestTable(t *testing.T) {
	got := table([]dayRun{
		testRun("quiet", 0, nothing, 0.5), testRun("heavy", 0, nothing, 0.7),
		testRun("quiet", 0, mechanism.Holds, 0.4, "TWICE"), testRun("heavy", 0, mechanism.Holds, 0.5, "TWICE", "STALE"),
		testRun("quiet", 0, mechanism.Affinity, 0.6),
		testRun("quiet", 1, mechanism.Affinity, 0.1), // has no run with all mechanisms to compare it with
	})[2:]
	want := []string{
		"| north | nothing | 0.6000 | | | 2 | 0 |",
		"| north | holds | 0.4500 | +0.1500 | 0.0500 | 2 | STALE 1, TWICE 2 |",
		"| north | affinity | 0.6000 | -0.1000 | NaN | 1 | 0 |",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestDifference(t *testing.T) {
	pairs := make([]pair, 3)
	for i, d := range []float64{0.1, 0.2, 0.6} {
		pairs[i].with.score = 1
		pairs[i].without.score = 1 - d
	}
	mean, se := difference(pairs)
	if math.Abs(mean-0.3) > 1e-9 || math.Abs(se-math.Sqrt(0.07/3)) > 1e-9 {
		t.Errorf("%f, %f", mean, se)
	}
}

func TestMissingRuns(t *testing.T) {
	o := &options{Site: "/sites/north.toml", Day: []string{"quiet", "heavy"}}
	got := o.missing([]dayRun{testRun("quiet", 0, mechanism.Holds, 0.4), testRun("heavy", 0, nothing, 0.4)}, mechanism.Holds, 0)
	if len(got) != 1 || !got[0].same(testRun("heavy", 0, mechanism.Holds, 0)) {
		t.Errorf("missing: %v", got)
	}
}

func TestRows(t *testing.T) {
	all := (&options{}).rows()
	if len(all) != 1+len(mechanism.All()) || all[0] != nothing {
		t.Errorf("all: %v", all)
	}
	if got := (&options{Without: []string{" holds"}}).rows(); !slices.Equal(got, []mechanism.Name{nothing, mechanism.Holds}) {
		t.Errorf("one: %v", got)
	}
}

func TestArguments(t *testing.T) {
	o := &options{Site: "north.toml"}
	d := testRun("quiet", 0, mechanism.Holds, 0)
	if args := o.arguments(&d, "f"); slices.Contains(args, "--seed") || slices.Contains(args, "--no-cpu") {
		t.Errorf("arguments with the day's own seed: %v", args)
	}
	o.NoCPU, d.seed = true, 1
	if args := strings.Join(o.arguments(&d, "f"), " "); !strings.Contains(args, "--seed 7002") || !strings.Contains(args, "--no-cpu") {
		t.Errorf("arguments with another seed: %v", args)
	}
}

func TestWithFlag(t *testing.T) {
	got, err := withFlag(`run = "target/briarlink serve"`, mechanism.Holds)
	if err != nil || got != `run = "target/briarlink serve --without=holds"` {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := withFlag(`run = "target/briarlink"`, mechanism.Holds); err == nil {
		t.Error("a deploy file without the serve command was accepted")
	}
}
