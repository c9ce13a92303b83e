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

// nothing is the row with all mechanisms.
const nothing mechanism.Name = ""

// setting is what two plays that are compared have in common.
type setting struct {
	site, day string
	// seed counts from 0, the day's own.
	seed int
}

type play struct {
	setting
	without mechanism.Name
	worth   float64
	// broken names the rules that were broken.
	broken []string
}

// same reports whether it is a play of the same setting without the same mechanism.
func (p play) same(other play) bool {
	return p.setting == other.setting && p.without == other.without
}

// record is the play as a line of the file: site, mechanism, day, seed, worth, rules.
func (p play) record() []string {
	worth := strconv.FormatFloat(p.worth, 'f', -1, 64)
	return []string{p.site, string(p.without), p.day, strconv.Itoa(p.seed), worth, strings.Join(p.broken, " ")}
}

func parsePlay(record []string) (play, error) {
	seed, err := strconv.Atoi(record[3])
	if err != nil {
		return play{}, errors.Wrap(err, "read a seed")
	}
	worth, err := strconv.ParseFloat(record[4], 64)
	if err != nil {
		return play{}, errors.Wrap(err, "read a worth")
	}
	return play{
		setting: setting{site: record[0], day: record[2], seed: seed},
		without: mechanism.Name(record[1]), worth: worth, broken: strings.Fields(record[5]),
	}, nil
}

// readPlays reads a file of plays; one that does not exist has none.
func readPlays(file string) ([]play, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the plays")
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord = len(play{}.record())
	records, err := r.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read the plays")
	}
	plays := make([]play, len(records))
	for i, record := range records {
		if plays[i], err = parsePlay(record); err != nil {
			return nil, err
		}
	}
	return plays, nil
}

func appendPlays(file string, plays []play) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return errors.Wrap(err, "make a folder for the plays")
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the plays")
	}
	defer f.Close()
	w := csv.NewWriter(f)
	for _, p := range plays {
		if err := w.Write(p.record()); err != nil {
			return errors.Wrap(err, "keep a play")
		}
	}
	w.Flush()
	return errors.Wrap(w.Error(), "keep the plays")
}

// table returns a row of Markdown for every site and mechanism, in the order in which
// they were first played. A play counts if its setting was also played with all mechanisms.
func table(plays []play) []string {
	lines := []string{
		"| site | switched off | mean worth | worth | standard error | plays | rules broken |",
		"|---|---|---|---|---|---|---|",
	}
	full := map[setting]play{}
	type row struct {
		site    string
		without mechanism.Name
	}
	var rows []row
	for _, p := range plays {
		if p.without == nothing {
			full[p.setting] = p
		}
		if r := (row{p.site, p.without}); !slices.Contains(rows, r) {
			rows = append(rows, r)
		}
	}
	for _, r := range rows {
		var pairs []pair
		for _, p := range plays {
			if with, ok := full[p.setting]; ok && r == (row{p.site, p.without}) {
				pairs = append(pairs, pair{with: with, less: p})
			}
		}
		if len(pairs) > 0 {
			lines = append(lines, line(r.site, r.without, pairs))
		}
	}
	return lines
}

// pair is two plays of one setting, with all mechanisms and less one.
type pair struct{ with, less play }

func line(site string, without mechanism.Name, pairs []pair) string {
	sum := 0.0
	var broken []string
	for _, p := range pairs {
		sum += p.less.worth
		broken = append(broken, p.less.broken...)
	}
	cells := fmt.Sprintf("| %s | nothing | %.4f | | |", site, sum/float64(len(pairs)))
	if without != nothing {
		worth, se := difference(pairs)
		cells = fmt.Sprintf("| %s | %s | %.4f | %+.4f | %.4f |", site, without, sum/float64(len(pairs)), worth, se)
	}
	return fmt.Sprintf("%s %d | %s |", cells, len(pairs), counted(broken))
}

// difference returns what a mechanism is worth, the mean over the pairs, and its
// standard error, which needs two pairs.
func difference(pairs []pair) (mean, se float64) {
	n := float64(len(pairs))
	for _, p := range pairs {
		mean += (p.with.worth - p.less.worth) / n
	}
	if len(pairs) < 2 {
		return mean, math.NaN()
	}
	sum := 0.0
	for _, p := range pairs {
		d := p.with.worth - p.less.worth - mean
		sum += d * d
	}
	return mean, math.Sqrt(sum / (n - 1) / n)
}

// counted says how often each rule was broken.
func counted(rules []string) string {
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
