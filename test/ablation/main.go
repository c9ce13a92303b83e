// Command ablation measures what each mechanism contributes to the score of a deployment.
// It runs days of the deployment with one mechanism disabled at a time and prints the mean
// score with all mechanisms minus the mean score without it, over the same days and seeds.
// Finished runs are saved in a file, so that a long series can be interrupted and resumed.
//
// Run it at the root of the repository:
//
//	go run ./test/ablation --bench BENCH --site SITE --day trouble-1 --day scale-1 --seeds 2
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/briarlink/briarlink/internal/mechanism"
)

type options struct {
	Bench   string        `required:"" type:"existingfile" help:"Program of the users' bench."`
	Site    string        `required:"" type:"existingfile" help:"File that describes the deployment."`
	Day     []string      `required:"" help:"Days to run."`
	Seeds   int           `default:"2" help:"Runs of each day, each with another seed; the first uses the day's own seed."`
	Jobs    int           `default:"4" help:"Number of days to run in parallel."`
	Without []string      `help:"Mechanisms to disable, one at a time; all by default."`
	NoCPU   bool          `name:"no-cpu" help:"Don't charge CPU time. Runs are then reproducible, so that compared runs differ only by the mechanism."`
	Plays   string        `default:"target/ablation.csv" help:"File of finished runs, which are not repeated."`
	For     time.Duration `default:"24h" help:"Start no further row of a seed after this time; the table shows the finished runs."`
}

// seedBase plus the number of a run, which counts from 0, is the seed of each run but the
// first; that one uses the day's own seed.
const seedBase = 7001

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
	runs, err := readRuns(o.Plays)
	if err != nil {
		return err
	}
	if runs, err = o.runMissing(runs); err != nil {
		return err
	}
	for _, line := range table(runs) {
		fmt.Println(line)
	}
	return nil
}

// runMissing makes the runs that the file doesn't have yet: all rows with one seed before
// any row with the next seed.
func (o *options) runMissing(runs []dayRun) ([]dayRun, error) {
	dir, err := copySources()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	stop := time.Now().Add(o.For)
	for seed := range o.Seeds {
		for _, without := range o.rows() {
			missing := o.missing(runs, without, seed)
			if len(missing) == 0 {
				continue
			}
			if time.Now().After(stop) {
				return runs, nil
			}
			finished, err := o.runRow(dir, missing)
			if err != nil {
				return nil, err
			}
			runs = append(runs, finished...)
			fmt.Fprintf(os.Stderr, "%s seed %d without %q: done\n", o.siteName(), seed, without)
		}
	}
	return runs, nil
}

// rows returns the mechanisms to disable, preceded by the row that disables none.
func (o *options) rows() []mechanism.Name {
	names := []mechanism.Name{nothing}
	if len(o.Without) == 0 {
		return append(names, mechanism.All()...)
	}
	for _, n := range o.Without {
		names = append(names, mechanism.Name(strings.TrimSpace(n)))
	}
	return names
}

func (o *options) siteName() string {
	return strings.TrimSuffix(filepath.Base(o.Site), filepath.Ext(o.Site))
}

// missing returns a row's runs with a seed that are not among the finished runs.
func (o *options) missing(runs []dayRun, without mechanism.Name, seed int) []dayRun {
	var missing []dayRun
	for _, day := range o.Day {
		d := dayRun{setting: setting{site: o.siteName(), day: day, seed: seed}, without: without}
		if !slices.ContainsFunc(runs, d.same) {
			missing = append(missing, d)
		}
	}
	return missing
}

// runRow makes the runs without one mechanism and saves them.
func (o *options) runRow(dir string, row []dayRun) ([]dayRun, error) {
	if err := disable(dir, row[0].without); err != nil {
		return nil, err
	}
	if out, err := o.command(dir, "build").CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "build: %s", out)
	}
	var group errgroup.Group
	group.SetLimit(o.Jobs)
	for i := range row {
		group.Go(func() error { return o.runDay(dir, &row[i]) })
	}
	runErr := group.Wait()
	if err := copyJournal(dir); err != nil {
		return nil, err
	}
	if runErr != nil {
		return nil, runErr
	}
	return row, appendRuns(o.Plays, row)
}

// report is the bench's report about a day.
type report struct {
	// G is the score.
	G float64
	// Breaks has the names of the violated rules as keys.
	Breaks map[string]any
}

// runDay runs a day and stores its outcome in the run.
func (o *options) runDay(dir string, d *dayRun) error {
	file := filepath.Join(dir, "target", fmt.Sprintf("report-%s-%s-%d.json", d.without, d.day, d.seed))
	out, benchErr := o.command(dir, o.arguments(d, file)...).CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrapf(err, "%s has no report (%v): %.400s", d.day, benchErr, out)
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "decode the report")
	}
	d.score, d.violations = r.G, slices.Sorted(maps.Keys(r.Breaks))
	return nil
}

func (o *options) arguments(d *dayRun, file string) []string {
	args := []string{"run", o.Site, d.day, "--report", file, "--why", "Ablation, without: " + string(d.without)}
	if d.seed > 0 {
		args = append(args, "--seed", strconv.Itoa(seedBase+d.seed))
	}
	if o.NoCPU {
		args = append(args, "--no-cpu")
	}
	return args
}

func (o *options) command(dir string, args ...string) *exec.Cmd {
	cmd := exec.Command(o.Bench, args...)
	cmd.Dir = dir
	return cmd
}

// copySources clones the committed sources into a temporary folder. All rows use this one
// folder in turn, because sources in another folder would be compiled again.
func copySources() (string, error) {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return "", errors.Wrap(err, "make a folder for the sources")
	}
	if out, err := exec.Command("git", "clone", "-q", "--depth", "1", "file://"+mustGetwd(), dir).CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "copy the sources: %s", out)
	}
	return dir, nil
}

// disable restores the committed deploy file and adds the flag that disables the mechanism.
func disable(dir string, without mechanism.Name) error {
	if out, err := exec.Command("git", "-C", dir, "checkout", "-q", "deploy").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "restore the deploy file: %s", out)
	}
	if without == nothing {
		return nil
	}
	file := filepath.Join(dir, "deploy", "system.toml")
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the deploy file")
	}
	text, err := withFlag(string(data), without)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o600), "write the deploy file")
}

func withFlag(deploy string, without mechanism.Name) (string, error) {
	const serve = "briarlink serve"
	if !strings.Contains(deploy, serve) {
		return "", errors.Errorf("the deploy file does not run %q", serve)
	}
	return strings.Replace(deploy, serve, serve+" --without="+string(without), 1), nil
}

// copyJournal copies the journal entries of the runs, and the files that they refer to,
// into the repository's journal.
func copyJournal(dir string) error {
	for _, pattern := range []string{"*.json", "blobs/*"} {
		files, err := filepath.Glob(filepath.Join(dir, "journal", pattern))
		if err != nil {
			return errors.Wrap(err, "find the journal's entries")
		}
		for _, from := range files {
			if err := copyFile(from, filepath.Join("journal", filepath.Dir(pattern), filepath.Base(from))); err != nil {
				return err
			}
		}
	}
	return nil
}

// copyFile copies a file unless the destination exists.
func copyFile(from, to string) error {
	if _, err := os.Stat(to); err == nil {
		return nil
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "read a journal entry")
	}
	return errors.Wrap(os.WriteFile(to, data, 0o600), "write a journal entry")
}

func mustGetwd() string {
	dir, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return dir
}
