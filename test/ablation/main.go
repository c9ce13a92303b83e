// Command ablation plays days of a deployment with one mechanism switched off at a
// time and prints what each is worth: the mean worth with all of them, less the mean
// without it, over the same days and seeds. Plays that were made are kept in a file, so
// that a long series can be stopped and gone on with.
//
// It is run in the repository:
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
	Bench   string        `required:"" type:"existingfile" help:"The users' bench."`
	Site    string        `required:"" type:"existingfile" help:"The deployment's file."`
	Day     []string      `required:"" help:"Days to play."`
	Seeds   int           `default:"2" help:"Plays of each day, the first with the day's own seed."`
	Jobs    int           `default:"4" help:"Plays at once."`
	Without []string      `help:"Mechanisms to switch off, one at a time; all by default."`
	NoCPU   bool          `name:"no-cpu" help:"Charge no processor time: a play then repeats, so that pairs differ by the mechanism alone."`
	Plays   string        `default:"target/ablation.csv" help:"File of the plays made; those in it are not made again."`
	For     time.Duration `default:"24h" help:"Begin no row of a seed after this long; the table shows what was played."`
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
	plays, err := readPlays(o.Plays)
	if err != nil {
		return err
	}
	if plays, err = o.playMissing(plays); err != nil {
		return err
	}
	for _, line := range table(plays) {
		fmt.Println(line)
	}
	return nil
}

// playMissing makes the plays that are not there yet: every row with one seed before
// any row with the next.
func (o *options) playMissing(plays []play) ([]play, error) {
	dir, err := copySources()
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	stop := time.Now().Add(o.For)
	for seed := range o.Seeds {
		for _, without := range o.rows() {
			missing := o.missing(plays, without, seed)
			if len(missing) == 0 {
				continue
			}
			if time.Now().After(stop) {
				return plays, nil
			}
			made, err := o.playRow(dir, missing)
			if err != nil {
				return nil, err
			}
			plays = append(plays, made...)
			fmt.Fprintf(os.Stderr, "%s seed %d without %q: played\n", o.siteName(), seed, without)
		}
	}
	return plays, nil
}

// rows are the mechanisms to switch off, after nothing.
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

func (o *options) missing(plays []play, without mechanism.Name, seed int) []play {
	var missing []play
	for _, day := range o.Day {
		p := play{setting: setting{site: o.siteName(), day: day, seed: seed}, without: without}
		if !slices.ContainsFunc(plays, p.same) {
			missing = append(missing, p)
		}
	}
	return missing
}

// playRow makes plays without one mechanism and keeps them.
func (o *options) playRow(dir string, row []play) ([]play, error) {
	if err := switchOff(dir, row[0].without); err != nil {
		return nil, err
	}
	if out, err := o.command(dir, "build").CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "build: %s", out)
	}
	var group errgroup.Group
	group.SetLimit(o.Jobs)
	for i := range row {
		group.Go(func() error { return o.one(dir, &row[i]) })
	}
	playErr := group.Wait()
	if err := keepJournal(dir); err != nil {
		return nil, err
	}
	if playErr != nil {
		return nil, playErr
	}
	return row, appendPlays(o.Plays, row)
}

// report is what the bench says of a day.
type report struct {
	// G is the worth.
	G      float64
	Breaks map[string]any
}

// one makes a play and notes its outcome in it.
func (o *options) one(dir string, p *play) error {
	file := filepath.Join(dir, "target", fmt.Sprintf("report-%s-%s-%d.json", p.without, p.day, p.seed))
	out, runErr := o.command(dir, o.arguments(p, file)...).CombinedOutput()
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrapf(err, "%s was not played (%v): %.400s", p.day, runErr, out)
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "read a report")
	}
	p.worth, p.broken = r.G, slices.Sorted(maps.Keys(r.Breaks))
	return nil
}

func (o *options) arguments(p *play, file string) []string {
	args := []string{"run", o.Site, p.day, "--report", file, "--why", "Ablation, without: " + string(p.without)}
	if p.seed > 0 {
		args = append(args, "--seed", strconv.Itoa(firstSeed+p.seed))
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

// copySources returns a copy of the sources as committed. All rows use it one after
// another, as sources in another folder would be compiled again.
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

// switchOff puts the flag that switches the mechanism off into the deploy file as
// committed.
func switchOff(dir string, without mechanism.Name) error {
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

// keepJournal copies the entries of the plays, and the files that they name, to the
// repository's journal.
func keepJournal(dir string) error {
	for _, pattern := range []string{"*.json", "blobs/*"} {
		files, err := filepath.Glob(filepath.Join(dir, "journal", pattern))
		if err != nil {
			return errors.Wrap(err, "find the journal's entries")
		}
		for _, from := range files {
			if err := keepFile(from, filepath.Join("journal", filepath.Dir(pattern), filepath.Base(from))); err != nil {
				return err
			}
		}
	}
	return nil
}

// keepFile copies a file unless it is there already.
func keepFile(from, to string) error {
	if _, err := os.Stat(to); err == nil {
		return nil
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return errors.Wrap(err, "read an entry")
	}
	return errors.Wrap(os.WriteFile(to, data, 0o600), "keep an entry")
}

func mustGetwd() string {
	dir, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return dir
}
