package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// counts holds the number of hosts or backend servers by availability zone and kind.
type counts map[string]map[string]int

func (c counts) add(zone, kind string) {
	if c[zone] == nil {
		c[zone] = map[string]int{}
	}
	c[zone][kind]++
}

// print writes a row for each availability zone with a column for each kind.
func (c counts) print(w io.Writer, kinds []string) {
	fmt.Fprintf(w, "ZONE\t%s\n", strings.ToUpper(strings.Join(kinds, "\t")))
	for _, zone := range slices.Sorted(maps.Keys(c)) {
		fmt.Fprint(w, zone)
		for _, kind := range kinds {
			fmt.Fprintf(w, "\t%d", c[zone][kind])
		}
		fmt.Fprintln(w)
	}
}

// hostKind returns the most important aspect of a host's state.
func hostKind(h *pb.HostStatus) string {
	switch {
	case !h.Alive:
		return "dead"
	case h.Leaving:
		return "leaving"
	case !h.Ready:
		return "starting"
	case h.Routing:
		return "routing"
	default:
		return "standby"
	}
}

// printHosts prints the number of hosts by availability zone and lists those that are
// neither routing nor on standby, or all.
func printHosts(w io.Writer, s *pb.StatusResponse, all bool) {
	byZone := counts{}
	for _, h := range s.Hosts {
		byZone.add(h.AvailabilityZone, hostKind(h))
	}
	byZone.print(w, []string{"routing", "standby", "starting", "leaving", "dead"})
	if s.HostsByNumber > 0 {
		fmt.Fprintf(w, "and %d more by number alone: ask a routing host for them\n", s.HostsByNumber)
	}
	fmt.Fprintln(w)
	rows := listing{heading: "HOST\tZONE\tADDRESS\tSTATE\tDIRECT\tAGE MS", none: "every other host is routing or on standby"}
	for _, h := range s.Hosts {
		kind := hostKind(h)
		if all || kind != "routing" && kind != "standby" {
			rows.add("%s\t%s\t%s\t%s\t%t\t%d", h.Id, h.AvailabilityZone, h.CallerAddress, kind, h.Direct, h.AgeMs)
		}
	}
	rows.print(w)
}

// listing is a table of the items that need attention. If it has no rows, the sentence in
// its field none is printed instead.
type listing struct {
	heading, none string
	rows          []string
}

func (l *listing) add(format string, values ...any) {
	l.rows = append(l.rows, fmt.Sprintf(format, values...))
}

func (l *listing) print(w io.Writer) {
	if len(l.rows) == 0 {
		fmt.Fprintln(w, l.none)
		return
	}
	fmt.Fprintln(w, l.heading)
	for _, row := range l.rows {
		fmt.Fprintln(w, row)
	}
}

// printReplicas prints the number of backend servers by availability zone and state, and
// lists those that do not serve or hold other weights than most of their service, or all.
func printReplicas(w io.Writer, s *pb.StatusResponse, all bool) {
	byZone := counts{}
	usual := usualWeights(s.Replicas)
	for _, r := range s.Replicas {
		byZone.add(r.AvailabilityZone, r.State)
	}
	byZone.print(w, []string{"serving", "draining", "lapsed"})
	fmt.Fprintln(w)
	rows := listing{
		heading: "REPLICA\tSERVICE\tADDRESS\tZONE\tSTATE\tWEIGHTS\tREQUESTS\tPREFILL",
		none:    "every backend server serves, with the weights that most of its service hold",
	}
	for _, r := range s.Replicas {
		held := strings.Join(r.Weights, ",")
		if all || r.State != "serving" || held != usual[r.Service] {
			rows.add("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d", r.Id, r.Service, r.Address, r.AvailabilityZone, r.State, held, r.Requests, r.PrefillTokens)
		}
	}
	rows.print(w)
}

// usualWeights returns the weights that the largest number of backend servers of each
// service hold; on a tie, those that sort last.
func usualWeights(replicas []*pb.ReplicaStatus) map[string]string {
	held := map[string]map[string]int{}
	for _, r := range replicas {
		if held[r.Service] == nil {
			held[r.Service] = map[string]int{}
		}
		held[r.Service][strings.Join(r.Weights, ",")]++
	}
	usual := map[string]string{}
	for service, weights := range held {
		for _, name := range slices.Sorted(maps.Keys(weights)) {
			if weights[name] >= weights[usual[service]] {
				usual[service] = name
			}
		}
	}
	return usual
}

// listThreshold is the fraction of its burst that an organisation must use to be listed.
const listThreshold = 0.5

// printQuotas lists the organisations that use much of their rate limit or had requests
// rejected by this host, or all that have a limit.
func printQuotas(w io.Writer, s *pb.StatusResponse, all bool) {
	fmt.Fprintf(w, "organisations with a rate limit: %d\n", len(s.Quotas))
	rows := listing{
		heading: "ORGANISATION\tUNIT\tA SECOND\tBURST\tAGAINST IT\tLET IN HERE\tREFUSED HERE",
		none:    "none uses half of its burst, or was refused anything here",
	}
	for _, q := range s.Quotas {
		if all || q.Level >= listThreshold*q.Burst || q.Refused > 0 {
			rows.add("%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%d", q.Organisation, q.Unit, q.PerSecond, q.Burst, q.Level, q.Used, q.Refused)
		}
	}
	rows.print(w)
}

// printMoves lists the latest canary release of each service.
func printMoves(w io.Writer, s *pb.StatusResponse) {
	rows := listing{
		heading: "SERVICE\tTARGET\tSTATE\tSHARE\tTIME\tANSWERS\tFAILED\tOTHERS\tFAILED\tEVIDENCE",
		none:    "no service was ordered to move to another version",
	}
	for _, m := range s.Moves {
		rows.add("%s\t%s\t%s\t%.3f\t%.1f of %.1f s\t%d\t%d\t%d\t%d\t%.1f", m.Service, m.Target, m.State, m.Share,
			float64(m.ElapsedMs)/1000, float64(m.DurationMs)/1000, m.Answers, m.Failed, m.OldAnswers, m.OldFailed, m.Evidence)
	}
	rows.print(w)
}
