package main

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/logline"
	"github.com/briarlink/briarlink/internal/logreport"
	"github.com/briarlink/briarlink/internal/obs"
)

type logsCmd struct {
	Check   logsCheckCmd   `cmd:"" help:"Check that log lines are as documented, and print those that are not."`
	Crashes logsCrashesCmd `cmd:"" help:"List the prefix blocks of the requests that were running when backend servers crashed."`
	Report  logsReportCmd  `cmd:"" help:"Summarise requests over time: served, late, refused, failed by cause, hit rate, first events."`
}

type logsReportCmd struct {
	Files []string           `arg:"" optional:"" help:"Log files of all hosts; standard input without any."`
	Step  time.Duration      `default:"2s" help:"Length of an interval."`
	By    logreport.Grouping `xor:"drawn" enum:",route,zone" default:"" placeholder:"GROUP" help:"Group requests by route or zone."`
	Svg   string             `xor:"drawn" placeholder:"FILE" help:"Also draw the report as an SVG file; not with --by."`
}

// Run implements the logs report command.
func (c *logsReportCmd) Run() error {
	report, err := logreport.NewGrouped(c.Step, c.By)
	if err != nil {
		return usage(err)
	}
	logs := newLogFiles(c.Files)
	defer logs.Close()
	if err := logs.Each(report.Add); err != nil {
		return err
	}
	intervals := report.Intervals()
	if c.Svg != "" {
		if err := draw(c.Svg, intervals); err != nil {
			return err
		}
	}
	return logreport.GroupTable(os.Stdout, c.By, intervals)
}

func draw(name string, intervals []logreport.Interval) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create a drawing")
	}
	logreport.SVG(f, intervals)
	return errors.Wrap(f.Close(), "write a drawing")
}

type logsCrashesCmd struct {
	Files []string `arg:"" help:"Log files of all hosts."`
	Most  int      `default:"20" help:"Number of prefix blocks to list."`
}

// Run implements the logs crashes command.
func (c *logsCrashesCmd) Run() error {
	logs := newLogFiles(c.Files)
	defer logs.Close()
	blocks, crashed, err := logreport.Crashes(logs)
	if err != nil {
		return err
	}
	return logreport.CrashTable(os.Stdout, blocks, crashed, c.Most)
}

type logsCheckCmd struct {
	Files []string `arg:"" optional:"" help:"Log files; standard input without any."`
}

// Run implements the logs check command.
func (c *logsCheckCmd) Run() error {
	logs := newLogFiles(c.Files)
	defer logs.Close()
	wrong, total := 0, 0
	err := logs.Each(func(text []byte) error {
		total++
		if err := checkLine(text); err != nil {
			wrong++
			fmt.Printf("line %d: %v: %.120s\n", total, err, text)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d lines, %d not as documented\n", total, wrong)
	if wrong > 0 {
		return usage(errors.New("some lines are not as documented"))
	}
	return nil
}

// checkLine validates a line, ignoring the log collector's prefix.
func checkLine(line []byte) error {
	_, object := logline.Object(line)
	return obs.CheckLine(object)
}
