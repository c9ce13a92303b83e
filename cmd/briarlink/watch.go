package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/clock"
)

type watchFlags struct {
	Watch    bool          `help:"Renew the table until interrupted."`
	Interval time.Duration `default:"2s" help:"Time between two tables."`
}

// AfterApply checks the flags.
func (f *watchFlags) AfterApply() error {
	if f.Interval <= 0 {
		return errors.New("--interval must be longer than 0")
	}
	return nil
}

// run prints once, or again and again until the operator interrupts it.
func (f *watchFlags) run(print func(context.Context, io.Writer) error) error {
	if !f.Watch {
		return print(context.Background(), os.Stdout)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := watch{interval: f.Interval, print: print, out: os.Stdout, errs: os.Stderr, terminal: isTerminal(os.Stdout)}
	return w.run(ctx)
}

// isTerminal reports whether a file is a terminal, where a table can take the place of
// the one before.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// watch prints something again and again.
type watch struct {
	interval  time.Duration
	print     func(context.Context, io.Writer) error
	out, errs io.Writer
	terminal  bool
}

// clearScreen sends the cursor of a terminal home and clears what is below.
const clearScreen = "\x1b[H\x1b[J"

// run prints until ctx ends, which is no error. What fails is told, and tried again at
// the next interval: a host that restarts ends no watch.
func (w *watch) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var failed error
	clock.Every(ctx, w.interval, func() {
		if failed = w.renew(ctx); failed != nil {
			stop()
		}
	})
	return failed
}

// renew prints once. Its error is that of the output.
func (w *watch) renew(ctx context.Context) error {
	var table bytes.Buffer
	if w.terminal {
		table.WriteString(clearScreen)
	}
	fmt.Fprintf(&table, "%s, every %v\n\n", time.Now().Format(time.TimeOnly), w.interval)
	err := w.print(ctx, &table)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		_, err = fmt.Fprintf(w.errs, "%s %v\n", time.Now().Format(time.TimeOnly), err)
		return errors.Wrap(err, "print")
	}
	table.WriteString("\n")
	// One write: a terminal never shows half a table.
	_, err = w.out.Write(table.Bytes())
	return errors.Wrap(err, "print")
}
