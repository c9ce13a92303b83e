package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
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
	Timeout time.Duration `default:"10s" help:"Timeout of each call to the host."`

	Status   statusCmd   `cmd:"" help:"Print the state that a host sees: hosts, backend servers, versions, lease."`
	Hosts    hostsCmd    `cmd:"" help:"Print the entry hosts that a host knows."`
	Replicas replicasCmd `cmd:"" help:"Print the backend servers that a host knows, and the load of all hosts on them."`
	Quotas   quotasCmd   `cmd:"" help:"Print the rate limits of organisations and their current use, as a host sees them."`
	Moves    movesCmd    `cmd:"" help:"Print the operators' orders to move services to other versions, as a host sees them."`
	Weights  weightsCmd  `cmd:"" help:"Print how many backend servers hold which weights, and who may order loads."`
}

type (
	statusCmd struct{}
	hostsCmd  struct {
		All bool `help:"Print every host, not only those that are dead, leaving or not ready."`
		watchFlags
	}
	replicasCmd struct {
		All bool `help:"Print every backend server, not only those that do not serve or hold other weights than most."`
		watchFlags
	}
	quotasCmd struct {
		All bool `help:"Print every organisation with a limit, not only those that use half of it or were refused something."`
		watchFlags
	}
	movesCmd   struct{ watchFlags }
	weightsCmd struct{}
)

// Run implements the status command.
func (statusCmd) Run(a *adminCmd) error {
	return a.show(nil, func(w io.Writer, s *pb.StatusResponse) {
		fmt.Fprintf(w, "host\t%s\t%s\tconfiguration %d\n", s.Host, s.State, s.ConfigVersion)
		printLease(w, s)
		fmt.Fprintln(w)
		printHosts(w, s, false)
		fmt.Fprintln(w)
		printReplicas(w, s, false)
	})
}

// Run implements the hosts command.
func (c *hostsCmd) Run(a *adminCmd) error {
	only := func(s *pb.StatusResponse) { s.Replicas, s.Lease, s.Quotas, s.Moves = nil, nil, nil, nil }
	return c.run(func(ctx context.Context, w io.Writer) error {
		return a.print(ctx, w, only, func(w io.Writer, s *pb.StatusResponse) { printHosts(w, s, c.All) })
	})
}

// Run implements the replicas command.
func (c *replicasCmd) Run(a *adminCmd) error {
	only := func(s *pb.StatusResponse) { s.Hosts, s.Lease, s.Quotas, s.Moves = nil, nil, nil, nil }
	return c.run(func(ctx context.Context, w io.Writer) error {
		return a.print(ctx, w, only, func(w io.Writer, s *pb.StatusResponse) { printReplicas(w, s, c.All) })
	})
}

// Run implements the quotas command.
func (c *quotasCmd) Run(a *adminCmd) error {
	only := func(s *pb.StatusResponse) { s.Hosts, s.Replicas, s.Lease, s.Moves = nil, nil, nil, nil }
	return c.run(func(ctx context.Context, w io.Writer) error {
		return a.print(ctx, w, only, func(w io.Writer, s *pb.StatusResponse) { printQuotas(w, s, c.All) })
	})
}

// Run implements the moves command.
func (c *movesCmd) Run(a *adminCmd) error {
	only := func(s *pb.StatusResponse) { s.Hosts, s.Replicas, s.Lease, s.Quotas = nil, nil, nil, nil }
	return c.run(func(ctx context.Context, w io.Writer) error { return a.print(ctx, w, only, printMoves) })
}

// Run implements the weights command.
func (weightsCmd) Run(a *adminCmd) error {
	return a.show(func(s *pb.StatusResponse) { s.Hosts, s.Quotas, s.Moves = nil, nil, nil }, func(w io.Writer, s *pb.StatusResponse) {
		printLease(w, s)
		fmt.Fprintln(w)
		printWeights(w, s)
	})
}

// show queries the host and prints its response on standard output.
func (a *adminCmd) show(only func(*pb.StatusResponse), table func(io.Writer, *pb.StatusResponse)) error {
	return a.print(context.Background(), os.Stdout, only, table)
}

// print queries the host and prints its response as a table, or as JSON after only has
// removed the parts that the command does not show.
func (a *adminCmd) print(ctx context.Context, out io.Writer, only func(*pb.StatusResponse), table func(io.Writer, *pb.StatusResponse)) error {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	resp, err := admin.NewClient(a.Address).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return errors.Wrap(err, "ask the host")
	}
	if a.Output == "json" {
		if only != nil {
			only(resp.Msg)
		}
		_, err := fmt.Fprintln(out, protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(resp.Msg))
		return errors.Wrap(err, "print")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	table(w, resp.Msg)
	return errors.Wrap(w.Flush(), "print")
}

func printLease(w io.Writer, s *pb.StatusResponse) {
	fmt.Fprintf(w, "lease\t%s\tfencing token %d\theld here: %t\n", s.Lease.GetHolder(), s.Lease.GetFencingToken(), s.Lease.GetHeldHere())
}

// printWeights prints the number of backend servers that hold each weights version.
func printWeights(w io.Writer, s *pb.StatusResponse) {
	counts := map[string]int{}
	for _, r := range s.Replicas {
		for _, held := range r.Weights {
			counts[held]++
		}
	}
	fmt.Fprintln(w, "WEIGHTS\tREPLICAS")
	for _, held := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s\t%d\n", held, counts[held])
	}
}
