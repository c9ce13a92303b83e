// Command briarlink routes language-model traffic with long shared prompts. It
// runs entry hosts and is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/briarlink/briarlink/internal/node"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/internal/settings"
)

// version is set at build time.
var version = "dev"

// Exit codes.
const (
	exitOK = iota
	// exitFailed means the command did not do what was asked.
	exitFailed
	// exitUsage means the command line or a file is wrong.
	exitUsage
	// exitRefused means a change was refused; nothing changed.
	exitRefused
	// exitUnknown means a change may or may not take effect.
	exitUnknown
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an entry host until SIGTERM or SIGINT, then stop without cutting a request."`
	Settings settingsCmd `cmd:"" help:"Work with settings files."`
	Admin    adminCmd    `cmd:"" help:"Operators' calls. Exit codes: 0 done, 1 failed, 2 usage, 3 change refused, 4 outcome unknown."`
	Hash     hashCmd     `cmd:"" help:"Print the SHA-256 of a key or token read from standard input."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file: JSON with comments."`
}

// Run implements the serve command.
func (c *serveCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return usage(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.New(s, obs.NewLogger(s.Log, os.Stderr)).Run(ctx)
}

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file and print every mistake with its line."`
}

type settingsCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run implements the settings check command.
func (c *settingsCheckCmd) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return usage(err)
	}
	fmt.Println("ok")
	return nil
}

type versionCmd struct{}

// Run implements the version command.
func (versionCmd) Run() error {
	fmt.Println(version)
	return nil
}

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func usage(err error) error { return &exitError{exitUsage, err} }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "briarlink:", err)
		return exitUsage
	}
	err = parsed.Run()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

func newParser(options ...kong.Option) (*kong.Kong, error) {
	options = append([]kong.Option{
		kong.Name("briarlink"),
		kong.Description("A router for language-model traffic with long shared prompts."),
		kong.UsageOnError(),
	}, options...)
	return kong.New(&cli{}, options...)
}
