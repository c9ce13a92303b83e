package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// counts counts what is in each availability zone, by kind.
type counts map[string]map[string]int

func (c counts) add(zone, kind string) {
	if c[zone] == nil {
		c[zone] = map[string]int{}
	}
	c[zone][kind]++
}

// print writes a row for each zone with a column for each kind.
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

// hostKind names what is to be known of a host first.
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

// printHosts counts the hosts by zone and lists those that are not as they should
// be, or all.
func printHosts(w io.Writer, s *pb.StatusResponse, all bool) {
	byZone := counts{}
	for _, h := range s.Hosts {
		byZone.add(h.AvailabilityZone, hostKind(h))
	}
	byZone.print(w, []string{"routing", "standby", "starting", "leaving", "dead"})
	fmt.Fprintln(w)
	fmt.Fprintln(w, "HOST\tZONE\tADDRESS\tSTATE\tDIRECT\tAGE MS")
	for _, h := range s.Hosts {
		kind := hostKind(h)
		if all || kind != "routing" && kind != "standby" {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\n", h.Id, h.AvailabilityZone, h.CallerAddress, kind, h.Direct, h.AgeMs)
		}
	}
}

// printReplicas counts the backend servers by zone and state and lists those that do
// not serve, or hold other weights than most of their service, or all.
func printReplicas(w io.Writer, s *pb.StatusResponse, all bool) {
	byZone := counts{}
	usual := usualWeights(s.Replicas)
	for _, r := range s.Replicas {
		byZone.add(r.AvailabilityZone, r.State)
	}
	byZone.print(w, []string{"serving", "draining", "lapsed"})
	fmt.Fprintln(w)
	fmt.Fprintln(w, "REPLICA\tSERVICE\tADDRESS\tZONE\tSTATE\tWEIGHTS\tREQUESTS\tPREFILL")
	for _, r := range s.Replicas {
		held := strings.Join(r.Weights, ",")
		if all || r.State != "serving" || held != usual[r.Service] {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.Id, r.Service, r.Address, r.AvailabilityZone, r.State, held, r.Requests, r.PrefillTokens)
		}
	}
}

// usualWeights returns the weights that most backend servers of each service hold; of
// two held by as many, the greater in order.
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

// usedFrom is the share of its burst from which an organisation is listed.
const usedFrom = 0.5

// printQuotas lists the organisations whose limits are in use, or all that have one.
func printQuotas(w io.Writer, s *pb.StatusResponse, all bool) {
	var listed []*pb.QuotaStatus
	for _, q := range s.Quotas {
		if all || q.Level >= usedFrom*q.Burst || q.Refused > 0 {
			listed = append(listed, q)
		}
	}
	fmt.Fprintf(w, "organisations with a rate limit: %d, in use or refused something: %d\n", len(s.Quotas), len(listed))
	if len(listed) == 0 {
		return
	}
	fmt.Fprintln(w, "ORGANISATION\tUNIT\tA SECOND\tBURST\tAGAINST IT\tLET IN HERE\tREFUSED HERE")
	for _, q := range listed {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%d\n", q.Organisation, q.Unit, q.PerSecond, q.Burst, q.Level, q.Used, q.Refused)
	}
}
