// Command standin runs stand-ins for the parts of the platform that hosts interact with:
// the metadata store, backend servers, operators and callers. It is not part of the
// product.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/google/uuid"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/caller"
	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/store"
	"github.com/briarlink/briarlink/test/standin/wire"
)

const (
	headerTimeout = 10 * time.Second
	callTimeout   = 5 * time.Second
	// heartbeat is the interval at which a server renews its entry in the store.
	heartbeat = 1200 * time.Millisecond
	// retryPause is the pause after a failed attempt to write the entry.
	retryPause = 50 * time.Millisecond
)

type cli struct {
	Store  storeCmd  `cmd:"" help:"Run the metadata store."`
	Engine engineCmd `cmd:"" help:"Run a model engine, or a plain service without --model."`
	Put    putCmd    `cmd:"" help:"Write an operators' record: a key and a file with its value."`
	Call   callCmd   `cmd:"" help:"Look up a host in the directory, send it one request, and print the answer."`
}

func listen(address string, h http.Handler) error {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

type storeCmd struct {
	Listen string `required:"" help:"IP:port to listen on."`
}

// Run implements the store command.
func (c *storeCmd) Run() error { return listen(c.Listen, store.New().Handler()) }

type engineCmd struct {
	Listen   string        `required:"" help:"IP:port to listen on."`
	Store    string        `required:"" help:"IP:port of the metadata store."`
	Service  string        `required:"" help:"Service of the server."`
	Zone     string        `default:"valle-central-1" help:"Availability zone."`
	Model    string        `help:"Model served; empty for a plain service."`
	Events   int           `default:"8" help:"Number of events in a stream."`
	Pace     time.Duration `default:"15ms" help:"Pause between events."`
	LoadTime time.Duration `default:"400ms" help:"Time to load weights."`
}

// Run implements the engine command.
func (c *engineCmd) Run() error {
	e := engine.New(engine.Options{
		ID: "i-" + uuid.NewString()[:8], Service: c.Service, Address: c.Listen, Zone: c.Zone, Slots: 8,
		Model: c.Model, Events: c.Events, Pace: c.Pace, LoadTime: c.LoadTime,
	})
	go func() {
		for {
			pause := heartbeat
			if err := e.Register(storeWriter(c.Store, platform.ReplicaTopic), false); err != nil {
				fmt.Fprintln(os.Stderr, err)
				pause = retryPause
			}
			time.Sleep(pause)
		}
	}()
	return listen(c.Listen, e.Handler())
}

// storeWriter returns a function that writes records of a topic to a store.
func storeWriter(address, topic string) func(key string, entry any) error {
	client := platform.NewStore(address, callTimeout)
	return func(key string, entry any) error {
		value, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		_, err = client.Append(context.Background(), topic, platform.Record{Key: key, Value: value}, -1)
		return err
	}
}

type putCmd struct {
	Store string `required:"" help:"IP:port of the metadata store."`
	Key   string `arg:"" help:"Key, such as config or version/MODEL."`
	File  string `arg:"" type:"existingfile" help:"File with the value."`
}

// Run implements the put command.
func (c *putCmd) Run() error {
	value, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return storeWriter(c.Store, platform.OperatorTopic)(c.Key, json.RawMessage(value))
}

type callCmd struct {
	Directory []string `required:"" help:"IP:port of hosts that serve the directory."`
	Host      string   `required:"" help:"Host name of the request."`
	Key       string   `help:"API key."`
	Zone      string   `default:"valle-central-1" help:"Availability zone of the caller."`
	Method    string   `default:"POST" help:"HTTP method."`
	Path      string   `arg:"" help:"Path of the request."`
	Model     string   `help:"Model of the request."`
	Prefix    string   `help:"Prefix blocks of the prompt, as ID:TOKENS,..."`
	Tokens    string   `help:"Numbers of prompt and output tokens, as IN,OUT."`
	Body      string   `default:"" help:"Body of the request."`
}

// Run implements the call command.
func (c *callCmd) Run() error {
	from := &caller.Caller{Directories: c.Directory, HostName: c.Host, Zone: c.Zone, Key: c.Key}
	id := uuid.NewString()
	answer, err := from.Send(context.Background(), caller.Request{
		ID: id, Method: c.Method, Path: c.Path, Body: c.Body, Model: c.Model, Prefix: c.Prefix, Tokens: c.Tokens, Deadline: callTimeout,
	})
	if err != nil {
		return err
	}
	fmt.Printf("request %s: status %d, seal %q, whole %t\n%s\n", id, answer.Status, answer.Header.Get(wire.Seal), answer.Whole, answer.Body)
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"))
	ctx.FatalIfErrorf(ctx.Run())
}
