// Command briarlink routes language-model traffic with long shared prompts. It runs an
// entry host, and is also the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/pkg/errors"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/hangup"
	"github.com/briarlink/briarlink/internal/mechanism"
	"github.com/briarlink/briarlink/internal/node"
	"github.com/briarlink/briarlink/internal/obs"
	"github.com/briarlink/briarlink/platform"
)

// version is set at build time.
var version = "dev"

// Exit codes.
const (
	exitOK = iota
	// exitFailed means the command failed.
	exitFailed
	// exitUsage means the command line or an input file is invalid.
	exitUsage
)

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an entry host until SIGTERM or SIGINT, then finish the open requests and exit."`
	Settings settingsCmd `cmd:"" help:"Work with settings files."`
	Admin    adminCmd    `cmd:"" help:"Query a running entry host."`
	Explain  explainCmd  `cmd:"" help:"Explain from the hosts' logs how a request ended and why."`
	Logs     logsCmd     `cmd:"" help:"Work with logs."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	Completion kongcompletion.Completion `cmd:"" help:"Print the shell's completion script: bash, zsh or fish."`
}

// serveCommand is the name of the command that runs an entry host.
const serveCommand = "serve"

type serveCmd struct {
	Settings string   `env:"${settings_variable}" required:"" help:"Settings file: JSON with comments, or the platform's format."`
	Without  []string `placeholder:"MECHANISM" help:"For measurements: disable these mechanisms. An unknown name is an error that lists the valid ones."`
}

// Run implements the serve command.
func (c *serveCmd) Run() error {
	s, err := load(c.Settings)
	if err != nil {
		return usage(err)
	}
	off, err := mechanism.Parse(c.Without)
	if err != nil {
		return usage(err)
	}
	log, lines := obs.NewLogger(s.Log, os.Stdout)
	defer lines.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listeners, err := node.Listen(s.Listen)
	if err != nil {
		log.WithError(err).Error("ended")
		return err
	}
	n := node.New(s, off, log, lines)
	go func() {
		for range hangup.Requests {
			if err := c.reload(n); err != nil {
				log.WithError(err).Error("settings not reloaded; those in force stay")
			}
		}
	}()
	n.Run(ctx, listeners)
	return nil
}

func (c *serveCmd) reload(n *node.Node) error {
	s, err := load(c.Settings)
	if err != nil {
		return err
	}
	return n.Reload(s)
}

func load(file string) (*pb.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return platform.LoadSettings(data)
}

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file and print every mistake with its line."`
}

type settingsCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run implements the settings check command.
func (c *settingsCheckCmd) Run() error {
	if _, err := load(c.File); err != nil {
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

// exitError is an error with the command's exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// usage marks err as a usage error.
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
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "briarlink:", err)
		return exitUsage
	}
	if parsed.Command() != serveCommand {
		hangup.Restore()
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
		kong.Vars{"settings_variable": platform.SettingsVariable},
	}, options...)
	return kong.New(&cli{}, options...)
}
