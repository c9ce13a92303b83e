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

func made(day string, seed int, without mechanism.Name, worth float64, broken ...string) play {
	return play{setting: setting{site: "north", day: day, seed: seed}, without: without, worth: worth, broken: broken}
}

func TestPlaysAreKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "target", "plays.csv")
	if plays, err := readPlays(file); err != nil || len(plays) != 0 {
		t.Fatalf("no file: %v, %v", plays, err)
	}
	want := []play{made("quiet", 0, nothing, 0.6085), made("heavy", 1, mechanism.Holds, -0.25, "TWICE", "STALE")}
	for _, p := range want {
		if err := appendPlays(file, []play{p}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := readPlays(file)
	if err != nil || len(got) != 2 || !got[0].same(want[0]) || got[0].worth != want[0].worth || len(got[0].broken) != 0 || !reflect.DeepEqual(got[1], want[1]) {
		t.Errorf("read %v, %v", got, err)
	}
}

func TestDamagedPlaysAreRefused(t *testing.T) {
	for _, line := range []string{"north,,quiet,0,0.5", "north,,quiet,first,0.5,", "north,,quiet,0,much,"} {
		file := filepath.Join(t.TempDir(), "plays.csv")
		if err := os.WriteFile(file, []byte(line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if plays, err := readPlays(file); err == nil {
			t.Errorf("%q was read as %v", line, plays)
		}
	}
}

func TestTable(t *testing.T) {
	got := table([]play{
		made("quiet", 0, nothing, 0.5), made("heavy", 0, nothing, 0.7),
		made("quiet", 0, mechanism.Holds, 0.4, "TWICE"), made("heavy", 0, mechanism.Holds, 0.5, "TWICE", "STALE"),
		made("quiet", 0, mechanism.Affinity, 0.6),
		made("quiet", 1, mechanism.Affinity, 0.1), // no play with all mechanisms to compare it with
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
		pairs[i].with.worth = 1
		pairs[i].less.worth = 1 - d
	}
	mean, se := difference(pairs)
	if math.Abs(mean-0.3) > 1e-9 || math.Abs(se-math.Sqrt(0.07/3)) > 1e-9 {
		t.Errorf("%f, %f", mean, se)
	}
}

func TestMissingPlays(t *testing.T) {
	o := &options{Site: "/sites/north.toml", Day: []string{"quiet", "heavy"}}
	got := o.missing([]play{made("quiet", 0, mechanism.Holds, 0.4), made("heavy", 0, nothing, 0.4)}, mechanism.Holds, 0)
	if len(got) != 1 || !got[0].same(made("heavy", 0, mechanism.Holds, 0)) {
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
	p := made("quiet", 0, mechanism.Holds, 0)
	if args := o.arguments(&p, "f"); slices.Contains(args, "--seed") || slices.Contains(args, "--no-cpu") {
		t.Errorf("a day's own seed: %v", args)
	}
	o.NoCPU, p.seed = true, 1
	if args := strings.Join(o.arguments(&p, "f"), " "); !strings.Contains(args, "--seed 7002") || !strings.Contains(args, "--no-cpu") {
		t.Errorf("another seed: %v", args)
	}
}

func TestWithFlag(t *testing.T) {
	got, err := withFlag(`run = "target/briarlink serve"`, mechanism.Holds)
	if err != nil || got != `run = "target/briarlink serve --without=holds"` {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := withFlag(`run = "target/briarlink"`, mechanism.Holds); err == nil {
		t.Error("a deploy file that does not serve was taken")
	}
}
