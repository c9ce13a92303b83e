package main

import (
	"encoding/csv"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/mechanism"
)

// nothing names the row that disables no mechanism.
const nothing mechanism.Name = ""

// setting is what two compared runs have in common.
type setting struct {
	site, day string
	// seed is the number of the run; 0 stands for the day's own seed.
	seed int
}

// dayRun is a run of a day and its outcome.
type dayRun struct {
	setting
	without mechanism.Name
	score   float64
	// violations are the names of the violated rules.
	violations []string
}

// same reports whether both runs have the same setting and the same disabled mechanism.
func (d dayRun) same(other dayRun) bool {
	return d.setting == other.setting && d.without == other.without
}

// record returns the run as a line of the file: site, disabled mechanism, day, seed, score
// and violated rules.
func (d dayRun) record() []string {
	score := strconv.FormatFloat(d.score, 'f', -1, 64)
	return []string{d.site, string(d.without), d.day, strconv.Itoa(d.seed), score, strings.Join(d.violations, " ")}
}

func parseRun(record []string) (dayRun, error) {
	seed, err := strconv.Atoi(record[3])
	if err != nil {
		return dayRun{}, errors.Wrap(err, "parse the seed of a run")
	}
	score, err := strconv.ParseFloat(record[4], 64)
	if err != nil {
		return dayRun{}, errors.Wrap(err, "parse the score of a run")
	}
	return dayRun{
		setting: setting{site: record[0], day: record[2], seed: seed},
		without: mechanism.Name(record[1]), score: score, violations: strings.Fields(record[5]),
	}, nil
}

// readRuns reads the file of finished runs. A missing file has none.
func readRuns(file string) ([]dayRun, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the file of runs")
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord = len(dayRun{}.record())
	records, err := r.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read the file of runs")
	}
	runs := make([]dayRun, len(records))
	for i, record := range records {
		if runs[i], err = parseRun(record); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func appendRuns(file string, runs []dayRun) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return errors.Wrap(err, "make a folder for the file of runs")
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the file of runs")
	}
	defer f.Close()
	w := csv.NewWriter(f)
	for _, d := range runs {
		if err := w.Write(d.record()); err != nil {
			return errors.Wrap(err, "write a run")
		}
	}
	w.Flush()
	return errors.Wrap(w.Error(), "write the runs")
}

// table returns a Markdown table with a row for every site and mechanism, in the order of
// their first runs. A run counts only if its setting was also run with all mechanisms. The
// column "mean worth" is the mean score, and "worth" what the mechanism contributes to it.
func table(runs []dayRun) []string {
	lines := []string{
		"| site | switched off | mean worth | worth | standard error | plays | rules broken |",
		"|---|---|---|---|---|---|---|",
	}
	full := map[setting]dayRun{}
	type row struct {
		site    string
		without mechanism.Name
	}
	var rows []row
	for _, d := range runs {
		if d.without == nothing {
			full[d.setting] = d
		}
		if r := (row{d.site, d.without}); !slices.Contains(rows, r) {
			rows = append(rows, r)
		}
	}
	for _, r := range rows {
		var pairs []pair
		for _, d := range runs {
			if with, ok := full[d.setting]; ok && r == (row{d.site, d.without}) {
				pairs = append(pairs, pair{with: with, without: d})
			}
		}
		if len(pairs) > 0 {
			lines = append(lines, line(r.site, r.without, pairs))
		}
	}
	return lines
}

// pair is two runs of the same setting, with all mechanisms and without one.
type pair struct{ with, without dayRun }

// line returns a row of the table.
func line(site string, without mechanism.Name, pairs []pair) string {
	sum := 0.0
	var violations []string
	for _, p := range pairs {
		sum += p.without.score
		violations = append(violations, p.without.violations...)
	}
	cells := fmt.Sprintf("| %s | nothing | %.4f | | |", site, sum/float64(len(pairs)))
	if without != nothing {
		score, se := difference(pairs)
		cells = fmt.Sprintf("| %s | %s | %.4f | %+.4f | %.4f |", site, without, sum/float64(len(pairs)), score, se)
	}
	return fmt.Sprintf("%s %d | %s |", cells, len(pairs), countRules(violations))
}

// difference returns the mean difference of the scores over the pairs, and its standard
// error, which is NaN for fewer than two pairs.
func difference(pairs []pair) (mean, se float64) {
	n := float64(len(pairs))
	for _, p := range pairs {
		mean += (p.with.score - p.without.score) / n
	}
	if len(pairs) < 2 {
		return mean, math.NaN()
	}
	sum := 0.0
	for _, p := range pairs {
		d := p.with.score - p.without.score - mean
		sum += d * d
	}
	return mean, math.Sqrt(sum / (n - 1) / n)
}

// countRules returns how often each rule was violated, as text.
func countRules(rules []string) string {
	if len(rules) == 0 {
		return "0"
	}
	slices.Sort(rules)
	var parts []string
	for _, rule := range slices.Compact(slices.Clone(rules)) {
		n := 0
		for _, r := range rules {
			if r == rule {
				n++
			}
		}
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	return strings.Join(parts, ", ")
}
