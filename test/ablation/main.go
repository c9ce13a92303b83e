// Command ablation plays days of a deployment with one mechanism switched off at a
// time and prints what each is worth: the mean worth with all of them, less the mean
// without it, over the same days and seeds.
//
// It is run in the repository:
//
//	go run ./test/ablation --bench BENCH --site SITE --day trouble-1 --day scale-1 --seeds 2
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/briarlink/briarlink/internal/mechanism"
)

type options struct {
	Bench   string   `required:"" type:"existingfile" help:"The users' bench."`
	Site    string   `required:"" type:"existingfile" help:"The deployment's file."`
	Day     []string `required:"" help:"Days to play."`
	Seeds   int      `default:"2" help:"Plays of each day, the first with the day's own seed."`
	Jobs    int      `default:"4" help:"Plays at once."`
	Without []string `help:"Mechanisms to switch off, one at a time; all by default."`
}

// firstSeed is the first of the seeds beside a day's own.
const firstSeed = 7001

func main() {
	var o options
	kong.Parse(&o)
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "ablation:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	if _, err := mechanism.Parse(o.Without); err != nil {
		return err
	}
	names := o.Without
	if len(names) == 0 {
		for _, n := range mechanism.All() {
			names = append(names, string(n))
		}
	}
	full, err := o.play("")
	if err != nil {
		return err
	}
	fmt.Printf("| switched off | mean worth | worth | standard error | rules broken |\n|---|---|---|---|---|\n")
	fmt.Printf("| nothing | %.4f | | | %d |\n", full.mean(), full.broken)
	for _, name := range names {
		less, err := o.play(name)
		if err != nil {
			return err
		}
		mean, se := full.over(less)
		fmt.Printf("| %s | %.4f | %+.4f | %.4f | %d |\n", name, less.mean(), mean, se, less.broken)
	}
	return nil
}

// results are the worths of the plays, in the same order each time.
type results struct {
	worth  []float64
	broken int
}

func (r results) mean() float64 {
	sum := 0.0
	for _, w := range r.worth {
		sum += w
	}
	return sum / float64(len(r.worth))
}

// over returns the mean of the differences to other results, play by play, and its
// standard error.
func (r results) over(other results) (mean, se float64) {
	n := float64(len(r.worth))
	for i, w := range r.worth {
		mean += (w - other.worth[i]) / n
	}
	sum := 0.0
	for i, w := range r.worth {
		d := w - other.worth[i] - mean
		sum += d * d
	}
	return mean, math.Sqrt(sum/max(1, n-1)) / math.Sqrt(n)
}

// play plays every day with every seed in a copy of the sources whose hosts run
// without a mechanism.
func (o *options) play(without string) (results, error) {
	dir, err := o.copySources(without)
	if err != nil {
		return results{}, err
	}
	defer os.RemoveAll(dir)
	if out, err := o.command(dir, "build").CombinedOutput(); err != nil {
		return results{}, errors.Wrapf(err, "build: %s", out)
	}
	r := results{worth: make([]float64, len(o.Day)*o.Seeds)}
	broken := make([]bool, len(r.worth))
	var group errgroup.Group
	group.SetLimit(o.Jobs)
	for i := range r.worth {
		group.Go(func() error {
			r.worth[i], broken[i], err = o.one(dir, without, o.Day[i/o.Seeds], i%o.Seeds)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return r, err
	}
	for _, b := range broken {
		if b {
			r.broken++
		}
	}
	return r, o.keepJournal(dir)
}

// report is what the bench says of a day.
type report struct {
	// G is the worth.
	G      float64
	Breaks map[string]any
}

func (o *options) one(dir, without, day string, seed int) (worth float64, broken bool, err error) {
	file := filepath.Join(dir, "target", fmt.Sprintf("report-%s-%d.json", day, seed))
	args := []string{"run", o.Site, day, "--report", file, "--why", "Ablation, without: " + without}
	if seed > 0 {
		args = append(args, "--seed", strconv.Itoa(firstSeed+seed))
	}
	out, runErr := o.command(dir, args...).CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, false, errors.Wrapf(err, "%s was not played (%v): %.400s", day, runErr, out)
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return 0, false, errors.Wrap(err, "read a report")
	}
	return r.G, len(r.Breaks) > 0, nil
}

func (o *options) command(dir string, args ...string) *exec.Cmd {
	cmd := exec.Command(o.Bench, args...)
	cmd.Dir = dir
	return cmd
}

// copySources returns a copy of the sources as committed, with the flag that
// switches the mechanism off in the deploy file.
func (o *options) copySources(without string) (string, error) {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return "", errors.Wrap(err, "make a folder for the sources")
	}
	if out, err := exec.Command("git", "clone", "-q", "--depth", "1", "file://"+mustGetwd(), dir).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "copy the sources: %s", out)
	}
	if without == "" {
		return dir, nil
	}
	file := filepath.Join(dir, "deploy", "system.toml")
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read the deploy file")
	}
	text := strings.Replace(string(data), "briarlink serve", "briarlink serve --without="+without, 1)
	return dir, errors.Wrap(os.WriteFile(file, []byte(text), 0o600), "write the deploy file")
}

// keepJournal moves the entries of the plays to the repository's journal.
func (o *options) keepJournal(dir string) error {
	entries, err := filepath.Glob(filepath.Join(dir, "journal", "*.json"))
	if err != nil {
		return errors.Wrap(err, "find the journal's entries")
	}
	for _, from := range entries {
		to := filepath.Join("journal", filepath.Base(from))
		if _, err := os.Stat(to); err == nil {
			continue
		}
		data, err := os.ReadFile(from)
		if err != nil {
			return errors.Wrap(err, "read an entry")
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			return errors.Wrap(err, "keep an entry")
		}
	}
	return nil
}

func mustGetwd() string {
	dir, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return dir
}
