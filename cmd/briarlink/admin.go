package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/admin"
)

type adminCmd struct {
	Address string        `required:"" env:"BRIARLINK_ADDRESS" help:"IP:port of any entry host's operator listener."`
	Output  string        `enum:"json,table" default:"table" help:"Output format: json or table."`
	Timeout time.Duration `default:"10s" help:"Limit on the whole command."`

	Status statusCmd `cmd:"" help:"Print what a host believes: hosts, backend servers, versions, lease."`
}

type statusCmd struct{}

// Run implements the status command.
func (statusCmd) Run(a *adminCmd) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	resp, err := admin.NewClient(a.Address).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return errors.Wrap(err, "ask the host")
	}
	if a.Output == "json" {
		fmt.Println(protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(resp.Msg))
		return nil
	}
	printStatus(resp.Msg)
	return nil
}

func printStatus(s *pb.StatusResponse) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	// A terminal that cannot be written to ends the command anyway.
	defer func() { _ = w.Flush() }()
	fmt.Fprintf(w, "host\t%s\t%s\tconfiguration %d\n", s.Host, s.State, s.ConfigVersion)
	fmt.Fprintf(w, "lease\t%s\tfencing token %d\theld here: %t\n\n", s.Lease.Holder, s.Lease.FencingToken, s.Lease.HeldHere)
	fmt.Fprintln(w, "HOST\tZONE\tADDRESS\tREADY\tLEAVING\tAGE MS")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\n", h.Id, h.AvailabilityZone, h.CallerAddress, h.Ready && h.Alive, h.Leaving, h.AgeMs)
	}
	fmt.Fprintln(w, "\nREPLICA\tSERVICE\tADDRESS\tZONE\tSTATE\tWEIGHTS\tREQUESTS\tPREFILL")
	for _, r := range s.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.Id, r.Service, r.Address, r.AvailabilityZone, r.State,
			strings.Join(r.Weights, ","), r.Requests, r.PrefillTokens)
	}
}
