// Command standin runs small stand-ins for what the system meets: the platform,
// model engines and plain services. It is never linked into the product.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/briarlink/briarlink/test/standin/engine"
	"github.com/briarlink/briarlink/test/standin/fault"
	"github.com/briarlink/briarlink/test/standin/platform"
	"github.com/briarlink/briarlink/test/standin/service"
)

const headerTimeout = 10 * time.Second

type cli struct {
	Platform platformCmd `cmd:"" help:"Run the log and the host list."`
	Engine   engineCmd   `cmd:"" help:"Run a model engine."`
	Service  serviceCmd  `cmd:"" help:"Run a plain service."`
	Call     callCmd     `cmd:"" help:"Ask for a host, send one streamed request, print the answer."`
}

type common struct {
	Listen string `required:"" help:"IP:port to listen on."`
	Seed   uint64 `default:"1" help:"Seed of the faults' chances."`
}

func (c common) serve(h http.Handler) error {
	server := &http.Server{Addr: c.Listen, Handler: h, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

type platformCmd struct {
	common
	Retention time.Duration `default:"1h" help:"How long records are kept."`
	ListLag   time.Duration `default:"2s" help:"Lag of the host list."`
}

// Run implements the platform command.
func (c *platformCmd) Run() error {
	return c.serve(platform.New(fault.NewSwitch(c.Seed), c.Retention, c.ListLag).Handler())
}

type engineCmd struct {
	common
	Model         string        `default:"report-writer" help:"Model served."`
	Version       string        `default:"v1" help:"Weights version at the start."`
	PieceBytes    int           `default:"2000" help:"Size of a cached piece."`
	CachePieces   int           `default:"400" help:"Capacity of the prefix cache."`
	Prefill       time.Duration `default:"20ms" help:"Time to compute one piece."`
	Decode        time.Duration `default:"5ms" help:"Time between tokens."`
	LoadTime      time.Duration `default:"1s" help:"Time to load weights."`
	LoadLag       time.Duration `default:"200ms" help:"Lag of the load report."`
	ChecksFencing bool          `help:"Refuse orders with an old fencing number."`
}

// Run implements the engine command.
func (c *engineCmd) Run() error {
	cfg := engine.Config{
		Model: c.Model, Version: c.Version, PieceBytes: c.PieceBytes, CachePieces: c.CachePieces,
		Prefill: c.Prefill, Decode: c.Decode, LoadTime: c.LoadTime, LoadLag: c.LoadLag, ChecksFencing: c.ChecksFencing,
	}
	return c.serve(engine.New(cfg, fault.NewSwitch(c.Seed)).Handler())
}

type serviceCmd struct{ common }

// Run implements the service command.
func (c *serviceCmd) Run() error {
	return c.serve(service.New(fault.NewSwitch(c.Seed)).Handler())
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"), kong.Description("Stand-ins for the platform, engines and services."))
	ctx.FatalIfErrorf(ctx.Run())
}
